//! Tests of what is kept of requests beyond the places of processes.

use super::excess::Excesses;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn an_excess_that_has_ended_costs_placements_no_further_look() {
    let mut excesses = Excesses::default();
    assert!(excesses.note("i-1", 1, "entry-1", 3, SECOND));
    assert!(!excesses.note("i-1", 1, "entry-1", 2, SECOND));
    assert!(!excesses.is_empty());
    assert!(excesses.note("i-1", 1, "entry-1", 0, SECOND));
    assert!(excesses.is_empty());
}

#[test]
fn an_excess_that_is_told_after_the_last_one_expired_counts_as_begun() {
    let mut excesses = Excesses::default();
    assert!(excesses.note("i-1", 1, "entry-1", 3, SECOND));
    assert!(excesses.note("i-1", 1, "entry-1", 3, SECOND * 9));
    assert!(excesses.note("i-1", 1, "entry-1", 0, SECOND * 9));
    assert!(!excesses.note("i-1", 1, "entry-1", 0, SECOND * 9));
}
