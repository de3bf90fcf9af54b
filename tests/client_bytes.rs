//! Runs the binary as an entry process with the memory and the descriptors of a small machine, in
//! front of clients that make it hold as many bytes and connections as they can.
#![allow(clippy::expect_used, clippy::unwrap_used, reason = "a helper of a test fails the test")]

mod support;

use async_trait::async_trait;
use skylarkpick_platform_standin::{
    BodyRead, Conduct, Decide, ObjectServer, RouteSpec, RunLog, RunTarget, TargetAddresses,
    configuration, success_answer,
};
use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Duration,
};
use support::{POLL_INTERVAL, Process, SECOND, STEP_TIMEOUT, quick, register, request};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::Mutex,
    task::JoinSet,
    time::sleep,
};

/// Clients of each crowd.
const CLIENTS: usize = 300;
/// Memory of the smallest machine, of which a process may take `MEMORY_LIMIT_BYTES`.
const SMALL_MACHINE: &str = "limits.memoryMb=160\n";
const MEMORY_LIMIT_BYTES: usize = 100_000_000;
const SMALL_MACHINE_BYTES: usize = 160_000_000;
/// Clients of a crowd in a limited address space, and its rounds.
const CONFINED_CROWD: usize = 1_000;
const CONFINED_ROUNDS: usize = 5;
/// Address space of a process on a large machine, of which its code and its threads take a part.
const ADDRESS_SPACE_BYTES: usize = 400_000_000;
/// Settings that name neither memory nor descriptors, and what such a process may take at most.
const NO_LIMITS: &str = "";
const UNNAMED_MEMORY_LIMIT_BYTES: usize = 1_000_000_000;
/// A machine that accepts fewer connections than `LARGE_CROWD`.
const SMALL_MACHINE_OF_FEW_CONNECTIONS: &str = "limits.memoryMb=110\nlimits.fileDescriptors=1000\n";
const SMALLER_MEMORY_LIMIT_BYTES: usize = 110_000_000;
const LARGE_CROWD: usize = 700;
/// Answer that no socket buffers whole.
const LARGE_ANSWER_BYTES: usize = 1_048_576;
/// Rounds of a crowd that comes again.
const ROUNDS: usize = 8;
/// Timeout for heads and idle connections beyond the duration of a test.
const LONG_TIMEOUT_MS: u64 = 300_000;
/// Descriptors of a machine that has fewer than a crowd has clients.
const FEW_DESCRIPTORS: &str = "limits.fileDescriptors=200\n";
const DESCRIPTOR_LIMIT: usize = 200;
const BODY_LIMIT_BYTES: usize = 4_194_304;
/// Time after which a client whose bytes are not taken writes no more and leaves its connection open.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for which all connections of a crowd stay open after their clients have written.
const HOLD_TIME: Duration = Duration::from_millis(500);

/// Pieces in which a client sends whose link of 10 Mbit/s carries another body as well: in 6.4 s.
const SLOW_PIECE_BYTES: usize = 65_536;
const SLOW_INTERVAL: Duration = Duration::from_millis(100);
/// Time of a request, in which less than half of such a body arrives.
const SHORT_DEADLINE_MS: u64 = 2_000;

/// Time that a target takes for a request of a crowd, if one is complete.
const CROWD_WORK: Duration = Duration::from_secs(60);

/// Crowds run one after the other: the memory of one must not be taken by another.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

/// A crowd of clients, each of which writes the same and then keeps its connection open.
struct Case {
    name: &'static str,
    /// Lines of the head after the common ones, with the empty line if the head ends.
    head: String,
    /// What is written after it, and how often.
    piece: String,
    pieces: usize,
    settings: &'static str,
}

fn chunk(size_bytes: usize) -> String {
    format!("{size_bytes:x}\r\n{}\r\n", "b".repeat(size_bytes))
}

fn cases() -> Vec<Case> {
    let announced = |size_bytes: usize| format!("Content-Length: {size_bytes}\r\n\r\n");
    let chunked = "Transfer-Encoding: chunked\r\n\r\n".to_string();
    let pipelined = "POST /write/ HTTP/1.1\r\nHost: h.example\r\nX-Skylarkpick-Attempt-Id: p\r\n\
                     X-Skylarkpick-Credential: k1\r\nContent-Length: 5\r\n\r\nbbbbb";
    vec![
        Case {
            name: "announced, all but the last byte",
            head: announced(BODY_LIMIT_BYTES),
            piece: "b".repeat(BODY_LIMIT_BYTES - 1),
            pieces: 1,
            settings: SMALL_MACHINE,
        },
        Case {
            name: "chunks of 64 KB, all but the last chunk",
            head: chunked.clone(),
            piece: chunk(65_536),
            pieces: BODY_LIMIT_BYTES / 65_536,
            settings: SMALL_MACHINE,
        },
        Case {
            name: "chunks of one byte, all but the last chunk",
            head: chunked.clone(),
            piece: chunk(1).repeat(1_024),
            pieces: 64,
            settings: SMALL_MACHINE,
        },
        Case {
            name: "announced far over the limit",
            head: announced(40 * BODY_LIMIT_BYTES),
            piece: "b".repeat(BODY_LIMIT_BYTES),
            pieces: 2,
            settings: SMALL_MACHINE,
        },
        Case {
            name: "chunks without end",
            head: chunked.clone(),
            piece: chunk(65_536),
            pieces: 2 * BODY_LIMIT_BYTES / 65_536,
            settings: SMALL_MACHINE,
        },
        Case {
            name: "stalled bodies of ordinary size",
            head: announced(60_000),
            piece: "b".repeat(59_999),
            pieces: 1,
            settings: SMALL_MACHINE,
        },
        Case {
            name: "extensions of a chunk without end",
            head: format!("{chunked}1;"),
            piece: "e".repeat(65_536),
            pieces: 16,
            settings: SMALL_MACHINE,
        },
        Case {
            name: "trailers without end",
            head: format!("{chunked}1\r\nb\r\n0\r\n"),
            piece: "x-trailer: b\r\n".repeat(1_024),
            pieces: 64,
            settings: SMALL_MACHINE,
        },
        Case {
            name: "heads without end, in small pieces",
            head: String::new(),
            piece: "x-head: b\r\n".to_string(),
            pieces: 1_400,
            settings: SMALL_MACHINE,
        },
        Case {
            name: "requests behind one that takes long",
            head: format!("{}bbbbb", announced(5)),
            piece: pipelined.repeat(100),
            pieces: 100,
            settings: SMALL_MACHINE,
        },
        Case {
            name: "more connections than descriptors",
            head: String::new(),
            piece: String::new(),
            pieces: 0,
            settings: FEW_DESCRIPTORS,
        },
    ]
}

/// Returns the head of a request, with these lines after the common ones.
fn request_head(id: &str, key: &str, more_lines: &str) -> String {
    format!(
        "POST /write/{id} HTTP/1.1\r\nHost: h.example\r\nX-Skylarkpick-Attempt-Id: {id}\r\n\
         X-Skylarkpick-Credential: {key}\r\n{more_lines}"
    )
}

/// Connects clients of several kinds in turn, each of which writes what its kind does.
fn connect_crowd(address: SocketAddr, crowd: usize, kinds: &[Case]) -> JoinSet<Option<TcpStream>> {
    let bytes = |kind: &Case| Arc::new((kind.head.clone(), kind.piece.clone(), kind.pieces));
    let kinds: Vec<_> = kinds.iter().map(bytes).collect();
    let mut clients = JoinSet::new();
    for number in 0..crowd {
        clients.spawn(write(address, number, kinds[number % kinds.len()].clone()));
    }
    clients
}

/// Writes what a client of a crowd writes; returns its connection, which stays open, unless the
/// process has closed it.
async fn write(
    address: SocketAddr,
    number: usize,
    bytes: Arc<(String, String, usize)>,
) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    let writes = async {
        let (head, piece, pieces) = &*bytes;
        let head = request_head(&format!("c{number}"), "k1", head);
        stream.write_all(head.as_bytes()).await?;
        for _ in 0..*pieces {
            stream.write_all(piece.as_bytes()).await?;
        }
        std::io::Result::Ok(())
    };
    match tokio::time::timeout(WRITE_TIMEOUT, writes).await {
        Ok(Err(_)) => None,
        Ok(Ok(())) | Err(_) => Some(stream),
    }
}

async fn start_objects() -> ObjectServer {
    let objects = ObjectServer::start().await.unwrap();
    let route = RouteSpec {
        name: "write",
        kind: "non_idempotent",
        attempts: 3,
        is_resumable: false,
        timeout: Duration::from_secs(15),
        target_latency: Duration::from_secs(5),
    };
    let mut content = configuration(3, &[route], &["k1".to_string()]);
    content["limits"]["bodyBytes"] = BODY_LIMIT_BYTES.into();
    objects.state.put("config", "main", content);
    objects
}

/// What a target does with a request that takes long.
fn lengthy() -> Conduct {
    Conduct { work: CROWD_WORK, ..quick() }
}

/// Starts a target that does this with the requests of a crowd.
fn start_target(objects: &ObjectServer, log: &RunLog, crowd: Conduct) -> RunTarget {
    let decide: Decide =
        Arc::new(move |id, _| if id.starts_with('c') { crowd.clone() } else { quick() });
    let free = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let target = RunTarget::start(free, "i-0", 5, log.clone(), decide).unwrap();
    register(objects, "i-0", target.address, 5);
    target
}

/// Sends a request until it is answered, as clients do that are asked to come back.
async fn send_until_answered(process: &Process, name: &str, size_bytes: usize) {
    let answered = async {
        for number in 0.. {
            let sent = request(format!("after-{number}"), "write", SECOND * 10, size_bytes);
            if process.send(sent).await.1 == Some(200) {
                break;
            }
            sleep(POLL_INTERVAL).await;
        }
    };
    let answered = tokio::time::timeout(STEP_TIMEOUT, answered).await;
    answered.unwrap_or_else(|_| panic!("{name}: a request of {size_bytes} bytes is answered"));
}

// Guards against the end of a process whose memory or descriptors clients have used up: with bodies that
// stop just short of their end, or by what comes along with bodies, heads and connections.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_process_outlives_clients_that_make_it_hold_all_they_can() {
    let _turn = ONE_AT_A_TIME.lock().await;
    play_all(cases(), CLIENTS, lengthy()).await;
}

/// Returns the cases with these names.
fn cases_of(names: &[&str]) -> Vec<Case> {
    cases().into_iter().filter(|case| names.contains(&case.name)).collect()
}

/// Plays each crowd against a process of its own; fails if one exceeds its bound.
async fn play_all(cases: Vec<Case>, crowd: usize, conduct: Conduct) {
    play_all_confined(cases, crowd, conduct, |_| ()).await;
}

/// The same, with what `confine` leaves to a process for as long as its result is kept.
async fn play_all_confined<C>(
    cases: Vec<Case>,
    crowd: usize,
    conduct: Conduct,
    confine: impl Fn(&Process) -> C,
) {
    let mut failures = Vec::new();
    for case in cases {
        let Case { name, settings, .. } = case;
        let objects = start_objects().await;
        let _target = start_target(&objects, &RunLog::default(), conduct.clone());
        let mut process = Process::start(&objects, settings).await;
        let _confined = confine(&process);
        let before = process.peak_resident_bytes();
        let address_space_before = process.address_space_bytes();
        let mut clients = connect_crowd(process.front(), crowd, &[case]);
        let mut open = Vec::new();
        let mut descriptors = 0;
        while let Some(client) = clients.join_next().await {
            open.extend(client.unwrap());
            descriptors = descriptors.max(process.open_descriptors());
        }
        sleep(HOLD_TIME).await;
        descriptors = descriptors.max(process.open_descriptors());
        assert!(process.is_running(), "{name}: the process has ended");
        let left_open = open.len();
        let peak = process.peak_resident_bytes();
        let reserved = process.peak_address_space_bytes() - address_space_before;
        println!(
            "{name}: {} MB before, peak {} MB, {} MB more reserved, {descriptors} descriptors, {left_open} left open",
            before / 1_000_000,
            peak / 1_000_000,
            reserved / 1_000_000,
        );
        let is_bounded = match settings {
            FEW_DESCRIPTORS => descriptors <= DESCRIPTOR_LIMIT,
            NO_LIMITS => peak <= UNNAMED_MEMORY_LIMIT_BYTES,
            SMALL_MACHINE_OF_FEW_CONNECTIONS => peak <= SMALLER_MEMORY_LIMIT_BYTES,
            _ => peak <= MEMORY_LIMIT_BYTES,
        };
        if !is_bounded {
            failures.push(format!("{name}: {} MB, {descriptors} descriptors", peak / 1_000_000));
        }
        let reserved_limit = match settings {
            SMALL_MACHINE => SMALL_MACHINE_BYTES,
            SMALL_MACHINE_OF_FEW_CONNECTIONS => SMALLER_MEMORY_LIMIT_BYTES,
            _ => UNNAMED_MEMORY_LIMIT_BYTES,
        };
        if reserved > reserved_limit {
            failures.push(format!("{name}: {} MB more reserved", reserved / 1_000_000));
        }
        // Ordinary requests are answered while the crowd is there; large ones once it has left.
        if settings != FEW_DESCRIPTORS {
            send_until_answered(&process, name, 5).await;
        }
        drop(open);
        send_until_answered(&process, name, BODY_LIMIT_BYTES).await;
        assert!(process.is_running(), "{name}: the process has ended");
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

// Guards against limits that a client within the configuration's limits reaches: a body of the greatest
// size is served on the smallest machine, also one that arrives at the rate of a thin link.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_body_of_the_greatest_size_is_served_by_the_smallest_machine() {
    let _turn = ONE_AT_A_TIME.lock().await;
    let objects = start_objects().await;
    let log = RunLog::default();
    let _target = start_target(&objects, &log, lengthy());
    let process = Process::start(&objects, SMALL_MACHINE).await;
    for number in 0..10 {
        let sent = request(format!("large-{number}"), "write", SECOND * 10, BODY_LIMIT_BYTES);
        assert_eq!(process.send(sent).await.1, Some(200), "request {number}");
    }
    let whole = |run: &&skylarkpick_platform_standin::Run| {
        run.body_size_bytes == BODY_LIMIT_BYTES && run.is_body_whole
    };
    assert_eq!(log.runs().iter().filter(whole).count(), 10);
    let mut slow = TcpStream::connect(process.front()).await.unwrap();
    let length = format!("Connection: close\r\nContent-Length: {BODY_LIMIT_BYTES}\r\n\r\n");
    let head = request_head("slow", "k1", &length);
    slow.write_all(head.as_bytes()).await.unwrap();
    for _ in 0..BODY_LIMIT_BYTES / SLOW_PIECE_BYTES {
        sleep(SLOW_INTERVAL).await;
        slow.write_all(&[b'b'; SLOW_PIECE_BYTES]).await.unwrap();
    }
    let mut response = String::new();
    slow.read_to_string(&mut response).await.unwrap();
    assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
}

// Guards against a body that is read to its end, and takes room, although its request has no time left.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_request_whose_time_ends_amid_its_body_is_refused_then() {
    let _turn = ONE_AT_A_TIME.lock().await;
    let objects = start_objects().await;
    let _target = start_target(&objects, &RunLog::default(), lengthy());
    let process = Process::start(&objects, SMALL_MACHINE).await;
    let stream = TcpStream::connect(process.front()).await.unwrap();
    let (mut responses, mut requests) = stream.into_split();
    let lines = format!(
        "X-Skylarkpick-Deadline-Milliseconds: {SHORT_DEADLINE_MS}\r\n\
         Content-Length: {BODY_LIMIT_BYTES}\r\n\r\n"
    );
    let head = request_head("late", "k1", &lines);
    requests.write_all(head.as_bytes()).await.unwrap();
    let writer = tokio::spawn(async move {
        for _ in 0..BODY_LIMIT_BYTES / SLOW_PIECE_BYTES {
            sleep(SLOW_INTERVAL).await;
            if requests.write_all(&[b'b'; SLOW_PIECE_BYTES]).await.is_err() {
                break;
            }
        }
    });
    let mut response = [0; 12];
    responses.read_exact(&mut response).await.unwrap();
    let is_whole = writer.is_finished();
    writer.abort();
    let response = String::from_utf8_lossy(&response);
    assert_eq!(response, "HTTP/1.1 408", "whole body sent: {is_whole}");
}

// Guards against a bound that a setting has to turn on: a process whose settings name no memory grows with
// what clients send.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_process_without_a_named_memory_has_a_bound() {
    let _turn = ONE_AT_A_TIME.lock().await;
    let names = [
        "announced, all but the last byte",
        "chunks of 64 KB, all but the last chunk",
        "chunks without end",
    ];
    let unnamed = |case: Case| Case { settings: NO_LIMITS, ..case };
    let cases = cases_of(&names).into_iter().map(unnamed);
    play_all(cases.collect(), CLIENTS, lengthy()).await;
}

// Guards against the end of a process whose address space is limited: an allocation that fails ends it, and
// bodies of one kind leave nothing for those of others.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_process_outlives_mixed_clients_in_a_limited_address_space() {
    let _turn = ONE_AT_A_TIME.lock().await;
    let kinds = cases_of(&[
        "announced, all but the last byte",
        "chunks of 64 KB, all but the last chunk",
        "chunks of one byte, all but the last chunk",
        "stalled bodies of ordinary size",
        "requests behind one that takes long",
    ]);
    for round in 0..CONFINED_ROUNDS {
        let objects = start_objects().await;
        let _target = start_target(&objects, &RunLog::default(), lengthy());
        let mut process = Process::start(&objects, SMALL_MACHINE).await;
        process.limit_address_space(SMALL_MACHINE_BYTES);
        play_confined(&mut process, &format!("mixed clients, round {round}"), &kinds).await;
    }
}

// Guards against a process whose settings name no memory and that takes more than its address space has
// left, however large the machine is.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_process_without_a_named_memory_stays_within_its_address_space() {
    let _turn = ONE_AT_A_TIME.lock().await;
    for name in ["announced, all but the last byte", "stalled bodies of ordinary size"] {
        let objects = start_objects().await;
        let _target = start_target(&objects, &RunLog::default(), lengthy());
        let mut process = Process::start_in_address_space(&objects, ADDRESS_SPACE_BYTES).await;
        play_confined(&mut process, name, &cases_of(&[name])).await;
    }
}

/// Plays a crowd of clients of several kinds against a process whose memory is limited by the system.
async fn play_confined(process: &mut Process, name: &str, kinds: &[Case]) {
    let clients = connect_crowd(process.front(), CONFINED_CROWD, kinds);
    let open = clients.join_all().await;
    check_memory(process, name);
    send_until_answered(process, name, 5).await;
    drop(open);
    send_until_answered(process, name, BODY_LIMIT_BYTES).await;
    check_memory(process, name);
}

/// Fails if a process has ended, or if the system refused memory for a body.
fn check_memory(process: &mut Process, name: &str) {
    let is_running = process.is_running();
    let log = process.log();
    let last_lines: Vec<&str> = log.lines().rev().take(5).collect();
    assert!(is_running, "{name}: the process has ended: {last_lines:#?}");
    let refused = log.lines().filter(|line| line.contains("no memory for a request body")).count();
    assert_eq!(refused, 0, "{name}: the system refused memory");
}

// Guards against a process that hangs or grows where it gets half of a core, so that a crowd sends faster
// than it reads.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_process_with_half_of_a_core_outlives_a_crowd() {
    let _turn = ONE_AT_A_TIME.lock().await;
    let names = ["announced, all but the last byte", "chunks of one byte, all but the last chunk"];
    play_all_confined(cases_of(&names), CLIENTS, lengthy(), Process::share_core).await;
}

// Guards against a crowd with more connections than are accepted that keeps ordinary requests out by the
// time that its many small chunks take.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn ordinary_requests_are_answered_beside_many_tiny_chunks() {
    let _turn = ONE_AT_A_TIME.lock().await;
    let tiny = cases_of(&["chunks of one byte, all but the last chunk"]);
    let few = |case: Case| Case { settings: SMALL_MACHINE_OF_FEW_CONNECTIONS, ..case };
    play_all(tiny.into_iter().map(few).collect(), LARGE_CROWD, lengthy()).await;
}

// Guards against whole bodies that pile up where targets don't read them.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn whole_bodies_for_targets_that_do_not_read_them_are_bounded() {
    let _turn = ONE_AT_A_TIME.lock().await;
    let case = Case {
        name: "whole bodies for a target that reads heads",
        head: format!("Content-Length: {BODY_LIMIT_BYTES}\r\n\r\n"),
        piece: "b".repeat(BODY_LIMIT_BYTES),
        pieces: 1,
        settings: SMALL_MACHINE,
    };
    let conduct = Conduct { reads: BodyRead::HeadOnly, runs: false, ..lengthy() };
    play_all(vec![case], CLIENTS, conduct).await;
}

// Guards against answers that pile up where clients don't read them.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn answers_that_clients_do_not_read_are_bounded() {
    let _turn = ONE_AT_A_TIME.lock().await;
    let case = Case {
        name: "large answers that are not read",
        head: "Content-Length: 5\r\n\r\n".to_string(),
        piece: "bbbbb".to_string(),
        pieces: 1,
        settings: SMALL_MACHINE,
    };
    let answer = Some(success_answer(&"a".repeat(LARGE_ANSWER_BYTES)));
    play_all(vec![case], CLIENTS, Conduct { answer, ..quick() }).await;
}

/// Connects a client of a crowd whenever its connection has been closed.
async fn write_again_and_again(
    address: SocketAddr,
    number: usize,
    bytes: Arc<(String, String, usize)>,
) {
    loop {
        if let Some(mut stream) = write(address, number, bytes.clone()).await {
            let mut response = Vec::new();
            // A connection that is reset has ended as well.
            let _ = stream.read_to_end(&mut response).await;
        }
        sleep(POLL_INTERVAL).await;
    }
}

// Guards against clients that have all connections, send little or nothing, and come again when they are
// closed, so that nobody else is served.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn ordinary_callers_are_served_beside_a_crowd_that_has_all_connections() {
    let _turn = ONE_AT_A_TIME.lock().await;
    for (name, head, piece) in [
        ("a head without its end", "X-More: ", ""),
        ("a body without its last byte", "Content-Length: 60000\r\n\r\n", "b"),
        ("a chunk without its end", "Transfer-Encoding: chunked\r\n\r\n", "ff\r\nb"),
    ] {
        let objects = start_objects().await;
        let mut content = objects.state.get("config", "main").expect("the configuration is there");
        content["limits"]["headerTimeoutMs"] = LONG_TIMEOUT_MS.into();
        content["limits"]["idleTimeoutMs"] = LONG_TIMEOUT_MS.into();
        objects.state.put("config", "main", content);
        let _target = start_target(&objects, &RunLog::default(), lengthy());
        let mut process = Process::start(&objects, FEW_DESCRIPTORS).await;
        let bytes = Arc::new((head.to_string(), piece.to_string(), 1));
        let mut clients = JoinSet::new();
        for number in 0..CLIENTS {
            clients.spawn(write_again_and_again(process.front(), number, bytes.clone()));
        }
        sleep(HOLD_TIME).await;
        for size_bytes in [5, 60_000, BODY_LIMIT_BYTES] {
            send_until_answered(&process, name, size_bytes).await;
        }
        assert!(process.open_descriptors() <= DESCRIPTOR_LIMIT, "{name}");
        assert!(process.is_running(), "{name}: the process has ended");
    }
}

// Guards against memory that does not come back after a crowd, so that it grows with each.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn memory_stays_bounded_when_a_crowd_comes_again() {
    let _turn = ONE_AT_A_TIME.lock().await;
    let objects = start_objects().await;
    let _target = start_target(&objects, &RunLog::default(), lengthy());
    let mut process = Process::start(&objects, SMALL_MACHINE).await;
    let names = ["announced, all but the last byte", "chunks of 64 KB, all but the last chunk"];
    let crowds = cases_of(&names);
    for round in 0..ROUNDS {
        let crowd = &crowds[round % crowds.len()];
        let clients = connect_crowd(process.front(), CLIENTS, std::slice::from_ref(crowd));
        let open = clients.join_all().await;
        drop(open);
        send_until_answered(&process, crowd.name, BODY_LIMIT_BYTES).await;
        let peak = process.peak_resident_bytes();
        println!("round {round}: peak {} MB", peak / 1_000_000);
        assert!(peak <= MEMORY_LIMIT_BYTES, "round {round}: {peak} bytes");
        assert!(process.is_running(), "round {round}: the process has ended");
    }
}

/// View of the platform in which no target can be reached.
struct Unreachable;

#[async_trait]
impl TargetAddresses for Unreachable {
    async fn of(&self, _: SocketAddr) -> SocketAddr {
        SocketAddr::from((Ipv4Addr::LOCALHOST, 1))
    }
}

// Guards against bodies that pile up where a process that reaches no target hands requests over, at either
// of the two processes.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_crowd_is_bounded_at_both_processes_of_which_one_hands_over() {
    let _turn = ONE_AT_A_TIME.lock().await;
    let objects = start_objects().await;
    let cut_off = objects.start_view(Arc::new(Unreachable)).await.unwrap();
    let _target = start_target(&objects, &RunLog::default(), lengthy());
    let mut helper = Process::start_linked(&objects, "entry-2", SMALL_MACHINE).await;
    let mut origin = Process::start_linked(&cut_off, "entry-1", SMALL_MACHINE).await;
    let head = format!("Content-Length: {BODY_LIMIT_BYTES}\r\n\r\n");
    for (name, size_bytes) in
        [("whole bodies", BODY_LIMIT_BYTES), ("all but the last byte", BODY_LIMIT_BYTES - 1)]
    {
        let case = Case {
            name,
            head: head.clone(),
            piece: "b".repeat(size_bytes),
            pieces: 1,
            settings: SMALL_MACHINE,
        };
        let open = connect_crowd(origin.front(), CLIENTS, &[case]).join_all().await;
        for (role, process) in [("origin", &mut origin), ("helper", &mut helper)] {
            let peak = process.peak_resident_bytes();
            println!("{name}, {role}: peak {} MB", peak / 1_000_000);
            assert!(process.is_running(), "{name}: the {role} has ended");
            assert!(peak <= MEMORY_LIMIT_BYTES, "{name}, {role}: {peak} bytes");
        }
        send_until_answered(&origin, name, 5).await;
        drop(open);
        send_until_answered(&origin, name, BODY_LIMIT_BYTES).await;
        send_until_answered(&helper, name, BODY_LIMIT_BYTES).await;
    }
}

// Guards against bodies that take room from others although their client is refused anyway.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn bodies_of_unknown_clients_take_no_room() {
    let _turn = ONE_AT_A_TIME.lock().await;
    let objects = start_objects().await;
    let _target = start_target(&objects, &RunLog::default(), lengthy());
    let process = Process::start(&objects, SMALL_MACHINE).await;
    let length = format!("Connection: close\r\nContent-Length: {BODY_LIMIT_BYTES}\r\n\r\n");
    let head = |key: &str| request_head("u", key, &length);
    let body = "b".repeat(BODY_LIMIT_BYTES - 1);
    let mut unknown = TcpStream::connect(process.front()).await.unwrap();
    unknown.write_all(head("unknown").as_bytes()).await.unwrap();
    unknown.write_all(body.as_bytes()).await.unwrap();
    assert_eq!(process.arriving_body_bytes().await, 0);
    let mut known = TcpStream::connect(process.front()).await.unwrap();
    known.write_all(head("k1").as_bytes()).await.unwrap();
    known.write_all(body.as_bytes()).await.unwrap();
    assert_ne!(process.arriving_body_bytes().await, 0, "the gauge counts other bodies");
    unknown.write_all(b"b").await.unwrap();
    let mut response = String::new();
    unknown.read_to_string(&mut response).await.unwrap();
    assert!(response.starts_with("HTTP/1.1 401 "), "{response}");
}
