//! The fault plan of a seed, which is drawn before the processes start.
//!
//! The variants and fields of [`PlannedFault`] and of the faults that it contains are written to the
//! file `faults.txt` under their own names.

use rand::{Rng, SeedableRng, rngs::StdRng};
use std::time::Duration;

/// Limits of the random pause between two faults. Each seed draws one of them, so that some seeds
/// have isolated faults and others many overlapping ones.
const GAP_LIMITS: [Duration; 3] =
    [Duration::from_millis(500), Duration::from_millis(1_500), Duration::from_millis(4_000)];
/// Longest duration of a fault. The users' longest link outages take as long.
const FAULT_LIMIT: Duration = Duration::from_secs(5);
/// Shortest duration of a fault.
const FAULT_FLOOR: Duration = Duration::from_millis(200);
/// Upper limit of the delay of a link.
const DELAY_LIMIT_MS: u64 = 400;

/// A fault of a network link.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum LinkFault {
    /// Data is delayed by this time.
    Delay(Duration),
    /// Connections are reset.
    Reset,
    /// Data is held in both directions until the fault ends.
    Silence,
    /// Data to the client is held until the fault ends.
    HoldAnswers,
    /// Data from the client is held until the fault ends.
    HoldRequests,
}

/// A fault of the platform's object API.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ObjectApiFault {
    /// All calls are rejected.
    Refuse,
    /// Calls take effect, but get no response.
    LoseAnswers,
    /// The history of changes is compacted, so that watches cannot continue from where they were.
    ForgetHistory,
    /// Another writer stores a target registration that cannot be decoded.
    UnreadableRecord,
}

/// A fault. Processes and targets are given by their index.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum PlannedFault {
    /// A process is killed, and restarted by its supervisor.
    Kill { process: usize },
    /// A process is sent SIGTERM, and restarted by its supervisor once it has exited.
    Terminate { process: usize },
    /// A process is sent SIGHUP, on which it reloads its settings.
    Reload { process: usize },
    /// A process is suspended by SIGSTOP until the fault ends.
    Pause { process: usize, span: Duration },
    /// A fault of the link from a process to the object API.
    PlatformLink { process: usize, fault: LinkFault, span: Duration },
    /// A fault of the links from all processes to a target.
    TargetLink { target: usize, fault: LinkFault, span: Duration },
    /// A fault of the object API.
    Store { fault: ObjectApiFault, span: Duration },
    /// A target crashes, and is restarted under the same name.
    RestartTarget { target: usize },
    /// A target is drained and removed, and another one is added.
    ReplaceTarget { target: usize },
    /// The operator adds an API key, or revokes the one that was added last.
    ChangeKeys,
}

/// The fault plan of a seed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct FaultPlan {
    /// The faults, each with its start time after the start of the plan.
    pub(crate) faults: Vec<(Duration, PlannedFault)>,
}

impl FaultPlan {
    /// Draws the plan of a seed, with faults that start within `window`. The same arguments give the
    /// same plan.
    pub(crate) fn draw(seed: u64, window: Duration, processes: usize, targets: usize) -> FaultPlan {
        let mut random = StdRng::seed_from_u64(seed);
        let gap_limit = GAP_LIMITS[random.random_range(0..GAP_LIMITS.len())];
        let mut faults = Vec::new();
        let mut at = Duration::ZERO;
        loop {
            at += gap_limit.mul_f64(random.random());
            if at >= window || processes == 0 || targets == 0 {
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

fn draw_store_fault(random: &mut StdRng) -> ObjectApiFault {
    match random.random_range(0..4) {
        0 => ObjectApiFault::Refuse,
        1 => ObjectApiFault::LoseAnswers,
        2 => ObjectApiFault::ForgetHistory,
        _ => ObjectApiFault::UnreadableRecord,
    }
}
