//! Tests of the accumulating retry budget.

use super::RetryBudget;

#[test]
fn limits_retries_to_a_share_of_first_attempts() {
    struct Case {
        percent: u32,
        first_attempts: u32,
        /// Retries allowed after the initial ones are used up.
        allowed: u32,
    }
    let cases = [
        Case { percent: 20, first_attempts: 100, allowed: 20 },
        Case { percent: 10, first_attempts: 95, allowed: 9 },
        Case { percent: 0, first_attempts: 1_000, allowed: 0 },
        Case { percent: 100, first_attempts: 100_000, allowed: 100 },
    ];
    for case in cases {
        let mut budget = RetryBudget::default();
        while budget.take() {}
        (0..case.first_attempts).for_each(|_| budget.note_first_attempt(case.percent));
        let made = (0..1_000).filter(|_| budget.take()).count();
        assert_eq!(made, case.allowed as usize, "{} percent", case.percent);
    }
}
