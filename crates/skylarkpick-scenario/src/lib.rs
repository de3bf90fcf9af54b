//! The scenario language, its runner, and the independent judge.
