//! Rolls out the desired weights to runners while this process holds the planner lease.

use super::{
    entry_health::check_entries, lapsed_runners::LapsedRunners, topic_watch::FleetWatcher,
};
use crate::{node_state::NodeState, peers::Notice};
use futures::future::join_all;
use skylarkpick_interface::{
    Clock, ControlError, ModelName, ObjectStore, OrderOutcome, ServiceKind, StoreEra,
    TargetControl, TargetId, WeightOrder, WeightVersion,
};
use skylarkpick_lease::{Lease, LeaseSettings};
use skylarkpick_schedule::{
    DesiredWeightsView, OutdatedPartFinder, RolloutGoal, RolloutRunner, plan_rollout,
};
use skylarkpick_telemetry::{ORDERS_GIVEN, metrics};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};
use tokio::time::Instant;

/// Object key of the lease.
const LEASE_KEY: &str = "leases/planner";
/// Term of the lease; much shorter than the period in which targets must not receive orders of two
/// holders.
const LEASE_TERM: Duration = Duration::from_millis(1_500);
/// Renewal interval of the holder.
const LEASE_RENEWAL: Duration = Duration::from_millis(500);
/// Poll interval of the other candidates.
const LEASE_POLL: Duration = Duration::from_millis(1_400);
/// Timeout of a platform call for the lease.
const LEASE_CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout for the acceptance of an order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout for reading a target's order state.
const ORDER_STATE_TIMEOUT: Duration = Duration::from_millis(300);
/// Time between the notice of a weight swap and the order, in which requests queued at the runner
/// can start: on the order, the runner rejects those that have not started.
const ORDER_DELAY: Duration = Duration::from_millis(450);
/// Time added to the platform's bound between orders of two machines, for clocks that run at
/// different speeds.
const MACHINE_GAP_MARGIN: Duration = Duration::from_millis(200);
/// Time after which an order whose effect has not been observed is sent again.
const ORDER_RETRY_DELAY: Duration = Duration::from_millis(3_500);
/// Number of times that an order without a response is repeated within that time to a runner on expired
/// weights. Each takes about 0.6 s, and 1.5 s are left until no run may start on them.
const EXPIRED_REPEATS_LIMIT: u32 = 3;
/// Time after a target's state could not be read in which its place among the loads is left to others.
const SKIPPED_ORDER_DELAY: Duration = Duration::from_secs(2);
/// Delay after the process start, in which the other processes register, until it competes for a
/// lease that another machine held last.
const START_DELAY: Duration = Duration::from_millis(1_500);
/// Interval at which a process checks whether it may compete for the lease.
const CANDIDATE_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum time between two reconciliation passes.
const RECONCILE_INTERVAL: Duration = Duration::from_millis(200);
/// Share of a model's runners that load weights concurrently. The weight store serves a fifth of
/// them at full speed, and some of the runners with an order are still finishing their runs.
const LOADS_SHARE: f64 = 0.26;
/// Minimum share of a model's runners that continue to serve.
const SERVING_SHARE_FLOOR: f64 = 0.6;

/// Dependencies of the planner.
pub(crate) struct PlannerParts {
    pub(crate) node_state: Arc<NodeState>,
    pub(crate) objects: Arc<dyn ObjectStore>,
    /// Makes no call during a pause that its receiver asked for.
    pub(crate) control: Arc<dyn TargetControl>,
    /// Makes calls for orders to runners on expired weights, whatever they asked for: only an order
    /// rejects the requests that wait there.
    pub(crate) due_control: Arc<dyn TargetControl>,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) watcher: Arc<FleetWatcher>,
    pub(crate) node: String,
    /// Name of the VM that differs from those of all others, also of later ones.
    pub(crate) machine: String,
}

struct Planner {
    parts: PlannerParts,
    lease: Arc<Lease>,
    holder: String,
    /// Whether the lease is left to others, since this process reaches no engines.
    stands_back: bool,
    /// Era of the store in which the lease is held.
    held_era: Option<StoreEra>,
    /// Last order to the last known start of each target.
    ordered: BTreeMap<TargetId, SentOrder>,
    /// Targets whose swap has been announced but not ordered yet.
    announced: BTreeMap<TargetId, Instant>,
    /// Targets whose state could not be read for their last order.
    skipped: BTreeMap<TargetId, Instant>,
    lapsed: LapsedRunners,
    outdated: OutdatedPartFinder,
}

struct SentOrder {
    /// Start of the target that it was sent to. It says nothing about a later one.
    started_at_ms: u64,
    weight_version: WeightVersion,
    sent_at: Instant,
    /// Whether the runner may not have taken it: it didn't respond, or it was at another count of orders.
    is_uncertain: bool,
    /// Number of times that it was repeated without a new notice.
    repeats: u32,
}

impl SentOrder {
    /// Returns whether the order may be repeated to a runner on expired weights. The notice that preceded it
    /// still holds.
    fn is_repeatable(&self, version: WeightVersion) -> bool {
        self.is_uncertain
            && self.weight_version == version
            && self.repeats < EXPIRED_REPEATS_LIMIT
            && (ORDER_TIMEOUT..ORDER_RETRY_DELAY).contains(&self.sent_at.elapsed())
    }
}

/// Runs the planner for as long as the task runs. In a large fleet, only relays compete for the
/// lease, which limits the calls to the platform.
pub(crate) async fn run_planner(parts: PlannerParts) {
    let holder = format!("{}-{:08x}", parts.node, rand::random::<u32>());
    let settings = LeaseSettings {
        key: LEASE_KEY.to_string(),
        holder: holder.clone(),
        machine: Some(parts.machine.clone()),
        machine_gap: parts.node_state.limits().lease + MACHINE_GAP_MARGIN,
        term: LEASE_TERM,
        order_timeout: ORDER_TIMEOUT,
        renewal_interval: LEASE_RENEWAL,
        poll_interval: LEASE_POLL,
        call_timeout: LEASE_CALL_TIMEOUT,
    };
    let (objects, clock) = (parts.objects.clone(), parts.clock.clone());
    let lease = Arc::new(Lease::spawn_standing_by(objects, clock, settings, rand::random()));
    let competition = compete(parts.watcher.clone(), lease.clone());
    let checks = check_entries(parts.watcher.clone(), lease.clone());
    let mut planner = Planner {
        outdated: OutdatedPartFinder::default(),
        parts,
        lease,
        holder,
        stands_back: false,
        held_era: None,
        ordered: BTreeMap::new(),
        announced: BTreeMap::new(),
        skipped: BTreeMap::new(),
        lapsed: LapsedRunners::default(),
    };
    tokio::join!(planner.run(), competition, checks);
}

/// Lets the process compete for the lease once the fleet is known and it follows no relay.
async fn compete(watcher: Arc<FleetWatcher>, lease: Arc<Lease>) {
    tokio::time::sleep(START_DELAY).await;
    while !watcher.records.relays().is_empty() || !watcher.records.is_registered() {
        tokio::time::sleep(CANDIDATE_CHECK_INTERVAL).await;
    }
    lease.compete();
}

impl Planner {
    async fn run(&mut self) {
        loop {
            let changed = self.parts.node_state.weights_changed.notified();
            let _ = tokio::time::timeout(RECONCILE_INTERVAL, changed).await;
            self.reconcile().await;
        }
    }

    async fn reconcile(&mut self) {
        let stands_back = self.parts.node_state.is_cut_off_from_engines();
        if std::mem::replace(&mut self.stands_back, stands_back) != stands_back {
            spdlog::info!("reach of engines changed for the planner", kv: { stands_back });
            self.lease.stand_back(stands_back);
        }
        let tenure = self.lease.tenure();
        let store_era = self.parts.objects.known_era();
        // The lease may have ended and been acquired again since the last pass.
        if let Some(held_era) = self.held_era.take_if(|it| tenure.is_none() || *it != store_era) {
            spdlog::info!("planner lease lost", kv: { held_era, store_era });
            self.ordered.clear();
            self.announced.clear();
            self.skipped.clear();
            self.lapsed.clear();
        }
        let Some(tenure) = tenure else { return };
        if self.held_era.is_none() {
            spdlog::info!("planner lease acquired", kv: {
                fencing_number = tenure.fencing_number,
                order_pause_ms = tenure.order_pause.as_millis() as u64,
                store_era,
            });
            self.held_era = Some(store_era);
        }
        // Swaps may be announced before orders may be sent.
        if tenure.order_pause > ORDER_DELAY {
            return;
        }
        let models: Vec<(ModelName, WeightVersion)> = {
            let state = self.parts.node_state.lock();
            state.placement.weights.models().map(|(name, it)| (name.to_string(), it)).collect()
        };
        for (model, version) in models {
            self.plan(&model, version).await;
        }
        self.free_outdated().await;
    }

    /// Frees stored parts that no run can request any more. Only the lease holder does so, and the
    /// store checks that its epoch is still the one in which the parts were seen.
    async fn free_outdated(&mut self) {
        let now = self.parts.node_state.now();
        let outdated = self.outdated.find(&self.parts.node_state.lock().placement, now);
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
                Ok(false) => "the store has another epoch".to_string(),
                Err(error) => error.to_string(),
            };
            spdlog::info!("tried to free outdated parts of a store", kv: {
                store: = found.store,
                parts = keys.len(),
                outcome = outcome.as_str(),
            });
            if freed == Ok(true) {
                let mut state = self.parts.node_state.lock();
                state.placement.parts.note_freed(&found.store, &found.parts);
            }
        }
    }

    async fn plan(&mut self, model: &str, version: WeightVersion) {
        let began = Instant::now();
        let (runners, orders) = self.runners(model, version);
        let (goal, lapsed) = {
            // An order follows its notice, and is due when the weights expire.
            let ordered_at = self.parts.node_state.now() + ORDER_DELAY;
            let state = self.parts.node_state.lock();
            let weights = &state.placement.weights;
            let is_expired = |served| !weights.is_usable(model, served, ordered_at);
            let limit = self.parts.node_state.limits().weights;
            let lapsed = self.lapsed.take_expired(model, began, limit, is_expired);
            (rollout_goal(weights, model, version, &runners, ordered_at), lapsed)
        };
        let lapsed = lapsed.into_iter().map(|it| WeightOrder { weight_version: version, ..it });
        let lapsed: Vec<WeightOrder> = lapsed.collect();
        let repeats = self.repeats(&runners, &goal);
        let loading = runners.iter().filter(|runner| runner.is_loading).count();
        let plan = plan_rollout(&runners, &goal, u32::try_from(loading).unwrap_or(u32::MAX));
        for target in plan.order {
            self.announce(&target, model, version);
        }
        // Last, since runners may not respond.
        let expired = runners.iter().filter(|runner| is_expired(runner, &goal));
        let expired: BTreeSet<TargetId> = expired.map(|runner| runner.name.clone()).collect();
        self.send_due_orders(&orders, &expired, &repeats, &lapsed).await;
    }

    /// Returns the runners on expired weights whose last order is repeated now.
    fn repeats(&self, runners: &[RolloutRunner], goal: &RolloutGoal) -> BTreeSet<TargetId> {
        let is_repeated = |it: &&RolloutRunner| {
            let ordered = self.ordered.get(&it.name);
            is_expired(it, goal)
                && ordered.is_some_and(|ordered| ordered.is_repeatable(goal.weight_version))
        };
        runners.iter().filter(is_repeated).map(|it| it.name.clone()).collect()
    }

    /// Sends the orders whose announcement was long enough ago, `repeats`, and those to `lapsed`
    /// runners, all at once, so that a runner that doesn't respond delays none of the others. Pauses
    /// hold back no order to `expired` or lapsed runners.
    async fn send_due_orders(
        &mut self,
        orders: &BTreeMap<TargetId, WeightOrder>,
        expired: &BTreeSet<TargetId>,
        repeats: &BTreeSet<TargetId>,
        lapsed: &[WeightOrder],
    ) {
        let is_due = |target: &TargetId| {
            self.announced.get(target).is_some_and(|at| at.elapsed() >= ORDER_DELAY)
                || repeats.contains(target)
        };
        let due: Vec<&WeightOrder> =
            orders.values().filter(|order| is_due(&order.target)).chain(lapsed).collect();
        for order in &due {
            self.announced.remove(&order.target);
        }
        let control = |target: &TargetId| match orders.contains_key(target) {
            true if !expired.contains(target) => &*self.parts.control,
            _ => &*self.parts.due_control,
        };
        let sent = due.iter().map(|order| self.send_order(order, control(&order.target)));
        let sent = join_all(sent).await;
        for (order, sent) in due.iter().zip(sent) {
            let is_repeat = repeats.contains(&order.target);
            let known = self.ordered.get_mut(&order.target).filter(|_| is_repeat);
            // A repeat that sends nothing counts too: the runner is busy, or doesn't respond.
            let repeats = known.map_or(0, |known| {
                known.repeats += 1;
                known.repeats
            });
            match sent {
                Ok(Some(sent)) => {
                    self.ordered.insert(order.target.clone(), SentOrder { repeats, ..sent });
                }
                Ok(None) => {}
                Err(_) => _ = self.skipped.insert(order.target.clone(), Instant::now()),
            }
        }
    }

    /// Notifies all processes that a runner is about to swap its weights.
    fn announce(&mut self, target: &str, model: &str, weight_version: WeightVersion) {
        let notice = Notice::Swapping {
            target: target.to_string(),
            model: model.to_string(),
            weight_version,
        };
        self.parts.watcher.peer_client.broadcast(&self.parts.watcher.records, &notice);
        self.parts.node_state.note_swapping(target, model, weight_version);
        self.announced.insert(target.to_string(), Instant::now());
    }

    /// Returns the state of a model's runners, and the order that each of them would receive.
    fn runners(
        &mut self,
        model: &str,
        version: WeightVersion,
    ) -> (Vec<RolloutRunner>, BTreeMap<TargetId, WeightOrder>) {
        let state = self.parts.node_state.lock();
        let now = self.parts.node_state.now();
        let (mut runners, mut orders) = (Vec::new(), BTreeMap::new());
        self.skipped.retain(|_, at| at.elapsed() < SKIPPED_ORDER_DELAY);
        for (id, target) in state.placement.targets() {
            let service = state
                .serving()
                .and_then(|serving| serving.document.services.get(&target.registration.service));
            let served = target.weight_version(model);
            let (Some(ServiceKind::Engines(_)), Some(served)) = (service, served) else { continue };
            let started_at_ms = target.registration.started_at_ms;
            if self.ordered.get(id).is_some_and(|it| it.started_at_ms != started_at_ms) {
                self.ordered.remove(id);
            }
            let ordered = self.ordered.get(id).filter(|it| {
                it.weight_version >= version && it.sent_at.elapsed() < ORDER_RETRY_DELAY
            });
            runners.push(RolloutRunner {
                name: id.clone(),
                model: model.to_string(),
                weight_version: Some(served),
                is_loading: served < version
                    && (ordered.is_some() || self.announced.contains_key(id)),
                is_unavailable: self.skipped.contains_key(id)
                    || state.placement.pause_rest(&target.registration.address, now).is_some(),
                is_leaving: state.placement.is_leaving(&target.registration),
                runs: target.requests(now).round() as u32,
                slots: target.slots(),
                hot_blocks: 0,
            });
            let order = WeightOrder {
                target: id.clone(),
                address: target.registration.address,
                started_at_ms,
                model: model.to_string(),
                weight_version: version,
                holder: self.holder.clone(),
                fencing_number: 0,
                orders_accepted: 0,
            };
            self.lapsed.note_registered(&order, served);
            orders.insert(id.clone(), order);
        }
        (runners, orders)
    }

    /// Sends an order if the target still needs it and the lease covers it. Returns what was sent, or an
    /// error if the target's state could not be read.
    async fn send_order(
        &self,
        order: &WeightOrder,
        control: &dyn TargetControl,
    ) -> Result<Option<SentOrder>, ControlError> {
        let state = match control.order_state(order.address, ORDER_STATE_TIMEOUT).await {
            Ok(state) => state,
            Err(error) => {
                spdlog::info!("order skipped: failed to read the target's order state", kv: {
                    target = order.target.as_str(), error:,
                });
                return Err(error);
            }
        };
        if let Some(version) = state.weights.get(&order.model) {
            let started_at_ms = state.started_at_ms.unwrap_or(order.started_at_ms);
            let node_state = &self.parts.node_state;
            node_state.observe_weights(&order.target, started_at_ms, &order.model, *version);
            if state.is_busy || *version >= order.weight_version {
                return Ok(None);
            }
        }
        // The lease is checked last, immediately before the order is sent.
        let permit = self.lease.permit().filter(|permit| permit.remaining >= ORDER_TIMEOUT);
        let Some(permit) = permit else { return Ok(None) };
        let order = WeightOrder {
            fencing_number: permit.fencing_number,
            orders_accepted: state.orders_accepted,
            ..order.clone()
        };
        let sent_at = Instant::now();
        let result = control.order(&order, ORDER_TIMEOUT).await;
        let outcome = match &result {
            Ok(outcome) => format!("{outcome:?}"),
            Err(error) => error.to_string(),
        };
        let tag = if result.is_ok() { "answered" } else { "no_answer" };
        metrics().count(&ORDERS_GIVEN, &[("outcome", tag)]);
        spdlog::info!("order sent", kv: {
            target = order.target.as_str(),
            model = order.model.as_str(),
            weight_version = order.weight_version,
            fencing_number = order.fencing_number,
            orders_accepted = order.orders_accepted,
            outcome = outcome.as_str(),
        });
        if result == Ok(OrderOutcome::AlreadySo) {
            self.parts.node_state.observe_weights(
                &order.target,
                order.started_at_ms,
                &order.model,
                order.weight_version,
            );
        }
        Ok(Some(SentOrder {
            started_at_ms: order.started_at_ms,
            weight_version: order.weight_version,
            sent_at,
            is_uncertain: matches!(result, Err(_) | Ok(OrderOutcome::Conflict)),
            repeats: 0,
        }))
    }
}

/// Returns whether no run may start on a runner's weights any more.
fn is_expired(runner: &RolloutRunner, goal: &RolloutGoal) -> bool {
    let expired = |served| goal.expired_weight_versions.contains(&served);
    runner.weight_version.is_some_and(expired)
}

/// Returns the goal of a model's rollout for orders sent at `now`. Placement uses the same weights then.
pub(super) fn rollout_goal(
    weights: &DesiredWeightsView,
    model: &str,
    version: WeightVersion,
    runners: &[RolloutRunner],
    now: Duration,
) -> RolloutGoal {
    let served: BTreeSet<WeightVersion> =
        runners.iter().filter_map(|it| it.weight_version).collect();
    let (usable_weight_versions, expired_weight_versions) =
        served.into_iter().rev().partition(|served| weights.is_usable(model, *served, now));
    RolloutGoal {
        model: model.to_string(),
        weight_version: version,
        usable_weight_versions,
        expired_weight_versions,
        loads_limit: (runners.len() as f64 * LOADS_SHARE).ceil() as u32,
        serving_share_floor: SERVING_SHARE_FLOOR,
    }
}
