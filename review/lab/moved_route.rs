//! The connection over which a process watches the configuration becomes silent, and a route moves to
//! another service while a key is withdrawn.

use crate::{
    http::response,
    record::Record,
    runner::{Behaviour, Call},
    setup::{ClientRequest, Platform, Route, Tenant, Verdict, configuration, plain_service},
};
use std::{
    collections::BTreeMap,
    io::Write,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

/// Time until the processes have ended what they do at their start.
const LEAD: Duration = Duration::from_secs(8);
/// Time from the silence to the new configuration.
const CHANGE_DELAY: Duration = Duration::from_millis(100);
/// `contactWindowMs`, from which on the process is in touch again, and a margin.
const IN_TOUCH_DELAY: Duration = Duration::from_millis(3_050);
/// `configurationApplyMs`.
const APPLY_TIME: Duration = Duration::from_millis(2_000);
const REQUEST_PAUSE: Duration = Duration::from_millis(10);
const REQUESTS: usize = 100;
const OLD_SERVICE: &str = "book-old";
const NEW_SERVICE: &str = "book-new";

fn routes(service: &'static str) -> [Route; 1] {
    let (name, kind) = ("book", "non_idempotent");
    [Route { name, kind, service, attempts: 1, is_resumable: false }]
}

fn tenants(keys: &'static [&'static str]) -> [Tenant; 1] {
    [Tenant { name: "acme", keys }]
}

/// Service that ran each attempt.
type Runs = Mutex<BTreeMap<String, String>>;

fn behave(call: Call<'_>, runs: &Runs) -> std::io::Result<()> {
    let Call { runner, request, stream, .. } = call;
    let attempt = request.header("x-skylarkpick-attempt-id").unwrap_or_default().to_string();
    let service = runner.identity.service.clone();
    runner.record.line(&format!("runner {} of {service} runs {attempt}", runner.identity.id));
    runs.lock().expect("the lock of the runs").insert(attempt, service);
    let headers = runner.headers(request) + "x-skylarkpick-response-signature: s.1\r\n";
    stream.write_all(response("200 OK", &headers, "done").as_bytes())
}

pub fn play(record: &Record, has_trouble: bool) -> Verdict {
    let services = [plain_service(OLD_SERVICE), plain_service(NEW_SERVICE)];
    let first = configuration(3, &routes(OLD_SERVICE), &services, &tenants(&["k1", "k2"]));
    let second = configuration(5, &routes(NEW_SERVICE), &services, &tenants(&["k1"]));
    let platform = Platform::open(record, first);
    let runs: Arc<Runs> = Arc::default();
    let behaviour: Behaviour = {
        let runs = runs.clone();
        Arc::new(move |call| behave(call, &runs))
    };
    let mut runners = Vec::new();
    for (id, service) in
        [("i-1", OLD_SERVICE), ("i-2", OLD_SERVICE), ("i-3", NEW_SERVICE), ("i-4", NEW_SERVICE)]
    {
        runners.push(platform.runner(id, service, "v1", false, &behaviour)?);
    }
    let fleet = platform.start()?;
    thread::sleep(LEAD);
    let send = |process: usize, key: &str, attempt: String| {
        let (method, path) = ("POST", format!("/book/{attempt}"));
        fleet
            .send(process, &ClientRequest { attempt, method, path, key, parts: &[], resumes: None })
    };
    // The holder of the lease reads the configurations of the others every few seconds.
    let holder = fleet.store.specification("skylarkpick-leases", "planner");
    let holder = holder.as_ref().and_then(|it| it.get("holder")?.as_text()).unwrap_or_default();
    let silenced = usize::from(holder.starts_with(&fleet.nodes.name(0)));
    let other = silenced + 2;
    for (process, key) in [(silenced, "k1"), (silenced, "k2"), (other, "k1"), (other, "k2")] {
        let answer = send(process, key, format!("before-{process}-{key}"));
        if answer.status != Some(200) {
            return Err(format!("{key} doesn't work before: {}", answer.name()));
        }
    }
    let watch = fleet.views[silenced].next_watch("config");
    let silent_at = record.now();
    if has_trouble {
        fleet.views[silenced].silence(watch);
        record
            .line("the connection of process 0's watch of the configuration is silent from now on");
    }
    thread::sleep(CHANGE_DELAY);
    fleet.store.put("config", "main", second);
    let changed_at = record.now();
    record.line(&format!(
        "the store acknowledges version 5: the route goes to {NEW_SERVICE}, key k2 is withdrawn"
    ));
    let from = (silent_at + IN_TOUCH_DELAY).max(changed_at + APPLY_TIME);
    thread::sleep(from.saturating_sub(record.now()));
    let mut late_runs = 0;
    for number in 0..REQUESTS {
        let key = if number % 2 == 0 { "k1" } else { "k2" };
        let attempt = format!("after-{number}");
        let (sent_at, answer) = (record.now(), send(silenced, key, attempt.clone()));
        let ran_at = runs.lock().expect("the lock of the runs").get(&attempt).cloned();
        if ran_at.as_deref() == Some(OLD_SERVICE) {
            late_runs += 1;
            record.line(&format!(
                "CONFIG is broken: {attempt} with key {key} was run by {OLD_SERVICE}, sent {:.3} s \
                 after the acknowledgement and {:.3} s after the silence; its client got {}",
                (sent_at - changed_at).as_secs_f64(),
                (sent_at - silent_at).as_secs_f64(),
                answer.name(),
            ));
        }
        thread::sleep(REQUEST_PAUSE);
    }
    let elsewhere = send(other, "k2", "elsewhere".to_string());
    record.line(&format!(
        "{late_runs} of {REQUESTS} requests were run by {OLD_SERVICE}; process {other} answers key k2 with {}",
        elsewhere.name()
    ));
    Ok(late_runs == 0)
}
