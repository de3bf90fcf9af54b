//! Plays load in virtual time on targets of unequal speed: many processes, each of which sees a given target
//! about every 13 s, place requests, and the test counts those answered within
//! their latency goal.

use super::{
    Assignment, MemorySample, Placement, PlacementDecision, PlacementPolicy, PlacementPrompt,
    PlacementRequest, SpeedLearning, TargetOutcome,
};
use skylarkpick_interface::{
    ContextMemory, PromptPart, RegisteredTarget, ReportedLoad, ServiceKind,
};
use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    time::Duration,
};

const SERVICE: &str = "engines";
const MODEL: &str = "m";
const TICK_MS: u64 = 2;
const RETRY_MS: u64 = 24;
/// Interval of the samples of an engine's memory, between that of used engines and of all.
const SAMPLE_MS: u64 = 500;
/// Time from which requests count: before, speeds are being learned.
const COUNTED_FROM_MS: u64 = 15_000;
/// Prompts of the two kinds: tokens to prefill, time of the rest of the response, latency goal.
const LONG: Kind = Kind { prefill_tokens: 5_500, decode_ms: 80.0, goal_ms: 600 };
const SHORT: Kind = Kind { prefill_tokens: 180, decode_ms: 400.0, goal_ms: 400 };
/// Call to a plain service.
const CALL: Kind = Kind { prefill_tokens: 0, decode_ms: 70.0, goal_ms: 200 };
const PREFILL_TOKENS_PER_MS: f64 = 40.8;

#[derive(Clone, Copy)]
struct Kind {
    prefill_tokens: u64,
    decode_ms: f64,
    goal_ms: u64,
}

/// How the speed of targets differs.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Speeds {
    Alike,
    /// Every third is 1.3 times slower.
    Thirds,
    /// A seventh in turn is 2.5 times slower, for 0.6 s.
    Phases,
    /// Both.
    ThirdsAndPhases,
    /// One is four times slower from 25 s to 45 s.
    OneQuarter,
    /// All become slower from half of their slots on.
    HalfSlots,
}

#[derive(Clone, Copy)]
struct Play {
    targets: u16,
    slots: u32,
    processes: usize,
    /// Requests per second, over all processes; long and short prompts, or calls.
    long_per_second: f64,
    short_per_second: f64,
    calls_per_second: f64,
    speeds: Speeds,
    seconds: u64,
    /// Whether targets report the momentary figure.
    has_reports: bool,
    /// Whether the reported figure contains the lasting difference.
    reports_lasting: bool,
}

/// The planned engines in a fifth of their number, under a higher load for each; each process sees a given
/// target about every 13 s.
const ENGINES: Play = Play {
    targets: 28,
    slots: 12,
    processes: 61,
    long_per_second: 90.0,
    short_per_second: 46.0,
    calls_per_second: 0.0,
    speeds: Speeds::Alike,
    seconds: 40,
    has_reports: true,
    reports_lasting: false,
};

/// Fewer prompts, which unequal speeds don't overload.
const HALF_SLOTS: Play =
    Play { long_per_second: 60.0, short_per_second: 30.0, speeds: Speeds::HalfSlots, ..ENGINES };

/// The plain service.
const CALLS: Play = Play {
    targets: 3,
    slots: 6,
    long_per_second: 0.0,
    short_per_second: 0.0,
    calls_per_second: 179.0,
    ..ENGINES
};

/// Which pieces are used.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Pieces {
    learns: bool,
    uses_reports: bool,
}

const OFF: Pieces = Pieces { learns: false, uses_reports: false };
const TIMES_AND_REPORTS: Pieces = Pieces { learns: true, uses_reports: true };

struct Run {
    request: usize,
    prefill_ms: f64,
    decode_ms: f64,
    has_responded: bool,
}

#[derive(Default)]
struct Target {
    waiting: VecDeque<Run>,
    running: Vec<Run>,
}

struct Request {
    process: usize,
    kind: Kind,
    received_ms: u64,
    sent_ms: u64,
    assignment: Option<Assignment>,
}

struct Simulation {
    play: Play,
    pieces: Pieces,
    processes: Vec<Placement>,
    targets: Vec<Target>,
    requests: Vec<Request>,
    waiting: Vec<usize>,
    random: u64,
    counted: u32,
    in_time: u32,
}

fn at(time_ms: u64) -> Duration {
    Duration::from_millis(time_ms + 1)
}

fn registered(index: u16, slots: u32) -> RegisteredTarget {
    RegisteredTarget {
        id: index.to_string(),
        service: SERVICE.to_string(),
        address: SocketAddr::from(([10, 1, 0, u8::try_from(index).unwrap()], 80)),
        data_centre: "a".to_string(),
        slots,
        is_draining: false,
        weights: BTreeMap::from([(MODEL.to_string(), 1)]),
        started_at_ms: 1,
        software_version: None,
        cold_remaining: None,
    }
}

fn open_process(play: &Play, learning: SpeedLearning) -> Placement {
    let policy = PlacementPolicy { target_speeds: learning, ..PlacementPolicy::default() };
    let mut placement = Placement::open_with_policy(Duration::from_secs(10), policy);
    let kind = if play.calls_per_second > 0.0 {
        ServiceKind::Plain
    } else {
        ServiceKind::Engines(ContextMemory {
            capacity_tokens: 41_159,
            token_size_bytes: 18_432,
            link_megabits_per_second: 10_000.0,
            first_byte_delay: Duration::ZERO,
            event_readers_limit: 12,
        })
    };
    placement.set_services(&BTreeMap::from([(SERVICE.to_string(), kind)]));
    for index in 0..play.targets {
        placement.set_target(registered(index, play.slots));
    }
    placement
}

impl Simulation {
    fn open(play: Play, pieces: Pieces, seed: u64) -> Simulation {
        let learning = if pieces == OFF { SpeedLearning::Never } else { SpeedLearning::Always };
        Simulation {
            play,
            pieces,
            processes: (0..play.processes).map(|_| open_process(&play, learning)).collect(),
            targets: (0..play.targets).map(|_| Target::default()).collect(),
            requests: Vec::new(),
            waiting: Vec::new(),
            random: seed,
            counted: 0,
            in_time: 0,
        }
    }

    fn random(&mut self) -> f64 {
        self.random = self.random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        (self.random >> 33) as f64 / f64::from(1_u32 << 31)
    }

    fn lasting(&self, target: usize, now_ms: u64) -> f64 {
        match self.play.speeds {
            Speeds::Thirds | Speeds::ThirdsAndPhases if target.is_multiple_of(3) => 1.3,
            Speeds::OneQuarter if target == 4 && (25_000..45_000).contains(&now_ms) => 4.0,
            _ => 1.0,
        }
    }

    fn momentary(&self, target: usize, now_ms: u64) -> f64 {
        let has_phases = matches!(self.play.speeds, Speeds::Phases | Speeds::ThirdsAndPhases);
        let phase = usize::try_from(now_ms / 600).unwrap();
        // A different seventh in each phase.
        let is_slow =
            (target.wrapping_mul(2_654_435_761) ^ phase.wrapping_mul(40_503)).is_multiple_of(7);
        if has_phases && is_slow { 2.5 } else { 1.0 }
    }

    fn slowness(&self, target: usize, now_ms: u64) -> f64 {
        let running = self.targets[target].running.len() as f64;
        let half = f64::from(self.play.slots) / 2.0;
        let crowding = match self.play.speeds {
            Speeds::HalfSlots => 1.0 + 3.0 * ((running - half) / half).max(0.0),
            _ => 1.0,
        };
        self.lasting(target, now_ms) * self.momentary(target, now_ms) * crowding
    }

    /// Plays the load, and returns the share of the requests that were answered within their goal.
    fn play(mut self) -> f64 {
        for now_ms in (0..self.play.seconds * 1_000).step_by(usize::try_from(TICK_MS).unwrap()) {
            let Play { long_per_second, short_per_second, calls_per_second, .. } = self.play;
            for (kind, rate) in
                [(LONG, long_per_second), (SHORT, short_per_second), (CALL, calls_per_second)]
            {
                if self.random() < rate * TICK_MS as f64 / 1_000.0 {
                    self.arrive(kind, now_ms);
                }
            }
            if now_ms.is_multiple_of(SAMPLE_MS) {
                self.sample_memory(now_ms);
            }
            self.place_waiting(now_ms);
            self.run_targets(now_ms);
        }
        f64::from(self.in_time) / f64::from(self.counted.max(1))
    }

    fn arrive(&mut self, kind: Kind, now_ms: u64) {
        let process = (self.random() * self.processes.len() as f64) as usize;
        // Requests that can't be answered before the end of the play don't count.
        if self.is_counted(now_ms) {
            self.counted += 1;
        }
        self.waiting.push(self.requests.len());
        self.requests.push(Request {
            process,
            kind,
            received_ms: now_ms,
            sent_ms: 0,
            assignment: None,
        });
    }

    fn is_counted(&self, received_ms: u64) -> bool {
        received_ms >= COUNTED_FROM_MS && received_ms + 1_000 < self.play.seconds * 1_000
    }

    /// Tells all processes how much of the engines' memory is in use, as load samplers do.
    fn sample_memory(&mut self, now_ms: u64) {
        for (index, target) in self.targets.iter().enumerate() {
            let tokens = |run: &Run| self.requests[run.request].kind.prefill_tokens + 50;
            let sample = MemorySample {
                used_tokens: target.running.iter().map(tokens).sum(),
                waiting: u32::try_from(target.waiting.len()).unwrap(),
            };
            for process in &mut self.processes {
                process.observe_memory(&index.to_string(), sample, at(now_ms));
            }
        }
    }

    fn place_waiting(&mut self, now_ms: u64) {
        for index in std::mem::take(&mut self.waiting) {
            let request = &self.requests[index];
            let age_ms = now_ms - request.received_ms;
            if !age_ms.is_multiple_of(RETRY_MS) {
                self.waiting.push(index);
                continue;
            }
            let placement_request = placement_request(&request.kind, index);
            let process = &mut self.processes[request.process];
            match process.choose(&placement_request, at(now_ms)) {
                PlacementDecision::Assigned(assignment) => {
                    process.begin(&assignment, placement_request.prompt.as_ref(), at(now_ms));
                    let target: usize = assignment.target.parse().unwrap();
                    let request = &mut self.requests[index];
                    request.sent_ms = now_ms;
                    request.assignment = Some(*assignment);
                    let prefill_ms = request.kind.prefill_tokens as f64 / PREFILL_TOKENS_PER_MS;
                    self.targets[target].waiting.push_back(Run {
                        request: index,
                        prefill_ms,
                        decode_ms: request.kind.decode_ms,
                        has_responded: false,
                    });
                }
                PlacementDecision::Unplaced(_) if age_ms < request.kind.goal_ms => {
                    self.waiting.push(index);
                }
                PlacementDecision::Unplaced(_) => {}
            }
        }
    }

    fn run_targets(&mut self, now_ms: u64) {
        for index in 0..self.targets.len() {
            let work_ms = TICK_MS as f64 / self.slowness(index, now_ms);
            let slots = usize::try_from(self.play.slots).unwrap();
            let target = &mut self.targets[index];
            while target.running.len() < slots
                && let Some(run) = target.waiting.pop_front()
            {
                target.running.push(run);
            }
            let (mut responded, mut complete) = (Vec::new(), Vec::new());
            // One prompt at a time is prefilled; responses are written side by side.
            let mut prefill_work_ms = work_ms;
            for run in &mut target.running {
                if run.prefill_ms > 0.0 {
                    let part_ms = run.prefill_ms.min(prefill_work_ms);
                    run.prefill_ms -= part_ms;
                    prefill_work_ms -= part_ms;
                    continue;
                }
                if !run.has_responded {
                    run.has_responded = true;
                    responded.push(run.request);
                }
                run.decode_ms -= work_ms;
                if run.decode_ms <= 0.0 {
                    complete.push(run.request);
                }
            }
            let load = self.load(index, now_ms);
            self.targets[index].running.retain(|run| run.decode_ms > 0.0);
            let is_plain = self.play.calls_per_second > 0.0;
            for request in responded.into_iter().filter(|_| !is_plain) {
                self.note_response(request, index, load, now_ms);
            }
            for request in complete {
                if is_plain {
                    self.note_response(request, index, load, now_ms);
                }
                let Request { process, ref assignment, sent_ms, .. } = self.requests[request];
                let elapsed = Duration::from_millis(now_ms - sent_ms);
                let process = &mut self.processes[process];
                process.end(
                    assignment.as_ref().unwrap(),
                    TargetOutcome::Served,
                    elapsed,
                    at(now_ms),
                );
            }
        }
    }

    fn load(&self, target: usize, now_ms: u64) -> ReportedLoad {
        let state = &self.targets[target];
        let lasting = if self.play.reports_lasting { self.lasting(target, now_ms) } else { 1.0 };
        let percent = (self.momentary(target, now_ms) * lasting * 100.0) as u32;
        ReportedLoad {
            running: u32::try_from(state.running.len()).unwrap(),
            waiting: u32::try_from(state.waiting.len()).unwrap(),
            slots: self.play.slots,
            slowness_percent: (self.play.has_reports && self.pieces.uses_reports)
                .then_some(percent),
        }
    }

    fn note_response(&mut self, request: usize, target: usize, load: ReportedLoad, now_ms: u64) {
        let Request { process: sender, ref assignment, sent_ms, received_ms, kind } =
            self.requests[request];
        let process = &mut self.processes[sender];
        process.observe_load(&target.to_string(), load, at(now_ms));
        let assignment = assignment.as_ref().unwrap();
        let elapsed = Duration::from_millis(now_ms - sent_ms);
        if assignment.weight_version.is_some() {
            process.note_first_response(assignment, elapsed);
            if self.pieces.learns {
                process.observe_prompt_speed(assignment, elapsed, at(now_ms));
            }
        }
        if self.is_counted(received_ms) && now_ms - received_ms <= kind.goal_ms {
            self.in_time += 1;
        }
    }
}

fn placement_request(kind: &Kind, index: usize) -> PlacementRequest {
    let prompt = (kind.prefill_tokens > 0).then(|| PlacementPrompt {
        model: MODEL.to_string(),
        parts: vec![PromptPart { id: format!("p{index}"), tokens: kind.prefill_tokens }],
        prompt_tokens: kind.prefill_tokens,
        answer_tokens_limit: 50,
        isolated_account: None,
    });
    PlacementRequest {
        service: SERVICE.to_string(),
        data_centre: "a".to_string(),
        prompt,
        rank: 0,
        is_continuation: false,
        software_version: None,
        avoid: Vec::new(),
        max_wait: Duration::from_millis(kind.goal_ms),
    }
}

/// Guards against learned speeds that make a load worse, also where all targets are alike: processes that
/// believe the same leave and choose the same targets. The floors are a little below the measured shares,
/// which docs/design/target-speeds.md lists.
#[test]
fn more_requests_are_answered_in_time_with_learned_speeds() {
    struct Case {
        load: &'static str,
        play: Play,
        off_limit: f64,
        on_floor: f64,
    }
    let of = |speeds| Play { speeds, ..ENGINES };
    let calls = |speeds| Play { speeds, ..CALLS };
    let cases = [
        Case { load: "alike", play: of(Speeds::Alike), off_limit: 0.85, on_floor: 0.97 },
        Case { load: "thirds", play: of(Speeds::Thirds), off_limit: 0.85, on_floor: 0.97 },
        Case { load: "phases", play: of(Speeds::Phases), off_limit: 0.85, on_floor: 0.95 },
        Case { load: "both", play: of(Speeds::ThirdsAndPhases), off_limit: 0.85, on_floor: 0.95 },
        Case {
            load: "one at a quarter",
            play: of(Speeds::OneQuarter),
            off_limit: 0.85,
            on_floor: 0.97,
        },
        Case {
            load: "slow from half of the slots",
            play: HALF_SLOTS,
            off_limit: 0.6,
            on_floor: 0.95,
        },
        Case { load: "calls, alike", play: calls(Speeds::Alike), off_limit: 1.0, on_floor: 0.98 },
        Case {
            load: "calls, thirds and phases",
            play: calls(Speeds::ThirdsAndPhases),
            off_limit: 0.87,
            on_floor: 0.87,
        },
    ];
    for Case { load, play, off_limit, on_floor } in cases {
        let share = |pieces| Simulation::open(play, pieces, 1).play();
        let (off, on) = (share(OFF), share(TIMES_AND_REPORTS));
        assert!(
            off <= off_limit,
            "{load}: {off:.3} in time without speeds: the load shows nothing"
        );
        assert!(on >= on_floor, "{load}: {on:.3} in time with speeds, {off:.3} without");
    }
}
