//! Faults of the platform's object API, and what the operator and the targets write again after a
//! loss.

use crate::{
    clients::SharedClientState,
    history::DisturbanceScope,
    plan::{ObjectApiFault, StoreReturn},
    run::{Fleet, FleetState},
};
use serde_json::{Value, json};
use skylarkpick_platform_standin::{FaultMode, ObjectServer};
use std::{collections::BTreeMap, sync::Arc, time::Duration};
use tokio::time::{Instant, sleep};

/// Kind of the registrations of targets.
pub(crate) const TARGETS: ObjectKind = "servers";
/// Kind and name of the configuration.
pub(crate) const CONFIGURATION: (ObjectKind, &str) = ("config", "main");
/// Kind of the objects of other writers.
const NOTES: ObjectKind = "notes";
/// Time within which targets have registered again after a loss; the users' targets take up to two
/// seconds.
const REGISTRATION_LIMIT: Duration = Duration::from_millis(1_800);

/// Kind of objects of the platform.
pub(crate) type ObjectKind = &'static str;

/// What the operator and the targets wrote last, by kind and name; `None` if they removed it.
pub(crate) type WrittenObjects = BTreeMap<(ObjectKind, String), Option<Value>>;

impl Fleet {
    /// Injects a fault of the object API and waits for its end.
    pub(crate) async fn inject_object_api_fault(
        &self,
        clients: &Arc<SharedClientState>,
        fault: ObjectApiFault,
        span: Duration,
    ) {
        let (state, from) = (&self.objects.state, Instant::now());
        match fault {
            ObjectApiFault::Refuse => self.fail_calls(FaultMode::RejectCalls, span).await,
            ObjectApiFault::LoseAnswers => self.fail_calls(FaultMode::DropResponses, span).await,
            ObjectApiFault::ForgetHistory => state.compact_history(),
            ObjectApiFault::UnreadableRecord => {
                let record = json!({ "service": 7, "state": [] });
                self.lock().write(&self.objects, TARGETS, "unreadable", Some(record));
                sleep(span).await;
                self.lock().write(&self.objects, TARGETS, "unreadable", None);
            }
            ObjectApiFault::ReturnToCopy(fault) => {
                return self.return_to_copy(clients, fault, span).await;
            }
        }
        self.record_disturbance(DisturbanceScope::Platform, from);
    }

    async fn fail_calls(&self, mode: FaultMode, span: Duration) {
        self.objects.state.set_fault_mode(mode);
        sleep(span).await;
        // This also ends other outages that began meanwhile.
        self.objects.state.set_fault_mode(FaultMode::None);
    }

    /// Lets the platform's store be away for some time and come back from a copy. Then the operator and
    /// the targets write again what was lost, and the operator changes the configuration.
    async fn return_to_copy(
        &self,
        clients: &Arc<SharedClientState>,
        fault: StoreReturn,
        away: Duration,
    ) {
        let state = &self.objects.state;
        state.take_copy();
        for number in 0..fault.lost_writes {
            sleep(fault.age / fault.lost_writes).await;
            state.put(NOTES, &number.to_string(), json!({}));
        }
        let from = Instant::now();
        state.return_to_copy(away).await;
        self.record_disturbance(DisturbanceScope::Platform, from);
        let lost = self.lock().find_lost(&self.objects, from, fault.lapses);
        let change = async {
            sleep(fault.change_after).await;
            self.probe_change(clients, fault.changes_routes).await;
        };
        tokio::join!(self.write_again(&lost, fault.rewrite_after), change);
    }

    /// Writes lost objects again: the configuration after some time, and the registrations one after
    /// another.
    async fn write_again(&self, lost: &[(ObjectKind, String)], rewrite_after: Duration) {
        let (kind, name) = CONFIGURATION;
        let configuration = async {
            sleep(rewrite_after).await;
            self.lock().write_if_lost(&self.objects, kind, name);
        };
        let registrations = async {
            let lost = lost.iter().filter(|(kind, _)| *kind == TARGETS);
            let pause =
                REGISTRATION_LIMIT / u32::try_from(lost.clone().count()).unwrap_or(1).max(1);
            for (kind, name) in lost {
                sleep(pause).await;
                self.lock().write_if_lost(&self.objects, kind, name);
            }
        };
        tokio::join!(configuration, registrations);
    }
}

impl FleetState {
    /// Writes an object for the operator or a target, or removes it.
    pub(crate) fn write(
        &mut self,
        objects: &ObjectServer,
        kind: ObjectKind,
        name: &str,
        content: Option<Value>,
    ) {
        match content.clone() {
            Some(content) => {
                objects.state.put(kind, name, content);
            }
            None => objects.state.remove(kind, name),
        }
        self.written.insert((kind, name.to_string()), content);
        if (kind, name) == CONFIGURATION {
            for (_, until) in &mut self.changes.configuration_losses {
                until.get_or_insert_with(Instant::now);
            }
        }
    }

    /// Returns what the operator and the targets wrote and the store has lost, after it returned.
    /// `lapses` says whether all registrations have lapsed while the store was away.
    fn find_lost(
        &mut self,
        objects: &ObjectServer,
        away_from: Instant,
        lapses: bool,
    ) -> Vec<(ObjectKind, String)> {
        let now = Instant::now();
        self.changes.store_returns.push((away_from, now));
        let registered =
            self.written.iter().filter(|((kind, _), it)| *kind == TARGETS && it.is_some());
        for ((kind, name), _) in registered.filter(|_| lapses) {
            objects.state.remove(kind, name);
        }
        let (kind, name) = CONFIGURATION;
        if self.is_lost(objects, kind, name) {
            self.changes.configuration_losses.push((away_from, None));
        }
        let written = self.written.keys().filter(|(kind, name)| self.is_lost(objects, kind, name));
        written.cloned().collect()
    }

    /// Whether the store does not have an object as it was written last.
    fn is_lost(&self, objects: &ObjectServer, kind: ObjectKind, name: &str) -> bool {
        let written = self.written.get(&(kind, name.to_string()));
        written.is_some_and(|content| objects.state.get(kind, name) != *content)
    }

    fn write_if_lost(&mut self, objects: &ObjectServer, kind: ObjectKind, name: &str) {
        if self.is_lost(objects, kind, name) {
            let content = self.written.get(&(kind, name.to_string())).cloned().flatten();
            self.write(objects, kind, name, content);
        }
    }
}
