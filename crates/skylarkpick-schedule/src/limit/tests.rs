//! Tests of token buckets, in-flight limits and shares of account limits.

use super::{AccountLimits, AccountShares, Demand, InFlightLimit, InFlightRules, TokenBucket};
use std::time::Duration;

const LIMITS: AccountLimits = AccountLimits { requests_limit: 100, tokens_per_second_limit: 1e4 };

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

#[test]
fn a_token_bucket_never_exceeds_its_rate_and_burst() {
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
            name: "an idle bucket holds no more than the burst",
            takes: vec![(100.0, 20.0, true), (100.0, 1.0, false)],
        },
        Case {
            name: "an amount above the burst leaves a negative level",
            takes: vec![(0.0, 30.0, true), (0.9, 1.0, false), (1.1, 1.0, true)],
        },
        Case {
            name: "a clock that steps back adds nothing",
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
fn the_in_flight_limit_grows_and_shrinks_with_waits() {
    struct Case {
        name: &'static str,
        wait: Duration,
        in_flight: u32,
        grows: Option<bool>,
    }
    let cases = [
        Case { name: "short waits, in use", wait: seconds(0.01), in_flight: 8, grows: Some(true) },
        Case { name: "short waits, mostly idle", wait: seconds(0.01), in_flight: 1, grows: None },
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
fn simultaneous_long_waits_decrease_the_limit_once() {
    let rules = InFlightRules { floor: 1.0, ceiling: 32.0, wait_limit: seconds(0.2) };
    let mut limit = InFlightLimit::open(20.0, rules);
    for _ in 0..10 {
        limit.observe_wait(seconds(1.0), seconds(1.0));
    }
    assert_eq!(limit.limit(), 17.0);
}

/// Returns the tokens per second that all processes start together when each receives `demand`
/// tokens per second for one account. They exchange demands once per second.
fn started_tokens_per_second(demand: &[f64]) -> f64 {
    let count = demand.len();
    let mut shares: Vec<AccountShares> = (0..count).map(|_| AccountShares::open(count)).collect();
    let mut started = 0.0;
    for step in 0..600_u32 {
        let now = seconds(f64::from(step) / 10.0);
        for (index, rate) in demand.iter().enumerate() {
            for _ in 0..(rate / 1_000.0).round() as u32 {
                let taken = shares[index].begin("a", LIMITS, 100, now);
                if taken.is_ok() {
                    shares[index].end("a");
                    started += if step >= 300 { 100.0 } else { 0.0 };
                }
            }
        }
        if step % 10 == 0 {
            exchange_demands(&mut shares, now);
        }
    }
    started / 30.0
}

fn exchange_demands(shares: &mut [AccountShares], now: Duration) {
    let demands: Vec<f64> = shares
        .iter_mut()
        .map(|shares| shares.demands(now).get("a").copied().unwrap_or_default())
        .collect();
    for (index, shares) in shares.iter_mut().enumerate() {
        for (peer, tokens_per_second) in
            demands.iter().enumerate().filter(|(peer, _)| *peer != index)
        {
            let demand = Demand { tokens_per_second: *tokens_per_second, at: now };
            shares.observe_peer("a", &format!("peer-{peer}"), demand);
        }
    }
}

#[test]
fn shares_follow_demand_and_add_up_to_the_limit() {
    struct Case {
        name: &'static str,
        demand: Vec<f64>,
        /// Least and most that may be started of the limit of 10,000 tokens per second.
        started: (f64, f64),
    }
    let cases = [
        Case {
            name: "all demand at one of four processes",
            demand: vec![20e3, 0.0, 0.0, 0.0],
            started: (9.0e3, 10.0e3),
        },
        Case { name: "even demand", demand: vec![10e3; 4], started: (9.0e3, 10.5e3) },
        Case { name: "uneven demand", demand: vec![20e3, 5e3, 5e3, 0.0], started: (9.0e3, 10.5e3) },
        Case {
            name: "demand below the limit is met",
            demand: vec![2e3, 2e3, 2e3, 2e3],
            started: (7.5e3, 8.1e3),
        },
    ];
    for case in cases {
        let started = started_tokens_per_second(&case.demand);
        let (least, most) = case.started;
        assert!((least..=most).contains(&started), "{}: {started}", case.name);
    }
}

#[test]
fn limits_concurrent_requests_of_an_account() {
    let limits = AccountLimits { requests_limit: 2, ..LIMITS };
    let mut shares = AccountShares::open(1);
    assert!(shares.begin("a", limits, 1, Duration::ZERO).is_ok());
    assert!(shares.begin("a", limits, 1, Duration::ZERO).is_ok());
    assert!(shares.begin("a", limits, 1, Duration::ZERO).is_err());
    assert!(shares.begin("b", limits, 1, Duration::ZERO).is_ok());
    shares.end("a");
    assert!(shares.begin("a", limits, 1, Duration::ZERO).is_ok());
}
