//! Cases of the limits.

use super::{AccountLimits, AccountShares, Demand, InFlightLimit, InFlightRules, TokenBucket};
use std::time::Duration;

const LIMITS: AccountLimits = AccountLimits { requests_limit: 100, tokens_per_second_limit: 1e4 };

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

#[test]
fn a_bucket_gives_its_rate_and_no_more() {
    struct Case {
        name: &'static str,
        /// Time and amount of each take, with whether it succeeds.
        takes: Vec<(f64, f64, bool)>,
    }
    let cases = [
        Case {
            name: "a burst, then the rate",
            takes: vec![(0.0, 20.0, true), (0.0, 1.0, false), (0.5, 5.0, true), (0.5, 1.0, false)],
        },
        Case {
            name: "no more than the burst is saved",
            takes: vec![(100.0, 20.0, true), (100.0, 1.0, false)],
        },
        Case {
            name: "an amount over the burst leaves a debt",
            takes: vec![(0.0, 30.0, true), (0.9, 1.0, false), (1.1, 1.0, true)],
        },
        Case {
            name: "time that steps back gives nothing",
            takes: vec![(5.0, 20.0, true), (1.0, 1.0, false), (5.0, 1.0, false)],
        },
    ];
    for case in cases {
        let mut bucket = TokenBucket::open(10.0, 20.0, Duration::ZERO);
        for (at, amount, succeeds) in case.takes {
            let taken = bucket.take(amount, seconds(at));
            assert_eq!(taken.is_ok(), succeeds, "{}: {amount} at {at}", case.name);
        }
    }
}

#[test]
fn the_in_flight_limit_follows_waits() {
    struct Case {
        name: &'static str,
        wait: Duration,
        in_flight: u32,
        grows: Option<bool>,
    }
    let cases = [
        Case { name: "short waits in use", wait: seconds(0.01), in_flight: 8, grows: Some(true) },
        Case { name: "short waits, hardly used", wait: seconds(0.01), in_flight: 1, grows: None },
        Case { name: "long waits", wait: seconds(1.0), in_flight: 8, grows: Some(false) },
    ];
    for case in cases {
        let rules = InFlightRules { floor: 2.0, ceiling: 32.0, wait_limit: seconds(0.2) };
        let mut limit = InFlightLimit::open(8.0, rules);
        (0..case.in_flight).for_each(|_| limit.begin());
        for step in 0..200 {
            limit.observe_wait(case.wait, seconds(f64::from(step)));
        }
        let expected = match case.grows {
            Some(true) => limit.limit() > 8.0 && limit.limit() <= 32.0,
            Some(false) => limit.limit() == 2.0,
            None => limit.limit() == 8.0,
        };
        assert!(expected, "{}: {}", case.name, limit.limit());
    }
}

#[test]
fn one_bad_moment_counts_once() {
    let rules = InFlightRules { floor: 1.0, ceiling: 32.0, wait_limit: seconds(0.2) };
    let mut limit = InFlightLimit::open(20.0, rules);
    for _ in 0..10 {
        limit.observe_wait(seconds(1.0), seconds(1.0));
    }
    assert_eq!(limit.limit(), 17.0);
}

/// Tokens a second that processes start together when each is asked for `asked` tokens a second
/// of one account, hearing of each other's demand once a second.
fn started_together(asked: &[f64]) -> f64 {
    let count = asked.len();
    let mut shares: Vec<AccountShares> = (0..count).map(|_| AccountShares::open(count)).collect();
    let mut started = 0.0;
    for step in 0..600_u32 {
        let now = seconds(f64::from(step) / 10.0);
        for (index, rate) in asked.iter().enumerate() {
            for _ in 0..(rate / 1_000.0).round() as u32 {
                let taken = shares[index].begin("a", LIMITS, 100, now);
                if taken.is_ok() {
                    shares[index].end("a");
                    started += if step >= 300 { 100.0 } else { 0.0 };
                }
            }
        }
        if step % 10 == 0 {
            tell_demands(&mut shares, now);
        }
    }
    started / 30.0
}

fn tell_demands(shares: &mut [AccountShares], now: Duration) {
    let told: Vec<f64> = shares
        .iter_mut()
        .map(|shares| shares.demands(now).get("a").copied().unwrap_or_default())
        .collect();
    for (index, shares) in shares.iter_mut().enumerate() {
        for (peer, tokens_per_second) in told.iter().enumerate().filter(|(peer, _)| *peer != index)
        {
            let demand = Demand { tokens_per_second: *tokens_per_second, at: now };
            shares.observe_peer("a", &format!("peer-{peer}"), demand);
        }
    }
}

#[test]
fn shares_move_with_demand() {
    struct Case {
        name: &'static str,
        asked: Vec<f64>,
        /// What the account gets of its limit of 10,000 tokens a second, at least and at most.
        gets: (f64, f64),
    }
    let cases = [
        Case {
            name: "all demand at one of four",
            asked: vec![20e3, 0.0, 0.0, 0.0],
            gets: (9.0e3, 10.0e3),
        },
        Case { name: "demand spread evenly", asked: vec![10e3; 4], gets: (9.0e3, 10.5e3) },
        Case {
            name: "demand spread unevenly",
            asked: vec![20e3, 5e3, 5e3, 0.0],
            gets: (9.0e3, 10.5e3),
        },
        Case {
            name: "demand below the limit is met",
            asked: vec![2e3, 2e3, 2e3, 2e3],
            gets: (7.5e3, 8.1e3),
        },
    ];
    for case in cases {
        let got = started_together(&case.asked);
        let (least, most) = case.gets;
        assert!((least..=most).contains(&got), "{}: {got}", case.name);
    }
}

#[test]
fn requests_at_once_are_limited() {
    let limits = AccountLimits { requests_limit: 2, ..LIMITS };
    let mut shares = AccountShares::open(1);
    assert!(shares.begin("a", limits, 1, Duration::ZERO).is_ok());
    assert!(shares.begin("a", limits, 1, Duration::ZERO).is_ok());
    assert!(shares.begin("a", limits, 1, Duration::ZERO).is_err());
    assert!(shares.begin("b", limits, 1, Duration::ZERO).is_ok());
    shares.end("a");
    assert!(shares.begin("a", limits, 1, Duration::ZERO).is_ok());
}
