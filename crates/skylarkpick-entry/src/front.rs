//! The callers' and operators' HTTP before an entry.

mod answer;
mod completions;
mod door;
mod json;
mod operators;
mod routes;
mod services;
mod wire;

#[cfg(test)]
mod tests;

pub use door::Front;
