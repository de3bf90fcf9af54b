use super::request_identity::{Caller, request_number};
use http::Method;
use std::collections::BTreeSet;

#[test]
fn requests_that_differ_in_method_path_caller_or_body_have_numbers_of_their_own() {
    let (acme, other) = ("acme".to_string(), "other".to_string());
    let requests = [
        (Method::GET, "/a/b", Caller::Account(&acme), ""),
        (Method::POST, "/a/b", Caller::Account(&acme), ""),
        (Method::GET, "/a/b?c", Caller::Account(&acme), ""),
        (Method::GET, "/a/", Caller::Account(&acme), "b"),
        (Method::GET, "/a/b", Caller::Account(&other), ""),
        (Method::GET, "/a/b", Caller::Key("acme"), ""),
        (Method::GET, "/a/b", Caller::Unknown, ""),
        (Method::GET, "/a/b", Caller::Unknown, "acme"),
    ];
    let numbers: BTreeSet<u64> = requests
        .iter()
        .map(|(method, path, caller, body)| request_number(method, path, *caller, body.as_bytes()))
        .collect();
    assert_eq!(numbers.len(), requests.len());
}

#[test]
fn the_number_of_a_request_stays_the_same_in_later_versions() {
    let account = "acme".to_string();
    let caller = Caller::Account(&account);
    assert_eq!(
        request_number(&Method::POST, "/a/b?c=d", caller, b"body"),
        7_450_782_788_398_358_026
    );
}
