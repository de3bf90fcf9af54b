//! Tests that the checks of changes and of returns of the store report violations and nothing else.

use crate::{
    change_checks::check_changes,
    checks::check_history,
    clients::MAIN_KEY,
    history::{ConfiguredKey, ConfiguredRoute, Disturbance, DisturbanceScope, History},
    return_checks::check_returns,
    test_history::{arrival, served_call},
};
use std::time::Duration;
use tokio::time::Instant;

const IN_FORCE_RULE: &str = "a change of the configuration is in force within its time limit";
const DOWNGRADE_RULE: &str = "a process never goes back to an older configuration";
const SERVICE_RULE: &str = "requests are served also around a return of the platform's store";
const DRAIN_RULE: &str = "a process does not forget that a target drains";
const SERVED_RULE: &str = "every valid request is served after the recovery time";
const KEY_RULE: &str = "API keys are accepted and rejected as configured";

/// Times in milliseconds after the start of the history.
type Milliseconds = u64;

/// A history whose main key has been configured for long, under construction.
struct Draft {
    history: History,
    start: Instant,
}

impl Draft {
    fn begin() -> Draft {
        let history = History::begin();
        let start = history.started_at + Duration::from_secs(20);
        let mut draft = Draft { history, start };
        let from = draft.history.started_at;
        draft.history.keys.push(ConfiguredKey { key: MAIN_KEY.to_string(), from, until: None });
        draft
    }

    fn at(&self, at_ms: Milliseconds) -> Instant {
        self.start + Duration::from_millis(at_ms)
    }

    fn key(mut self, key: &str, from_ms: Milliseconds, until_ms: Option<Milliseconds>) -> Draft {
        let (from, until) = (self.at(from_ms), until_ms.map(|until_ms| self.at(until_ms)));
        self.history.keys.push(ConfiguredKey { key: key.to_string(), from, until });
        self
    }

    fn route(mut self, from_ms: Milliseconds, until_ms: Option<Milliseconds>) -> Draft {
        let (from, until) = (self.at(from_ms), until_ms.map(|until_ms| self.at(until_ms)));
        self.history.added_routes.push(ConfiguredRoute { name: "added", from, until });
        self
    }

    /// Adds a call at process 0 with a key, to the added route if it is the main key.
    fn call(mut self, key: &str, at_ms: Milliseconds, status: u16) -> Draft {
        let path = if key == MAIN_KEY { "/added/probe" } else { "/read/probe" };
        let id = format!("call-{}", self.history.calls.len());
        let mut call = served_call(&id, path, self.at(at_ms));
        call.request.key = key.to_string();
        call.response.status = Some(status);
        if status == 200 {
            self.history.arrivals.push(arrival(&call, "i-1"));
        }
        self.history.calls.push(call);
        self
    }

    /// Adds calls on a constant route, of which the first `served` are served.
    fn constant_calls(mut self, first_ms: Milliseconds, served: usize, refused: usize) -> Draft {
        for index in 0..served + refused {
            let id = format!("call-{}", self.history.calls.len());
            let mut call = served_call(&id, "/read/1", self.at(first_ms + 10 * index as u64));
            call.response.status = Some(if index < served { 200 } else { 503 });
            self.history.calls.push(call);
        }
        self
    }

    /// Adds a request that arrives at the target `i-1` when it is sent.
    fn arrives(mut self, at_ms: Milliseconds) -> Draft {
        let id = format!("call-{}", self.history.calls.len());
        let call = served_call(&id, "/read/1", self.at(at_ms));
        self.history.arrivals.push(arrival(&call, "i-1"));
        self.history.calls.push(call);
        self
    }

    fn disturbed(
        mut self,
        scope: DisturbanceScope,
        from_ms: Milliseconds,
        until_ms: Milliseconds,
    ) -> Draft {
        let (from, until) = (self.at(from_ms), self.at(until_ms));
        self.history.disturbances.push(Disturbance { scope, from, until });
        self
    }

    /// Adds a return of the store, which loses the configuration until it is written again.
    fn returned(
        self,
        away_ms: Milliseconds,
        back_ms: Milliseconds,
        rewritten_ms: Option<Milliseconds>,
    ) -> Draft {
        let mut draft = self.disturbed(DisturbanceScope::Platform, away_ms, back_ms);
        let (away, back) = (draft.at(away_ms), draft.at(back_ms));
        let rewritten = rewritten_ms.map(|it| draft.at(it));
        draft.history.store_returns.push((away, back));
        draft.history.configuration_losses.push((away, rewritten));
        draft
    }

    fn drains(mut self, at_ms: Milliseconds) -> Draft {
        let at = self.at(at_ms);
        self.history.draining.push(("i-1".to_string(), at));
        self
    }

    fn rules(&self) -> Vec<&'static str> {
        let mut findings = Vec::new();
        check_changes(&self.history, &mut findings);
        check_returns(&self.history, &mut findings);
        findings.iter().map(|finding| finding.rule).collect()
    }
}

struct Case {
    name: &'static str,
    draft: Draft,
    rules: &'static [&'static str],
}

fn assert_rules(cases: Vec<Case>) {
    for case in cases {
        assert_eq!(case.draft.rules(), case.rules, "{}", case.name);
    }
}

#[test]
fn a_change_that_is_not_in_force_in_time_is_reported() {
    let case = |name, draft, rules| Case { name, draft, rules };
    let key = || Draft::begin().key("k", 0, None);
    let route = || Draft::begin().route(0, None);
    let returned = || Draft::begin().returned(0, 500, None).key("k", 1_000, None);
    let process = DisturbanceScope::Process(0);
    assert_rules(vec![
        case("a key in time", key().call("k", 1_900, 401).call("k", 2_100, 200), &[]),
        case("a key too late", key().call("k", 2_100, 401), &[IN_FORCE_RULE]),
        case("a route too late", route().call(MAIN_KEY, 2_100, 404), &[IN_FORCE_RULE]),
        case("a refusal for other reasons", route().call(MAIN_KEY, 2_100, 503), &[]),
        case(
            "a revoked key too late",
            Draft::begin().key("k", 0, Some(5_000)).call("k", 7_100, 200),
            &[IN_FORCE_RULE],
        ),
        case(
            "a removed route in time",
            Draft::begin().route(0, Some(5_000)).call(MAIN_KEY, 6_900, 200),
            &[],
        ),
        case(
            "a removed route too late",
            Draft::begin().route(0, Some(5_000)).call(MAIN_KEY, 7_100, 200),
            &[IN_FORCE_RULE],
        ),
        case("a disturbed process", key().disturbed(process, 0, 100).call("k", 3_000, 401), &[]),
        case(
            "a process in touch again",
            key().disturbed(process, 0, 100).call("k", 3_200, 401),
            &[IN_FORCE_RULE],
        ),
        case(
            "another process is disturbed",
            key().disturbed(DisturbanceScope::Process(1), 2_000, 2_100).call("k", 2_200, 401),
            &[IN_FORCE_RULE],
        ),
        case("within the window after a return", returned().call("k", 3_400, 401), &[]),
    ]);
    let rewritten = |at_ms| Draft::begin().returned(0, 500, Some(at_ms)).key("k", 1_000, None);
    assert_rules(vec![
        case("after a return", rewritten(1_000).call("k", 3_600, 401), &[IN_FORCE_RULE]),
        case("in time after a late rewrite", rewritten(2_500).call("k", 4_400, 401), &[]),
        case("after a late rewrite", rewritten(2_500).call("k", 4_600, 401), &[IN_FORCE_RULE]),
    ]);
}

#[test]
fn an_older_configuration_in_one_life_of_a_process_is_reported() {
    let case = |name, draft, rules| Case { name, draft, rules };
    let keys = || Draft::begin().key("j", 0, Some(1_000)).key("k", 1_000, None);
    let lost = || keys().returned(1_200, 1_400, None).call("k", 1_100, 200);
    let restart = DisturbanceScope::PlannedRestart(0);
    assert_rules(vec![
        case("the same again", lost().call("k", 1_500, 200), &[]),
        case("within the slack", lost().call("k", 3_000, 401), &[]),
        case("a key that was applied", lost().call("k", 3_200, 401), &[DOWNGRADE_RULE]),
        case("a key that had been revoked", lost().call("j", 3_200, 200), &[DOWNGRADE_RULE]),
        case("after a restart", lost().disturbed(restart, 2_000, 2_100).call("k", 3_200, 401), &[]),
        case(
            "undisturbed, within the slack",
            keys().call("k", 1_100, 200).call("k", 1_300, 401),
            &[],
        ),
        case("undisturbed", keys().call("k", 1_100, 200).call("k", 1_400, 401), &[DOWNGRADE_RULE]),
        case(
            "a key that was not applied before",
            keys().call("k", 1_100, 401).call("k", 1_400, 401),
            &[],
        ),
        case(
            "a key that was denied after its revocation, then accepted",
            Draft::begin()
                .key("j", 0, Some(1_000))
                .call("j", 500, 200)
                .call("j", 1_100, 401)
                .call("j", 1_500, 200),
            &[DOWNGRADE_RULE],
        ),
        case(
            "a key that was denied before it was in force, then accepted",
            Draft::begin().key("j", 0, Some(2_000)).call("j", 500, 401).call("j", 1_500, 200),
            &[],
        ),
    ]);
}

#[test]
fn less_service_around_a_return_is_reported() {
    let case = |name, draft, rules| Case { name, draft, rules };
    let calm = || Draft::begin().returned(10_000, 11_000, Some(11_000)).constant_calls(0, 30, 0);
    let process = DisturbanceScope::Process(0);
    assert_rules(vec![
        case("all are served", calm().constant_calls(10_000, 20, 0), &[]),
        case("half are served", calm().constant_calls(10_000, 10, 10), &[]),
        case("fewer are served", calm().constant_calls(10_000, 9, 11), &[SERVICE_RULE]),
        case(
            "fewer are served after all targets have ended",
            calm()
                .disturbed(DisturbanceScope::AllTargets, 9_000, 9_100)
                .constant_calls(10_000, 9, 11),
            &[],
        ),
        case("fewer are served later", calm().constant_calls(16_100, 9, 11), &[]),
        case("fewer than are judged", calm().constant_calls(10_000, 0, 19), &[]),
        case(
            "fewer are served at a disturbed process",
            calm().disturbed(process, 9_000, 9_100).constant_calls(10_000, 9, 11),
            &[],
        ),
    ]);
}

#[test]
fn a_draining_target_that_a_process_forgets_is_reported() {
    let case = |name, draft, rules| Case { name, draft, rules };
    let drained = || Draft::begin().drains(0).returned(3_000, 3_500, Some(3_500));
    let pause = DisturbanceScope::Process(0);
    let mut held = drained().arrives(1_900);
    held.history.arrivals[0].at = held.at(4_000);
    let link_fault = ("i-1".to_string(), held.at(1_000), held.at(4_000));
    held.history.link_faults.push(link_fault);
    assert_rules(vec![
        case("in time", drained().arrives(1_900), &[]),
        case("after a return", drained().arrives(4_000), &[DRAIN_RULE]),
        case("held by a link", held, &[]),
        case("after a pause", drained().disturbed(pause, 2_100, 2_200).arrives(4_000), &[]),
        case(
            "a return before the process must have known",
            Draft::begin().drains(0).returned(1_000, 1_500, Some(1_500)).arrives(4_000),
            &[],
        ),
        // The check of the drain limit reports it.
        case("without a return", Draft::begin().drains(0).arrives(4_000), &[]),
    ]);
}

#[test]
fn routes_that_were_added_and_the_main_key_are_judged_by_what_all_configurations_allow() {
    let denied = |path: &str, status| {
        let mut draft = Draft::begin().route(0, Some(1_000));
        draft = draft.disturbed(DisturbanceScope::Process(0), 4_000, 4_100);
        let mut call = served_call("call-0", path, draft.at(4_200));
        call.response.status = Some(status);
        draft.history.calls.push(call);
        draft.history.stable_since = Some(draft.at(4_000));
        draft
    };
    struct Case {
        path: &'static str,
        status: u16,
        rules: &'static [&'static str],
    }
    let cases = [
        Case { path: "/added/probe", status: 404, rules: &[] },
        Case { path: "/read/1", status: 404, rules: &[KEY_RULE, SERVED_RULE] },
        Case { path: "/read/1", status: 503, rules: &[SERVED_RULE] },
    ];
    for Case { path, status, rules: expected } in cases {
        let history = denied(path, status).history;
        let rules: Vec<&str> = check_history(&history).iter().map(|it| it.rule).collect();
        assert_eq!(rules, expected, "{path} {status}");
    }
}
