//! Removes the registrations of entry processes that are gone.
//!
//! A VM that is taken away leaves its registration behind. The holder of the planner's lease asks
//! each process from time to time, and removes the registration of one that stays silent. A process
//! that was only cut off registers again once it reads that it is not listed.

use super::follow::FleetFollower;
use skylarkpick_interface::{FleetTopic, RegisteredEntry};
use std::{collections::BTreeMap, sync::Arc, time::Duration};
use tokio::time::Instant;

/// Pause between two questions to the same process.
const ASK_PAUSE: Duration = Duration::from_millis(2_500);
/// Processes asked in one look.
const ASKED_LIMIT: usize = 4;
/// Silence after which a process is taken to be gone; longer than a freeze or a restart lasts.
const SILENCE_LIMIT: Duration = Duration::from_secs(8);

/// Asks entry processes whether they are still there.
pub(crate) struct EntryCheck {
    fleet: Arc<FleetFollower>,
    states: BTreeMap<String, EntryState>,
}

struct EntryState {
    asked_at: Instant,
    /// Since when it has not answered.
    silent_since: Option<Instant>,
}

impl EntryCheck {
    pub(crate) fn open(fleet: Arc<FleetFollower>) -> EntryCheck {
        EntryCheck { fleet, states: BTreeMap::new() }
    }

    /// Asks a few processes, and removes the registrations of those that stay silent.
    pub(crate) async fn look(&mut self) {
        let now = Instant::now();
        let mut due = self.fleet.recorder.other_entries();
        due.retain(|entry| {
            self.states.get(&entry.name).is_none_or(|state| now >= state.asked_at + ASK_PAUSE)
        });
        due.truncate(ASKED_LIMIT);
        let fleet = self.fleet.clone();
        let answers = due.iter().map(|entry| ask(&fleet, entry));
        let answers = futures::future::join_all(answers).await;
        for (entry, has_answered) in due.iter().zip(answers) {
            self.take(entry, has_answered, now).await;
        }
    }

    async fn take(&mut self, entry: &RegisteredEntry, has_answered: bool, now: Instant) {
        let state = self
            .states
            .entry(entry.name.clone())
            .or_insert(EntryState { asked_at: now, silent_since: None });
        state.asked_at = now;
        if has_answered {
            state.silent_since = None;
            return;
        }
        let since = *state.silent_since.get_or_insert(now);
        if now < since + SILENCE_LIMIT {
            return;
        }
        self.states.remove(&entry.name);
        let removed = self.fleet.source.unregister(&entry.name).await;
        spdlog::info!("registration of a silent entry process removed", kv: {
            node = entry.name.as_str(), removed = removed.is_ok(),
        });
    }
}

async fn ask(fleet: &FleetFollower, entry: &RegisteredEntry) -> bool {
    let address = entry.address.to_string();
    let (recorder, topic) = (&fleet.recorder, FleetTopic::Serving);
    fleet.rescue.ask_one(&address, recorder, topic, Duration::ZERO).await.is_some()
}
