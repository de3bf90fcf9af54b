//! The sharded claim log that makes a request run at most once.
