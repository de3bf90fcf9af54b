//! Tests of until when runs may start on replaced weights.

use crate::test_support::node_state_on;
use skylarkpick_interface::{Clock, TokioClock};
use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, SystemTime},
};
use tokio::time::Instant;

const MODEL: &str = "tala";

/// Clock of a VM that was suspended. Timers don't count that time.
struct SuspendedClock {
    timers: TokioClock,
    suspended_ms: AtomicU64,
}

impl SuspendedClock {
    fn suspended(&self) -> Duration {
        Duration::from_millis(self.suspended_ms.load(Ordering::SeqCst))
    }
}

impl Clock for SuspendedClock {
    fn since_boot(&self) -> Duration {
        self.timers.since_boot() + self.suspended()
    }

    fn wall(&self) -> SystemTime {
        self.timers.wall() + self.suspended()
    }
}

#[tokio::test(start_paused = true)]
async fn a_suspended_process_withdraws_its_attempts_as_early_as_any_other() {
    struct Case {
        name: &'static str,
        /// Time since newer weights were named at which the process is suspended.
        at_ms: u64,
        suspended_ms: u64,
        /// Time on timers from its return to the withdrawal.
        withdrawn_after_ms: u64,
    }
    let cases = [
        Case { name: "never", at_ms: 10_000, suspended_ms: 0, withdrawn_after_ms: 1_500 },
        Case { name: "until the limit", at_ms: 10_000, suspended_ms: 1_500, withdrawn_after_ms: 0 },
        Case { name: "early", at_ms: 1_000, suspended_ms: 3_000, withdrawn_after_ms: 7_500 },
    ];
    for case in cases {
        let clock = Arc::new(SuspendedClock {
            timers: TokioClock::start(SystemTime::UNIX_EPOCH),
            suspended_ms: AtomicU64::new(0),
        });
        let node_state = node_state_on(clock.clone());
        node_state.set_desired_weights(MODEL, 2, node_state.now());
        let attempt = node_state.clone();
        let withdrawal = tokio::spawn(async move { attempt.wait_for_expiry(MODEL, 1).await });
        tokio::time::sleep(Duration::from_millis(case.at_ms)).await;
        clock.suspended_ms.store(case.suspended_ms, Ordering::SeqCst);
        let returned = Instant::now();
        withdrawal.await.unwrap();
        // A margin for the process to notice.
        let limit = Duration::from_millis(case.withdrawn_after_ms + 100);
        assert!(returned.elapsed() <= limit, "{}: after {:?}", case.name, returned.elapsed());
    }
}
