//! The cases. Each returns whether its rule was broken.

use crate::Place;
use crate::node::{Machine, Node};
use crate::runner::{Behaviour, Link, Runner, Start, events, plain};
use crate::store::{Replacements, Store, StoreLink};
use crate::wire::{Answer, Client, send_once};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

const KEY: &str = "nu6wsjnbanfqasnmgkcu";
const DRAIN: Duration = Duration::from_millis(2_000);

static ATTEMPTS: AtomicU64 = AtomicU64::new(1);

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    since.as_millis() as u64
}

fn start(id: &str, software: &str) -> Start {
    Start {
        id: id.to_string(),
        born: unix_ms(),
        software: software.to_string(),
        is_leaving: false,
        keep_alive: "5".to_string(),
        is_full: false,
        slots: 6,
        queue: 24,
        work: Duration::from_millis(20),
    }
}

/// A runner whose requests take a while.
fn slow_start(id: &str) -> Start {
    Start { work: Duration::from_millis(400), ..start(id, "b7") }
}

/// The operator's configuration: one service, and three routes to it.
fn configuration() -> String {
    configuration_of(7, &[], &[KEY])
}

/// The same in a later version, with further routes and these keys.
fn configuration_of(version: u64, further: &[&str], keys: &[&str]) -> String {
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    let keys = keys.join(",");
    let route = |name: &str, kind: &str, attempts: u32, resumable: bool, gap: &str| {
        format!(
            "{{\"name\":\"r-{name}\",\"host\":\"pule25.example\",\"pathPrefix\":\"/{name}/\",\"kind\":\"{kind}\",\
             \"timeoutMs\":10000,\"targetLatencyMs\":800,\"priority\":1,\"service\":\"kafi81c\",\
             \"attempts\":{attempts},\"anonymousAccess\":false,\"sessionAffinity\":false,\
             \"resumable\":{resumable}{gap}}}"
        )
    };
    let further: String = further
        .iter()
        .map(|name| format!(",{}", route(name, "idempotent", 2, false, "")))
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{},{},{}{further}],\"services\":[{{\"name\":\"kafi81c\",\
         \"healthPath\":\"/health\",\"connectionLimit\":100,\"protocol\":\"h1\",\
         \"transportSecurity\":false}}],\"limits\":{{\"headerBytes\":16384,\"bodyBytes\":4194304,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\"tenants\":[{{\"name\":\"jeye930\",\
         \"apiKeys\":[{keys}],\"priority\":1}}]}}",
        route("book", "non_idempotent", 1, false, ""),
        route("read", "idempotent", 2, false, ""),
        route("events", "streaming", 3, true, ",\"targetGapMs\":500"),
    )
}

/// A runner's entry. A reader gets its own address of the runner in place of `@ID@`.
fn entry(start: &Start, state: &str) -> String {
    format!(
        "{{\"service\":\"kafi81c\",\"address\":\"@{}@\",\"zone\":\"mnl-a\",\"version\":\"{}\",\
         \"slots\":{},\"state\":\"{state}\",\"coldRemainingMs\":0,\"sequence\":1,\"born\":{}}}",
        start.id, start.software, start.slots, start.born
    )
}

/// Starts a runner, and registers it.
fn add_runner(store: &Store, start: Start, behaviour: Behaviour) -> Runner {
    let runner = Runner::start(start, behaviour);
    let start = runner.current();
    store.put("servers", &start.id, entry(&start, "ready").as_bytes());
    runner
}

/// Starts an entry process that reaches each runner at this address.
fn start_node(place: &Place, store: &Store, number: u8, addresses: &[(&str, SocketAddr)]) -> Node {
    start_linked_node(place, store, &StoreLink::default(), number, addresses)
}

/// The same, with a link to the store that can be cut.
fn start_linked_node(
    place: &Place,
    store: &Store,
    link: &StoreLink,
    number: u8,
    addresses: &[(&str, SocketAddr)],
) -> Node {
    let replacements: Replacements =
        addresses.iter().map(|(id, address)| (format!("@{id}@"), address.to_string())).collect();
    let zones = ["mnl-a", "mnl-b", "mnl-c"];
    let machine = Machine {
        name: format!("frontend-{number}"),
        zone: zones[number as usize % 3],
        store: store.listen(replacements, link),
    };
    let node = Node::start(&place.program, &place.folder, number, &machine);
    place.note_process(node.pid());
    node
}

fn wait_until_ready(nodes: &[&Node]) -> Result<(), String> {
    let is_ready = nodes.iter().all(|node| node.wait_until_ready(Duration::from_secs(15)));
    is_ready.then_some(()).ok_or_else(|| "a process did not become ready".to_string())
}

/// A client's request, with the ID of its attempt.
fn request(path: &str, closes: bool) -> (String, Vec<u8>) {
    request_with(path, closes, KEY)
}

/// The same with this key.
fn request_with(path: &str, closes: bool, key: &str) -> (String, Vec<u8>) {
    let attempt = format!("a{:015x}", ATTEMPTS.fetch_add(1, Ordering::SeqCst));
    let close = if closes { "Connection: close\r\n" } else { "" };
    let text = format!(
        "POST {path} HTTP/1.1\r\nHost: pule25.example\r\nX-Skylarkpick-Attempt-Id: {attempt}\r\n\
         X-Skylarkpick-Deadline-Milliseconds: 8000\r\nX-Skylarkpick-Credential: {key}\r\n{close}\
         Content-Length: 4\r\n\r\nbody"
    );
    (attempt, text.into_bytes())
}

/// Sends requests at the same time, each on a connection of its own. Returns the attempts with their
/// answers.
fn send_all(front: SocketAddr, path: &str, count: usize) -> Vec<(String, Answer)> {
    let sending: Vec<_> = (0..count)
        .map(|index| {
            let (attempt, bytes) = request(path, true);
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(10 * index as u64));
                (attempt, send_once(front, &bytes))
            })
        })
        .collect();
    sending.into_iter().filter_map(|it| it.join().ok()).collect()
}

fn describe(answers: &[(String, Answer)]) -> String {
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for (_, answer) in answers {
        let name = match answer {
            Answer::Got(message) if message.is_complete => message.status().to_string(),
            Answer::Got(message) => format!("{} cut off", message.status()),
            Answer::None(why) => why.clone(),
        };
        *counts.entry(name).or_default() += 1;
    }
    format!("{counts:?}")
}

/// A machine is partitioned from the store while the configuration changes, and changes once more when it
/// is back.
pub fn change_at_heal(place: &Place) -> Result<bool, String> {
    const REVOKED: &str = "yj8pjbvk9m68k7b2ex5w";
    let store = Store::default();
    store.put("config", "main", configuration_of(7, &[], &[KEY, REVOKED]).as_bytes());
    let ids = ["i-1", "i-2", "i-3"];
    let runners: Vec<Runner> =
        ids.iter().map(|id| add_runner(&store, start(id, "b7"), plain())).collect();
    let addresses: Vec<(&str, SocketAddr)> =
        ids.iter().zip(&runners).map(|(id, runner)| (*id, runner.address)).collect();
    let link = StoreLink::default();
    let one = start_linked_node(place, &store, &link, 1, &addresses);
    let other = start_node(place, &store, 2, &addresses);
    wait_until_ready(&[&one, &other])?;
    thread::sleep(Duration::from_millis(4_000));
    let ask = |name: &str, node: &Node, path: &str, key: &str| {
        let (attempt, bytes) = request_with(path, true, key);
        let status = match send_once(node.front, &bytes) {
            Answer::Got(answer) => answer.status(),
            Answer::None(_) => 0,
        };
        let has_run = runners.iter().any(|it| it.arrivals().iter().any(|it| it.attempt == attempt));
        let key = if key == REVOKED { "the second key" } else { "the first key" };
        place
            .record
            .note(&format!("{name}: {path} with {key} gets {status}, run: {has_run} ({attempt})"));
        (status, has_run)
    };
    ask("frontend-1", &one, "/read/1", REVOKED);
    ask("frontend-2", &other, "/read/1", REVOKED);
    // The cut begins soon after the process has begun to wait for changes.
    let before = link.watched_at();
    while link.watched_at() == before {
        thread::sleep(Duration::from_millis(1));
    }
    thread::sleep(Duration::from_millis(300));
    let began = Instant::now();
    let wait_until = |at_ms: u64| {
        let at = began + Duration::from_millis(at_ms);
        thread::sleep(at.saturating_duration_since(Instant::now()));
    };
    let change = |version: u64, further: &[&str], keys: &[&str], what: &str| {
        store.put("config", "main", configuration_of(version, further, keys).as_bytes());
        place.record.note(&format!("the store accepts version {version}: {what}"));
    };
    if place.has_trouble {
        link.cut();
        place.record.note("frontend-1 is partitioned from the store");
    }
    wait_until(3_700);
    change(9, &["new-1"], &[KEY, REVOKED], "a new route");
    wait_until(4_000);
    change(12, &["new-1", "new-2"], &[KEY, REVOKED], "one more new route");
    wait_until(5_000);
    if place.has_trouble {
        link.heal();
        place.record.note("frontend-1 reaches the store again");
    }
    wait_until(5_050);
    ask("frontend-1", &one, "/new-2/1", KEY);
    wait_until(5_250);
    change(15, &["new-1", "new-2"], &[KEY], "the second key is taken away");
    let acknowledged = Instant::now();
    wait_until(5_600);
    if place.has_trouble {
        link.arrive();
        place.record.note("what frontend-1 had sent to the store during the cut arrives, sent once more by its system");
    }
    let mut broken = 0;
    // From `contactWindowMs` after the cut on, the machine is in touch.
    for at_ms in [8_500, 11_000, 14_000, 20_000] {
        wait_until(at_ms);
        ask("frontend-2", &other, "/read/2", REVOKED);
        let (status, has_run) = ask("frontend-1", &one, "/book/2", REVOKED);
        if status == 200 && has_run {
            broken += 1;
            place.record.note(&format!(
                "CONFIG: frontend-1 serves a key {} ms after the store accepted that it is taken away",
                acknowledged.elapsed().as_millis()
            ));
        }
    }
    Ok(broken > 0)
}

/// Writes down how each attempt was answered, and which runners it reached.
fn note_all(place: &Place, answers: &[(String, Answer)], runners: &[Runner]) {
    for (attempt, answer) in answers {
        let answer = match answer {
            Answer::Got(message) if message.is_complete => message.status().to_string(),
            Answer::Got(message) => format!("{}, cut off", message.status()),
            Answer::None(why) => why.clone(),
        };
        let reached: Vec<String> = runners
            .iter()
            .flat_map(|runner| {
                let id = runner.current().id;
                let arrivals = runner.arrivals().into_iter().filter(|it| it.attempt == *attempt);
                arrivals.map(move |it| format!("{id}, run: {}", it.was_run)).collect::<Vec<_>>()
            })
            .collect();
        place.record.note(&format!("  {attempt}: answered {answer}; reached {reached:?}"));
    }
}

/// An entry of another writer, whose bytes can't be read, lies beside the runners' entries. A runner leaves.
pub fn unreadable_entry(place: &Place) -> Result<bool, String> {
    let store = Store::default();
    store.put("config", "main", configuration().as_bytes());
    let runners: Vec<Runner> =
        (1..=3).map(|it| add_runner(&store, slow_start(&format!("i-{it}")), plain())).collect();
    let ids = ["i-1", "i-2", "i-3"];
    let addresses: Vec<(&str, SocketAddr)> =
        ids.iter().zip(&runners).map(|(id, runner)| (*id, runner.address)).collect();
    let mut one = start_node(place, &store, 1, &addresses);
    let mut other = start_node(place, &store, 2, &addresses);
    wait_until_ready(&[&one, &other])?;
    // Calm for longer than `contactWindowMs`, so that both machines are in touch.
    thread::sleep(Duration::from_millis(3_500));
    for node in [&one, &other] {
        let answers = send_all(node.front, "/book/1", 12);
        place.record.note(&format!("before: 12 bookings are answered {}", describe(&answers)));
    }
    if place.has_trouble {
        let bytes: &[u8] = match place.variant.as_str() {
            // Half of a pair of code units, as a writer leaves it that cuts a text in two.
            "half" => b"{\"service\":\"\\ud83d\",\"state\":\"ready\"}",
            _ => b"{\"service\":\"\xff\xfe\x80\",\"state\":\"ready\"}",
        };
        store.put("servers", "x-1", bytes);
        place.record.note("another writer's entry x-1, with bytes that can't be read, is accepted");
    }
    thread::sleep(Duration::from_millis(1_000));
    let leaving = &runners[0];
    leaving.change(|it| it.is_leaving = true);
    store.put("servers", "i-1", entry(&leaving.current(), "draining").as_bytes());
    let acknowledged = Instant::now();
    place
        .record
        .note("the store accepts that i-1 is draining; i-1 says `Server-Leaving: 1` from now on");
    thread::sleep(DRAIN + Duration::from_millis(500));
    let sent_from = Instant::now();
    let mut late = 0;
    let fronts = [("frontend-1", one.front), ("frontend-2", other.front)];
    let sending =
        fronts.map(|(name, front)| (name, thread::spawn(move || send_all(front, "/book/2", 12))));
    // It has served for `drainMs` and a little longer.
    thread::sleep(Duration::from_millis(300));
    leaving.crash();
    place.record.note("i-1 exits");
    for (name, sent) in sending {
        let answers = sent.join().map_err(|_| "a client failed".to_string())?;
        place.record.note(&format!("12 bookings at {name} are answered {}", describe(&answers)));
        note_all(place, &answers, &runners);
    }
    for arrival in leaving.arrivals().iter().filter(|it| it.at >= sent_from) {
        late += 1;
        let after = arrival.at.duration_since(acknowledged).as_millis();
        place.record.note(&format!(
            "DRAIN: {} {} reaches i-1 {after} ms after the acknowledgement, run: {}",
            arrival.attempt, arrival.path, arrival.was_run
        ));
    }
    place.record.note(&format!("{late} requests reached the draining runner later than drainMs"));
    // Not judged: what else the entry does.
    for (name, node) in [("frontend-1", &mut one), ("frontend-2", &mut other)] {
        node.restart();
        place.note_process(node.pid());
        place.record.note(&format!("{name} is killed, and started again"));
    }
    let is_ready = [&one, &other].map(|node| node.wait_until_ready(Duration::from_secs(6)));
    place
        .record
        .note(&format!("not judged: ready within 6 s after both were killed: {is_ready:?}"));
    Ok(late > 0)
}

/// While the store is down, a runner comes back on another software version, and ends once more.
pub fn other_software(place: &Place) -> Result<bool, String> {
    let store = Store::default();
    store.put("config", "main", configuration().as_bytes());
    let behaviour = events(12, Duration::from_millis(150));
    let ids = ["i-1", "i-2", "i-3"];
    let runners: Vec<Runner> =
        ids.iter().map(|id| add_runner(&store, start(id, "b1"), behaviour.clone())).collect();
    let addresses: Vec<(&str, SocketAddr)> =
        ids.iter().zip(&runners).map(|(id, runner)| (*id, runner.address)).collect();
    let nodes: Vec<Node> = (1..=2).map(|it| start_node(place, &store, it, &addresses)).collect();
    wait_until_ready(&nodes.iter().collect::<Vec<_>>())?;
    // The retry budget is open once the processes have been known for a while.
    let until = Instant::now() + Duration::from_secs(14);
    while Instant::now() < until {
        for node in &nodes {
            send_all(node.front, "/events/warm", 4);
        }
    }
    place.record.note("14 s of calm traffic, all at software version b1");
    if place.has_trouble {
        store.set_down(true);
        place.record.note("the platform's store is down");
        thread::sleep(Duration::from_millis(1_000));
        runners[0].crash();
        place.record.note("i-1 ends");
        thread::sleep(Duration::from_millis(1_000));
        runners[0].start_again(start("i-1", "b2"));
        place
            .record
            .note("i-1 starts again under its id, on software version b2; it can't register");
        // Longer than the time for which a process avoids a runner that it didn't reach.
        thread::sleep(Duration::from_millis(2_000));
    }
    let streams: Vec<_> = (0..36)
        .map(|index| {
            let front = nodes[index % 2].front;
            let (attempt, bytes) = request("/events/1", true);
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(15 * index as u64));
                (attempt, send_once(front, &bytes))
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(1_200));
    if place.has_trouble {
        runners[0].crash();
        place.record.note("i-1 ends once more, amid its streams");
    }
    let mut joined = 0;
    for stream in streams {
        let Ok((attempt, answer)) = stream.join() else { continue };
        let Answer::Got(answer) = answer else {
            place.record.note(&format!("{attempt}: {answer:?}"));
            continue;
        };
        let text = String::from_utf8_lossy(&answer.body).to_string();
        let pieces: Vec<&str> = text.lines().filter_map(|it| it.strip_prefix("data: ")).collect();
        let mut versions: Vec<&str> = pieces.iter().filter_map(|it| it.split(' ').next()).collect();
        let count = versions.len();
        versions.dedup();
        let is_joined = versions.len() > 1;
        joined += usize::from(is_joined);
        let mark = if is_joined { "ORDER: " } else { "" };
        place.record.note(&format!(
            "{mark}{attempt}: status {}, whole: {}, {count} events of {versions:?}",
            answer.status(),
            answer.is_complete
        ));
    }
    if place.has_trouble {
        store.set_down(false);
        place.record.note("the platform's store is back");
    }
    place.record.note(&format!("{joined} streams hold events of two software versions"));
    Ok(joined > 2)
}

/// A runner names a very long idle timeout, and another one is full in a burst.
pub fn idle_time(place: &Place) -> Result<bool, String> {
    let store = Store::default();
    store.put("config", "main", configuration().as_bytes());
    let runners = [
        add_runner(&store, start("i-1", "b7"), plain()),
        add_runner(&store, start("i-2", "b7"), plain()),
    ];
    let addresses = [("i-1", runners[0].address), ("i-2", runners[1].address)];
    let node = start_node(place, &store, 1, &addresses);
    wait_until_ready(&[&node])?;
    // The retry budget is open once the processes have been known for a while.
    let until = Instant::now() + Duration::from_secs(14);
    while Instant::now() < until {
        send_all(node.front, "/read/warm", 5);
    }
    let mut kept = Vec::new();
    for _ in 0..60 {
        let mut client = Client::connect(node.front).map_err(|it| it.to_string())?;
        let (_, bytes) = request("/read/1", false);
        match client.exchange(&bytes) {
            Answer::Got(answer) if answer.status() == 200 => kept.push(client),
            answer => return Err(format!("before the disruption: {answer:?}")),
        }
    }
    place.record.note("60 connections are kept, on each of which a request was answered 200");
    if place.has_trouble {
        runners[1].change(|it| it.keep_alive = (u64::MAX >> 1).to_string());
        runners[0].change(|it| it.is_full = true);
        place.record.note(
            "i-2 names `Keep-Alive: timeout=9223372036854775807` from now on; others' requests fill i-1",
        );
    }
    let answers = send_all(node.front, "/read/2", 6);
    note_all(place, &answers, &runners);
    let mut answers = Vec::new();
    for client in &mut kept {
        thread::sleep(Duration::from_millis(330));
        if answers.len() == 40 {
            break;
        }
        let (attempt, bytes) = request("/read/3", false);
        answers.push((attempt, client.exchange(&bytes)));
    }
    place.record.note(&format!("40 requests on kept connections: {}", describe(&answers)));
    note_all(place, &answers, &runners);
    let mut lost = 0;
    for (attempt, answer) in &answers {
        let is_passed_on = runners[0].arrivals().iter().any(|arrival| arrival.attempt == *attempt);
        if matches!(answer, Answer::None(_)) && is_passed_on {
            lost += 1;
            place.record.note(&format!("LOST: {attempt} was passed on to i-1, and got no answer"));
        }
    }
    place.record.note(&format!("panics that the process wrote: {}", node.logged("panicked at")));
    place
        .record
        .note(&format!("{lost} requests were passed on and got no answer on kept connections"));
    Ok(lost > 3)
}

/// A process that is cut off from the runners passes on an answer of a runner that leaves, which came
/// through another process. Then its links heal.
pub fn leaving_through_helper(place: &Place) -> Result<bool, String> {
    let store = Store::default();
    store.put("config", "main", configuration().as_bytes());
    let ids = ["i-1", "i-2"];
    let runners: Vec<Runner> =
        ids.iter().map(|id| add_runner(&store, slow_start(id), plain())).collect();
    let links: Vec<Link> = runners.iter().map(|it| Link::open(it.address)).collect();
    let cut: Vec<(&str, SocketAddr)> =
        ids.iter().zip(&links).map(|(id, link)| (*id, link.address)).collect();
    let direct: Vec<(&str, SocketAddr)> =
        ids.iter().zip(&runners).map(|(id, runner)| (*id, runner.address)).collect();
    let one = start_node(place, &store, 1, &cut);
    let other = start_node(place, &store, 2, &direct);
    wait_until_ready(&[&one, &other])?;
    thread::sleep(Duration::from_millis(4_000));
    let answers = send_all(one.front, "/read/1", 12);
    place
        .record
        .note(&format!("before: 12 reads at frontend-1 are answered {}", describe(&answers)));
    let set_cut = |is_cut: bool| {
        for link in &links {
            if is_cut { link.cut() } else { link.heal() }
        }
    };
    if place.has_trouble {
        set_cut(true);
        place.record.note("frontend-1 is partitioned from all runners");
        thread::sleep(Duration::from_millis(1_500));
        let answers = send_all(one.front, "/read/2", 12);
        place.record.note(&format!("12 reads at frontend-1 are answered {}", describe(&answers)));
        store.set_down(true);
        place.record.note("the platform's store is down");
        thread::sleep(Duration::from_millis(300));
    }
    runners[0].change(|it| it.is_leaving = true);
    if !place.has_trouble {
        store.put("servers", "i-1", entry(&runners[0].current(), "draining").as_bytes());
    }
    place.record.note("i-1 leaves: it says `Server-Leaving: 1` in all its answers");
    let mut passed_on = None;
    for round in 0..10 {
        let answers = send_all(one.front, "/read/3", 6);
        for (attempt, answer) in &answers {
            if let Answer::Got(answer) = answer
                && answer.header("server-leaving") == Some("1")
            {
                passed_on.get_or_insert_with(Instant::now);
                place.record.note(&format!(
                    "frontend-1 passes on an answer of i-1 with Server-Leaving: {attempt}"
                ));
            }
        }
        if passed_on.is_some() {
            break;
        }
        place.record.note(&format!("round {round}: {}", describe(&answers)));
        if !place.has_trouble && round == 2 {
            break;
        }
    }
    if place.has_trouble && passed_on.is_none() {
        return Err("frontend-1 passed on no answer with Server-Leaving".to_string());
    }
    thread::sleep(Duration::from_millis(700));
    if place.has_trouble {
        set_cut(false);
        place.record.note("the links of frontend-1 to the runners are whole again");
    }
    thread::sleep(DRAIN);
    let sent_from = Instant::now();
    let mut late = 0;
    let front = one.front;
    let handed_over = one.logged("request handed over");
    let sending = thread::spawn(move || send_all(front, "/book/4", 8));
    thread::sleep(Duration::from_millis(300));
    if place.has_trouble {
        runners[0].crash();
        place.record.note("i-1 exits, drainMs and a little longer after its first such answer");
    }
    let answers = sending.join().map_err(|_| "a client failed".to_string())?;
    place.record.note(&format!("8 bookings at frontend-1 are answered {}", describe(&answers)));
    let handed_over = one.logged("request handed over") - handed_over;
    place
        .record
        .note(&format!("of these, frontend-1 handed {handed_over} over to the other process"));
    note_all(place, &answers, &runners);
    let passed_on = passed_on.unwrap_or(sent_from);
    for arrival in
        runners[0].arrivals().iter().filter(|it| it.at >= sent_from && it.path == "/book/4")
    {
        late += 1;
        let after = arrival.at.duration_since(passed_on).as_millis();
        place.record.note(&format!(
            "DRAIN: {} reaches i-1 from frontend-1 {after} ms after it had passed on the answer",
            arrival.attempt
        ));
    }
    if handed_over > 0 {
        return Err("not all requests went to the runners from frontend-1 itself".to_string());
    }
    store.set_down(false);
    place.record.note(&format!("{late} late requests reached the leaving runner"));
    Ok(late > 0)
}
