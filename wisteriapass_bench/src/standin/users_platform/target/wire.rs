//! HTTP requests and answers of a simulated target.

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::thread::sleep;
use std::time::{Duration, Instant};

use super::{Behaviour, BreakOff, Framing};

/// Number of events in a stream.
const EVENT_COUNT: u64 = 5;

/// Body of a plain answer.
pub const PLAIN_BODY: &str = "whole";

/// Time for which a stalled stream stays open, longer than any router waits.
const STALL_DURATION: Duration = Duration::from_secs(60);

/// Time between two events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(20);

/// A request as received by a target.
#[derive(Clone, Debug, Default)]
pub struct ReceivedRequest {
    /// Request line, including its line end.
    pub request_line: String,
    /// Headers by name; names are in lower case.
    pub headers: BTreeMap<String, String>,
    /// Body as text.
    pub body: String,
    /// Whether the target ran the request.
    pub ran: bool,
    /// When it arrived.
    pub arrived: Option<Instant>,
    /// Headers of the answer by which the target states something about itself.
    pub statements: BTreeMap<&'static str, &'static str>,
    /// Text that marks the target's events, if any.
    pub event_mark: Option<&'static str>,
}

impl ReceivedRequest {
    /// Returns the value of a header, or an empty string if it is missing.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// Returns whether the answer is a stream of events.
    pub(super) fn is_stream(&self) -> bool {
        !self.header("x-token-counts").is_empty()
    }

    /// Returns the header lines that identify the request and contain the target's statements.
    pub(super) fn answer_headers(&self) -> String {
        self.answer_headers_for(self.header("x-attempt-id"))
    }

    /// As [`Self::answer_headers`], for an answer to the request with this id.
    fn answer_headers_for(&self, id: &str) -> String {
        let statements = self.statements.iter();
        let lines = statements.map(|(name, value)| format!("{name}: {value}\r\n"));
        format!("X-Attempt-Id: {id}\r\n{}", lines.collect::<String>())
    }

    /// Returns the time left for the request, according to its header.
    fn remaining_time(&self) -> Duration {
        let ms = self.header("x-deadline-remaining").parse().unwrap_or(0);
        Duration::from_millis(ms)
    }
}

/// Reads the next request from a connection.
pub fn read(reader: &mut BufReader<TcpStream>) -> io::Result<ReceivedRequest> {
    let mut request = ReceivedRequest::default();
    if reader.read_line(&mut request.request_line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    request.arrived = Some(Instant::now());
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let Some((name, value)) = line.trim_end().split_once(": ") else {
            break;
        };
        let name = name.to_ascii_lowercase();
        request.headers.insert(name, value.into());
    }
    let length = request.header("content-length").parse().unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    request.body = String::from_utf8_lossy(&body).into_owned();
    Ok(request)
}

/// Answers a request according to `behaviour`.
pub fn answer(
    out: &mut TcpStream,
    request: &ReceivedRequest,
    behaviour: Behaviour,
) -> io::Result<()> {
    let headers = request.answer_headers();
    let connection_aborted = || io::Error::from(io::ErrorKind::ConnectionAborted);
    match behaviour {
        Behaviour::Shed => refuse(out, &headers),
        Behaviour::QueueTimeout => {
            sleep(request.remaining_time());
            refuse(out, &headers)
        }
        Behaviour::Hang => {
            sleep(request.remaining_time());
            write!(
                out,
                "HTTP/1.1 504 Late\r\n{headers}X-Server-Stamp: s\r\n\
                 Content-Length: 4\r\n\r\nlate"
            )
        }
        Behaviour::ServerError => write!(
            out,
            "HTTP/1.1 500 Failed\r\n{headers}X-Server-Stamp: s\r\n\
             Content-Length: 4\r\n\r\nfail"
        ),
        Behaviour::CloseUnanswered => Err(connection_aborted()),
        Behaviour::MalformedAnswer => {
            out.write_all(b"\x00\xff no answer \r\n\r\n")?;
            Err(connection_aborted())
        }
        Behaviour::WrongAttemptId => send_whole(out, &request.answer_headers_for("another")),
        Behaviour::Misdirected => write!(
            out,
            "HTTP/1.1 421 Misdirected\r\n{headers}X-Not-Executed: 1\r\n\
             Content-Length: 0\r\n\r\n"
        ),
        Behaviour::BreakAfter(events) => {
            BreakOff::after(events).send_stream(out, request)?;
            Err(connection_aborted())
        }
        Behaviour::BreakOff(break_off) => {
            break_off.send(out, request)?;
            Err(connection_aborted())
        }
        Behaviour::AnswerUnframed(rest) => {
            if request.is_stream() {
                send_stream(out, request, u64::MAX, 1, Framing::Unframed)?;
                out.write_all(rest.as_bytes())?;
            } else {
                send_plain(out, &headers, Framing::Unframed, PLAIN_BODY)?;
            }
            Err(connection_aborted())
        }
        Behaviour::EndAtDeadline(events) => {
            let arrived = request.arrived.unwrap_or_else(Instant::now);
            send_stream(out, request, events, 1, Framing::Unframed)?;
            sleep(request.remaining_time().saturating_sub(arrived.elapsed()));
            Err(connection_aborted())
        }
        Behaviour::Endless(part) => part.send(out, request),
        Behaviour::Drip(part) => part.drip(out, request),
        Behaviour::Stall(events) => {
            send_stream(out, request, events, 1, Framing::Framed)?;
            sleep(STALL_DURATION);
            Err(connection_aborted())
        }
        Behaviour::AnswerAtOnce => {
            send_stream(out, request, 0, 1, Framing::Framed)?;
            let events: String = (1..=EVENT_COUNT)
                .map(|id| event_text(id, request.event_mark))
                .collect();
            Framing::Framed.send(out, &events)?;
            out.write_all(b"0\r\n\r\n")
        }
        Behaviour::SlowStream(slowdown) => {
            send_stream(out, request, u64::MAX, slowdown, Framing::Framed)?;
            out.write_all(b"0\r\n\r\n")
        }
        Behaviour::Answer if !request.is_stream() => send_whole(out, &headers),
        Behaviour::Answer => {
            send_stream(out, request, u64::MAX, 1, Framing::Framed)?;
            out.write_all(b"0\r\n\r\n")
        }
    }
}

fn refuse(out: &mut TcpStream, headers: &str) -> io::Result<()> {
    write!(
        out,
        "HTTP/1.1 503 Full\r\n{headers}X-Not-Executed: 1\r\n\
         Content-Length: 0\r\n\r\n"
    )
}

fn send_whole(out: &mut TcpStream, headers: &str) -> io::Result<()> {
    send_plain(out, headers, Framing::Framed, PLAIN_BODY)
}

/// Sends the head of a plain answer and this part of its body.
pub fn send_plain(
    out: &mut TcpStream,
    headers: &str,
    framing: Framing,
    part: &str,
) -> io::Result<()> {
    let length = match framing {
        Framing::Unframed => String::new(),
        Framing::Framed | Framing::Ended => format!("Content-Length: {}\r\n", PLAIN_BODY.len()),
    };
    write!(
        out,
        "HTTP/1.1 200 OK\r\n{headers}X-Server-Stamp: s\r\n{length}\r\n{part}"
    )
}

/// Sends the head of a stream and the events after the client's last one, up to `last_event`, but
/// not the end of the stream.
pub fn send_stream(
    out: &mut TcpStream,
    request: &ReceivedRequest,
    last_event: u64,
    slowdown: u32,
    framing: Framing,
) -> io::Result<()> {
    let received = request.header("last-event-id").parse().unwrap_or(0);
    let encoding = match framing {
        Framing::Unframed => "",
        Framing::Framed | Framing::Ended => "Transfer-Encoding: chunked\r\n",
    };
    write!(
        out,
        "HTTP/1.1 200 OK\r\n{}X-Server-Stamp: s\r\n\
         Content-Type: text/event-stream\r\n{encoding}\r\n",
        request.answer_headers()
    )?;
    for event in received + 1..=EVENT_COUNT.min(last_event) {
        sleep(EVENT_INTERVAL * slowdown);
        framing.send(out, &event_text(event, request.event_mark))?;
    }
    Ok(())
}

fn event_text(id: u64, mark: Option<&str>) -> String {
    let mark = mark.map_or(String::new(), |mark| format!(" {mark}"));
    format!("id: {id}\ndata: {id}{mark}\n\n")
}

/// Sends the part of an answer that precedes a crash: the head of a stream, or nothing of a whole
/// answer.
pub fn send_head(out: &mut TcpStream, request: &ReceivedRequest) -> io::Result<()> {
    if request.is_stream() {
        send_stream(out, request, 0, 1, Framing::Framed)?;
    }
    sleep(EVENT_INTERVAL);
    Ok(())
}
