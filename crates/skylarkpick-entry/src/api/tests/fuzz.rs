//! Arbitrary request bodies and paths are parsed or rejected, without a panic.

use crate::api::{bodies::CompletionBody, json::read_json, routes, services};
use http::Method;
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, RngSeed, TestRunner},
};
use skylarkpick_config::Patch;

fn test_runner() -> TestRunner {
    TestRunner::new(Config {
        cases: 1_024,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(11),
        ..Config::default()
    })
}

fn parse_all(content: &[u8]) {
    let completion = read_json::<CompletionBody>(content);
    let patch = read_json::<Patch>(content);
    for failure in [completion.err(), patch.err()].into_iter().flatten() {
        assert!(failure.message.starts_with("invalid request body: "));
        assert!(failure.message.len() < 2 * content.len() + 1_000, "{}", failure.message);
    }
}

#[test]
fn arbitrary_bodies_are_parsed_or_rejected() {
    let bytes = prop::collection::vec(any::<u8>(), 0..512);
    test_runner()
        .run(&bytes, |bytes| {
            parse_all(&bytes);
            Ok(())
        })
        .unwrap();
}

#[test]
fn bodies_of_json_fragments_are_parsed_or_rejected() {
    let fragment = prop::sample::select(vec![
        "{",
        "}",
        "[",
        "]",
        ":",
        ",",
        "\"model\"",
        "\"messages\"",
        "\"prompt\"",
        "\"role\"",
        "1e999",
        "-0",
        "null",
        "true",
        "\"`\"",
        "\"\\u0000\"",
        "18446744073709551616",
        "\"max_tokens\"",
    ]);
    let body = prop::collection::vec(fragment, 0..40).prop_map(|fragments| fragments.concat());
    test_runner()
        .run(&body, |body| {
            parse_all(body.as_bytes());
            Ok(())
        })
        .unwrap();
}

#[test]
fn arbitrary_paths_are_routed_or_rejected() {
    test_runner()
        .run(&"(/v1/services/)?[ -~é]{0,60}", |path| {
            let _ = routes::find(&Method::POST, &path);
            if let Ok((service, path)) = services::service_and_path(&path) {
                prop_assert!(!service.contains('/'));
                prop_assert!(path.starts_with('/') && !path.contains("//") && !path.contains('%'));
            }
            Ok(())
        })
        .unwrap();
}
