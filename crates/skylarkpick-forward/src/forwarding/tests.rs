//! Tests of splitting event streams into events, and of the retry delays of rejected clients.

use super::{event_splitter::EventSplitter, hand_over::mark_refused, response::GatewayError};
use crate::hand_over::Refusal;
use http::{HeaderMap, request, response};
use skylarkpick_interface::{Dialect, HeadError, RequestHead, RequestMetadata, ResponseMetadata};
use std::time::Duration;

/// Dialect that writes the retry delay as a header in milliseconds.
struct PlainDialect;

impl Dialect for PlainDialect {
    fn read_request(&self, _: &request::Parts) -> Result<RequestHead, HeadError> {
        Ok(RequestHead::default())
    }

    fn write_request(&self, head: &RequestHead, _: &RequestMetadata) -> HeaderMap {
        head.headers.clone()
    }

    fn read_response(&self, _: &response::Parts) -> ResponseMetadata {
        ResponseMetadata::default()
    }

    fn write_retry_after(&self, headers: &mut HeaderMap, wait: Duration) {
        headers.insert("retry-after", wait.as_millis().to_string().parse().unwrap());
    }

    fn response_headers(&self, headers: &HeaderMap) -> HeaderMap {
        headers.clone()
    }

    fn write_attempt_id(&self, _: &mut HeaderMap, _: &str) {}
}

#[test]
fn event_streams_are_split_into_complete_events() {
    struct Case {
        name: &'static str,
        pieces: &'static [&'static str],
        events: &'static [(Option<u64>, &'static str)],
        is_empty: bool,
    }
    let cases = [
        Case {
            name: "one by one",
            pieces: &["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"],
            events: &[(Some(1), "id: 1\ndata: a\n\n"), (Some(2), "id: 2\ndata: b\n\n")],
            is_empty: true,
        },
        Case {
            name: "pieces that end within events",
            pieces: &["id", ": 1\nda", "ta: a\n", "\nid: 2\n"],
            events: &[(Some(1), "id: 1\ndata: a\n\n")],
            is_empty: false,
        },
        Case {
            name: "lines that end in CRLF",
            pieces: &["id: 7\r\ndata: a\r\n\r\n"],
            events: &[(Some(7), "id: 7\r\ndata: a\r\n\r\n")],
            is_empty: true,
        },
        Case {
            name: "a field before the ID, and an event without an ID",
            pieces: &["weights: 3\nid: 4\ndata: a\n\n: note\n\n"],
            events: &[(Some(4), "weights: 3\nid: 4\ndata: a\n\n"), (None, ": note\n\n")],
            is_empty: true,
        },
    ];
    for case in cases {
        let mut splitter = EventSplitter::default();
        let mut events = Vec::new();
        for piece in case.pieces {
            splitter.push(piece.as_bytes());
            while let Some(event) = splitter.next_event().unwrap() {
                events.push((event.id, String::from_utf8(event.bytes.to_vec()).unwrap()));
            }
        }
        let expected: Vec<(Option<u64>, String)> =
            case.events.iter().map(|(id, text)| (*id, text.to_string())).collect();
        assert_eq!(events, expected, "{}", case.name);
        assert_eq!(splitter.is_empty(), case.is_empty, "{}", case.name);
    }
}

#[test]
fn an_event_that_is_too_long_is_an_error_whether_it_is_complete_or_not() {
    struct Case {
        name: &'static str,
        piece: &'static str,
        repeats: usize,
        end: &'static str,
        is_error: bool,
    }
    let cases = [
        Case {
            name: "at the limit",
            piece: "data:\r\n",
            repeats: 4_680,
            end: "\r\n",
            is_error: false,
        },
        Case { name: "no end", piece: "data:\r\n", repeats: 4_682, end: "", is_error: true },
        Case { name: "with an end", piece: "data:\r\n", repeats: 4_682, end: "\n", is_error: true },
        Case { name: "one line", piece: "a", repeats: 32_769, end: "", is_error: true },
        Case { name: "comments", piece: ":\n", repeats: 16_385, end: "", is_error: true },
        Case { name: "short events", piece: "id: 1\n\n", repeats: 9_000, end: "", is_error: false },
    ];
    for case in cases {
        let text = format!("{}{}", case.piece.repeat(case.repeats), case.end);
        // In one piece and byte by byte.
        for step in [text.len(), 1] {
            let mut splitter = EventSplitter::default();
            let mut is_error = false;
            let mut length = 0;
            for piece in text.as_bytes().chunks(step) {
                splitter.push(piece);
                loop {
                    match splitter.next_event() {
                        Ok(Some(event)) => length += event.bytes.len(),
                        Ok(None) => break,
                        Err(_) => {
                            is_error = true;
                            break;
                        }
                    }
                }
            }
            assert_eq!(is_error, case.is_error, "{}, step {step}", case.name);
            assert!(is_error || length == text.len(), "{}, step {step}", case.name);
        }
    }
}

#[test]
fn rejected_clients_retry_after_the_expected_wait_plus_jitter() {
    struct Case {
        wait_ms: u64,
        jitter: f64,
        retry_ms: u64,
    }
    let cases = [
        Case { wait_ms: 0, jitter: 0.0, retry_ms: 150 },
        Case { wait_ms: 0, jitter: 0.999, retry_ms: 599 },
        Case { wait_ms: 1_000, jitter: 0.0, retry_ms: 1_000 },
        Case { wait_ms: 1_000, jitter: 0.5, retry_ms: 1_500 },
    ];
    for case in cases {
        let error = GatewayError::RetryLater { wait: Duration::from_millis(case.wait_ms) };
        let response = error.response(&PlainDialect, "a1", case.jitter);
        assert_eq!(response.status(), 503);
        assert_eq!(response.headers()["retry-after"], case.retry_ms.to_string());
    }
}

#[test]
fn a_request_that_a_process_has_sent_is_not_offered_to_others_without_its_attempts() {
    struct Case {
        name: &'static str,
        error: GatewayError,
        is_sent_here: bool,
        refusal: Option<Refusal>,
    }
    let wait = Duration::from_millis(300);
    let (no_place, cut_off) = (GatewayError::NoPlace { wait }, GatewayError::CutOff { wait });
    let cases = [
        Case {
            name: "no place",
            error: no_place.clone(),
            is_sent_here: false,
            refusal: Some(Refusal::NoPlace),
        },
        Case { name: "sent, no place", error: no_place, is_sent_here: true, refusal: None },
        Case {
            name: "cut off",
            error: cut_off.clone(),
            is_sent_here: false,
            refusal: Some(Refusal::CutOff),
        },
        Case { name: "sent, cut off", error: cut_off, is_sent_here: true, refusal: None },
        Case {
            name: "full",
            error: GatewayError::RetryLater { wait },
            is_sent_here: false,
            refusal: None,
        },
    ];
    for case in cases {
        let mut response = case.error.response(&PlainDialect, "a1", 0.0);
        mark_refused(&mut response, &case.error, case.is_sent_here);
        assert_eq!(
            Refusal::read(response.status(), response.headers()),
            case.refusal,
            "{}",
            case.name
        );
    }
}
