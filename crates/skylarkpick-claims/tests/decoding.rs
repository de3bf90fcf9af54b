//! Property tests with log objects of arbitrary content: the shard doesn't panic, and grants no
//! claim while it cannot decode an object.

use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, RngSeed, TestRunner},
};
use prost::Message;
use skylarkpick_claims::{
    Action, Call, CallResult, ClaimReply, ClaimSettings, FoundObject, Input, ListedNumber, Reply,
    ShardStateMachine, Time,
};
use skylarkpick_interface::StoreRevision;
use skylarkpick_protocol::stored::{ClaimBatch, ClaimEntry, Claimed, Outcome, claim_entry::Body};
use std::time::Duration;

const SEED: u64 = 20_261_203;
const KEY: [u8; 32] = [7; 32];
const CLAIM_ID: [u8; 16] = [9; 16];

fn runner(cases: u32) -> TestRunner {
    TestRunner::new(Config {
        cases,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(SEED),
        ..Config::default()
    })
}

fn bytes(length: usize) -> impl Strategy<Value = Vec<u8>> {
    prop_oneof![Just(KEY[..length.min(32)].to_vec()), prop::collection::vec(any::<u8>(), 0..40),]
}

fn entry() -> impl Strategy<Value = ClaimEntry> {
    let claimed = (bytes(0), any::<u64>()).prop_map(|(request_digest, time_allowed_ms)| {
        Body::Claimed(Claimed { request_digest, time_allowed_ms, ..Claimed::default() })
    });
    let outcome = (any::<i32>(), any::<u32>())
        .prop_map(|(ran, status)| Body::Outcome(Outcome { ran, status, ..Outcome::default() }));
    let body = prop::option::of(prop_oneof![claimed, outcome]);
    (bytes(32), bytes(16), any::<u64>(), body).prop_map(
        |(key_digest, claim_id, written_at_ms, body)| ClaimEntry {
            key_digest,
            claim_id,
            written_at_ms,
            body,
        },
    )
}

/// Claims a key in a shard that holds one object; `None` stands for one that cannot be decoded.
fn claim_after(batch: Option<ClaimBatch>) -> Vec<Reply> {
    let now = Time { since_boot: Duration::from_secs(100), wall_ms: u64::MAX };
    let mut shard = ShardStateMachine::open(ClaimSettings::new("entry"));
    let claimed = Claimed { request_digest: vec![1], ..Claimed::default() };
    shard.handle(Input::Claim { claim_id: CLAIM_ID, key: KEY, claimed }, now);
    let mut replies = Vec::new();
    for _ in 0..6 {
        if let Action::Call(call) = shard.next_action(now) {
            let result = match call {
                Call::List { .. } => {
                    CallResult::Listed(vec![ListedNumber { number: u64::MAX - 9, more: false }])
                }
                Call::Get { number, count } => {
                    let object = |at| {
                        let found = FoundObject {
                            version: StoreRevision { era: 0, number: 1 },
                            batch: batch.clone(),
                        };
                        (at == u64::MAX - 9).then_some(found)
                    };
                    CallResult::Found((number..number + count).map(object).collect())
                }
                _ => CallResult::Written(StoreRevision { era: 0, number: 2 }),
            };
            shard.complete_call(result, now);
        }
        replies.extend(shard.take_replies());
    }
    replies
}

#[test]
fn refuses_claims_if_an_object_cannot_be_decoded() {
    runner(5_000)
        .run(&prop::collection::vec(any::<u8>(), 0..300), |content| {
            let batch = ClaimBatch::decode(content.as_slice()).ok();
            let is_decoded = batch.is_some();
            let replies = claim_after(batch);
            let granted = replies.contains(&Reply::Claim(CLAIM_ID, ClaimReply::Granted));
            prop_assert!(is_decoded || !granted);
            Ok(())
        })
        .unwrap();
}

#[test]
fn never_grants_a_claimed_key_without_an_outcome() {
    runner(5_000)
        .run(&prop::collection::vec(entry(), 0..12), |entries| {
            let is_claim = |entry: &ClaimEntry| {
                entry.key_digest == KEY
                    && entry.claim_id.len() == 16
                    && matches!(entry.body, Some(Body::Claimed(_)))
            };
            let holds_claim = entries.iter().any(is_claim);
            let holds_outcome = entries.iter().any(|it| matches!(it.body, Some(Body::Outcome(_))));
            let replies = claim_after(Some(ClaimBatch { entries }));
            let granted = replies.contains(&Reply::Claim(CLAIM_ID, ClaimReply::Granted));
            prop_assert!(!granted || !holds_claim || holds_outcome);
            prop_assert!(granted || holds_claim, "a free key was not granted: {replies:?}");
            Ok(())
        })
        .unwrap();
}
