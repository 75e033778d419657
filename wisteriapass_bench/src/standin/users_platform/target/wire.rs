//! Requests and answers of a target on the wire.

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::thread::sleep;
use std::time::Duration;

use super::Behaviour;

/// Events of a stream.
const EVENTS: u64 = 5;

/// Longer than any router waits.
const FOREVER: Duration = Duration::from_secs(60);

/// Time between two events.
const GAP: Duration = Duration::from_millis(20);

/// A request as it arrived.
#[derive(Clone, Debug, Default)]
pub struct ReceivedRequest {
    /// First line.
    pub request_line: String,
    /// Headers, names in lower case.
    pub headers: BTreeMap<String, String>,
    /// Body as text.
    pub body: String,
    /// Whether it ran.
    pub ran: bool,
}

impl ReceivedRequest {
    /// Returns a header, or nothing.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// Returns the time that the target was given for it.
    fn remaining(&self) -> Duration {
        let ms = self.header("x-deadline-remaining").parse().unwrap_or(0);
        Duration::from_millis(ms)
    }
}

/// Reads the next request.
pub fn read(reader: &mut BufReader<TcpStream>) -> io::Result<ReceivedRequest> {
    let mut seen = ReceivedRequest::default();
    if reader.read_line(&mut seen.request_line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let Some((name, value)) = line.trim_end().split_once(": ") else {
            break;
        };
        let name = name.to_ascii_lowercase();
        seen.headers.insert(name, value.into());
    }
    let length = seen.header("content-length").parse().unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    seen.body = String::from_utf8_lossy(&body).into_owned();
    Ok(seen)
}

/// Answers a request.
pub fn answer(out: &mut TcpStream, seen: &ReceivedRequest, behaviour: Behaviour) -> io::Result<()> {
    let id = seen.header("x-attempt-id");
    let broken = || io::Error::from(io::ErrorKind::ConnectionAborted);
    match behaviour {
        Behaviour::Shed => not_run(out, id),
        Behaviour::QueueTimeout => {
            sleep(seen.remaining());
            not_run(out, id)
        }
        Behaviour::Hang => {
            sleep(seen.remaining());
            write!(
                out,
                "HTTP/1.1 504 Late\r\nX-Attempt-Id: {id}\r\nX-Server-Stamp: s\r\n\
                 Content-Length: 4\r\n\r\nlate"
            )
        }
        Behaviour::ServerError => write!(
            out,
            "HTTP/1.1 500 Failed\r\nX-Attempt-Id: {id}\r\nX-Server-Stamp: s\r\n\
             Content-Length: 4\r\n\r\nfail"
        ),
        Behaviour::CloseUnanswered => Err(broken()),
        Behaviour::MalformedAnswer => {
            out.write_all(b"\x00\xff no answer \r\n\r\n")?;
            Err(broken())
        }
        Behaviour::WrongAttemptId => whole(out, "another"),
        Behaviour::Misdirected => write!(
            out,
            "HTTP/1.1 421 Misdirected\r\nX-Attempt-Id: {id}\r\nX-Not-Executed: 1\r\n\
             Content-Length: 0\r\n\r\n"
        ),
        Behaviour::BreakAfter(events) => {
            stream(out, seen, events, 1)?;
            out.write_all(b"10\r\nid: 99\nda")?;
            Err(broken())
        }
        Behaviour::Stall(events) => {
            stream(out, seen, events, 1)?;
            sleep(FOREVER);
            Err(broken())
        }
        Behaviour::SlowStream(times) => {
            stream(out, seen, u64::MAX, times)?;
            out.write_all(b"0\r\n\r\n")
        }
        Behaviour::Answer if seen.header("x-token-counts").is_empty() => whole(out, id),
        Behaviour::Answer => {
            stream(out, seen, u64::MAX, 1)?;
            out.write_all(b"0\r\n\r\n")
        }
    }
}

fn not_run(out: &mut TcpStream, id: &str) -> io::Result<()> {
    write!(
        out,
        "HTTP/1.1 503 Full\r\nX-Attempt-Id: {id}\r\nX-Not-Executed: 1\r\n\
         Content-Length: 0\r\n\r\n"
    )
}

fn whole(out: &mut TcpStream, id: &str) -> io::Result<()> {
    write!(
        out,
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Stamp: s\r\n\
         Content-Length: 5\r\n\r\nwhole"
    )
}

/// Sends the events behind the one that the caller has, up to `last`, without the end.
fn stream(out: &mut TcpStream, seen: &ReceivedRequest, last: u64, times: u32) -> io::Result<()> {
    let from = seen.header("last-event-id").parse().unwrap_or(0);
    write!(
        out,
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {}\r\nX-Server-Stamp: s\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
        seen.header("x-attempt-id")
    )?;
    for event in from + 1..=EVENTS.min(last) {
        sleep(GAP * times);
        let text = format!("id: {event}\ndata: {event}\n\n");
        write!(out, "{:x}\r\n{text}\r\n", text.len())?;
    }
    Ok(())
}

/// Begins the answer that a crash cuts off: a stream's head, nothing of a whole answer.
pub fn begin(out: &mut TcpStream, seen: &ReceivedRequest) -> io::Result<()> {
    if !seen.header("x-token-counts").is_empty() {
        stream(out, seen, 0, 1)?;
    }
    sleep(GAP);
    Ok(())
}
