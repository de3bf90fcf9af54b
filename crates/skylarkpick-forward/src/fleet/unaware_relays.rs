//! Relays that know no evacuations: those of an earlier version, or whose settings leave them out.

use skylarkpick_interface::FleetTopic;
use std::{collections::BTreeMap, time::Duration};

/// Time after which such a relay is asked again: it may have been replaced by a later version. Each
/// question is a line in the log of an earlier version.
const UNAWARE_LIFETIME: Duration = Duration::from_secs(30);

/// Relays that have answered a question for evacuations with nothing, each with when.
#[derive(Debug, Default)]
pub(crate) struct UnawareRelays(BTreeMap<String, Duration>);

impl UnawareRelays {
    /// Records that a process has answered a question for a topic with nothing. For other topics,
    /// that means only that it has no records yet.
    pub(super) fn note_nothing(&mut self, address: &str, topic: FleetTopic, now: Duration) {
        if topic == FleetTopic::Evacuations {
            self.0.retain(|_, at| now < *at + UNAWARE_LIFETIME);
            self.0.insert(address.to_string(), now);
        }
    }

    /// Returns whether a relay is not to be asked for a topic.
    pub(super) fn is_unaware(&self, address: &str, topic: FleetTopic, now: Duration) -> bool {
        topic == FleetTopic::Evacuations
            && self.0.get(address).is_some_and(|at| now < *at + UNAWARE_LIFETIME)
    }
}
