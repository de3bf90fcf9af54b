//! Status of saved prefixes, and the check before an import.

mod status;
#[cfg(test)]
mod tests;

pub use status::{ImportRefusal, SaveStatus, StatusUpdate, check_import};
