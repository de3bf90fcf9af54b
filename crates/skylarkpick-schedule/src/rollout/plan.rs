//! Chooses the runners to order next.

use super::types::{RolloutGoal, RolloutPlan, RolloutRunner, RolloutWait};

/// Runs that a runner carries well for each slot that it has.
const RUNS_PER_SLOT: f64 = 1.0;

/// Chooses the runners of one model to order now. `loads_under_way` counts the loads of everybody
/// who shares the weight store.
///
/// Runners that serve no usable weights go first, since nothing is lost by ordering them; among
/// the others, those with the fewest hot blocks and the least work.
///
/// ```
/// use skylarkpick_schedule::{RolloutRunner, RolloutGoal, plan_rollout};
/// let runner = |name: &str| RolloutRunner {
///     name: name.to_string(),
///     model: "tala-llm".to_string(),
///     weight_version: Some(1),
///     slots: 8,
///     ..RolloutRunner::default()
/// };
/// let wish = RolloutGoal {
///     model: "tala-llm".to_string(),
///     weight_version: 2,
///     usable_weight_versions: vec![2, 1],
///     loads_limit: 2,
///     serving_share_floor: 0.6,
/// };
/// let plan = plan_rollout(&[runner("a"), runner("b"), runner("c")], &wish, 0);
/// assert_eq!(plan.order, ["a"]);
/// ```
pub fn plan_rollout(
    runners: &[RolloutRunner],
    wish: &RolloutGoal,
    loads_under_way: u32,
) -> RolloutPlan {
    let mut plan = RolloutPlan::default();
    let staying: Vec<&RolloutRunner> = runners.iter().filter(|it| !it.is_leaving).collect();
    let mut misplaced: Vec<&RolloutRunner> =
        staying.iter().copied().filter(|runner| !is_in_place(runner, wish)).collect();
    misplaced.sort_by(|a, b| order_key(a, wish).cmp(&order_key(b, wish)));
    let mut capacity = Capacity::of(&staying, wish);
    let mut loads = loads_under_way;
    for runner in misplaced {
        match capacity.check(runner, wish, loads) {
            Some(wait) => {
                plan.waiting.insert(runner.name.clone(), wait);
            }
            None => {
                capacity.take(runner, wish);
                loads += 1;
                plan.order.push(runner.name.clone());
            }
        }
    }
    plan
}

fn is_in_place(runner: &RolloutRunner, wish: &RolloutGoal) -> bool {
    runner.model == wish.model
        && runner.weight_version == Some(wish.weight_version)
        && !runner.is_loading
}

/// Whether new requests may go to the runner.
fn is_serving(runner: &RolloutRunner, wish: &RolloutGoal) -> bool {
    let usable = |version| wish.usable_weight_versions.contains(&version);
    runner.model == wish.model && !runner.is_loading && runner.weight_version.is_some_and(usable)
}

fn order_key<'a>(runner: &'a RolloutRunner, wish: &RolloutGoal) -> (bool, u64, u32, &'a str) {
    (is_serving(runner, wish), runner.hot_blocks, runner.runs, &runner.name)
}

/// What goes on serving while runners load.
struct Capacity {
    serving: usize,
    serving_floor: usize,
    slots: f64,
    runs: f64,
}

impl Capacity {
    fn of(staying: &[&RolloutRunner], wish: &RolloutGoal) -> Capacity {
        let serving = staying.iter().filter(|runner| is_serving(runner, wish));
        let slots: u32 = serving.clone().map(|runner| runner.slots).sum();
        let runs: u32 = staying.iter().map(|runner| runner.runs).sum();
        let floor = (staying.len() as f64 * wish.serving_share_floor).ceil() as usize;
        Capacity {
            serving: serving.count(),
            // One runner may always go, or a small data centre would keep its weights for ever.
            serving_floor: floor.min(staying.len().saturating_sub(1)),
            slots: f64::from(slots) * RUNS_PER_SLOT,
            runs: f64::from(runs),
        }
    }

    fn check(&self, runner: &RolloutRunner, wish: &RolloutGoal, loads: u32) -> Option<RolloutWait> {
        if runner.is_loading {
            return Some(RolloutWait::Loading);
        }
        if runner.weight_version.is_none() {
            return Some(RolloutWait::Unreachable);
        }
        if loads >= wish.loads_limit {
            return Some(RolloutWait::LoadsLimit);
        }
        if !is_serving(runner, wish) {
            return None;
        }
        if self.serving <= self.serving_floor {
            return Some(RolloutWait::ServingShare);
        }
        let remaining = self.slots - f64::from(runner.slots) * RUNS_PER_SLOT;
        // The last serving runner has nobody to take its load over; it goes when it is idle.
        (self.runs > remaining.max(0.0)).then_some(RolloutWait::Load)
    }

    fn take(&mut self, runner: &RolloutRunner, wish: &RolloutGoal) {
        if is_serving(runner, wish) {
            self.serving -= 1;
            self.slots -= f64::from(runner.slots) * RUNS_PER_SLOT;
        }
    }
}
