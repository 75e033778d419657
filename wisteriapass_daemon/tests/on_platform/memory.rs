//! Memory that callers, targets and other routers make a router hold.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread::{scope, sleep};
use std::time::Duration;

use serde_json::json;
use socket2::{Domain, Socket, Type};
use wisteriapass_bench::standin::users_platform::{Behaviour, EndlessPart};

use crate::support::{
    Answer, DESCRIPTORS, KEY, RawTarget, Request, Router, TestPlatform, VM_MEMORY_MB,
    configuration, wait_for,
};

/// Number of callers at the same time.
const CALLERS: usize = 60;

/// Largest permitted body, in bytes.
const BODY_BYTES: usize = 4 << 20;

/// Number of callers that do not read their streams.
const SILENT_CALLERS: usize = 120;

/// Number of connections of peers with a head that does not end.
const PEERS: usize = 600;

/// Size of that head, in bytes.
const HEAD_BYTES: usize = 390_000;

/// Time for which a faulty peer goes on.
const FAULT_TIME: Duration = Duration::from_secs(3);

/// Returns a platform whose callers may send large bodies, and a router.
fn start() -> (TestPlatform, Router) {
    let platform = TestPlatform::new(1_000_000_000);
    let mut large = configuration(2, &[KEY], 1_000_000_000);
    large["limits"]["max_body_bytes"] = json!(BODY_BYTES);
    large["limits"]["idle_timeout_ms"] = json!(2_000);
    platform.configure(&large);
    let router = Router::start("r", &platform.store);
    (platform, router)
}

/// Returns a request whose body is as large as permitted.
fn large_request(id: &str) -> Request {
    Request::new(id, "/once/x").with_body(&"x".repeat(BODY_BYTES))
}

/// Sends all requests at the same time; returns their answers.
fn send_all(router: &Router, requests: &[Request]) -> Vec<Answer> {
    scope(|threads| {
        let send = |request| threads.spawn(move || router.send(request));
        let sent: Vec<_> = requests.iter().map(send).collect();
        let answers = sent.into_iter().map(|sent| sent.join().unwrap());
        answers.map(|answer| answer.expect("an answer")).collect()
    })
}

fn assert_memory_suffices(router: &Router) {
    let peak_mb = router.peak_memory_mb();
    assert!(peak_mb < VM_MEMORY_MB, "{peak_mb} MB");
}

/// Checks that other callers are served.
fn assert_serves(router: &Router, series: &str) {
    for n in 0..5 {
        let request = Request::new(&format!("{series}{n}"), "/once/x");
        assert_eq!(router.send(&request).map(|a| a.status), Some(200));
    }
}

/// Returns the head of a request with a body of unknown length.
fn chunked_head(id: &str) -> String {
    let text = Request::new(id, "/once/x").with_body("").text();
    text.replace("Content-Length: 0", "Transfer-Encoding: chunked")
}

/// Connects to a router that may close the connection, and sends bytes for a while.
fn send_without_end(address: SocketAddr, head: &str, piece: &[u8]) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_write_timeout(Some(FAULT_TIME)).ok()?;
    stream.write_all(head.as_bytes()).ok()?;
    stream.write_all(piece).ok()?;
    Some(stream)
}

/// Sends a request and reads nothing of the answer.
fn ask_without_reading(router: &Router, request: &Request) -> Socket {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(4_096).unwrap();
    let address = SocketAddr::from(([127, 0, 0, 1], router.port()));
    socket.connect(&address.into()).unwrap();
    (&socket).write_all(request.text().as_bytes()).unwrap();
    socket
}

/// Guards against bodies of callers that fill the memory together, and refusals of them that get lost.
#[test]
fn large_bodies_at_the_same_time_fill_the_memory() {
    let (platform, router) = start();
    let ids = (0..CALLERS).map(|n| format!("large{n}"));
    let requests: Vec<Request> = ids.map(|id| large_request(&id)).collect();
    let answers = send_all(&router, &requests);
    for answer in &answers {
        let is_refused = answer.status == 503 && answer.body.contains("memory_short");
        assert!(answer.status == 200 || is_refused, "{answer:?}");
        assert!(!is_refused || answer.head.contains("retry-after"));
    }
    let served = answers.iter().filter(|a| a.status == 200).count();
    assert!(served > 0);
    assert_eq!(platform.plain_runs(), served);
    assert_memory_suffices(&router);
    let after = router.send(&large_request("after"));
    assert_eq!(after.map(|a| a.status), Some(200));
}

/// Guards against bodies whose ends never come, which hold the memory of all other requests.
#[test]
fn bodies_that_do_not_end_fill_the_memory() {
    let (platform, router) = start();
    let frontend = SocketAddr::from(([127, 0, 0, 1], router.port()));
    let stated = |n: usize| {
        let text = large_request(&format!("held{n}")).text();
        text.split_at(text.len() - BODY_BYTES).0.to_owned()
    };
    let chunk = format!("{BODY_BYTES:x}\r\n{}", "x".repeat(BODY_BYTES));
    let whole = "x".repeat(BODY_BYTES - 1);
    scope(|threads| {
        let callers: Vec<_> = (0..CALLERS)
            .flat_map(|n| {
                let chunked = chunked_head(&format!("chunked{n}"));
                let (whole, chunk) = (&whole, &chunk);
                let first = move || send_without_end(frontend, &stated(n), whole.as_bytes());
                let second = move || send_without_end(frontend, &chunked, chunk.as_bytes());
                [threads.spawn(first), threads.spawn(second)]
            })
            .collect();
        assert_serves(&router, "during");
        for caller in callers {
            let Some(mut stream) = caller.join().unwrap() else {
                continue;
            };
            let mut answer = [0; 12];
            stream.read_exact(&mut answer).unwrap();
            assert_eq!(&answer, b"HTTP/1.1 503");
        }
    });
    assert_eq!(platform.plain_runs(), 5);
    assert_memory_suffices(&router);
    assert_serves(&router, "after");
}

/// Guards against streams of blank lines, each of which takes many times its size while it waits for its
/// caller.
#[test]
fn blank_lines_that_wait_for_their_callers_fill_the_memory() {
    let (platform, router) = start();
    let endless = [Behaviour::Endless(EndlessPart::BlankLines); SILENT_CALLERS];
    for engine in &platform.engines {
        engine.push_behaviours(&endless);
    }
    let stream = |n: usize| Request::new(&format!("s{n}"), "/draft/x").with_tokens(10, 10);
    let callers = (0..SILENT_CALLERS).map(|n| ask_without_reading(&router, &stream(n)));
    let _callers: Vec<Socket> = callers.collect();
    sleep(FAULT_TIME);
    assert_memory_suffices(&router);
    assert_serves(&router, "after");
}

/// Guards against a caller that reads nothing of its stream, and holds its target for ever.
#[test]
fn a_caller_that_does_not_read_holds_its_target() {
    let (platform, router) = start();
    for engine in &platform.engines {
        engine.push_behaviours(&[Behaviour::Endless(EndlessPart::Events)]);
    }
    let unfinished = || {
        let engines = platform.engines.iter();
        engines.map(|e| e.unfinished_answers()).sum::<usize>()
    };
    let request = Request::new("s", "/draft/x").with_tokens(10, 10);
    let _caller = ask_without_reading(&router, &request);
    wait_for("a stream", || unfinished() == 1);
    wait_for("the end of the stream", || unfinished() == 0);
}

/// Guards against heads of peers and probes that fill the memory.
#[test]
fn heads_of_peers_fill_the_memory() {
    let (_platform, router) = start();
    let peer = SocketAddr::from(([127, 0, 0, 1], router.peer_port()));
    let piece = "x".repeat(HEAD_BYTES);
    let head = "POST / HTTP/1.1\r\nX-Filler: ";
    for address in [peer, router.readiness_address()] {
        let send = |_| send_without_end(address, head, piece.as_bytes());
        let _open: Vec<_> = (0..PEERS).map(send).collect();
        assert_serves(&router, "during");
    }
    assert_memory_suffices(&router);
    assert!(router.is_ready());
    let metrics = router.metrics();
    assert!(metrics.contains("wisteriapass_held_memory_bytes{"));
}

/// Guards against callers whose connections take all descriptors, so that none are left for targets and
/// the store.
#[test]
fn idle_connections_take_all_descriptors() {
    let (_platform, router) = start();
    let connect = || TcpStream::connect(("127.0.0.1", router.port())).unwrap();
    let mut kept = connect();
    let mut idle: Vec<TcpStream> = (0..DESCRIPTORS).map(|_| connect()).collect();
    wait_for("no more callers", || !router.is_ready());
    wait_for("connections that close unread", || {
        let last = idle.last_mut().unwrap();
        last.read(&mut [0]).is_ok_and(|n| n == 0)
    });
    let request = Request::new("kept", "/once/x").text();
    kept.write_all(request.as_bytes()).unwrap();
    let mut answer = String::new();
    kept.read_to_string(&mut answer).unwrap();
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    drop(idle);
    wait_for("callers again", || router.is_ready());
    assert_serves(&router, "after");
}

/// Guards against informational responses that are read without end, as they are no part of a head.
#[test]
fn informational_responses_do_not_count_as_part_of_the_head() {
    let (platform, router) = start();
    let target = RawTarget::start(&platform, "plain");
    target.wait_until_only(&router, "/once/x");
    let informational = "HTTP/1.1 102 Processing\r\n\r\n";
    for (count, status) in [(100, 200), (HEAD_BYTES / informational.len() / 2, 502)] {
        let answer = format!(
            "{}HTTP/1.1 200 OK\r\nX-Attempt-Id: {{id}}\r\nX-Server-Stamp: s\r\n\
             Content-Length: 3\r\n\r\nraw",
            informational.repeat(count)
        );
        target.set_answer(answer.as_bytes());
        let request = Request::new(&format!("i{count}"), "/once/x");
        assert_eq!(router.send(&request).map(|a| a.status), Some(status));
    }
    wait_for("a log line", || router.log().contains("part=framing"));
}
