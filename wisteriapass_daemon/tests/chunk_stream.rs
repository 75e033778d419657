//! Answers read in chunks: which ends of the connection complete an answer.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU8, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use wisteriapass_daemon::http::{Frame, StreamError, StreamedRequest, stream_chunks};

/// Timeout of an answer, in seconds.
const ANSWER_TIMEOUT_S: u64 = 20;

/// Answers one request with these bytes, and closes the connection.
fn serve_once(answer: &'static str) -> (SocketAddr, JoinHandle<()>) {
    serve_once_at(listen(), answer)
}

/// Listens at an address that no other test has had: a check whether a service that ended lives must
/// not reach another one at its port.
fn listen() -> TcpListener {
    static LAST: AtomicU8 = AtomicU8::new(1);
    let host = LAST.fetch_add(1, Ordering::Relaxed) + 1;
    TcpListener::bind((Ipv4Addr::new(127, 0, 0, host), 0)).unwrap()
}

/// As [`serve_once`], at a listener that stays open if the caller has a clone of it.
fn serve_once_at(listener: TcpListener, answer: &'static str) -> (SocketAddr, JoinHandle<()>) {
    let addr = listener.local_addr().unwrap();
    let server = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            stream.read_exact(&mut byte).unwrap();
            head.extend(byte);
        }
        stream.write_all(answer.as_bytes()).unwrap();
    });
    (addr, server)
}

/// Reads an answer of a service that ends behind it; returns its body, and how it ended.
fn read(method: &str, answer: &'static str) -> (Vec<u8>, Result<(), StreamError>) {
    read_from(serve_once(answer), method)
}

fn read_from(
    (addr, server): (SocketAddr, JoinHandle<()>),
    method: &str,
) -> (Vec<u8>, Result<(), StreamError>) {
    let frames = stream_chunks(StreamedRequest {
        method: method.into(),
        url: format!("http://{addr}/"),
        headers: Vec::new(),
        body: Vec::new(),
    });
    let deadline = Instant::now() + Duration::from_secs(ANSWER_TIMEOUT_S);
    let mut body = Vec::new();
    let end = loop {
        match frames.next(deadline) {
            Ok(Frame::Bytes(bytes)) => body.extend(bytes),
            Ok(Frame::Head { .. } | Frame::Line(_)) => {}
            Ok(Frame::End) => break Ok(()),
            Err(e) => break Err(e),
        }
    };
    server.join().unwrap();
    (body, end)
}

/// Asserts that an answer with the body `part` does not count as complete.
fn assert_broken(answer: &'static str) {
    let (body, end) = read("GET", answer);
    assert_eq!(body, b"part", "{answer} {end:?}");
    assert!(matches!(end, Err(StreamError::Broken { .. })), "{end:?}");
}

/// Asserts that an answer is complete.
fn assert_complete(method: &str, answer: &'static str, body: &[u8]) {
    assert_eq!(read(method, answer), (body.to_vec(), Ok(())), "{answer}");
}

#[test]
fn an_answer_with_its_whole_length_or_last_chunk_is_complete() {
    let length = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\npart";
    assert_complete("GET", length, b"part");
    let chunks = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n";
    assert_complete("GET", chunks, b"part");
}

#[test]
fn an_answer_that_has_no_body_is_complete() {
    assert_complete("GET", "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n", b"");
    assert_complete("GET", "HTTP/1.1 204 No Content\r\n\r\n", b"");
    assert_complete("GET", "HTTP/1.1 304 Not Modified\r\n\r\n", b"");
    assert_complete("HEAD", "HTTP/1.1 200 OK\r\n\r\n", b"");
}

#[test]
fn an_answer_shorter_than_its_length_is_broken() {
    assert_broken("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\npart");
}

#[test]
fn an_answer_cut_between_chunks_is_broken() {
    assert_broken("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\npart\r\n");
}

#[test]
fn an_answer_cut_within_a_chunk_is_broken() {
    assert_broken("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n9\r\npart");
}

#[test]
fn an_answer_that_ends_only_with_its_connection_is_complete_if_its_service_lives() {
    let listener = listen();
    let answer = "HTTP/1.1 200 OK\r\n\r\nwhole";
    let server = serve_once_at(listener.try_clone().unwrap(), answer);
    assert_eq!(read_from(server, "GET"), (b"whole".to_vec(), Ok(())));
}

#[test]
fn an_answer_that_ends_with_its_service_is_broken() {
    assert_broken("HTTP/1.1 200 OK\r\n\r\npart");
    assert_broken("HTTP/1.0 200 OK\r\n\r\npart");
}
