use super::trials::{Trial, TrialClaim, TrialRecord};
use skylarkpick_interface::CrashCause;
use skylarkpick_schedule::EVIDENCE_LIFETIME;
use std::time::Duration;

const BAD: CrashCause = CrashCause::Request(7);
const PAUSE: Duration = Duration::from_secs(5);
const SECOND_MS: u64 = 1_000;
/// A wall-clock time.
const START_MS: u64 = 1_700_000_000_000;

fn trial(cause: CrashCause) -> Trial {
    Trial { cause, pause: PAUSE, first_end_ms: START_MS }
}

/// Claims trials of the request one after the other, as soon as they may begin.
fn claim_often(record: &mut TrialRecord, claims: u64) -> Vec<TrialClaim> {
    let times = (0..claims).map(|number| START_MS + (number + 1) * 5 * SECOND_MS);
    times.map(|now_ms| record.claim(&trial(BAD), now_ms)).collect()
}

#[test]
fn a_request_is_tried_three_times_while_the_evidence_lasts() {
    use TrialClaim::{Claimed, Recent, UsedUp};
    let mut record = TrialRecord::default();
    assert_eq!(claim_often(&mut record, 5), [Claimed, Claimed, Claimed, UsedUp, UsedUp]);
    let last_ms = START_MS + 15 * SECOND_MS;
    let lifetime_ms = u64::try_from(EVIDENCE_LIFETIME.as_millis()).unwrap();
    assert_eq!(record.claim(&trial(BAD), last_ms + lifetime_ms - 1), UsedUp);
    assert_eq!(record.claim(&trial(BAD), last_ms + lifetime_ms), Claimed);
    assert_eq!(record.claim(&trial(BAD), last_ms + lifetime_ms + 1), Recent);
}

#[test]
fn trials_of_a_request_count_anew_after_one_was_answered() {
    let mut record = TrialRecord::default();
    claim_often(&mut record, 3);
    let later = Trial { first_end_ms: START_MS + 20 * SECOND_MS, ..trial(BAD) };
    let now_ms = START_MS + 30 * SECOND_MS;
    assert_eq!(record.claim(&later, now_ms), TrialClaim::Claimed);
    assert_eq!(record.claim(&later, now_ms + 1), TrialClaim::Recent);
}

#[test]
fn trials_of_other_causes_in_the_same_object_do_not_count() {
    let mut record = TrialRecord::default();
    claim_often(&mut record, 3);
    for cause in [CrashCause::Part(7), CrashCause::Request(23)] {
        let now_ms = START_MS + 15 * SECOND_MS;
        assert_eq!(record.claim(&trial(cause), now_ms), TrialClaim::Claimed, "{cause}");
        assert_eq!(record.claim(&trial(cause), now_ms + 1), TrialClaim::Recent, "{cause}");
    }
    assert_eq!(record.claim(&trial(BAD), START_MS + 20 * SECOND_MS), TrialClaim::UsedUp);
}

#[test]
fn an_object_keeps_account_of_a_bounded_number_of_requests() {
    let mut record = TrialRecord::default();
    let claims = (0..200).map(|number| record.claim(&trial(CrashCause::Request(number)), START_MS));
    assert_eq!(claims.filter(|claim| *claim == TrialClaim::Claimed).count(), 64);
}

#[test]
fn an_object_of_the_version_before_is_read_and_may_be_read_by_it() {
    let text = r#"{"part":"0000000000000007","began_at_ms":1700000000000}"#;
    let mut record: TrialRecord = serde_json::from_str(text).unwrap();
    let part = trial(CrashCause::Part(7));
    assert_eq!(record.claim(&part, START_MS + 1), TrialClaim::Recent);
    assert_eq!(record.claim(&trial(BAD), START_MS + 1), TrialClaim::Claimed);
    let written = serde_json::to_value(&record).unwrap();
    assert_eq!(written["part"], "0000000000000007");
    assert_eq!(written["began_at_ms"], START_MS);
}
