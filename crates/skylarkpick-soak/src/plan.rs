//! The fault plan of a seed, which is drawn before the processes start.
//!
//! The variants and fields of [`PlannedFault`] and of the faults that it contains are written to the
//! file `faults.txt` under their own names.

use crate::history::{CallKind, SoftwareVersion};
use rand::{Rng, SeedableRng, rngs::StdRng};
use skylarkpick_platform_standin::AnswerFaults;
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

/// Software versions of the targets; they have no order. Each seed draws two or three of them.
const SOFTWARE_VERSIONS: [SoftwareVersion; 3] = ["b7", "a2", "c4"];
/// Upper limit of the random pause between two faults that concern software versions.
const VERSION_FAULT_GAP_LIMIT: Duration = Duration::from_secs(6);
/// Distinguishes the generator of what concerns software versions from that of the other faults.
const VERSION_SEED: u64 = 1 << 63;
/// Upper limit of the random pause between two faults of the answers of targets.
const ANSWER_FAULT_GAP_LIMIT: Duration = Duration::from_secs(4);
/// Upper limit of the pause that a target asks for; the users' targets ask for as long.
const PAUSE_LIMIT: Duration = Duration::from_secs(3);
/// Distinguishes the generator of the faults of answers from those of the other faults.
const ANSWER_SEED: u64 = 1 << 62;
/// Upper limit of the random pause between two faults that end targets.
const END_FAULT_GAP_LIMIT: Duration = Duration::from_secs(6);
/// Shortest and longest time for which a part ends targets. The users' rule allows for three seconds
/// after the fifth end.
const CRASHING_SPANS: (Duration, Duration) = (Duration::from_secs(4), Duration::from_secs(10));
/// Share of seeds whose processes are cut from each other, but not from the platform.
const NO_PEER_LINKS_PERCENT: u32 = 10;
/// Share of seeds with faults of targets only: the users' rules on parts and limits hold for processes
/// that have not been disturbed for some seconds.
const NO_PROCESS_FAULTS_PERCENT: u32 = 40;
/// Least time for which a target names a limit; each of two is counted from three seconds on.
const LIMIT_SPAN: Duration = Duration::from_secs(8);
/// Distinguishes the generator of the ends of targets from those of the other faults.
const END_SEED: u64 = 1 << 61;
/// The same for whether processes have faults.
const PROCESS_FAULTS_SEED: u64 = 1 << 47;

/// Upper limit of the random pause between two faults in which a request ends targets.
const CRASHING_REQUEST_GAP_LIMIT: Duration = Duration::from_secs(12);
/// Shortest and longest time for which clients send such a request. The users' rule allows for three
/// seconds after the third end, and other requests are judged three seconds later.
const CRASHING_REQUEST_SPANS: (Duration, Duration) =
    (Duration::from_secs(9), Duration::from_secs(15));
/// Share of seeds in which requests end targets.
const CRASHING_REQUEST_PERCENT: u32 = 50;
/// Distinguishes the generator of these faults from those of the other faults.
const CRASHING_REQUEST_SEED: u64 = 11 << 40;

/// Upper limit of the random pause between two returns of the platform's store from a copy.
const RETURN_GAP_LIMIT: Duration = Duration::from_secs(10);
/// Upper limit of the pause between two returns of which one follows the other soon.
const SECOND_RETURN_LIMIT: Duration = Duration::from_secs(3);
/// Share of returns that another one follows soon.
const SECOND_RETURN_PERCENT: u32 = 30;
/// Shortest and longest age of the copy.
const COPY_AGES: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(6));
/// Longest time for which the store is away before.
const AWAY_LIMIT: Duration = Duration::from_secs(2);
/// Upper limit of the writes of others that are lost.
const LOST_WRITES_LIMIT: u32 = 60;
/// Longest time until the operator writes a lost configuration again.
const REWRITE_LIMIT: Duration = Duration::from_secs(2);
/// Longest time after a return until the operator changes the configuration.
const CHANGE_LIMIT: Duration = Duration::from_secs(3);
/// Share of returns at which all registrations of targets have lapsed.
const LAPSE_PERCENT: u32 = 30;
/// Share of seeds with returns.
const RETURN_PERCENT: u32 = 50;
/// Distinguishes the generator of returns from those of the other faults.
const RETURN_SEED: u64 = 23 << 40;

/// Upper limit of the random pause between two cuts of processes from all targets.
const CUT_GAP_LIMIT: Duration = Duration::from_secs(6);
/// Shortest and longest such cut. The users' rule counts from three seconds on.
const CUT_SPANS: (Duration, Duration) = (Duration::from_secs(4), Duration::from_secs(9));
/// Share of seeds with such cuts.
const CUT_PERCENT: u32 = 40;
/// Distinguishes the generator of these cuts from those of the other faults.
const CUT_SEED: u64 = 64 << 40;

/// Shortest and longest time for which targets are brittle. They may fall over from three seconds on.
const BRITTLE_SPANS: (Duration, Duration) = (Duration::from_secs(6), Duration::from_secs(9));
/// Share of seeds with such a time.
const BRITTLE_PERCENT: u32 = 50;
/// Requests that may wait then.
const BRITTLE_ROOMS: [usize; 2] = [1, 9];
/// Distinguishes the generator of this time from those of the other faults.
const BRITTLE_SEED: u64 = 89 << 40;

/// Upper limit of the random pause between two times with faulty answers.
const FAULTY_ANSWERS_GAP_LIMIT: Duration = Duration::from_secs(4);
/// Shortest and longest such time.
const FAULTY_ANSWERS_SPANS: (Duration, Duration) = (Duration::from_secs(3), Duration::from_secs(9));
/// Share of seeds with such times.
const FAULTY_ANSWERS_PERCENT: u32 = 60;
/// Limits of the share of requests that targets then reject so that they may come again.
const REJECTED_PERCENT: (u64, u64) = (10, 40);
/// Limits of the share of answers of which a copy follows.
const REPEATED_PERCENT: (u64, u64) = (20, 80);
/// Upper limits of the time until the copy; with the last one it mostly comes before the next answer.
const REPEAT_LIMITS: [Duration; 2] = [Duration::from_millis(60), Duration::from_secs(5)];
/// Upper limit of the share of requests that run and get a status of rejections.
const UNSTATED_PERCENT_LIMIT: u64 = 10;
/// Distinguishes the generator of these times from those of the other faults.
const FAULTY_ANSWERS_SEED: u64 = 236 << 40;

/// Number that brittle targets name.
pub(crate) type BrittleNumber = &'static str;

/// The numbers that brittle targets name.
const BRITTLE_NUMBERS: [BrittleNumber; 3] = ["0.5", "2", "10"];

/// Part of a prompt that ends targets.
pub(crate) type CrashingPart = &'static str;

/// The parts that end targets; no sound prompt has one of them.
pub(crate) const CRASHING_PARTS: [CrashingPart; 2] = ["bad-1", "bad-2"];

/// Requests per second that a target says it takes from all processes together.
pub(crate) type NamedLimit = &'static str;

/// Limits that targets name; the last ones can't be kept as they stand.
const NAMED_LIMITS: [NamedLimit; 8] = ["0.3", "0.7", "1.5", "4", "12", "50", "0", "NaN"];

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
    /// New connections are refused, open ones live on.
    RefuseNew,
    /// New connections are refused, open ones are reset.
    Cut,
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
    /// The store is away until the fault ends, and comes back from a copy.
    ReturnToCopy(StoreReturn),
}

/// What happens around a return of the platform's store from a copy.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct StoreReturn {
    /// Age of the copy when the store goes away.
    pub(crate) age: Duration,
    /// Writes of others in that time, which are lost and not made again.
    pub(crate) lost_writes: u32,
    /// Time after the return after which the operator writes a lost configuration again.
    pub(crate) rewrite_after: Duration,
    /// Whether all registrations of targets have lapsed while the store was away.
    pub(crate) lapses: bool,
    /// Time after the return after which the operator changes the configuration.
    pub(crate) change_after: Duration,
    /// Whether the operator then changes routes, not API keys.
    pub(crate) changes_routes: bool,
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
    /// The links from the first processes, so many, to all targets are cut.
    CutOff { processes: usize, fault: LinkFault, span: Duration },
    /// A fault of the object API.
    Store { fault: ObjectApiFault, span: Duration },
    /// A target crashes, and is restarted under the same name, perhaps at another software version.
    RestartTarget { target: usize, version: SoftwareVersion },
    /// Another target is added in the place of one, which is drained and removed.
    ReplaceTarget { target: usize, version: SoftwareVersion },
    /// All targets are replaced by targets of a software version, one after another.
    Release { version: SoftwareVersion },
    /// Another writer adds the entry of a target, which names no software version, until the fault
    /// ends.
    UnversionedTarget { version: SoftwareVersion, span: Duration },
    /// A target breaks off answers, at any byte and in any way, until the fault ends.
    CutAnswers { target: usize, span: Duration },
    /// A target rejects requests and asks for a pause, until the fault ends.
    TargetPauses { target: usize, pause: Duration, span: Duration },
    /// A target says that it leaves, and is then replaced.
    TargetLeaves { target: usize, version: SoftwareVersion },
    /// Requests with one part of a prompt end each target that begins to answer them, until the fault
    /// ends.
    CrashingPart { part: CrashingPart, span: Duration },
    /// A request ends each target that runs it, and clients send it until the fault ends.
    CrashingRequest { kind: CallKind, method: &'static str, span: Duration },
    /// All targets end at the same moment.
    EndTargets,
    /// A target names a limit of requests per second in its answers, and another one from the middle
    /// of the fault on.
    LimitRequests { target: usize, limits: [NamedLimit; 2], span: Duration },
    /// All targets say that they are brittle, and have room for so many waiting requests and fall over
    /// from three seconds on, until the fault ends.
    BrittleTargets { number: BrittleNumber, room: usize, span: Duration },
    /// All targets reject requests so that they may come again, send copies of answers, and run requests
    /// that they answer with a status of rejections, until the fault ends.
    FaultyAnswers { faults: AnswerFaults, span: Duration },
    /// The operator adds an API key, or revokes the one that was added last.
    ChangeKeys,
}

impl PlannedFault {
    /// Returns whether the fault disturbs targets only, not processes or the platform.
    fn is_of_targets(&self) -> bool {
        !matches!(
            self,
            PlannedFault::Kill { .. }
                | PlannedFault::Terminate { .. }
                | PlannedFault::Reload { .. }
                | PlannedFault::Pause { .. }
                | PlannedFault::PlatformLink { .. }
                | PlannedFault::TargetLink { .. }
                | PlannedFault::CutOff { .. }
                | PlannedFault::Store { .. }
        )
    }
}

/// The fault plan of a seed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct FaultPlan {
    /// Software versions of the targets at the start.
    pub(crate) software_versions: Vec<SoftwareVersion>,
    /// Whether the processes can send messages to each other.
    pub(crate) has_peer_links: bool,
    /// Whether the processes, their links and the platform have faults too.
    pub(crate) has_process_faults: bool,
    /// The faults, each with its start time after the start of the plan.
    pub(crate) faults: Vec<(Duration, PlannedFault)>,
}

impl FaultPlan {
    /// Returns whether processes are cut off from all targets.
    pub(crate) fn has_cuts(&self) -> bool {
        self.faults.iter().any(|(_, fault)| matches!(fault, PlannedFault::CutOff { .. }))
    }

    /// Draws the plan of a seed, with faults that start within `window`. The same arguments give the
    /// same plan.
    pub(crate) fn draw(seed: u64, window: Duration, processes: usize, targets: usize) -> FaultPlan {
        let mut random = StdRng::seed_from_u64(seed);
        let mut versions = VersionDraw::open(seed);
        let software_versions = (0..targets).map(|_| versions.draw()).collect();
        let gap_limit = GAP_LIMITS[random.random_range(0..GAP_LIMITS.len())];
        let mut faults = Vec::new();
        if processes == 0 || targets == 0 {
            let (has_peer_links, has_process_faults) = (true, false);
            return FaultPlan { software_versions, has_peer_links, has_process_faults, faults };
        }
        let mut at = gap_limit.mul_f64(random.random());
        while at < window {
            faults.push((at, draw_fault(&mut random, &mut versions, processes, targets)));
            at += gap_limit.mul_f64(random.random());
        }
        let mut at = versions.draw_gap();
        while at < window {
            faults.push((at, versions.draw_fault(targets)));
            at += versions.draw_gap();
        }
        let mut random = StdRng::seed_from_u64(seed ^ ANSWER_SEED);
        let mut at = ANSWER_FAULT_GAP_LIMIT.mul_f64(random.random());
        while at < window {
            faults.push((at, draw_answer_fault(&mut random, &mut versions, targets)));
            at += ANSWER_FAULT_GAP_LIMIT.mul_f64(random.random());
        }
        let mut random = StdRng::seed_from_u64(seed ^ END_SEED);
        let has_peer_links = random.random_range(0..100) >= NO_PEER_LINKS_PERCENT;
        let has_process_faults = StdRng::seed_from_u64(seed ^ PROCESS_FAULTS_SEED)
            .random_range(0..100)
            >= NO_PROCESS_FAULTS_PERCENT;
        if !has_process_faults {
            faults.retain(|(_, fault)| fault.is_of_targets());
        }
        let mut at = END_FAULT_GAP_LIMIT.mul_f64(random.random());
        while at < window {
            faults.push((at, draw_end_fault(&mut random, targets)));
            at += END_FAULT_GAP_LIMIT.mul_f64(random.random());
        }
        faults.extend(draw_cuts(seed, window, processes));
        faults.extend(draw_crashing_requests(seed, window));
        faults.extend(draw_returns(seed, window));
        faults.extend(draw_brittle_time(seed, window));
        faults.extend(draw_faulty_answers(seed, window));
        faults.sort_by_key(|(at, _)| *at);
        FaultPlan { software_versions, has_peer_links, has_process_faults, faults }
    }
}

/// Draws what concerns software versions. Its generator is its own, so that the other faults of a
/// seed do not depend on it.
struct VersionDraw {
    random: StdRng,
    /// Number of software versions in use.
    versions: usize,
}

impl VersionDraw {
    fn open(seed: u64) -> VersionDraw {
        let mut random = StdRng::seed_from_u64(seed ^ VERSION_SEED);
        let versions = random.random_range(2..=SOFTWARE_VERSIONS.len());
        VersionDraw { random, versions }
    }

    fn draw(&mut self) -> SoftwareVersion {
        SOFTWARE_VERSIONS[self.random.random_range(0..self.versions)]
    }

    fn draw_gap(&mut self) -> Duration {
        VERSION_FAULT_GAP_LIMIT.mul_f64(self.random.random())
    }

    fn draw_fault(&mut self, targets: usize) -> PlannedFault {
        let version = self.draw();
        let target = self.random.random_range(0..targets);
        let span = draw_span(&mut self.random);
        match self.random.random_range(0..3) {
            0 => PlannedFault::Release { version },
            1 => PlannedFault::RestartTarget { target, version },
            _ => PlannedFault::UnversionedTarget { version, span },
        }
    }
}

fn draw_answer_fault(
    random: &mut StdRng,
    versions: &mut VersionDraw,
    targets: usize,
) -> PlannedFault {
    let (target, span) = (random.random_range(0..targets), draw_span(random));
    match random.random_range(0..4) {
        0 => {
            PlannedFault::TargetPauses { target, pause: PAUSE_LIMIT.mul_f64(random.random()), span }
        }
        1 => PlannedFault::TargetLeaves { target, version: versions.draw() },
        _ => PlannedFault::CutAnswers { target, span },
    }
}

fn draw_end_fault(random: &mut StdRng, targets: usize) -> PlannedFault {
    let part = CRASHING_PARTS[random.random_range(0..CRASHING_PARTS.len())];
    let (shortest, longest) = CRASHING_SPANS;
    let span = shortest + (longest - shortest).mul_f64(random.random());
    let target = random.random_range(0..targets);
    let mut limit = || NAMED_LIMITS[random.random_range(0..NAMED_LIMITS.len())];
    let limits = [limit(), limit()];
    match random.random_range(0..5) {
        0 => PlannedFault::EndTargets,
        1 | 2 => PlannedFault::LimitRequests { target, limits, span: span + LIMIT_SPAN },
        _ => PlannedFault::CrashingPart { part, span },
    }
}

/// Draws the cuts between processes and all targets: none in some seeds.
fn draw_cuts(seed: u64, window: Duration, processes: usize) -> Vec<(Duration, PlannedFault)> {
    let mut random = StdRng::seed_from_u64(seed ^ CUT_SEED);
    let mut faults = Vec::new();
    if random.random_range(0..100) >= CUT_PERCENT {
        return faults;
    }
    let (shortest, longest) = CUT_SPANS;
    let mut at = CUT_GAP_LIMIT.mul_f64(random.random());
    while at < window {
        let span = shortest + (longest - shortest).mul_f64(random.random());
        let fault = if random.random() { LinkFault::Cut } else { LinkFault::RefuseNew };
        let processes = random.random_range(1..=processes);
        faults.push((at, PlannedFault::CutOff { processes, fault, span }));
        at += span + CUT_GAP_LIMIT.mul_f64(random.random());
    }
    faults
}

/// Draws the requests that end targets: none in some seeds.
fn draw_crashing_requests(seed: u64, window: Duration) -> Vec<(Duration, PlannedFault)> {
    let mut random = StdRng::seed_from_u64(seed ^ CRASHING_REQUEST_SEED);
    let mut faults = Vec::new();
    if random.random_range(0..100) >= CRASHING_REQUEST_PERCENT {
        return faults;
    }
    let (shortest, longest) = CRASHING_REQUEST_SPANS;
    let mut at = CRASHING_REQUEST_GAP_LIMIT.mul_f64(random.random());
    while at < window {
        let kind = CallKind::CRASHING[random.random_range(0..CallKind::CRASHING.len())];
        let method = if random.random() { "GET" } else { "POST" };
        let span = shortest + (longest - shortest).mul_f64(random.random());
        faults.push((at, PlannedFault::CrashingRequest { kind, method, span }));
        at += span + CRASHING_REQUEST_GAP_LIMIT.mul_f64(random.random());
    }
    faults
}

/// Draws the returns of the platform's store from a copy: none in some seeds.
fn draw_returns(seed: u64, window: Duration) -> Vec<(Duration, PlannedFault)> {
    let mut random = StdRng::seed_from_u64(seed ^ RETURN_SEED);
    let mut faults = Vec::new();
    if random.random_range(0..100) >= RETURN_PERCENT {
        return faults;
    }
    let (youngest, oldest) = COPY_AGES;
    let mut at = RETURN_GAP_LIMIT.mul_f64(random.random());
    while at < window {
        let span = AWAY_LIMIT.mul_f64(random.random());
        let age = youngest + (oldest - youngest).mul_f64(random.random());
        let fault = StoreReturn {
            age,
            lost_writes: random.random_range(1..=LOST_WRITES_LIMIT),
            rewrite_after: REWRITE_LIMIT.mul_f64(random.random()),
            lapses: random.random_range(0..100) < LAPSE_PERCENT,
            change_after: CHANGE_LIMIT.mul_f64(random.random()),
            changes_routes: random.random(),
        };
        let fault = ObjectApiFault::ReturnToCopy(fault);
        faults.push((at, PlannedFault::Store { fault, span }));
        let is_followed = random.random_range(0..100) < SECOND_RETURN_PERCENT;
        let gap_limit = if is_followed { SECOND_RETURN_LIMIT } else { RETURN_GAP_LIMIT };
        at += age + span + gap_limit.mul_f64(random.random());
    }
    faults
}

/// Draws a time in which targets are brittle, in the first half of the window: none in some seeds.
fn draw_brittle_time(seed: u64, window: Duration) -> Option<(Duration, PlannedFault)> {
    let mut random = StdRng::seed_from_u64(seed ^ BRITTLE_SEED);
    if random.random_range(0..100) >= BRITTLE_PERCENT {
        return None;
    }
    let (shortest, longest) = BRITTLE_SPANS;
    let at = window.mul_f64(random.random::<f64>() / 2.0);
    let span = shortest + (longest - shortest).mul_f64(random.random());
    let number = BRITTLE_NUMBERS[random.random_range(0..BRITTLE_NUMBERS.len())];
    let room = BRITTLE_ROOMS[random.random_range(0..BRITTLE_ROOMS.len())];
    Some((at, PlannedFault::BrittleTargets { number, room, span }))
}

/// Draws the times with faulty answers: none in some seeds.
fn draw_faulty_answers(seed: u64, window: Duration) -> Vec<(Duration, PlannedFault)> {
    let mut random = StdRng::seed_from_u64(seed ^ FAULTY_ANSWERS_SEED);
    let mut faults = Vec::new();
    if random.random_range(0..100) >= FAULTY_ANSWERS_PERCENT {
        return faults;
    }
    let (shortest, longest) = FAULTY_ANSWERS_SPANS;
    let mut at = FAULTY_ANSWERS_GAP_LIMIT.mul_f64(random.random());
    while at < window {
        let span = shortest + (longest - shortest).mul_f64(random.random());
        let is_unstated: bool = random.random();
        let unstated_percent = random.random_range(1..=UNSTATED_PERCENT_LIMIT);
        let answers = AnswerFaults {
            rejected_percent: random.random_range(REJECTED_PERCENT.0..=REJECTED_PERCENT.1),
            repeated_percent: random.random_range(REPEATED_PERCENT.0..=REPEATED_PERCENT.1),
            repeat_limit: REPEAT_LIMITS[random.random_range(0..REPEAT_LIMITS.len())],
            unstated_percent: if is_unstated { unstated_percent } else { 0 },
        };
        faults.push((at, PlannedFault::FaultyAnswers { faults: answers, span }));
        at += span + FAULTY_ANSWERS_GAP_LIMIT.mul_f64(random.random());
    }
    faults
}

fn draw_span(random: &mut StdRng) -> Duration {
    FAULT_FLOOR + (FAULT_LIMIT - FAULT_FLOOR).mul_f64(random.random())
}

fn draw_fault(
    random: &mut StdRng,
    versions: &mut VersionDraw,
    processes: usize,
    targets: usize,
) -> PlannedFault {
    let process = random.random_range(0..processes);
    let target = random.random_range(0..targets);
    let span = draw_span(random);
    let link = draw_link_fault(random);
    match random.random_range(0..13) {
        0 => PlannedFault::Kill { process },
        1 | 2 => PlannedFault::Terminate { process },
        3 => PlannedFault::Reload { process },
        4 => PlannedFault::Pause { process, span },
        5 | 6 => PlannedFault::PlatformLink { process, fault: link, span },
        7 | 8 => PlannedFault::TargetLink { target, fault: link, span },
        9 => PlannedFault::Store { fault: draw_store_fault(random), span },
        10 => PlannedFault::RestartTarget { target, version: versions.draw() },
        11 => PlannedFault::ReplaceTarget { target, version: versions.draw() },
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
