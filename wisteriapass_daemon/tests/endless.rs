//! Answers of services and engines that never end, as their callers receive them.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use wisteriapass_daemon::http::{Frame, StreamError, send_limited, stream_lines};

/// Timeout of all waits.
const WAIT_S: u64 = 20;

/// Size of each piece that is sent, in bytes.
const PIECE: usize = 64 << 10;

/// Answers one request with a head and then these bytes again and again, until the caller closes.
fn serve_without_end(piece: Vec<u8>) -> (SocketAddr, JoinHandle<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let server = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut head = [0; 4_096];
        let _ = stream.read(&mut head).unwrap();
        stream
            .write_all(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n")
            .unwrap();
        let mut sent = 0;
        while stream.write_all(&piece).is_ok() {
            sent += piece.len();
        }
        sent
    });
    (address, server)
}

/// Guards against a line without end, which is kept until the exchange times out.
#[test]
fn a_line_without_end_is_kept() {
    let (address, server) = serve_without_end(vec![b'x'; PIECE]);
    let frames = stream_lines(minreq::get(format!("http://{address}/")));
    let deadline = Instant::now() + Duration::from_secs(WAIT_S);
    let head = frames.next(deadline);
    assert!(matches!(head, Ok(Frame::Head { .. })), "{head:?}");
    let end = frames.next(deadline);
    assert!(matches!(end, Err(StreamError::Broken { .. })), "{end:?}");
    drop(frames);
    server.join().unwrap();
}

/// Guards against a report without end, which is kept until its timeout.
#[test]
fn an_answer_without_end_is_kept() {
    let (address, server) = serve_without_end(vec![b'x'; PIECE]);
    let request = minreq::get(format!("http://{address}/")).with_timeout(WAIT_S);
    let answer = send_limited(request, PIECE as u64);
    let error = answer.expect_err("an endless answer").to_string();
    assert!(error.contains("too large"), "{error}");
    server.join().unwrap();
}
