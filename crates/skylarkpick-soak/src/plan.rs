//! The faults of a seed, drawn before anything runs.

use rand::{Rng, SeedableRng, rngs::StdRng};
use std::time::Duration;

/// Pauses between two faults are drawn up to one of these, so that some seeds have faults one by one
/// and others many at once.
const GAP_LIMITS: [Duration; 3] =
    [Duration::from_millis(500), Duration::from_millis(1_500), Duration::from_millis(4_000)];
/// Longest fault that ends by itself. The users' longest cuts of a link take as long.
const FAULT_LIMIT: Duration = Duration::from_secs(5);
/// Shortest such fault.
const FAULT_FLOOR: Duration = Duration::from_millis(200);
/// Longest delay of a link.
const DELAY_LIMIT_MS: u64 = 400;

/// What happens to a link.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum LinkFault {
    /// Each piece of data comes this much later.
    Delay(Duration),
    /// Connections are reset.
    Reset,
    /// Nothing gets through; what was sent arrives once the link is back.
    Silence,
    /// Only what goes to the caller is held up.
    HoldAnswers,
    /// Only what comes from the caller is held up.
    HoldRequests,
}

/// What happens to the object API.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum StoreFault {
    /// It refuses every call.
    Refuse,
    /// It carries writes out and answers nothing.
    LoseAnswers,
    /// It forgets the history of changes.
    ForgetHistory,
    /// Another writer leaves a registration that cannot be read.
    UnreadableRecord,
}

/// One fault. Processes and targets are named by their place in their list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum PlannedFault {
    /// A process is killed and started again.
    Kill { process: usize },
    /// A process is asked to end and started again.
    Terminate { process: usize },
    /// A process is asked to read its settings again.
    Reload { process: usize },
    /// A process is stopped for a while.
    Pause { process: usize, span: Duration },
    /// The link from a process to the object API.
    PlatformLink { process: usize, fault: LinkFault, span: Duration },
    /// The link from all processes to a target.
    TargetLink { target: usize, fault: LinkFault, span: Duration },
    /// The object API.
    Store { fault: StoreFault, span: Duration },
    /// A target crashes and starts again under its name.
    RestartTarget { target: usize },
    /// A target leaves; another one comes in its place.
    ReplaceTarget { target: usize },
    /// The operator adds a key, or revokes the one added last.
    ChangeKeys,
}

/// The faults of a seed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct FaultPlan {
    /// When each begins, from the start of the plan.
    pub(crate) faults: Vec<(Duration, PlannedFault)>,
}

impl FaultPlan {
    /// Draws the faults of `seed` within `span`.
    pub(crate) fn draw(seed: u64, span: Duration, processes: usize, targets: usize) -> FaultPlan {
        let mut random = StdRng::seed_from_u64(seed);
        let gap_limit = GAP_LIMITS[random.random_range(0..GAP_LIMITS.len())];
        let mut faults = Vec::new();
        let mut at = Duration::ZERO;
        loop {
            at += gap_limit.mul_f64(random.random());
            if at >= span || processes == 0 || targets == 0 {
                return FaultPlan { faults };
            }
            faults.push((at, draw_fault(&mut random, processes, targets)));
        }
    }
}

fn draw_fault(random: &mut StdRng, processes: usize, targets: usize) -> PlannedFault {
    let process = random.random_range(0..processes);
    let target = random.random_range(0..targets);
    let span = FAULT_FLOOR + (FAULT_LIMIT - FAULT_FLOOR).mul_f64(random.random());
    let link = draw_link_fault(random);
    match random.random_range(0..13) {
        0 => PlannedFault::Kill { process },
        1 | 2 => PlannedFault::Terminate { process },
        3 => PlannedFault::Reload { process },
        4 => PlannedFault::Pause { process, span },
        5 | 6 => PlannedFault::PlatformLink { process, fault: link, span },
        7 | 8 => PlannedFault::TargetLink { target, fault: link, span },
        9 => PlannedFault::Store { fault: draw_store_fault(random), span },
        10 => PlannedFault::RestartTarget { target },
        11 => PlannedFault::ReplaceTarget { target },
        _ => PlannedFault::ChangeKeys,
    }
}

fn draw_link_fault(random: &mut StdRng) -> LinkFault {
    match random.random_range(0..5) {
        0 => LinkFault::Delay(Duration::from_millis(random.random_range(20..DELAY_LIMIT_MS))),
        1 => LinkFault::Reset,
        2 => LinkFault::Silence,
        3 => LinkFault::HoldAnswers,
        _ => LinkFault::HoldRequests,
    }
}

fn draw_store_fault(random: &mut StdRng) -> StoreFault {
    match random.random_range(0..4) {
        0 => StoreFault::Refuse,
        1 => StoreFault::LoseAnswers,
        2 => StoreFault::ForgetHistory,
        _ => StoreFault::UnreadableRecord,
    }
}
