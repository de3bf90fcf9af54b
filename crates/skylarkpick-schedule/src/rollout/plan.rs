//! Chooses the runners to order next to load the desired weights.

use super::types::{RolloutGoal, RolloutPlan, RolloutRunner, RolloutWait};
use skylarkpick_interface::WeightVersion;

/// Runs that a runner can carry for each of its slots.
const RUNS_PER_SLOT: f64 = 1.0;

/// Chooses the runners of one model to order now. `loads_in_progress` counts the loads of all
/// runners that share the weight store.
///
/// Runners without usable weights go first, since ordering them takes away no capacity. The others
/// follow from the oldest weights on, then by fewest hot blocks, then by fewest runs.
///
/// ```
/// use skylarkpick_schedule::{RolloutGoal, RolloutRunner, plan_rollout};
/// let runner = |name: &str| RolloutRunner {
///     name: name.to_string(),
///     model: "tala-llm".to_string(),
///     weight_version: Some(1),
///     slots: 8,
///     ..RolloutRunner::default()
/// };
/// let goal = RolloutGoal {
///     model: "tala-llm".to_string(),
///     weight_version: 2,
///     usable_weight_versions: vec![2, 1],
///     expired_weight_versions: Vec::new(),
///     loads_limit: 2,
///     serving_share_floor: 0.6,
/// };
/// let plan = plan_rollout(&[runner("a"), runner("b"), runner("c")], &goal, 0);
/// assert_eq!(plan.order, ["a"]);
/// ```
pub fn plan_rollout(
    runners: &[RolloutRunner],
    goal: &RolloutGoal,
    loads_in_progress: u32,
) -> RolloutPlan {
    let mut plan = RolloutPlan::default();
    let staying: Vec<&RolloutRunner> = runners.iter().filter(|it| !it.is_leaving).collect();
    // Requests may wait at a runner that leaves, too.
    let is_pending =
        |it: &&RolloutRunner| !is_up_to_date(it, goal) && (!it.is_leaving || is_expired(it, goal));
    let mut pending: Vec<&RolloutRunner> = runners.iter().filter(is_pending).collect();
    pending.sort_by(|a, b| order_key(a, goal).cmp(&order_key(b, goal)));
    let mut capacity = Capacity::of(&staying, goal);
    let mut loads = loads_in_progress;
    for runner in pending {
        match capacity.check(runner, goal, loads) {
            Some(wait) => {
                plan.waiting.insert(runner.name.clone(), wait);
            }
            None => {
                capacity.remove(runner, goal);
                loads += 1;
                plan.order.push(runner.name.clone());
            }
        }
    }
    plan
}

fn is_up_to_date(runner: &RolloutRunner, goal: &RolloutGoal) -> bool {
    runner.model == goal.model
        && runner.weight_version == Some(goal.weight_version)
        && !runner.is_loading
}

/// Returns whether new requests may run on the runner.
fn is_serving(runner: &RolloutRunner, goal: &RolloutGoal) -> bool {
    let usable = |version| goal.usable_weight_versions.contains(&version);
    runner.model == goal.model && !runner.is_loading && runner.weight_version.is_some_and(usable)
}

/// Returns whether no run may start on the runner's weights any more.
fn is_expired(runner: &RolloutRunner, goal: &RolloutGoal) -> bool {
    let expired = |version| goal.expired_weight_versions.contains(&version);
    runner.model == goal.model && runner.weight_version.is_some_and(expired)
}

fn order_key<'a>(
    runner: &'a RolloutRunner,
    goal: &RolloutGoal,
) -> (bool, Option<WeightVersion>, u64, u32, &'a str) {
    let is_serving = is_serving(runner, goal);
    (is_serving, runner.weight_version, runner.hot_blocks, runner.runs, &runner.name)
}

/// Capacity that keeps serving while other runners load.
struct Capacity {
    serving: usize,
    serving_floor: usize,
    slots: f64,
    runs: f64,
}

impl Capacity {
    fn of(staying: &[&RolloutRunner], goal: &RolloutGoal) -> Capacity {
        let serving = staying.iter().filter(|runner| is_serving(runner, goal));
        let slots: f64 = serving.clone().map(|runner| f64::from(runner.slots)).sum();
        let runs: f64 = staying.iter().map(|runner| f64::from(runner.runs)).sum();
        let floor = (staying.len() as f64 * goal.serving_share_floor).ceil() as usize;
        Capacity {
            serving: serving.count(),
            // One runner may always load. Otherwise a small data centre could never change its
            // weights.
            serving_floor: floor.min(staying.len().saturating_sub(1)),
            slots: slots * RUNS_PER_SLOT,
            runs,
        }
    }

    /// Returns why the runner can't be ordered now, if there is a reason.
    fn check(&self, runner: &RolloutRunner, goal: &RolloutGoal, loads: u32) -> Option<RolloutWait> {
        if runner.is_loading {
            return Some(RolloutWait::Loading);
        }
        if runner.weight_version.is_none() {
            return Some(RolloutWait::Unreachable);
        }
        if is_expired(runner, goal) {
            return None;
        }
        if runner.is_unavailable {
            return Some(RolloutWait::Unavailable);
        }
        if loads >= goal.loads_limit {
            return Some(RolloutWait::LoadsLimit);
        }
        if !is_serving(runner, goal) {
            return None;
        }
        if self.serving <= self.serving_floor {
            return Some(RolloutWait::ServingShare);
        }
        let remaining = self.slots - f64::from(runner.slots) * RUNS_PER_SLOT;
        // No other runner can take over the load of the last serving one, which is ordered once
        // there are no runs.
        (self.runs > remaining.max(0.0)).then_some(RolloutWait::Load)
    }

    /// Subtracts a runner from the serving capacity.
    fn remove(&mut self, runner: &RolloutRunner, goal: &RolloutGoal) {
        if is_serving(runner, goal) {
            self.serving -= 1;
            self.slots -= f64::from(runner.slots) * RUNS_PER_SLOT;
        }
    }
}
