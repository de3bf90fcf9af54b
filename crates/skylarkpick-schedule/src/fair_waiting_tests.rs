//! Tests of the order in which waiting requests try, in virtual time.

use crate::{FairWaiting, WaiterId, WaitingClass};
use rand::{Rng, SeedableRng, rngs::StdRng};
use std::collections::{BTreeMap, VecDeque};

const ACCOUNTS: usize = 24;
/// Account that sends a burst.
const BURSTING: usize = 0;
const GOAL_MS: u64 = 400;
/// Time for which a request may wait, of the 400 ms of its goal.
const PATIENCE_MS: u64 = 360;
const RUN_MS: u64 = 200;
/// Requests that run at once: 100 a second.
const SLOTS: usize = 20;
const MEASURED_MS: u64 = 60_000;

fn class() -> WaitingClass {
    ("tala-llm".to_string(), 1)
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Order {
    /// As without fair sharing.
    Arrival,
    Fair,
}

#[derive(Clone, Copy)]
struct Waiting {
    id: WaiterId,
    account: usize,
    arrived_ms: u64,
}

/// Requests that arrived and that began to run in time, by account.
#[derive(Default)]
struct Counts {
    arrived: BTreeMap<usize, u64>,
    in_time: BTreeMap<usize, u64>,
}

impl Counts {
    /// Returns the share of the requests of these accounts that was served in time.
    fn share(&self, accounts: impl Iterator<Item = usize> + Clone) -> f64 {
        let sum = |counts: &BTreeMap<usize, u64>| -> u64 {
            accounts.clone().filter_map(|account| counts.get(&account)).sum()
        };
        sum(&self.in_time) as f64 / sum(&self.arrived) as f64
    }

    fn others(&self) -> f64 {
        self.share((0..ACCOUNTS).filter(|account| *account != BURSTING))
    }

    fn all(&self) -> f64 {
        self.share(0..ACCOUNTS)
    }
}

fn name(account: usize) -> String {
    format!("account-{account}")
}

/// Plays requests that arrive at random, `weights` times as often for each account as on average, in front
/// of slots that are never enough for all once their rate passes 100 a second.
fn play(seed: u64, requests_per_second: f64, weights: &[f64], order: Order) -> Counts {
    let mut random = StdRng::seed_from_u64(seed);
    let mut fair = FairWaiting::default();
    let mut waiting: VecDeque<Waiting> = VecDeque::new();
    let mut ends: VecDeque<u64> = VecDeque::new();
    let mut counts = Counts::default();
    for now_ms in 0..MEASURED_MS {
        while ends.front().is_some_and(|end| *end <= now_ms) {
            ends.pop_front();
        }
        // Shed: they would no longer be answered in time.
        while let Some(oldest) = waiting.front().copied()
            && now_ms - oldest.arrived_ms > PATIENCE_MS
        {
            waiting.pop_front();
            fair.end(&class(), &name(oldest.account), oldest.id);
        }
        for (account, weight) in weights.iter().enumerate() {
            let rate = requests_per_second * weight / ACCOUNTS as f64 / 1_000.0;
            if random.random_bool(rate) {
                *counts.arrived.entry(account).or_default() += 1;
                let id = fair.begin(&class(), &name(account), 100);
                waiting.push_back(Waiting { id, account, arrived_ms: now_ms });
            }
        }
        while ends.len() < SLOTS {
            let position = match order {
                Order::Arrival => 0,
                Order::Fair => {
                    let next = fair.next(&class());
                    waiting.iter().position(|it| Some(it.id) == next).unwrap_or_default()
                }
            };
            let Some(served) = waiting.remove(position) else { break };
            fair.note_served(&class(), &name(served.account), 100);
            fair.end(&class(), &name(served.account), served.id);
            ends.push_back(now_ms + RUN_MS);
            assert!(now_ms - served.arrived_ms < GOAL_MS, "nothing is served late");
            *counts.in_time.entry(served.account).or_default() += 1;
        }
    }
    counts
}

// Guards against the burst of one account from which the requests of all others are refused.
#[test]
fn a_burst_of_one_account_takes_nothing_from_the_others() {
    struct Case {
        name: &'static str,
        /// Without the burst, of 100 a second that are served.
        requests_per_second: f64,
        seed: u64,
    }
    let cases = [
        Case { name: "light load", requests_per_second: 60.0, seed: 1 },
        Case { name: "nearly full", requests_per_second: 90.0, seed: 2 },
        Case { name: "overloaded", requests_per_second: 130.0, seed: 3 },
    ];
    for Case { name, requests_per_second, seed } in cases {
        let alike = [1.0; ACCOUNTS];
        let mut burst = alike;
        // Ten times its share, and at the lighter loads as much as makes the burst exceed the slots.
        burst[BURSTING] = if requests_per_second < 100.0 { 30.0 } else { 10.0 };
        let without = play(seed, requests_per_second, &alike, Order::Arrival).others();
        let by_arrival = play(seed, requests_per_second, &burst, Order::Arrival).others();
        let fair = play(seed, requests_per_second, &burst, Order::Fair).others();
        println!("{name}: without {without:.3}, by arrival {by_arrival:.3}, fair {fair:.3}");
        assert!(by_arrival < without - 0.1, "{name}: the burst does harm by arrival, {by_arrival}");
        assert!(fair >= without - 0.01, "{name}: {fair} with the burst, {without} without");
    }
}

// Guards against an order that loses capacity where no account sends more than the others.
#[test]
fn nothing_is_lost_where_all_accounts_send_alike() {
    for (seed, requests_per_second) in [(1, 60.0), (2, 95.0), (3, 130.0), (4, 200.0)] {
        let alike = [1.0; ACCOUNTS];
        let by_arrival = play(seed, requests_per_second, &alike, Order::Arrival).all();
        let fair = play(seed, requests_per_second, &alike, Order::Fair).all();
        println!("{requests_per_second}: by arrival {by_arrival:.3}, fair {fair:.3}");
        assert!(fair >= by_arrival - 0.01, "{requests_per_second}: {fair}, not {by_arrival}");
    }
}

/// What happens to waiting requests.
enum Step {
    /// A request of an account begins to wait; its ID is the number of those before.
    Begin(&'static str, u64),
    /// The request that has its turn finds room.
    Serve(WaiterId),
    /// The request that has its turn finds no room.
    NoRoom(WaiterId),
    /// A request leaves without being served, in whatever place.
    Leave(WaiterId),
    Round,
}

// Guards against accounts that get unbounded credit for idle times, and requests that are held up by one whose
// room isn't there.
#[test]
fn the_turn_passes_between_accounts() {
    use Step::{Begin, Leave, NoRoom, Round, Serve};
    struct Case {
        name: &'static str,
        steps: Vec<Step>,
        next: Option<WaiterId>,
    }
    let cases = [
        Case { name: "nobody waits", steps: vec![], next: None },
        Case {
            name: "by arrival within an account",
            steps: vec![Begin("a", 1), Begin("a", 1), Serve(0)],
            next: Some(1),
        },
        Case {
            name: "by arrival as long as no account is well ahead",
            steps: vec![Begin("a", 1), Begin("a", 1), Begin("b", 1), Serve(0)],
            next: Some(1),
        },
        Case {
            name: "an account that is well ahead lets others go first",
            steps: [
                (0..7).map(|_| Begin("a", 1)).collect(),
                vec![Begin("b", 1)],
                (0..5).map(Serve).collect::<Vec<Step>>(),
            ]
            .into_iter()
            .flatten()
            .collect(),
            next: Some(7),
        },
        Case {
            name: "a costly request counts for more",
            steps: vec![
                Begin("a", 3),
                Begin("a", 3),
                Begin("a", 3),
                Begin("b", 1),
                Serve(0),
                Serve(1),
            ],
            next: Some(3),
        },
        Case {
            name: "one without room doesn't hold up others",
            steps: vec![Begin("a", 1), Begin("b", 1), NoRoom(0)],
            next: Some(1),
        },
        Case {
            name: "all have tried",
            steps: vec![Begin("a", 1), Begin("b", 1), NoRoom(0), NoRoom(1)],
            next: None,
        },
        Case {
            name: "one without room keeps its place for the next round",
            steps: vec![Begin("a", 1), Begin("b", 1), Begin("b", 1), NoRoom(0), Serve(1), Round],
            next: Some(0),
        },
        Case {
            name: "one that leaves passes its turn on",
            steps: vec![Begin("a", 1), Begin("a", 1), Leave(0)],
            next: Some(1),
        },
        Case {
            name: "an account that was idle goes first, but not for long",
            steps: [
                (0..10).flat_map(|id| [Begin("a", 1), Serve(id)]).collect(),
                vec![Begin("a", 1)],
                (0..7).map(|_| Begin("b", 1)).collect(),
                (11..16).map(Serve).collect::<Vec<Step>>(),
            ]
            .into_iter()
            .flatten()
            .collect(),
            next: Some(10),
        },
    ];
    for Case { name, steps, next } in cases {
        let mut waiting = FairWaiting::default();
        let mut begun = Vec::new();
        for step in steps {
            let account = |id: WaiterId| {
                let (account, cost): (&str, u64) = begun[usize::try_from(id).unwrap()];
                (account, cost)
            };
            match step {
                Begin(account, cost) => {
                    let id = waiting.begin(&class(), account, cost);
                    assert_eq!(usize::try_from(id).unwrap(), begun.len(), "{name}");
                    begun.push((account, cost));
                }
                Serve(id) => {
                    assert!(waiting.may_try(&class(), Some(id)), "{name}: turn of {id}");
                    assert!(!waiting.may_try(&class(), None), "{name}: not of a new one");
                    let (account, cost) = account(id);
                    waiting.note_served(&class(), account, cost);
                    waiting.end(&class(), account, id);
                }
                NoRoom(id) => {
                    assert!(waiting.may_try(&class(), Some(id)), "{name}: turn of {id}");
                    waiting.note_no_room(&class(), account(id).0, id);
                }
                Leave(id) => waiting.end(&class(), account(id).0, id),
                Round => {
                    waiting.begin_round();
                }
            }
        }
        assert_eq!(waiting.next(&class()), next, "{name}");
        assert_eq!(waiting.may_try(&class(), None), next.is_none(), "{name}: a new request");
    }
}

// Guards against a refusal of an account's first request for the length of another's queue.
#[test]
fn only_those_that_are_served_before_count_as_ahead() {
    struct Case {
        name: &'static str,
        /// Account and rank of the waiting requests.
        waiting: Vec<(&'static str, u8)>,
        /// Account that was served once before.
        served: Option<&'static str>,
        ahead: u32,
    }
    let cases = [
        Case { name: "nobody", waiting: vec![], served: None, ahead: 0 },
        Case { name: "a burst of another", waiting: vec![("b", 1); 20], served: None, ahead: 5 },
        Case {
            name: "a burst of another that was just served",
            waiting: vec![("b", 1); 20],
            served: Some("b"),
            ahead: 4,
        },
        Case { name: "its own burst", waiting: vec![("a", 1); 20], served: None, ahead: 20 },
        Case {
            name: "its own and another's",
            waiting: [vec![("a", 1); 3], vec![("b", 1); 20]].concat(),
            served: None,
            ahead: 11,
        },
        Case { name: "more urgent", waiting: vec![("b", 0); 5], served: None, ahead: 5 },
        Case { name: "less urgent", waiting: vec![("b", 2); 5], served: None, ahead: 0 },
    ];
    for Case { name, waiting, served, ahead } in cases {
        let mut fair = FairWaiting::default();
        if let Some(account) = served {
            fair.note_served(&class(), account, 1);
        }
        for (account, rank) in &waiting {
            fair.begin(&("tala-llm".to_string(), *rank), account, 1);
        }
        fair.begin(&("another".to_string(), 0), "b", 1);
        assert_eq!(fair.count_ahead(&class(), "a", 1), ahead, "{name}");
        assert_eq!(fair.len(), waiting.len() + 1, "{name}");
        assert!(!fair.is_empty(), "{name}");
    }
}
