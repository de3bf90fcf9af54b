//! Which parts of prompts and which requests may be why targets end.

mod answered;
mod evidence;
#[cfg(test)]
mod request_tests;
#[cfg(test)]
mod tests;
mod verdict;

pub use evidence::{CrashEvidence, EVIDENCE_LIFETIME, ReportSource};
pub use verdict::{CrashVerdict, evidence_keepers, part_number};
