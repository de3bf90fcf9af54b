//! Plays fleets whose requests all fail, and counts what they send again within the budget's window.

use crate::{
    node_state::NodeState,
    test_support::{ManualClock, node_state_on},
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use std::{sync::Arc, time::Duration};

const SERVICE: &str = "svc";
/// The budget of `test_support`, as the platform counts it.
const WINDOW: Duration = Duration::from_secs(10);
const RETRY_RATIO: f64 = 0.2;
const RETRY_EXTRA: f64 = 54.0;
/// Further attempts that the route of each request allows.
const RETRIES_PER_REQUEST: u32 = 2;
/// Time from a kill to the next start.
const RESTART_TIME: Duration = Duration::from_millis(300);
/// Time from a start until the process has read who else there is.
const LISTING_TIME: Duration = Duration::from_millis(200);
/// Interval at which the platform confirms that the list is current.
const CONFIRMATION_INTERVAL: Duration = Duration::from_millis(2_500);
/// Interval at which the processes read what has changed.
const READ_INTERVAL: Duration = Duration::from_millis(100);
/// Time before the first request.
const LEAD_TIME: Duration = Duration::from_secs(30);
const SEEDS: u64 = 12;

/// What a process reads of the others.
#[derive(Clone, Copy)]
enum Listed {
    All,
    /// So many, itself among them, after its start; later the platform is away.
    Only(usize),
    /// All, and from this time after the first request on only so many.
    AllThenOnly(Duration, usize),
    Never,
}

/// Which process a request comes to.
#[derive(Clone, Copy)]
enum Load {
    Spread,
    /// Half of the processes in turn, changed at these intervals.
    Moving(Duration),
}

#[derive(Clone, Copy)]
struct Case {
    name: &'static str,
    processes: usize,
    requests_per_second: u32,
    duration: Duration,
    /// Seconds after the first request at which all processes are killed.
    kills_s: &'static [u64],
    listed: Listed,
    load: Load,
    /// Spans in seconds after the first request in which requests fail; all the time without any.
    fails_s: &'static [(u64, u64)],
}

impl Case {
    fn fails(&self, since_first: Duration) -> bool {
        let is_within =
            |(from, until): &(u64, u64)| (seconds(*from)..seconds(*until)).contains(&since_first);
        self.fails_s.is_empty() || self.fails_s.iter().any(is_within)
    }
}

const fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

const CALM: Case = Case {
    name: "nothing happens",
    processes: 8,
    requests_per_second: 50,
    duration: seconds(30),
    kills_s: &[],
    listed: Listed::All,
    load: Load::Spread,
    fails_s: &[],
};

struct Process {
    state: Arc<NodeState>,
    started_at: Duration,
    has_listed: bool,
    confirmed_at: Duration,
}

/// When requests came, and when some were sent again.
struct Played {
    requests: Vec<Duration>,
    retries: Vec<Duration>,
}

fn count(times: &[Duration], from: Duration, until: Duration) -> usize {
    times.partition_point(|at| *at <= until) - times.partition_point(|at| *at < from)
}

impl Played {
    /// Returns the retries that the platform allows in the window that ends at a time.
    fn allowed(&self, until: Duration) -> f64 {
        let requests = [Duration::ZERO, WINDOW / 2, WINDOW].map(|earlier| {
            let until = until.saturating_sub(earlier);
            count(&self.requests, until.saturating_sub(WINDOW), until)
        });
        RETRY_RATIO * requests.into_iter().max().unwrap_or(0) as f64 + RETRY_EXTRA
    }

    /// Returns the largest excess of retries over what a window allows, at most 0 if there is none.
    fn excess(&self) -> f64 {
        let excess = self.retries.iter().map(|until| {
            let retries = count(&self.retries, until.saturating_sub(WINDOW), *until);
            retries as f64 - self.allowed(*until)
        });
        excess.fold(f64::NEG_INFINITY, f64::max)
    }
}

fn names(count: usize, own: usize, processes: usize) -> Vec<String> {
    (0..count).map(|index| format!("entry-{}", (own + index) % processes)).collect()
}

fn play(case: &Case, seed: u64) -> Played {
    let clock = Arc::new(ManualClock::default());
    let mut random = StdRng::seed_from_u64(seed);
    let start = |at: Duration| Process {
        state: node_state_on(clock.clone()),
        started_at: at,
        has_listed: false,
        confirmed_at: Duration::ZERO,
    };
    let mut processes: Vec<Process> = (0..case.processes).map(|_| start(Duration::ZERO)).collect();
    let mut played = Played { requests: Vec::new(), retries: Vec::new() };
    let mut kills = case.kills_s.iter().map(|kill| LEAD_TIME + seconds(*kill)).peekable();
    let pause = Duration::from_secs(1) / case.requests_per_second;
    let (mut has_shrunk, mut has_news) = (false, false);
    let mut next_round = Duration::ZERO;
    let mut now = Duration::ZERO;
    while now < LEAD_TIME + case.duration {
        clock.set(now);
        if kills.next_if(|kill| *kill <= now).is_some() {
            processes = (0..case.processes).map(|_| start(now + RESTART_TIME)).collect();
        }
        let shrinks = match case.listed {
            Listed::AllThenOnly(after, _) => now >= LEAD_TIME + after,
            _ => false,
        };
        has_news |= shrinks && !std::mem::replace(&mut has_shrunk, shrinks);
        let is_round = now >= next_round;
        if is_round {
            next_round = now + READ_INTERVAL;
        }
        for (index, process) in processes.iter_mut().enumerate().filter(|_| is_round) {
            let is_due = now >= process.started_at + LISTING_TIME;
            let is_away = matches!(case.listed, Listed::Only(_) | Listed::Never);
            let is_outdated = now >= process.confirmed_at + CONFIRMATION_INTERVAL;
            if is_due && (!process.has_listed || (is_outdated && !is_away)) {
                process.state.note_entries_current(process.state.now());
                process.confirmed_at = now;
            }
            if !is_due || (process.has_listed && !has_news) {
                continue;
            }
            process.has_listed = true;
            let listed = match case.listed {
                Listed::All => case.processes,
                Listed::Only(count) => count,
                Listed::AllThenOnly(_, count) if has_shrunk => count,
                Listed::AllThenOnly(..) => case.processes,
                Listed::Never => continue,
            };
            let names = names(listed, index, case.processes);
            process.state.set_entries(&format!("entry-{index}"), names);
        }
        has_news &= !is_round;
        if now >= LEAD_TIME {
            let index = match case.load {
                Load::Spread => random.random_range(0..case.processes),
                Load::Moving(interval) => {
                    let half = (now.as_millis() / interval.as_millis()) as usize % 2;
                    random.random_range(0..case.processes / 2) * 2 + half
                }
            };
            let process = &processes[index];
            played.requests.push(now);
            if now >= process.started_at {
                process.state.note_first_attempt(SERVICE);
                let retries = if case.fails(now - LEAD_TIME) { RETRIES_PER_REQUEST } else { 0 };
                for _ in 0..retries {
                    if !process.state.try_take_retry(SERVICE).is_allowed {
                        break;
                    }
                    played.retries.push(now);
                }
            }
        }
        now += pause;
    }
    played
}

#[test]
fn all_processes_and_all_their_starts_together_keep_the_retry_budget() {
    let cases = [
        CALM,
        Case { name: "killed twice", kills_s: &[3, 6], ..CALM },
        Case { name: "killed four times", kills_s: &[2, 4, 6, 8], ..CALM },
        Case { name: "killed late", kills_s: &[12, 24], ..CALM },
        Case {
            name: "30 processes that know nine each",
            processes: 30,
            listed: Listed::Only(9),
            ..CALM
        },
        Case {
            name: "30 processes whose list shrinks",
            processes: 30,
            listed: Listed::AllThenOnly(seconds(1), 3),
            ..CALM
        },
        Case { name: "30 that know nobody", processes: 30, listed: Listed::Never, ..CALM },
        Case { name: "clients that move", load: Load::Moving(seconds(5)), ..CALM },
        Case {
            name: "many clients that move, and targets that fail at times",
            requests_per_second: 250,
            load: Load::Moving(seconds(10)),
            fails_s: &[(9, 10), (17, 18)],
            ..CALM
        },
        Case {
            name: "clients that move between 360 processes, and targets that fail at times",
            processes: 360,
            requests_per_second: 500,
            load: Load::Moving(seconds(10)),
            fails_s: &[(9, 10), (17, 18)],
            ..CALM
        },
        Case { name: "360 processes", processes: 360, ..CALM },
        Case {
            name: "360 processes, and targets that fail late",
            processes: 360,
            requests_per_second: 2_000,
            duration: seconds(23),
            fails_s: &[(12, 23)],
            ..CALM
        },
        Case {
            name: "360 processes, killed twice",
            processes: 360,
            requests_per_second: 500,
            kills_s: &[3, 6],
            ..CALM
        },
    ];
    let mut broken = Vec::new();
    for case in cases {
        let excess = (0..SEEDS).map(|seed| play(&case, seed).excess());
        let excess = excess.fold(f64::NEG_INFINITY, f64::max);
        if excess > 0.0 {
            broken.push(format!("{}: {excess:.0} beyond the budget", case.name));
        }
    }
    assert!(broken.is_empty(), "{broken:#?}");
}

#[test]
fn calm_processes_use_three_quarters_of_the_retry_budget() {
    let cases = [
        CALM,
        Case { name: "30 processes", processes: 30, ..CALM },
        Case {
            name: "360 processes at the planned load",
            processes: 360,
            requests_per_second: 2_800,
            duration: seconds(12),
            ..CALM
        },
    ];
    for case in cases {
        let played = play(&case, 1);
        let until = LEAD_TIME + WINDOW;
        let retries = count(&played.retries, LEAD_TIME, until) as f64;
        let allowed = played.allowed(until);
        assert!(retries >= 0.75 * allowed, "{}: {retries} of {allowed}", case.name);
    }
}
