//! Tests of rollout planning: single decisions, and complete rollouts step by step.

use super::{RolloutGoal, RolloutRunner, RolloutWait, plan_rollout};
use std::collections::BTreeMap;

const MODEL: &str = "tala-llm";

fn runner(name: &str, weight_version: u64) -> RolloutRunner {
    RolloutRunner {
        name: name.to_string(),
        model: MODEL.to_string(),
        weight_version: Some(weight_version),
        slots: 8,
        ..RolloutRunner::default()
    }
}

fn goal(weight_version: u64, usable: &[u64]) -> RolloutGoal {
    RolloutGoal {
        model: MODEL.to_string(),
        weight_version,
        usable_weight_versions: usable.to_vec(),
        expired_weight_versions: Vec::new(),
        loads_limit: 2,
        serving_share_floor: 0.5,
    }
}

fn fleet(count: usize) -> Vec<RolloutRunner> {
    (0..count).map(|index| runner(&format!("r{index}"), 1)).collect()
}

struct Case {
    name: &'static str,
    change: fn(&mut Vec<RolloutRunner>, &mut RolloutGoal),
    loads_in_progress: u32,
    order: &'static [&'static str],
    waiting: &'static [(&'static str, RolloutWait)],
}

/// Each case starts with four runners on version 1. Version 2 is desired, and version 1 is still
/// usable.
const CASES: &[Case] = &[
    Case {
        name: "slots and runs whose sums 32 bits don't hold",
        change: |runners, _| {
            for runner in runners {
                (runner.slots, runner.runs) = (u32::MAX, u32::MAX / 2);
            }
        },
        loads_in_progress: 0,
        order: &["r0", "r1"],
        waiting: &[("r2", RolloutWait::LoadsLimit), ("r3", RolloutWait::LoadsLimit)],
    },
    Case {
        name: "the limit of concurrent loads",
        change: |_, _| {},
        loads_in_progress: 0,
        order: &["r0", "r1"],
        waiting: &[("r2", RolloutWait::LoadsLimit), ("r3", RolloutWait::LoadsLimit)],
    },
    Case {
        name: "loads in another data centre count towards the limit",
        change: |runners, _| runners.truncate(2),
        loads_in_progress: 2,
        order: &[],
        waiting: &[("r0", RolloutWait::LoadsLimit), ("r1", RolloutWait::LoadsLimit)],
    },
    Case {
        name: "the share that must keep serving",
        change: |_, goal| goal.serving_share_floor = 0.75,
        loads_in_progress: 0,
        order: &["r0"],
        waiting: &[
            ("r1", RolloutWait::ServingShare),
            ("r2", RolloutWait::ServingShare),
            ("r3", RolloutWait::ServingShare),
        ],
    },
    Case {
        name: "one runner may load even if the share allows none",
        change: |runners, goal| {
            runners.truncate(1);
            goal.serving_share_floor = 1.0;
        },
        loads_in_progress: 0,
        order: &["r0"],
        waiting: &[],
    },
    Case {
        name: "the current load allows one runner to load",
        change: |runners, _| runners.iter_mut().for_each(|runner| runner.runs = 5),
        loads_in_progress: 0,
        order: &["r0"],
        waiting: &[("r1", RolloutWait::Load), ("r2", RolloutWait::Load), ("r3", RolloutWait::Load)],
    },
    Case {
        name: "runners with hot blocks last",
        change: |runners, _| {
            runners[0].hot_blocks = 90;
            runners[1].hot_blocks = 10;
            runners[2].runs = 1;
        },
        loads_in_progress: 0,
        order: &["r3", "r2"],
        waiting: &[("r0", RolloutWait::LoadsLimit), ("r1", RolloutWait::LoadsLimit)],
    },
    Case {
        name: "a loading runner is not ordered again",
        change: |runners, _| runners[0].is_loading = true,
        loads_in_progress: 1,
        order: &["r1"],
        waiting: &[
            ("r0", RolloutWait::Loading),
            ("r2", RolloutWait::LoadsLimit),
            ("r3", RolloutWait::LoadsLimit),
        ],
    },
    Case {
        name: "unavailable runners hold no place among the loads",
        change: |runners, _| {
            runners[0].is_unavailable = true;
            runners[1].is_unavailable = true;
        },
        loads_in_progress: 0,
        order: &["r2", "r3"],
        waiting: &[("r0", RolloutWait::Unavailable), ("r1", RolloutWait::Unavailable)],
    },
    Case {
        name: "unavailable runners on expired weights are ordered",
        change: |runners, goal| {
            goal.usable_weight_versions = vec![2];
            goal.expired_weight_versions = vec![1];
            runners.iter_mut().for_each(|runner| runner.is_unavailable = true);
        },
        loads_in_progress: 0,
        order: &["r0", "r1", "r2", "r3"],
        waiting: &[],
    },
    Case {
        name: "a leaving runner is ordered only if its weights have expired",
        change: |runners, goal| {
            goal.weight_version = 3;
            goal.usable_weight_versions = vec![3, 2];
            goal.expired_weight_versions = vec![1];
            runners.iter_mut().for_each(|runner| runner.is_leaving = true);
            runners[1].weight_version = Some(2);
            runners[2].weight_version = Some(2);
            runners[3].weight_version = Some(3);
        },
        loads_in_progress: 0,
        order: &["r0"],
        waiting: &[],
    },
    Case {
        name: "leaving runners do not count towards the share, unreachable ones do",
        change: |runners, _| {
            runners[0].is_leaving = true;
            runners[1].weight_version = None;
        },
        loads_in_progress: 0,
        order: &[],
        waiting: &[
            ("r1", RolloutWait::Unreachable),
            ("r2", RolloutWait::ServingShare),
            ("r3", RolloutWait::ServingShare),
        ],
    },
    Case {
        name: "runners on unusable weights go first, whatever the load",
        change: |runners, goal| {
            goal.usable_weight_versions = vec![2];
            runners[0].weight_version = Some(2);
            runners[3].runs = 100;
        },
        loads_in_progress: 0,
        order: &["r1", "r2"],
        waiting: &[("r3", RolloutWait::LoadsLimit)],
    },
    Case {
        name: "runners on expired weights are ordered beyond the limit of concurrent loads",
        change: |runners, goal| {
            goal.usable_weight_versions = vec![2];
            goal.expired_weight_versions = vec![1];
            runners[0].weight_version = Some(2);
            runners[1].is_loading = true;
        },
        loads_in_progress: 2,
        order: &["r2", "r3"],
        waiting: &[("r1", RolloutWait::Loading)],
    },
    Case {
        name: "runners on the oldest weights first, although they have more runs",
        change: |runners, goal| {
            *goal = RolloutGoal { weight_version: 3, ..goal.clone() };
            goal.usable_weight_versions = vec![3, 2, 1];
            runners[0].weight_version = Some(2);
            runners[1].weight_version = Some(2);
            runners[2].runs = 3;
            runners[3].runs = 2;
        },
        loads_in_progress: 0,
        order: &["r3", "r2"],
        waiting: &[("r0", RolloutWait::LoadsLimit), ("r1", RolloutWait::LoadsLimit)],
    },
    Case {
        name: "a runner of another model is ordered",
        change: |runners, _| {
            runners.truncate(2);
            runners[1].model = "book".to_string();
            runners[1].weight_version = Some(2);
        },
        loads_in_progress: 1,
        order: &["r1"],
        waiting: &[("r0", RolloutWait::LoadsLimit)],
    },
];

#[test]
fn orders_runners_within_the_limits() {
    for case in CASES {
        let (mut runners, mut goal) = (fleet(4), goal(2, &[2, 1]));
        (case.change)(&mut runners, &mut goal);
        let plan = plan_rollout(&runners, &goal, case.loads_in_progress);
        assert_eq!(plan.order, case.order, "{}", case.name);
        let waiting: BTreeMap<_, _> =
            case.waiting.iter().map(|(name, wait)| (name.to_string(), *wait)).collect();
        assert_eq!(plan.waiting, waiting, "{}", case.name);
    }
}

/// Desired and usable versions from a step on.
struct Patch {
    from_step: usize,
    weight_version: u64,
    usable: &'static [u64],
}

struct Rollout {
    name: &'static str,
    patches: &'static [Patch],
    steps_limit: usize,
}

const ROLLOUTS: &[Rollout] = &[
    Rollout {
        name: "one new version",
        patches: &[Patch { from_step: 0, weight_version: 2, usable: &[2, 1] }],
        steps_limit: 16,
    },
    Rollout {
        name: "a bad version is rolled back halfway",
        patches: &[
            Patch { from_step: 0, weight_version: 2, usable: &[2, 1] },
            Patch { from_step: 5, weight_version: 1, usable: &[1] },
        ],
        steps_limit: 16,
    },
    Rollout {
        name: "the desired version changes repeatedly",
        patches: &[
            Patch { from_step: 0, weight_version: 2, usable: &[2, 1] },
            Patch { from_step: 3, weight_version: 3, usable: &[3, 2, 1] },
            Patch { from_step: 6, weight_version: 2, usable: &[3, 2, 1] },
            Patch { from_step: 7, weight_version: 4, usable: &[4, 3, 2, 1] },
        ],
        steps_limit: 30,
    },
];

/// A load takes two steps; each of the seven runners carries two runs.
#[test]
fn rollouts_complete_without_exceeding_their_limits() {
    for rollout in ROLLOUTS {
        let mut runners = fleet(7);
        runners.iter_mut().for_each(|runner| runner.runs = 2);
        let mut loads: BTreeMap<usize, (usize, u64)> = BTreeMap::new();
        for step in 0..rollout.steps_limit {
            let patch = rollout.patches.iter().rfind(|patch| patch.from_step <= step).unwrap();
            let goal = goal(patch.weight_version, patch.usable);
            for (index, (_, version)) in loads.extract_if(.., |_, load| load.0 <= step) {
                runners[index].weight_version = Some(version);
                runners[index].is_loading = false;
            }
            let plan = plan_rollout(&runners, &goal, loads.len() as u32);
            for name in plan.order {
                let index = runners.iter().position(|runner| runner.name == name).unwrap();
                assert!(!runners[index].is_loading, "{}: ordered while loading", rollout.name);
                runners[index].is_loading = true;
                loads.insert(index, (step + 2, goal.weight_version));
            }
            assert!(loads.len() <= 2, "{}: {} loads at step {step}", rollout.name, loads.len());
            let serving = runners.iter().filter(|runner| !runner.is_loading).count();
            assert!(serving >= 4, "{}: {serving} runners serve at step {step}", rollout.name);
        }
        let desired = rollout.patches.last().unwrap().weight_version;
        let all = runners.iter().all(|it| it.weight_version == Some(desired) && !it.is_loading);
        assert!(all, "{}: not complete after {} steps", rollout.name, rollout.steps_limit);
    }
}
