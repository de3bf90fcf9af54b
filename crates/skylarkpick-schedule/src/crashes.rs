//! Which parts of prompts may be why targets end.

mod answered;
mod evidence;
#[cfg(test)]
mod tests;
mod verdict;

pub use evidence::{CrashEvidence, ReportSource};
pub use verdict::{PartVerdict, evidence_keepers, part_number};
