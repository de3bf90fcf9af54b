//! The callers' and operators' HTTP before an entry.

mod answer;
mod completions;
mod door;
mod operators;
mod services;
mod wire;

pub use door::Front;
