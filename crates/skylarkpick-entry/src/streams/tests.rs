//! Frame filtering, resume tokens and run retention, without I/O.

use super::{
    progress::{FrameStep, RunProgress},
    resume_token::{ResumeKey, ResumeTokenError, sign_token, unix_milliseconds, verify_token},
    retention::{DetachOutcome, Retention},
};
use proptest::{prelude::*, test_runner::RngSeed};
use skylarkpick_interface::{FinishReason, FrameBody, RunFrame};
use skylarkpick_protocol::resume::ResumeClaims;
use std::time::{Duration, SystemTime};

fn progress(next_offset: u64, started: bool) -> RunProgress {
    RunProgress {
        run_id: "r.2".to_string(),
        request_id: "r".to_string(),
        attempt_id: 2,
        weight_version: 7,
        next_offset,
        started,
        ended: false,
    }
}

fn frame(body: FrameBody) -> RunFrame {
    RunFrame { run_id: "r.2".to_string(), request_id: "r".to_string(), attempt_id: 2, body }
}

fn token(offset: u64) -> RunFrame {
    frame(FrameBody::Token { offset, text: format!("t{offset}") })
}

fn start(weight_version: u64) -> RunFrame {
    frame(FrameBody::Started { weight_version, cached_tokens: 3 })
}

fn finish(reason: FinishReason, answer_tokens: u64) -> RunFrame {
    frame(FrameBody::Finished { reason, answer_tokens })
}

/// One letter per step, so that a table row shows the steps of a frame sequence as a word.
fn letter(step: &FrameStep) -> char {
    match step {
        FrameStep::Ignored => '.',
        FrameStep::Started { .. } => 'S',
        FrameStep::Token { .. } => 'T',
        FrameStep::Finished { .. } => 'F',
        FrameStep::WrongWeights(_) => 'W',
        FrameStep::Gap => 'G',
        FrameStep::RunFailed(_) => 'X',
    }
}

#[test]
fn delivers_each_token_once_in_order_and_only_from_its_own_run() {
    struct Case {
        name: &'static str,
        next_offset: u64,
        frames: Vec<RunFrame>,
        steps: &'static str,
    }
    let stop = FinishReason::Stop;
    let of_run = |run_id: &str| RunFrame { run_id: run_id.to_string(), ..token(0) };
    let of_request = |request_id: &str| RunFrame { request_id: request_id.to_string(), ..token(0) };
    let of_attempt = |attempt_id| RunFrame { attempt_id, ..token(0) };
    let cases = [
        Case {
            name: "an ordinary run",
            next_offset: 0,
            frames: vec![start(7), token(0), token(1), finish(stop, 2)],
            steps: "STTF",
        },
        Case {
            name: "frames of other attempts, runs and requests",
            next_offset: 0,
            frames: vec![
                start(7),
                of_run("r.1"),
                of_attempt(1),
                of_attempt(3),
                of_request("q"),
                token(0),
                finish(stop, 1),
            ],
            steps: "S....TF",
        },
        Case {
            name: "the start of another run",
            next_offset: 0,
            frames: vec![RunFrame { run_id: "q.2".to_string(), ..start(7) }, token(0)],
            steps: ".G",
        },
        Case {
            name: "the end of another attempt",
            next_offset: 0,
            frames: vec![start(7), RunFrame { attempt_id: 1, ..finish(stop, 0) }, token(0)],
            steps: "S.T",
        },
        Case {
            name: "repeated offsets",
            next_offset: 0,
            frames: vec![start(7), token(0), token(0), token(1), token(0), finish(stop, 2)],
            steps: "ST.T.F",
        },
        Case {
            name: "a gap, then the missing token",
            next_offset: 0,
            frames: vec![start(7), token(0), token(2), token(1), token(2), finish(stop, 3)],
            steps: "STGTTF",
        },
        Case {
            name: "an attempt that continues after tokens delivered earlier",
            next_offset: 4,
            frames: vec![start(7), token(3), token(4), finish(stop, 5)],
            steps: "S.TF",
        },
        Case {
            name: "an end that reports more tokens than arrived",
            next_offset: 0,
            frames: vec![start(7), token(0), finish(stop, 3), token(1)],
            steps: "STGT",
        },
        Case {
            name: "an end that reports fewer tokens than arrived",
            next_offset: 0,
            frames: vec![start(7), token(0), token(1), finish(stop, 1)],
            steps: "STTG",
        },
        Case {
            name: "frames after the end",
            next_offset: 0,
            frames: vec![start(7), finish(stop, 0), token(0), start(8), finish(stop, 0)],
            steps: "SF...",
        },
        Case {
            name: "wrong weights at the start, then the expected ones",
            next_offset: 0,
            frames: vec![start(8), start(7), token(0)],
            steps: "W..",
        },
        Case {
            name: "a weight change in the middle",
            next_offset: 0,
            frames: vec![start(7), token(0), start(8), token(1), finish(stop, 2)],
            steps: "STW..",
        },
        Case {
            name: "a repeated start",
            next_offset: 0,
            frames: vec![start(7), start(7), token(0)],
            steps: "S.T",
        },
        Case {
            name: "tokens or an end before the start",
            next_offset: 0,
            frames: vec![token(0), finish(stop, 0), start(7), token(0)],
            steps: "GGST",
        },
        Case {
            name: "a cancelled run is not a complete response",
            next_offset: 0,
            frames: vec![start(7), finish(FinishReason::Cancelled, 0), token(0)],
            steps: "SX.",
        },
        Case {
            name: "a run that fails",
            next_offset: 0,
            frames: vec![start(7), frame(FrameBody::Failed { message: "x".to_string() }), token(0)],
            steps: "SX.",
        },
    ];
    for case in cases {
        let mut progress = progress(case.next_offset, false);
        let steps: String =
            case.frames.into_iter().map(|frame| letter(&progress.step(frame))).collect();
        assert_eq!(steps, case.steps, "{}", case.name);
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(11),
        ..ProptestConfig::default()
    })]

    /// Whatever arrives, the delivered tokens are 0, 1, 2, ... of the caller's own run, and an end
    /// is delivered only after all of them.
    #[test]
    fn any_frame_sequence_delivers_each_token_once(
        frames in prop::collection::vec((0_u8..6, 0_u64..6, 1_u32..4), 0..60)
    ) {
        let mut progress = progress(0, false);
        let mut next = 0;
        let mut ended = false;
        for (kind, number, attempt_id) in frames {
            let frame = match kind {
                0 => start(number + 5),
                1 => finish(FinishReason::Stop, number),
                2 => start(7),
                _ => token(number),
            };
            let of_own_attempt = attempt_id == 2;
            match progress.step(RunFrame { attempt_id, ..frame }) {
                FrameStep::Token { offset, text } => {
                    prop_assert!(of_own_attempt && !ended);
                    prop_assert_eq!(offset, next);
                    prop_assert_eq!(text, format!("t{offset}"));
                    next += 1;
                }
                FrameStep::Finished { answer_tokens, .. } => {
                    prop_assert!(of_own_attempt && !ended);
                    prop_assert_eq!(answer_tokens, next);
                    ended = true;
                }
                FrameStep::WrongWeights(_) => ended = true,
                _ => {}
            }
        }
    }

    #[test]
    fn rejects_arbitrary_text_as_a_resume_token(text in ".{0,200}", bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let key = ResumeKey::from_seed(1);
        let now = SystemTime::UNIX_EPOCH;
        let rejected = Err(ResumeTokenError::NotAuthentic);
        prop_assert_eq!(verify_token(&key, &text, "a", now), rejected.clone());
        let encoded = data_encoding::BASE64URL_NOPAD.encode(&bytes);
        prop_assert_eq!(verify_token(&key, &encoded, "a", now), rejected);
    }

    #[test]
    fn rejects_a_token_with_any_flipped_bit(index in any::<prop::sample::Index>(), bit in 0_u8..8) {
        let key = ResumeKey::from_seed(1);
        let text = sign_token(&key, &claims());
        let mut bytes = data_encoding::BASE64URL_NOPAD.decode(text.as_bytes()).unwrap();
        let index = index.index(bytes.len());
        bytes[index] ^= 1 << bit;
        let altered = data_encoding::BASE64URL_NOPAD.encode(&bytes);
        let result = verify_token(&key, &altered, "cubesat", SystemTime::UNIX_EPOCH);
        prop_assert_eq!(result, Err(ResumeTokenError::NotAuthentic));
    }
}

fn claims() -> ResumeClaims {
    ResumeClaims {
        data_centre: "mnl-a".to_string(),
        runner: "runner-1".to_string(),
        run_id: "r.1".to_string(),
        attempt_id: 1,
        request_id: "r".to_string(),
        account: "cubesat".to_string(),
        model: "model".to_string(),
        weight_version: 3,
        expires_at_ms: 10_000,
        resumable: true,
        ..ResumeClaims::default()
    }
}

#[test]
fn accepts_a_token_only_from_its_account_until_it_expires() {
    struct Case {
        name: &'static str,
        key: ResumeKey,
        account: &'static str,
        at: Duration,
        result: Result<ResumeClaims, ResumeTokenError>,
    }
    let key = || ResumeKey::from_secret(b"secret");
    let soon = Duration::from_millis(9_999);
    let cases = [
        Case { name: "in time", key: key(), account: "cubesat", at: soon, result: Ok(claims()) },
        Case {
            name: "at its expiry",
            key: key(),
            account: "cubesat",
            at: Duration::from_secs(10),
            result: Err(ResumeTokenError::Expired),
        },
        Case {
            name: "another account",
            key: key(),
            account: "relay",
            at: soon,
            result: Err(ResumeTokenError::OtherAccount),
        },
        Case {
            name: "another account, after the expiry: the reply does not disclose the expiry",
            key: key(),
            account: "relay",
            at: Duration::from_secs(10),
            result: Err(ResumeTokenError::OtherAccount),
        },
        Case {
            name: "another key",
            key: ResumeKey::from_secret(b"secrets"),
            account: "cubesat",
            at: soon,
            result: Err(ResumeTokenError::NotAuthentic),
        },
    ];
    for case in cases {
        let text = sign_token(&key(), &claims());
        let result = verify_token(&case.key, &text, case.account, SystemTime::UNIX_EPOCH + case.at);
        assert_eq!(result, case.result, "{}", case.name);
    }
    assert_eq!(unix_milliseconds(SystemTime::UNIX_EPOCH - soon), 0);
}

#[test]
fn cancels_a_retained_run_only_when_its_latest_window_expires() {
    let mut retention = Retention::default();
    retention.attach("r.1");
    let DetachOutcome::Retain(first) = retention.detach("r.1") else { panic!("not retained") };
    assert_eq!(retention.retained_count(), 1);
    retention.attach("r.1");
    assert!(!retention.expire("r.1", first), "it has a reader");
    retention.attach("r.1");
    assert_eq!(retention.detach("r.1"), DetachOutcome::HasReaders);
    let DetachOutcome::Retain(second) = retention.detach("r.1") else { panic!("not retained") };
    assert!(!retention.expire("r.1", first), "a newer window is open");
    assert!(retention.expire("r.1", second));
    assert!(!retention.expire("r.1", second), "only once");
    let DetachOutcome::Retain(third) = retention.detach("r.2") else { panic!("not retained") };
    retention.release("r.2");
    assert!(!retention.expire("r.2", third), "another process reads it");
    for index in 0..10_000 {
        assert!(matches!(retention.detach(&format!("q{index}")), DetachOutcome::Retain(_)));
    }
    assert_eq!(retention.detach("one too many"), DetachOutcome::Cancel);
    assert_eq!(retention.retained_count(), 10_000);
}
