//! Tables of cases for the life of a saved prefix.

use super::{ImportRefusal, SaveStatus, StatusUpdate, check_import};
use skylarkpick_interface::{
    Manifest,
    ManifestState::{Freed, Retiring, Sealed, Writing},
    SavedPrefix, StoreTier,
};

#[test]
fn news_never_lead_back() {
    let states = [Writing, Sealed, Retiring, Freed];
    for (known_step, known) in states.into_iter().enumerate() {
        for (step, state) in states.into_iter().enumerate() {
            for generation in 4..=6 {
                let mut life = SaveStatus { generation: 5, state: known };
                let newer = generation > 5 || (generation == 5 && step > known_step);
                let observation = life.observe(generation, state);
                assert_eq!(observation == StatusUpdate::Applied, newer, "{known:?} {state:?}");
                let expected = if newer {
                    SaveStatus { generation, state }
                } else {
                    SaveStatus { generation: 5, state: known }
                };
                assert_eq!(life, expected);
                assert_eq!(life.is_importable(), life.state == Sealed);
            }
        }
    }
}

#[test]
fn a_copy_is_checked_at_the_moment_of_use() {
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
