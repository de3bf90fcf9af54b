//! Tests of status updates and of the check before an import.

use super::{ImportRefusal, SaveStatus, StatusUpdate, check_import};
use skylarkpick_interface::{
    Manifest,
    ManifestState::{Freed, Retiring, Sealed, Writing},
    SavedPrefix, StoreTier,
};

#[test]
fn ignores_updates_that_are_not_newer() {
    let states = [Writing, Sealed, Retiring, Freed];
    for (known_step, known) in states.into_iter().enumerate() {
        for (step, state) in states.into_iter().enumerate() {
            for generation in 4..=6 {
                let mut status = SaveStatus { generation: 5, state: known };
                let newer = generation > 5 || (generation == 5 && step > known_step);
                let update = status.observe(generation, state);
                assert_eq!(update == StatusUpdate::Applied, newer, "{known:?} {state:?}");
                let expected = if newer {
                    SaveStatus { generation, state }
                } else {
                    SaveStatus { generation: 5, state: known }
                };
                assert_eq!(status, expected);
                assert_eq!(status.is_importable(), status.state == Sealed);
            }
        }
    }
}

#[test]
fn refuses_to_import_a_copy_that_does_not_match_the_request() {
    struct Case {
        name: &'static str,
        change: fn(&mut Manifest),
        refusal: Option<ImportRefusal>,
    }
    let cases = [
        Case { name: "as saved", change: |_| {}, refusal: None },
        Case {
            name: "writing",
            change: |manifest| manifest.state = Writing,
            refusal: Some(ImportRefusal::NotSealed),
        },
        Case {
            name: "retiring",
            change: |manifest| manifest.state = Retiring,
            refusal: Some(ImportRefusal::NotSealed),
        },
        Case {
            name: "freed",
            change: |manifest| manifest.state = Freed,
            refusal: Some(ImportRefusal::NotSealed),
        },
        Case {
            name: "without a digest",
            change: |manifest| manifest.digest.clear(),
            refusal: Some(ImportRefusal::NotSealed),
        },
        Case {
            name: "saved again",
            change: |manifest| manifest.generation = 8,
            refusal: Some(ImportRefusal::OtherGeneration),
        },
        Case {
            name: "another account",
            change: |manifest| manifest.prefix.account = "relay".to_string(),
            refusal: Some(ImportRefusal::OtherAccount),
        },
        Case {
            name: "other weights",
            change: |manifest| manifest.prefix.weight_version = 2,
            refusal: Some(ImportRefusal::OtherWeights),
        },
        Case {
            name: "other blocks",
            change: |manifest| manifest.prefix.prefix_keys[0] = 9,
            refusal: Some(ImportRefusal::OtherBlocks),
        },
        Case {
            name: "longer than the prompt",
            change: |manifest| manifest.prefix.prefix_keys = vec![1, 2, 3, 4],
            refusal: Some(ImportRefusal::OtherBlocks),
        },
        Case {
            name: "no blocks",
            change: |manifest| manifest.prefix.prefix_keys.clear(),
            refusal: Some(ImportRefusal::OtherBlocks),
        },
    ];
    for case in cases {
        let prefix = SavedPrefix {
            prefix_key: 2,
            prefix_keys: vec![1, 2],
            account: "cubesat".to_string(),
            weight_version: 1,
            tokens: 512,
            size_bytes: 1_000,
            tier: StoreTier::Memory,
        };
        let mut manifest =
            Manifest { prefix, generation: 7, digest: "d".to_string(), state: Sealed };
        (case.change)(&mut manifest);
        let checked = check_import(&manifest, 7, "cubesat", 1, &[1, 2, 3]);
        assert_eq!(checked.err(), case.refusal, "{}", case.name);
    }
}
