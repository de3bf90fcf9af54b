//! Brings runners to the newest weights while this process holds the planner's lease.

use super::{entries::EntryCheck, follow::FleetFollower};
use crate::{desk::Desk, peers::Notice};
use skylarkpick_interface::{
    Clock, ModelName, ObjectStore, OrderOutcome, ServiceKind, TargetControl, TargetId, WeightOrder,
    WeightVersion,
};
use skylarkpick_lease::{Lease, LeaseSettings};
use skylarkpick_schedule::{OutdatedPartFinder, RolloutGoal, RolloutRunner, plan_rollout};
use skylarkpick_telemetry::{ORDERS_GIVEN, metrics};
use std::{collections::BTreeMap, sync::Arc, time::Duration};
use tokio::time::Instant;

/// Key of the lease.
const LEASE_KEY: &str = "leases/planner";
/// Term of the lease; much shorter than the time in which orders of two holders must not mix.
const LEASE_TERM: Duration = Duration::from_millis(1_500);
/// Time between renewals.
const LEASE_RENEWAL: Duration = Duration::from_millis(500);
/// Time between a waiting candidate's reads.
const LEASE_POLL: Duration = Duration::from_millis(1_400);
/// Longest call to the platform for the lease.
const LEASE_CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest wait for the acceptance of an order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest wait for a target's word on its orders.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time between telling all processes of a swap and its order, for what waits at the runner to
/// start: the order turns away all that has not.
const ORDER_LEAD: Duration = Duration::from_millis(450);
/// Time between the last order that a former holder can have sent and the change of the holder: it
/// needs the time of an order within its term, and its successor waits as long beyond the term.
const LEASE_GAP: Duration = ORDER_TIMEOUT.saturating_mul(2);
/// Part of that gap that is not relied on.
const LEASE_GAP_MARGIN: Duration = Duration::from_millis(200);
/// Time after which an order whose effect was not seen is given again.
const ORDER_AGAIN: Duration = Duration::from_millis(3_500);
/// Time after the start for the other processes to register.
const FIRST_LOOK: Duration = Duration::from_millis(1_500);
/// Pause before a process looks again whether it stands for the lease.
const CANDIDATE_PAUSE: Duration = Duration::from_secs(1);
/// Pause between two looks at the fleet.
const LOOK_PAUSE: Duration = Duration::from_millis(200);
/// Share of a model's runners that load at the same time. The weight store serves a fifth of them at
/// full speed; some of those that were ordered still finish their runs.
const LOADS_SHARE: f64 = 0.26;
/// Share of the runners that go on serving.
const SERVING_SHARE_FLOOR: f64 = 0.6;

/// What the planner is made of.
pub(crate) struct PlannerParts {
    pub(crate) desk: Arc<Desk>,
    pub(crate) objects: Arc<dyn ObjectStore>,
    pub(crate) control: Arc<dyn TargetControl>,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) fleet: Arc<FleetFollower>,
    pub(crate) node: String,
}

struct Planner {
    parts: PlannerParts,
    lease: Lease,
    holder: String,
    /// Since when this process holds the lease.
    held: Option<Instant>,
    ordered: BTreeMap<TargetId, Ordered>,
    /// Targets whose swap was told and whose order is still to come.
    announced: BTreeMap<TargetId, Instant>,
    entries: EntryCheck,
    outdated: OutdatedPartFinder,
}

struct Ordered {
    weight_version: WeightVersion,
    at: Instant,
}

/// Plans for as long as the task runs. In a large fleet only those processes that read the stores
/// stand for the lease, so that the platform is not asked by all.
pub(crate) async fn run_planner(parts: PlannerParts) {
    tokio::time::sleep(FIRST_LOOK).await;
    while !parts.fleet.recorder.relays_to_follow().is_empty() || !parts.fleet.recorder.is_listed() {
        tokio::time::sleep(CANDIDATE_PAUSE).await;
    }
    let holder = format!("{}-{:08x}", parts.node, rand::random::<u32>());
    let settings = LeaseSettings {
        key: LEASE_KEY.to_string(),
        holder: holder.clone(),
        term: LEASE_TERM,
        order_timeout: ORDER_TIMEOUT,
        renewal_interval: LEASE_RENEWAL,
        poll_interval: LEASE_POLL,
        call_timeout: LEASE_CALL_TIMEOUT,
    };
    let lease = Lease::spawn(parts.objects.clone(), parts.clock.clone(), settings, rand::random());
    let entries = EntryCheck::open(parts.fleet.clone());
    let mut planner = Planner {
        outdated: OutdatedPartFinder::default(),
        parts,
        lease,
        holder,
        held: None,
        ordered: BTreeMap::new(),
        announced: BTreeMap::new(),
        entries,
    };
    loop {
        let changed = planner.parts.desk.weights_changed.notified();
        let _ = tokio::time::timeout(LOOK_PAUSE, changed).await;
        planner.look().await;
    }
}

impl Planner {
    async fn look(&mut self) {
        let Some(permit) = self.lease.permit() else {
            if self.held.take().is_some() {
                spdlog::info!("planner's lease lost");
                self.ordered.clear();
                self.announced.clear();
            }
            return;
        };
        let since = match self.held {
            Some(since) => since,
            None => {
                let since = Instant::now();
                spdlog::info!("planner's lease held", kv: {
                    fencing_number = permit.fencing_number,
                });
                self.held = Some(since);
                since
            }
        };
        // A former holder may have given orders until shortly before the change.
        let pause = self.parts.desk.bounds().lease.saturating_sub(LEASE_GAP - LEASE_GAP_MARGIN);
        if since.elapsed() < pause {
            return;
        }
        let models: Vec<(ModelName, WeightVersion)> = {
            let state = self.parts.desk.lock();
            state.placement.weights.models().map(|(name, it)| (name.to_string(), it)).collect()
        };
        for (model, version) in models {
            self.plan(&model, version).await;
        }
        self.free_outdated().await;
        self.entries.look().await;
    }

    /// Frees the parts of stores that no run can ask for any more. One process does so, under the
    /// lease; the store checks that it is still in the life that the parts were seen in.
    async fn free_outdated(&mut self) {
        let now = self.parts.desk.now();
        let outdated = self.outdated.find(&self.parts.desk.lock().placement, now);
        for found in outdated {
            let permit = self.lease.permit();
            if permit.is_none_or(|permit| permit.remaining < ORDER_TIMEOUT) {
                return;
            }
            let keys = found.parts.iter().map(|key| (key.scope.clone(), key.part.clone()));
            let keys: Vec<(String, String)> = keys.collect();
            let freed = self.parts.control.free_parts(found.store, found.epoch, &keys).await;
            let outcome = match &freed {
                Ok(true) => "freed".to_string(),
                Ok(false) => "the store is in another life".to_string(),
                Err(error) => error.to_string(),
            };
            spdlog::info!("outdated parts of a store", kv: {
                store: = found.store,
                parts = keys.len(),
                outcome = outcome.as_str(),
            });
            if freed == Ok(true) {
                let mut state = self.parts.desk.lock();
                state.placement.parts.note_freed(&found.store, &found.parts);
            }
        }
    }

    async fn plan(&mut self, model: &str, version: WeightVersion) {
        let (runners, orders) = self.runners(model, version);
        let wish = RolloutGoal {
            model: model.to_string(),
            weight_version: version,
            usable_weight_versions: (0..=version).rev().take(3).collect(),
            loads_limit: (runners.len() as f64 * LOADS_SHARE).ceil() as u32,
            serving_share_floor: SERVING_SHARE_FLOOR,
        };
        let due: Vec<TargetId> = self
            .announced
            .iter()
            .filter(|(target, at)| orders.contains_key(*target) && at.elapsed() >= ORDER_LEAD)
            .map(|(target, _)| target.clone())
            .collect();
        for target in due {
            self.announced.remove(&target);
            if let Some(order) = orders.get(&target)
                && !self.order(order).await
            {
                return;
            }
        }
        let loading = runners.iter().filter(|runner| runner.is_loading).count();
        let plan = plan_rollout(&runners, &wish, u32::try_from(loading).unwrap_or(u32::MAX));
        for target in plan.order {
            self.announce(&target, model, version);
        }
    }

    /// Tells all processes that a runner is about to swap its weights.
    fn announce(&mut self, target: &str, model: &str, weight_version: WeightVersion) {
        let notice = Notice::Swapping {
            target: target.to_string(),
            model: model.to_string(),
            weight_version,
        };
        self.parts.fleet.rescue.tell_all(&self.parts.fleet.recorder, &notice);
        self.parts.desk.note_swapping(target, model, weight_version);
        self.announced.insert(target.to_string(), Instant::now());
    }

    /// The runners of a model as the plan wants them, with the order that each would get.
    fn runners(
        &mut self,
        model: &str,
        version: WeightVersion,
    ) -> (Vec<RolloutRunner>, BTreeMap<TargetId, WeightOrder>) {
        let state = self.parts.desk.lock();
        let now = self.parts.desk.now();
        let (mut runners, mut orders) = (Vec::new(), BTreeMap::new());
        for (id, target) in state.placement.targets() {
            let service = state
                .serving()
                .and_then(|serving| serving.document.services.get(&target.registration.service));
            let listed = target.weight_version(model);
            let (Some(ServiceKind::Engines(_)), Some(listed)) = (service, listed) else { continue };
            let ordered = self
                .ordered
                .get(id)
                .filter(|it| it.weight_version >= version && it.at.elapsed() < ORDER_AGAIN);
            runners.push(RolloutRunner {
                name: id.clone(),
                model: model.to_string(),
                weight_version: Some(listed),
                is_loading: listed < version
                    && (ordered.is_some() || self.announced.contains_key(id)),
                is_leaving: target.registration.is_draining,
                runs: target.requests(now).round() as u32,
                slots: target.slots(),
                hot_blocks: 0,
            });
            orders.insert(
                id.clone(),
                WeightOrder {
                    target: id.clone(),
                    address: target.registration.address,
                    model: model.to_string(),
                    weight_version: version,
                    holder: self.holder.clone(),
                    fencing_number: 0,
                    orders_accepted: 0,
                },
            );
        }
        (runners, orders)
    }

    /// Gives one order; gives whether the lease still covers another.
    async fn order(&mut self, order: &WeightOrder) -> bool {
        let state = match self.parts.control.order_state(order.address, REPORT_TIMEOUT).await {
            Ok(state) => state,
            Err(error) => {
                spdlog::info!("no order: the target does not say what it serves", kv: {
                    target = order.target.as_str(), error:,
                });
                return true;
            }
        };
        if let Some(version) = state.weights.get(&order.model) {
            self.parts.desk.observe_weights(&order.target, &order.model, *version);
            if state.is_busy || *version >= order.weight_version {
                return true;
            }
        }
        // The permit is asked for last: nothing may pass between it and the order.
        let Some(permit) = self.lease.permit() else { return false };
        if permit.remaining < ORDER_TIMEOUT {
            return false;
        }
        let order = WeightOrder {
            fencing_number: permit.fencing_number,
            orders_accepted: state.orders_accepted,
            ..order.clone()
        };
        let ordered = Ordered { weight_version: order.weight_version, at: Instant::now() };
        self.ordered.insert(order.target.clone(), ordered);
        let answer = self.parts.control.order(&order, ORDER_TIMEOUT).await;
        let outcome = match &answer {
            Ok(answer) => format!("{answer:?}"),
            Err(error) => error.to_string(),
        };
        let tag = if answer.is_ok() { "answered" } else { "no_answer" };
        metrics().count(&ORDERS_GIVEN, &[("outcome", tag)]);
        spdlog::info!("order given", kv: {
            target = order.target.as_str(),
            model = order.model.as_str(),
            weight_version = order.weight_version,
            fencing_number = order.fencing_number,
            orders_accepted = order.orders_accepted,
            outcome = outcome.as_str(),
        });
        if answer == Ok(OrderOutcome::AlreadySo) {
            self.parts.desk.observe_weights(&order.target, &order.model, order.weight_version);
        }
        true
    }
}
