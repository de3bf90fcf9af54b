//! Hands requests over to another entry process while this one reaches no target of their service.
//!
//! The other process handles such a request as if its client had come to it, and never hands it over
//! again. Requests and responses are HTTP/1.1 on a byte stream of their own.

mod origin_watch;
mod peer_silence;
mod reach_watch;
mod terms;

pub(crate) use origin_watch::OriginWatch;
pub(crate) use reach_watch::{HelperGuard, ReachWatch};
pub(crate) use terms::{HandOverTerms, Refusal};

#[cfg(test)]
mod peer_silence_tests;
#[cfg(test)]
mod terms_tests;
