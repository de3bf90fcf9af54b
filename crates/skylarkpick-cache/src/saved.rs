//! The life of a saved prefix, as an entry process knows it.

mod life;
#[cfg(test)]
mod tests;

pub use life::{ImportRefusal, SaveStatus, StatusUpdate, check_import};
