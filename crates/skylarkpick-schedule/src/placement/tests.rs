//! Placement decides as its notes say.
