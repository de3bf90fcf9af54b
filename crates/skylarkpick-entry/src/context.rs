//! Context is the KV cache of a prompt prefix. This module tracks which runners cache and which
//! stores save which prefixes, imports saved prefixes before runs and exports prefixes after runs.

mod export;
mod import;
mod manager;
mod messages;
mod poller;
mod prefix_history;
mod prefix_index;
mod publisher;
mod saving;
mod state;
#[cfg(test)]
mod tests;

pub(crate) use manager::ContextManager;
pub(crate) use prefix_index::PrefixIndex;
pub(crate) use saving::CompletedRun;
pub use state::ContextState;
