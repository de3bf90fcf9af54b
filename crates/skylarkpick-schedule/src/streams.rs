//! Which software version may go on with a stream: only the one that began it.

mod keepers;
mod origins;
mod software_versions;

#[cfg(test)]
mod tests;

pub use keepers::{stream_keepers, stream_keepers_to_ask};
pub use origins::{StreamFingerprint, StreamOrigins, software_version_of_run};
pub use software_versions::{SeenVersion, SoftwareHistory, SoftwareVersions};
