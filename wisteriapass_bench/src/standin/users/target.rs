//! A target of the users' platform: streams events or answers whole, and can go wrong.

use std::collections::{BTreeMap, VecDeque};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread::{sleep, spawn};
use std::time::Duration;

use parking_lot::Mutex;

/// Events of a stream.
const EVENTS: u64 = 5;

/// Time between two events.
const GAP: Duration = Duration::from_millis(20);

/// What a target does with its next request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Behaviour {
    /// Answers as it should.
    #[default]
    Answer,
    /// Says that it is full and did not run it.
    Shed,
    /// Runs it and answers with a failure of its own.
    Fail,
    /// Runs it and closes the connection without an answer.
    Lose,
    /// Runs it and breaks its stream off in the middle of the event behind this one.
    BreakAfter(u64),
    /// Runs it and answers with another request's id.
    Cross,
    /// Runs it and sends bytes that are no answer.
    Garbage,
    /// Runs it, and its stream takes this many times as long.
    Slow(u32),
    /// Has no free slot for it until its time is up, and says then that it did not run it.
    Queue,
    /// Runs it without a word until its time is up.
    Hang,
}

impl Behaviour {
    /// Returns whether the request begins to run.
    fn runs(self) -> bool {
        !matches!(self, Self::Shed | Self::Queue)
    }
}

/// A request as it arrived.
#[derive(Clone, Debug, Default)]
pub struct SeenRequest {
    /// First line.
    pub line: String,
    /// Headers, names in lower case.
    pub headers: BTreeMap<String, String>,
    /// Whether it ran.
    pub ran: bool,
}

impl SeenRequest {
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

#[derive(Debug, Default)]
struct State {
    next: VecDeque<Behaviour>,
    seen: Vec<SeenRequest>,
}

/// A running stand-in; its threads end with the test's process.
#[derive(Debug)]
pub struct UsersTarget {
    id: String,
    addr: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl UsersTarget {
    /// Starts on a free port.
    ///
    /// # Errors
    ///
    /// Those of the system.
    pub fn start(id: &str) -> io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        let addr = listener.local_addr()?;
        let state = Arc::new(Mutex::new(State::default()));
        let served = Arc::clone(&state);
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let state = Arc::clone(&served);
                // The caller's end of a connection ends it here.
                spawn(move || serve(stream, &state).ok());
            }
        });
        Ok(Self {
            id: id.into(),
            addr,
            state,
        })
    }

    /// Returns its entry in the service.
    pub fn entry(&self, service: &str, state: &str) -> String {
        format!(
            r#"{{"service":"{service}","address":"{}","zone":"z","version":"v1","slots":4,"state":"{state}","cold_remaining_ms":0,"sequence":1}}"#,
            self.addr
        )
    }

    /// Returns the key of that entry.
    pub fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    /// Sets what it does with its next requests.
    pub fn will(&self, next: &[Behaviour]) {
        self.state.lock().next.extend(next);
    }

    /// Sets what it does with its next requests, and forgets what was set before.
    pub fn will_only(&self, next: &[Behaviour]) {
        self.state.lock().next = next.iter().copied().collect();
    }

    /// Returns all requests that arrived.
    pub fn seen(&self) -> Vec<SeenRequest> {
        self.state.lock().seen.clone()
    }

    /// Returns how many requests ran.
    pub fn runs(&self) -> usize {
        self.state.lock().seen.iter().filter(|s| s.ran).count()
    }
}

fn serve(stream: TcpStream, state: &Mutex<State>) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut out = stream;
    loop {
        let mut seen = read(&mut reader)?;
        let behaviour = {
            let mut state = state.lock();
            let next = state.next.pop_front().unwrap_or_default();
            seen.ran = next.runs();
            state.seen.push(seen.clone());
            next
        };
        answer(&mut out, &seen, behaviour)?;
    }
}

fn read(reader: &mut BufReader<TcpStream>) -> io::Result<SeenRequest> {
    let mut seen = SeenRequest::default();
    if reader.read_line(&mut seen.line)? == 0 {
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
    Ok(seen)
}

fn answer(out: &mut TcpStream, seen: &SeenRequest, behaviour: Behaviour) -> io::Result<()> {
    let id = seen.header("x-attempt-id");
    let broken = || io::Error::from(io::ErrorKind::ConnectionAborted);
    match behaviour {
        Behaviour::Shed => not_run(out, id),
        Behaviour::Queue => {
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
        Behaviour::Fail => write!(
            out,
            "HTTP/1.1 500 Failed\r\nX-Attempt-Id: {id}\r\nX-Server-Stamp: s\r\n\
             Content-Length: 4\r\n\r\nfail"
        ),
        Behaviour::Lose => Err(broken()),
        Behaviour::Garbage => {
            out.write_all(b"\x00\xff no answer \r\n\r\n")?;
            Err(broken())
        }
        Behaviour::Cross => whole(out, "another"),
        Behaviour::BreakAfter(events) => {
            stream(out, seen, events, 1)?;
            out.write_all(b"10\r\nid: 99\nda")?;
            Err(broken())
        }
        Behaviour::Slow(times) => {
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
fn stream(out: &mut TcpStream, seen: &SeenRequest, last: u64, times: u32) -> io::Result<()> {
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
