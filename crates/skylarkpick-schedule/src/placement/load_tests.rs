//! Plays load in virtual time: several processes, whose knowledge is late, place prompts on engines
//! with limited memory, and the test checks what clients get.

use super::{
    Assignment, MemorySample, Placement, PlacementDecision, PlacementPolicy, PlacementPrompt,
    PlacementRequest, TargetOutcome, UnplacedReason,
};
use skylarkpick_interface::{
    ContextMemory, PartChange, PartChanges, PromptPart, RegisteredTarget, ReportedLoad, ServiceKind,
};
use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    time::Duration,
};

const SERVICE: &str = "engines";
const MODEL: &str = "m";
const STORE: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 99);
/// Interval of the clients' and the engines' decisions.
const TICK_MS: u64 = 1;
/// Interval at which a waiting request is placed again.
const RETRY_MS: u64 = 25;
/// Interval of the samples of an engine's memory, and the age of their figures.
const SAMPLE_MS: u64 = 125;
const SAMPLE_LAG_MS: usize = 100;
const OBJECTIVE_MS: u64 = 600;
/// Time without a first response after which a client disconnects.
const CLIENT_TIMEOUT_MS: u64 = 2_400;

/// Engines and load of a played deployment.
#[derive(Clone, Copy)]
struct Deployment {
    engines: u16,
    processes: usize,
    sessions: u64,
    prefill_tokens_per_ms: f64,
    step_ms: f64,
    context_ms_per_token: f64,
    memory_tokens: u64,
    token_size_bytes: u64,
    shared_tokens: u64,
    own_tokens: u64,
    answer_tokens: u64,
    requests_per_second: f64,
}

/// Tokens that an engine prefills at most in one step.
const CHUNK_TOKENS: u64 = 2_048;

/// The customer's engines, in a smaller number.
const LARGE_CONTEXTS: Deployment = Deployment {
    engines: 4,
    processes: 6,
    sessions: 96,
    prefill_tokens_per_ms: 140.0,
    step_ms: 2.2,
    context_ms_per_token: 0.000_017_5,
    memory_tokens: 110_000,
    token_size_bytes: 131_072,
    shared_tokens: 9_000,
    own_tokens: 3_000,
    answer_tokens: 380,
    requests_per_second: 14.0,
};

struct Run {
    request: usize,
    prefill_tokens: u64,
    fetched_tokens: u64,
    fetched_at_ms: f64,
    answer_tokens: u64,
    has_responded: bool,
}

/// An engine that batches steps. A run needs memory for all its tokens before it starts; fetched
/// context needs memory as soon as it arrives, and is lost unless its run starts at once.
struct Engine {
    deployment: Deployment,
    waiting: VecDeque<Run>,
    running: Vec<Run>,
    step_until_ms: f64,
    /// Memory in use and waiting requests at each of the last ticks, newest first.
    history: VecDeque<MemorySample>,
}

impl Engine {
    fn open(deployment: Deployment) -> Engine {
        Engine {
            deployment,
            waiting: VecDeque::new(),
            running: Vec::new(),
            step_until_ms: 0.0,
            history: VecDeque::new(),
        }
    }

    fn run_tokens(&self) -> u64 {
        let Deployment { shared_tokens, own_tokens, answer_tokens, .. } = self.deployment;
        shared_tokens + own_tokens + answer_tokens
    }

    fn used_tokens(&self) -> u64 {
        self.running.len() as u64 * self.run_tokens()
    }

    fn admit(&mut self, now_ms: f64) {
        while let Some(first) = self.waiting.front() {
            let is_fetching = first.fetched_at_ms > now_ms;
            if is_fetching || self.used_tokens() + self.run_tokens() > self.deployment.memory_tokens
            {
                return;
            }
            let Some(mut run) = self.waiting.pop_front() else { return };
            let waited_ms = now_ms - run.fetched_at_ms;
            if run.fetched_tokens > 0 && waited_ms > 50.0 {
                run.prefill_tokens += run.fetched_tokens;
            }
            self.running.push(run);
        }
    }

    /// Runs the engine up to `now_ms`. Returns the requests that got their first token, and those
    /// that are complete.
    fn advance(&mut self, now_ms: f64) -> (Vec<usize>, Vec<usize>) {
        let (mut responded, mut complete) = (Vec::new(), Vec::new());
        let sample = MemorySample {
            used_tokens: self.used_tokens(),
            waiting: u32::try_from(self.waiting.len()).unwrap(),
        };
        self.history.push_front(sample);
        self.history.truncate(SAMPLE_LAG_MS + 1);
        if now_ms < self.step_until_ms {
            return (responded, complete);
        }
        self.admit(now_ms);
        let mut chunk = CHUNK_TOKENS;
        for run in &mut self.running {
            if run.prefill_tokens > 0 {
                let part = run.prefill_tokens.min(chunk);
                run.prefill_tokens -= part;
                chunk -= part;
                continue;
            }
            if !run.has_responded {
                run.has_responded = true;
                responded.push(run.request);
            }
            run.answer_tokens -= 1;
            if run.answer_tokens == 0 {
                complete.push(run.request);
            }
        }
        let prefilled = (CHUNK_TOKENS - chunk) as f64;
        let Deployment { step_ms, context_ms_per_token, prefill_tokens_per_ms, .. } =
            self.deployment;
        self.step_until_ms = now_ms
            + step_ms
            + self.used_tokens() as f64 * context_ms_per_token
            + prefilled / prefill_tokens_per_ms;
        self.running.retain(|run| run.answer_tokens > 0);
        (responded, complete)
    }

    fn cancel(&mut self, request: usize) {
        self.waiting.retain(|run| run.request != request);
        self.running.retain(|run| run.request != request);
    }

    fn load(&self) -> ReportedLoad {
        ReportedLoad {
            running: u32::try_from(self.running.len()).unwrap(),
            waiting: u32::try_from(self.waiting.len()).unwrap(),
            slots: 48,
            slowness_percent: None,
        }
    }
}

struct ClientRequest {
    process: usize,
    session: u64,
    received_ms: u64,
    assignment: Option<Assignment>,
    sent_ms: u64,
    state: RequestState,
}

#[derive(Clone, Copy, Eq, PartialEq)]
enum RequestState {
    Waiting,
    Sent,
    Responded,
    Ended,
}

/// What the clients of one second got.
#[derive(Clone, Copy, Debug, Default)]
struct SecondResult {
    requests: u32,
    in_time: u32,
    refused: u32,
}

struct Simulation {
    deployment: Deployment,
    processes: Vec<Placement>,
    engines: Vec<Engine>,
    requests: Vec<ClientRequest>,
    seconds: Vec<SecondResult>,
    random: u64,
}

fn engine_address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, u8::try_from(index).unwrap()], 80))
}

fn milliseconds(time_ms: u64) -> Duration {
    Duration::from_millis(time_ms)
}

impl Simulation {
    fn open(deployment: Deployment, policy: PlacementPolicy, seed: u64) -> Simulation {
        let process = || open_process(deployment, policy);
        Simulation {
            deployment,
            processes: (0..deployment.processes).map(|_| process()).collect(),
            engines: (0..deployment.engines).map(|_| Engine::open(deployment)).collect(),
            requests: Vec::new(),
            seconds: Vec::new(),
            random: seed,
        }
    }

    /// Returns a random number in [0, 1).
    fn random(&mut self) -> f64 {
        self.random = self.random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        (self.random >> 33) as f64 / f64::from(1_u32 << 31)
    }

    /// Plays the load for some seconds. The rate is multiplied by `burst_factor` in the seconds of
    /// `burst`.
    fn play(&mut self, seconds: u64, burst: std::ops::Range<u64>, burst_factor: f64) {
        self.seconds = vec![SecondResult::default(); usize::try_from(seconds).unwrap()];
        for now_ms in (0..seconds * 1_000).step_by(usize::try_from(TICK_MS).unwrap()) {
            let factor = if burst.contains(&(now_ms / 1_000)) { burst_factor } else { 1.0 };
            let rate = self.deployment.requests_per_second * factor * TICK_MS as f64 / 1_000.0;
            if self.random() < rate {
                self.arrive(now_ms);
            }
            self.refresh_store(now_ms);
            self.place_waiting(now_ms);
            self.run_engines(now_ms);
            self.disconnect_clients(now_ms);
            if now_ms.is_multiple_of(SAMPLE_MS) {
                self.sample_memory(now_ms);
            }
        }
    }

    fn arrive(&mut self, now_ms: u64) {
        let process = (self.random() * self.processes.len() as f64) as usize;
        let session = (self.random() * self.deployment.sessions as f64) as u64;
        self.seconds[usize::try_from(now_ms / 1_000).unwrap()].requests += 1;
        self.requests.push(ClientRequest {
            process,
            session,
            received_ms: now_ms,
            assignment: None,
            sent_ms: 0,
            state: RequestState::Waiting,
        });
    }

    /// Keeps the store fresh in all processes.
    fn refresh_store(&mut self, now_ms: u64) {
        if now_ms.is_multiple_of(500) {
            for process in &mut self.processes {
                let changes = PartChanges { epoch: 1, next: 1, ..PartChanges::default() };
                process.parts.apply(&STORE, &changes, milliseconds(now_ms));
            }
        }
    }

    fn placement_request(&self, request: &ClientRequest) -> PlacementRequest {
        let Deployment { shared_tokens, own_tokens, answer_tokens, .. } = self.deployment;
        let part = |id: String, tokens| PromptPart { id, tokens };
        PlacementRequest {
            service: SERVICE.to_string(),
            data_centre: "a".to_string(),
            prompt: Some(PlacementPrompt {
                model: MODEL.to_string(),
                parts: vec![
                    part(format!("s{}", request.session), shared_tokens),
                    part("own".to_string(), own_tokens),
                ],
                prompt_tokens: shared_tokens + own_tokens,
                answer_tokens_limit: answer_tokens,
                isolated_account: None,
            }),
            rank: 0,
            is_continuation: false,
            software_version: None,
            avoid: Vec::new(),
            max_wait: Duration::from_secs(10),
        }
    }

    fn place_waiting(&mut self, now_ms: u64) {
        for index in 0..self.requests.len() {
            let request = &self.requests[index];
            let age_ms = now_ms - request.received_ms;
            if request.state != RequestState::Waiting || !age_ms.is_multiple_of(RETRY_MS) {
                continue;
            }
            let placement_request = self.placement_request(request);
            let process = request.process;
            let patience_ms =
                OBJECTIVE_MS as f64 * self.processes[process].policy().capacity_wait_share;
            match self.processes[process].choose(&placement_request, milliseconds(now_ms)) {
                PlacementDecision::Assigned(assignment) => {
                    self.send(index, *assignment, &placement_request, now_ms);
                }
                PlacementDecision::Unplaced(UnplacedReason::Full { .. })
                    if (age_ms as f64) < patience_ms => {}
                PlacementDecision::Unplaced(_) => {
                    self.second(index).refused += 1;
                    self.requests[index].state = RequestState::Ended;
                }
            }
        }
    }

    fn send(
        &mut self,
        index: usize,
        assignment: Assignment,
        placement_request: &PlacementRequest,
        now_ms: u64,
    ) {
        let request = &mut self.requests[index];
        let process = &mut self.processes[request.process];
        process.begin(&assignment, placement_request.prompt.as_ref(), milliseconds(now_ms));
        let engine: usize = assignment.target.parse().unwrap();
        let is_fetched = !assignment.transfers.is_empty();
        let Deployment { shared_tokens, token_size_bytes, answer_tokens, .. } = self.deployment;
        let transfer_ms = (shared_tokens * token_size_bytes * 8) as f64 / 550e6 + 9.0;
        self.engines[engine].waiting.push_back(Run {
            request: index,
            prefill_tokens: assignment.prefill_tokens,
            fetched_tokens: if is_fetched { shared_tokens } else { 0 },
            fetched_at_ms: now_ms as f64 + if is_fetched { transfer_ms } else { 1.0 },
            answer_tokens,
            has_responded: false,
        });
        request.sent_ms = now_ms;
        request.assignment = Some(assignment);
        request.state = RequestState::Sent;
    }

    fn second(&mut self, index: usize) -> &mut SecondResult {
        let second = self.requests[index].received_ms / 1_000;
        &mut self.seconds[usize::try_from(second).unwrap()]
    }

    fn run_engines(&mut self, now_ms: u64) {
        for engine in 0..self.engines.len() {
            let (responded, complete) = self.engines[engine].advance(now_ms as f64);
            let load = self.engines[engine].load();
            for index in responded {
                let request = &mut self.requests[index];
                let process = &mut self.processes[request.process];
                let assignment = request.assignment.as_ref().unwrap();
                process.observe_load(&assignment.target, load, milliseconds(now_ms));
                process.note_first_response(assignment, milliseconds(now_ms - request.sent_ms));
                request.state = RequestState::Responded;
                if now_ms - request.received_ms <= OBJECTIVE_MS {
                    self.second(index).in_time += 1;
                }
            }
            for index in complete {
                self.end(index, TargetOutcome::Served, now_ms);
            }
        }
    }

    fn end(&mut self, index: usize, outcome: TargetOutcome, now_ms: u64) {
        let request = &mut self.requests[index];
        let process = &mut self.processes[request.process];
        let assignment = request.assignment.as_ref().unwrap();
        if request.state == RequestState::Sent {
            process.end_prefill(assignment);
        }
        let elapsed = milliseconds(now_ms - request.sent_ms);
        process.end(assignment, outcome, elapsed, milliseconds(now_ms));
        request.state = RequestState::Ended;
    }

    fn disconnect_clients(&mut self, now_ms: u64) {
        for index in 0..self.requests.len() {
            let request = &self.requests[index];
            let is_late = now_ms - request.received_ms >= CLIENT_TIMEOUT_MS;
            if request.state == RequestState::Sent && is_late {
                let assignment = request.assignment.as_ref().unwrap();
                let engine: usize = assignment.target.parse().unwrap();
                self.engines[engine].cancel(index);
                self.end(index, TargetOutcome::Unknown, now_ms);
            }
        }
    }

    fn sample_memory(&mut self, now_ms: u64) {
        for (index, engine) in self.engines.iter().enumerate() {
            let Some(sample) = engine.history.back() else { continue };
            for process in &mut self.processes {
                process.observe_memory(&index.to_string(), *sample, milliseconds(now_ms));
            }
        }
    }

    /// Returns the share of the requests of some seconds that were answered in time.
    fn share_in_time(&self, seconds: std::ops::Range<usize>) -> f64 {
        let seconds = &self.seconds[seconds];
        let in_time: u32 = seconds.iter().map(|it| it.in_time).sum();
        let requests: u32 = seconds.iter().map(|it| it.requests).sum();
        f64::from(in_time) / f64::from(requests.max(1))
    }
}

fn open_process(deployment: Deployment, policy: PlacementPolicy) -> Placement {
    let mut placement = Placement::open_with_policy(Duration::from_secs(10), policy);
    let memory = ContextMemory {
        capacity_tokens: deployment.memory_tokens,
        token_size_bytes: deployment.token_size_bytes,
        link_megabits_per_second: 550_000.0,
        first_byte_delay: Duration::ZERO,
        event_readers_limit: 12,
    };
    let store = ServiceKind::Store {
        address: STORE,
        data_centre: "a".to_string(),
        memory: ContextMemory {
            capacity_tokens: 10_000_000,
            first_byte_delay: Duration::from_millis(6),
            ..memory
        },
        is_managed: true,
    };
    placement.set_services(&BTreeMap::from([
        (SERVICE.to_string(), ServiceKind::Engines(memory)),
        ("store".to_string(), store),
    ]));
    for index in 0..usize::from(deployment.engines) {
        placement.set_target(RegisteredTarget {
            id: index.to_string(),
            service: SERVICE.to_string(),
            address: engine_address(index),
            data_centre: "a".to_string(),
            slots: 48,
            is_draining: false,
            weights: BTreeMap::from([(MODEL.to_string(), 1)]),
            started_at_ms: 1,
            software_version: Some("v1".to_string()),
            cold_remaining: None,
        });
    }
    let changes = (0..deployment.sessions).map(|session| PartChange {
        scope: format!("{MODEL}.1"),
        part: format!("s{session}"),
        tokens: deployment.shared_tokens,
    });
    let changes = PartChanges { epoch: 1, next: 1, has_gap: false, changes: changes.collect() };
    placement.parts.apply(&STORE, &changes, Duration::ZERO);
    placement
}

/// Policy under which no process knows how much memory of an engine is in use.
fn without_samples() -> PlacementPolicy {
    PlacementPolicy { samples_memory: false, ..PlacementPolicy::default() }
}

/// Returns the shares of requests answered in time before a burst and from 5 s after it.
fn play_burst(deployment: Deployment, policy: PlacementPolicy, seed: u64) -> (f64, f64) {
    let mut simulation = Simulation::open(deployment, policy, seed);
    simulation.play(24, 6..9, 2.5);
    (simulation.share_in_time(2..6), simulation.share_in_time(14..22))
}

#[test]
fn service_comes_back_after_a_burst() {
    for seed in 1..=3 {
        let (before, after) = play_burst(LARGE_CONTEXTS, PlacementPolicy::default(), seed);
        assert!(before >= 0.93, "seed {seed}: {before:.2} in time before the burst");
        assert!(after >= 0.93, "seed {seed}: {after:.2} in time from 5 s after the burst");
    }
}

#[test]
fn without_samples_service_stays_down_after_a_burst() {
    for seed in 1..=3 {
        let (_, after) = play_burst(LARGE_CONTEXTS, without_samples(), seed);
        assert!(after < 0.8, "seed {seed}: {after:.2} in time, so the load shows no collapse");
    }
}

#[test]
fn service_comes_back_on_other_engines() {
    struct Case {
        name: &'static str,
        deployment: Deployment,
    }
    let cases = [
        Case {
            name: "slow prefill, small contexts",
            deployment: Deployment {
                prefill_tokens_per_ms: 36.0,
                step_ms: 3.5,
                memory_tokens: 41_600,
                token_size_bytes: 18_432,
                shared_tokens: 5_000,
                own_tokens: 800,
                answer_tokens: 60,
                requests_per_second: 24.0,
                ..LARGE_CONTEXTS
            },
        },
        Case {
            name: "fast prefill, many engines",
            deployment: Deployment {
                engines: 16,
                processes: 12,
                sessions: 400,
                prefill_tokens_per_ms: 300.0,
                token_size_bytes: 200_000,
                requests_per_second: 56.0,
                ..LARGE_CONTEXTS
            },
        },
        Case {
            name: "three engines, short answers",
            deployment: Deployment {
                engines: 3,
                prefill_tokens_per_ms: 80.0,
                token_size_bytes: 60_000,
                answer_tokens: 100,
                requests_per_second: 18.0,
                ..LARGE_CONTEXTS
            },
        },
    ];
    for case in cases {
        let (before, after) = play_burst(case.deployment, PlacementPolicy::default(), 1);
        assert!(before >= 0.93, "{}: {before:.2} in time before the burst", case.name);
        assert!(after >= 0.93, "{}: {after:.2} in time from 5 s after the burst", case.name);
    }
}
