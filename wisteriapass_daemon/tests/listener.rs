//! Connections that come together are all served, and answers that are cut look cut.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Barrier};
use std::time::{Duration, Instant};

use wisteriapass_daemon::http::{self, BoundAddress, Listener, StreamWriter};

/// Callers at once.
const CALLERS: usize = 6;

/// Listeners at which they come at once; the calls before come one by one.
const ROUNDS: usize = 200;

/// Time after which a read counts as stuck, in seconds.
const STUCK_S: u64 = 20;

fn listen() -> Listener {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    BoundAddress::bind(any).unwrap().listen().unwrap()
}

/// Connects and sends a request.
fn begin(addr: SocketAddr, request: &str) -> TcpStream {
    let mut stream = TcpStream::connect(addr).unwrap();
    let patience = Duration::from_secs(STUCK_S);
    stream.set_read_timeout(Some(patience)).unwrap();
    stream.write_all(request.as_bytes()).unwrap();
    stream
}

/// Returns all that comes until the other side closes.
fn end(mut stream: TcpStream) -> String {
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    answer
}

fn get(addr: SocketAddr, path: &str) -> String {
    let request = format!("GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
    end(begin(addr, &request))
}

/// Calls on a connection that is kept, and closes it after the answer.
fn keep_and_leave(addr: SocketAddr) {
    let mut stream = begin(addr, "GET /alone HTTP/1.1\r\nhost: x\r\n\r\n");
    let mut answer = Vec::new();
    while !answer.ends_with(b"{}") {
        let mut byte = [0];
        stream.read_exact(&mut byte).unwrap();
        answer.extend(byte);
    }
}

#[test]
fn requests_that_come_together_are_all_worked_on_at_once() {
    for _ in 0..ROUNDS {
        let listener = listen();
        let addr = listener.address();
        let all_there = Arc::new(Barrier::new(CALLERS));
        http::serve(&listener, "test", move |req| {
            if req.url() == "/together" {
                all_there.wait();
            }
            http::respond_json(req, 200, "{}".into(), &[]);
        });
        for _ in 0..CALLERS {
            keep_and_leave(addr);
        }
        let callers: Vec<_> = (0..CALLERS)
            .map(|_| std::thread::spawn(move || get(addr, "/together")))
            .collect();
        for caller in callers {
            let answer = caller.join().unwrap();
            assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        }
        listener.close();
    }
}

#[test]
fn an_answer_that_is_cut_has_no_end() {
    let listener = listen();
    let addr = listener.address();
    http::serve(&listener, "test", |req| {
        let mut out = StreamWriter::new(req, 200, &[]).unwrap();
        out.send(b"part").unwrap();
    });
    let answer = get(addr, "/");
    assert!(answer.contains("part"), "{answer}");
    assert!(!answer.ends_with("0\r\n\r\n"), "{answer}");
}

#[test]
fn an_answer_that_is_finished_is_whole() {
    let listener = listen();
    let addr = listener.address();
    http::serve(&listener, "test", |req| {
        let mut out = StreamWriter::new(req, 200, &[("x-part", "one")]).unwrap();
        out.send(b"part").unwrap();
        out.finish().unwrap();
    });
    let answer = get(addr, "/");
    assert!(answer.contains("x-part: one\r\n"), "{answer}");
    assert!(answer.ends_with("4\r\npart\r\n0\r\n\r\n"), "{answer}");
}

#[test]
fn a_body_that_stalls_is_given_up_at_its_deadline() {
    let listener = listen();
    let addr = listener.address();
    http::serve(&listener, "test", |req| {
        let deadline = Instant::now() + Duration::from_millis(100);
        let late = http::read_body(&req, 1_000, deadline).unwrap_err();
        http::respond_json(
            req,
            408,
            late.to_string(),
            &[("connection", "close".into())],
        );
    });
    let half = "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 10\r\n\r\nhalf";
    let answer = end(begin(addr, half));
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
}

/// Size of a body that is refused by its stated length, in bytes.
const LARGE: usize = 1 << 20;

// Its connection was closed with the body unread, which resets it, and the refusal was lost.
#[test]
fn the_refusal_of_a_body_that_is_too_large_arrives() {
    let listener = listen();
    let addr = listener.address();
    http::serve(&listener, "test", |req| {
        let deadline = Instant::now() + Duration::from_secs(STUCK_S);
        let refused = http::read_body(&req, 1_000, deadline).unwrap_err();
        http::respond_json(req, 413, refused.to_string(), &[]);
    });
    let head = format!("POST / HTTP/1.1\r\nhost: x\r\ncontent-length: {LARGE}\r\n\r\n");
    for _ in 0..ROUNDS {
        let mut caller = begin(addr, &head);
        caller.write_all(&vec![b'x'; LARGE]).unwrap();
        caller.shutdown(std::net::Shutdown::Write).unwrap();
        let answer = end(caller);
        assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
        assert!(answer.ends_with("send a smaller one"), "{answer}");
    }
}

#[test]
fn a_closed_listener_refuses_and_finishes_what_it_began() {
    let listener = listen();
    let addr = listener.address();
    let (begun_tx, begun) = flume::bounded(1);
    let (go, wait) = flume::bounded::<()>(0);
    http::serve(&listener, "test", move |req| {
        begun_tx.send(()).unwrap();
        // The end of the channel is the sign to go on.
        wait.recv().unwrap_err();
        http::respond_json(req, 200, "{}".into(), &[]);
    });
    let caller = std::thread::spawn(move || get(addr, "/"));
    begun.recv().unwrap();
    listener.close();
    let refused_by = Instant::now() + Duration::from_secs(STUCK_S);
    while TcpStream::connect(addr).is_ok() {
        assert!(Instant::now() < refused_by, "connections are taken still");
        std::thread::sleep(Duration::from_millis(5));
    }
    drop(go);
    assert!(caller.join().unwrap().starts_with("HTTP/1.1 200"));
}

#[test]
fn what_was_answered_leaves_before_the_end() {
    for _ in 0..ROUNDS {
        let listener = listen();
        let addr = listener.address();
        let (answered, wait) = flume::bounded(1);
        http::serve(&listener, "test", move |req| {
            http::respond_json(req, 200, "{}".into(), &[]);
            answered.send(()).unwrap();
        });
        let caller = begin(addr, "GET / HTTP/1.1\r\nhost: x\r\n\r\n");
        wait.recv().unwrap();
        listener.finish(Instant::now() + Duration::from_secs(STUCK_S));
        assert!(end(caller).ends_with("{}"));
    }
}
