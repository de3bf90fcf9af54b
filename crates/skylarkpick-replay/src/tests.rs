//! Tests of trace files and of their replay.

use crate::{
    AdmissionControl, AdmitAll, FleetName, Metric, PolicyName, ReplayOptions, Trace, TraceKind,
    TraceRequest, Verdict, generate_trace, html_report, parse_faults, parse_trace, replay_trace,
    text_table, write_trace,
};
use std::time::Duration;

const HEADER: &str = r#"{"trace": {"format": 1, "name": "case"}}"#;

/// A fleet of one runner and one store, for which the expected metrics can be computed by hand.
const FLEET: &str = r#"{"fleet": {"model": "m", "data_centres": [{"name": "dc", "region": "r",
    "entries": 1, "runners": 1, "stores": [{"name": "s", "memory_size_bytes": 100000000,
    "disk_size_bytes": 100000000, "link_bytes_per_second": 100000000,
    "disk_bytes_per_second": 100000000}]}], "same_region_ms": 1, "client_ms": 1,
    "prefill_tokens_per_second": 1000, "slots": 4, "cache_tokens": 2048,
    "token_interval_ms": 10, "context_bytes_per_token": 1000, "load_report_interval_ms": 250,
    "load_report_age_ms": 250, "cache_event_age_ms": 100, "weight_load_ms": 1000}}"#;

fn request(at_ms: u64, prefix: &str) -> String {
    format!(
        r#"{{"request": {{"at_ms": {at_ms}, "account": "a", "prefix": "{prefix}",
        "prefix_tokens": 2048, "question_tokens": 10, "answer_tokens": 10}}}}"#
    )
    .replace('\n', " ")
}

fn trace(lines: &[String]) -> Trace {
    let fleet = FLEET.replace('\n', " ");
    let text = format!("{HEADER}\n{fleet}\n{}\n", lines.join("\n"));
    parse_trace(&text).unwrap()
}

#[test]
fn rejects_an_invalid_trace_with_the_line_number() {
    struct Case {
        name: &'static str,
        text: String,
        message: &'static str,
    }
    let fleet = FLEET.replace('\n', " ");
    let both = request(0, "p").replace("\"at_ms\": 0", "\"at_ms\": 0, \"gap_ms\": 1");
    let cases = [
        Case {
            name: "empty",
            text: String::new(),
            message: "the trace has no lines after its header",
        },
        Case { name: "no header", text: fleet.clone(), message: "line 1: the first line must be" },
        Case {
            name: "other format",
            text: r#"{"trace": {"format": 9, "name": "x"}}"#.to_string(),
            message: "line 1: format 9 is not supported; expected 1",
        },
        Case {
            name: "unknown field",
            text: format!("{HEADER}\n{}", fleet.replace("\"slots\"", "\"slot\"")),
            message: "line 2: unknown field `slot`",
        },
        Case {
            name: "both times",
            text: format!("{HEADER}\n{fleet}\n{both}"),
            message: "line 3: a request needs either at_ms or gap_ms",
        },
        Case {
            name: "no fleet",
            text: format!("{HEADER}\n{}", request(0, "p")),
            message: "the trace has no fleet line",
        },
        Case {
            name: "fault without target",
            text: format!("{HEADER}\n{{\"fault\": {{\"at_ms\": 1, \"kind\": \"store_down\"}}}}"),
            message: "line 2: the fault has no target",
        },
    ];
    for case in cases {
        let error = parse_trace(&case.text).unwrap_err().to_string();
        assert!(error.contains(case.message), "{}: {error}", case.name);
    }
}

#[test]
fn a_written_trace_parses_to_the_same_trace() {
    for (name, kind) in TraceKind::ALL {
        let generated = generate_trace(FleetName::Viti, kind, 3);
        let short = parse_trace(&write_trace(&generated)).unwrap();
        assert!(short == generated, "{name}");
        let expanded = Trace { generated: None, ..generated };
        assert!(parse_trace(&write_trace(&expanded)).unwrap() == expanded, "{name}");
    }
}

#[test]
fn gap_ms_counts_from_the_last_request_of_the_prefix() {
    let gap = request(0, "p").replace("\"at_ms\": 0", "\"gap_ms\": 500");
    let trace = trace(&[request(1_000, "p"), request(1_200, "q"), gap]);
    let times: Vec<u128> = trace.requests.iter().map(|request| request.at.as_millis()).collect();
    assert_eq!(times, [1_000, 1_200, 1_500]);
}

#[test]
fn metrics_match_those_computed_by_hand() {
    struct Case {
        name: &'static str,
        requests: Vec<String>,
        policy: PolicyName,
        recomputed_share: f64,
        last_p99_ms: f64,
        link_bytes: u64,
    }
    let repeated = vec![request(0, "p"), request(10_000, "p")];
    let evicted = vec![request(0, "p"), request(10_000, "q"), request(20_000, "p")];
    let cases = [
        Case {
            name: "still cached by the runner",
            requests: repeated,
            policy: PolicyName::RoundRobin,
            recomputed_share: 0.5,
            last_p99_ms: 2_060.0,
            link_bytes: 0,
        },
        Case {
            name: "evicted and computed again",
            requests: evicted.clone(),
            policy: PolicyName::RoundRobin,
            recomputed_share: 1.0,
            last_p99_ms: 2_060.0,
            link_bytes: 0,
        },
        Case {
            name: "evicted and imported",
            requests: evicted,
            policy: PolicyName::Skylarkpick,
            recomputed_share: 2.0 / 3.0,
            last_p99_ms: 2_060.0,
            link_bytes: 3 * 2_048_000,
        },
    ];
    for case in cases {
        let trace = trace(&case.requests);
        let options = ReplayOptions {
            policy: case.policy,
            baselines: Vec::new(),
            ..ReplayOptions::default()
        };
        let replay = replay_trace(&trace, &options);
        let found = &replay.measures[&case.policy];
        assert!((found.recomputed_share - case.recomputed_share).abs() < 1e-9, "{}", case.name);
        assert!((found.first_token_p99_ms - case.last_p99_ms).abs() < 0.1, "{}", case.name);
        assert_eq!(found.link_bytes, case.link_bytes, "{}", case.name);
        assert_eq!(found.refusals, 0, "{}", case.name);
    }
}

#[test]
fn every_policy_finishes_every_request_of_every_trace_kind() {
    for (name, kind) in TraceKind::ALL {
        let mut trace = generate_trace(FleetName::Bantay, kind, 5);
        trace.requests.retain(|request| (1_150..1_300).contains(&request.at.as_secs()));
        let admission: fn(&Trace) -> Box<dyn AdmissionControl> = |_| Box::new(AdmitAll);
        let options = ReplayOptions { admission, ..ReplayOptions::default() };
        let replay = replay_trace(&trace, &options);
        let again = replay_trace(&trace, &options);
        assert_eq!(replay, again, "{name}");
        for (policy, measures) in &replay.measures {
            assert_eq!(measures.refusals, 0, "{name} {}", policy.name());
            let floor = replay.floors.recomputed_share;
            assert!(measures.recomputed_share >= floor, "{name} {}", policy.name());
        }
    }
}

#[test]
fn retries_requests_of_a_crashed_runner() {
    let fault = |target: &str| {
        format!(
            "{{\"fault\": {{\"at_ms\": 500, \"until_ms\": 5000, \"kind\": \"runner_down\", \
             \"target\": \"{target}\"}}}}"
        )
    };
    let trace = trace(&[request(0, "p"), fault("dc-runner-000")]);
    let replay = replay_trace(&trace, &ReplayOptions::default());
    let own = &replay.measures[&PolicyName::Skylarkpick];
    assert_eq!(own.refusals, 0);
    assert!(own.first_token_p50_ms > 5_000.0, "{}", own.first_token_p50_ms);
}

#[test]
fn reports_an_outcome_that_does_not_hold() {
    let outcome = |limit: f64| {
        let measure = serde_json::to_string(&Metric::FirstTokenP95Ms).unwrap();
        format!("{{\"outcome\": {{\"measure\": {measure}, \"at_most\": {limit}}}}}")
    };
    for (limit, holds) in [(2_061.0, true), (2_059.0, false)] {
        let trace = trace(&[request(0, "p"), outcome(limit)]);
        let replay = replay_trace(&trace, &ReplayOptions::default());
        assert_eq!(replay.all_hold(), holds, "{limit}");
        assert_eq!(text_table(std::slice::from_ref(&replay)).contains("BROKEN"), !holds);
        assert_eq!(html_report(&[replay]).unwrap().contains("class=\"broken\""), !holds);
    }
}

#[test]
fn parses_a_file_with_only_fault_lines() {
    let text = "{\"fault\": {\"at_ms\": 1, \"kind\": \"slow_link\", \"factor\": 0.1}}\n";
    assert_eq!(parse_faults(text).unwrap()[0].factor, Some(0.1));
    assert!(parse_faults(&text.replace("0.1", "0")).is_err());
}

/// Runs one request at a time and refuses those of one account.
#[derive(Default)]
struct OneAtATime {
    running: Option<usize>,
    waiting: Vec<usize>,
}

impl AdmissionControl for OneAtATime {
    fn admit(&mut self, _: usize, number: usize, request: &TraceRequest, _: Duration) -> Verdict {
        if request.account == "refused" {
            return Verdict::Refuse;
        }
        if self.running.is_some() {
            self.waiting.push(number);
            return Verdict::Wait;
        }
        self.running = Some(number);
        Verdict::Start
    }

    fn request_ended(&mut self, number: usize, _: Duration) {
        self.running.take_if(|running| *running == number);
    }

    fn advance(&mut self, _: Duration) -> Vec<(usize, Verdict)> {
        if self.running.is_some() || self.waiting.is_empty() {
            return Vec::new();
        }
        let next = self.waiting.remove(0);
        self.running = Some(next);
        vec![(next, Verdict::Start)]
    }
}

#[test]
fn refused_and_waiting_requests_are_not_routed() {
    let refused = request(0, "p").replace("\"account\": \"a\"", "\"account\": \"refused\"");
    let trace = trace(&[request(0, "p"), request(1, "p"), refused]);
    let metrics_with = |admission: fn(&Trace) -> Box<dyn AdmissionControl>| {
        let baselines = Vec::new();
        let options = ReplayOptions { baselines, admission, ..ReplayOptions::default() };
        replay_trace(&trace, &options).measures[&PolicyName::Skylarkpick].clone()
    };
    let one_at_a_time = metrics_with(|_| Box::<OneAtATime>::default());
    assert_eq!(one_at_a_time.refusals, 1);
    // The second request waits for the complete first one: the prefill of 2,058 tokens and 10
    // response tokens, then its own prefill of 10 tokens.
    assert!((one_at_a_time.first_token_p99_ms - 2_169.0).abs() < 0.1, "{one_at_a_time:?}");
    let all_at_once = metrics_with(|_| Box::new(AdmitAll));
    assert_eq!(all_at_once.refusals, 0);
}
