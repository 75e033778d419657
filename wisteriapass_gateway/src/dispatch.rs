//! Sending one request to one target.

use std::io;
use std::net::SocketAddr;

use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::header::{CONTENT_LENGTH, HeaderName, TRANSFER_ENCODING};
use hyper::http::request;
use hyper::{Method, Request, Response, Uri};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::timeout;

use crate::pool::Sender;
use crate::prelude::*;
use crate::target::{Target, TargetKey};

/// Longest time for a new connection, in milliseconds: many round trips within a region, so that
/// another target still answers in time.
const CONNECT_MS: u64 = 100;

/// How often what waits on its way to this router fits into that, beyond it: a full link delays
/// connections to all targets alike.
const WAITS_IN_CONNECT: u32 = 3;

/// Headers that concern one connection only (RFC 9110, section 7.6.1), and those that the library
/// sets itself.
const HOP_HEADERS: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "upgrade",
];

/// A request as it is sent on, as often as needed.
#[derive(Debug)]
pub struct Outgoing {
    /// Method.
    pub method: Method,
    /// Path and query as the caller sent them.
    pub uri: Uri,
    /// The caller's headers, less those of its connection.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
}

/// What became of a request that was to be sent.
#[derive(Debug)]
pub enum Sent {
    /// The target answers.
    Answer(Box<Answer>),
    /// No byte of it reached the target.
    Unsent,
    /// It may have reached the target, and no right answer came.
    Lost,
    /// This router ended before an answer came; it may have reached the target.
    CutShort,
    /// The same, as the connection ended.
    Broken,
    /// It was held back when the connection was there.
    Withheld,
}

/// An answer whose body is yet to come.
#[derive(Debug)]
pub struct Answer {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// What the target says of it.
    pub facts: ResponseMetadata,
    /// Body.
    pub body: Incoming,
    /// The connection it comes on.
    pub line: Line,
}

/// A connection in use, and the mark that a request is under way at its target.
///
/// Dropped before the answer is whole, it closes the connection, which ends the target's work.
pub struct Line {
    gw: Rc<Gateway>,
    target: TargetKey,
    sender: Option<Sender>,
    unread: u64,
    /// Whether no request was on it before.
    pub is_fresh: bool,
}

impl std::fmt::Debug for Line {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Line")
            .field("target", &self.target)
            .finish_non_exhaustive()
    }
}

impl Line {
    fn new(gw: Rc<Gateway>, target: TargetKey, unread: u64) -> Self {
        if let Some(t) = gw.targets.borrow().get(target) {
            if t.running.get() == 0 {
                t.heard.set(Instant::now());
            }
            t.running.set(t.running.get() + 1);
            t.unread.set(t.unread.get() + unread);
        }
        Self {
            gw,
            target,
            sender: None,
            unread,
            is_fresh: false,
        }
    }

    /// Notes that a request is sent now.
    fn note_sent(&self) {
        let targets = self.gw.targets.borrow();
        if let Some(t) = targets.get(self.target) {
            t.sent.borrow_mut().record(self.gw.time());
        }
    }

    /// Takes the target's word on how long it stays cold.
    fn note_cold(&self, cold_ms: u64) {
        let targets = self.gw.targets.borrow();
        if let Some(t) = targets.get(self.target) {
            t.set_cold(cold_ms, Instant::now());
        }
    }

    /// Notes that the target sent something.
    pub fn heard(&mut self) {
        let targets = self.gw.targets.borrow();
        if let Some(t) = targets.get(self.target) {
            t.heard.set(Instant::now());
            t.unread.set(t.unread.get().saturating_sub(self.unread));
        }
        self.unread = 0;
    }

    /// Puts the connection back after a whole answer.
    pub fn finish(mut self, facts: &ResponseMetadata) {
        let Some(sender) = self.sender.take() else {
            return;
        };
        if facts.closes_connection {
            return;
        }
        let targets = self.gw.targets.borrow();
        if let Some(t) = targets.get(self.target) {
            t.pool
                .borrow_mut()
                .put(sender, Instant::now(), facts.keep_alive_s);
        }
    }
}

impl Drop for Line {
    fn drop(&mut self) {
        let targets = self.gw.targets.borrow();
        if let Some(t) = targets.get(self.target) {
            t.running.set(t.running.get().saturating_sub(1));
            t.unread.set(t.unread.get().saturating_sub(self.unread));
        }
    }
}

/// Sends a request and waits for the head of its answer.
///
/// It is held back if it may not go any more once there is a connection. Dropped before it ends, it
/// closes the connection.
pub async fn send(
    gw: &Rc<Gateway>,
    target: TargetKey,
    out: &Outgoing,
    headers: HeaderMap,
    unread: u64,
    may_go: impl Fn() -> bool,
) -> Sent {
    let mut line = Line::new(gw.clone(), target, unread);
    let Some((mut sender, is_fresh)) = connect(gw, target).await else {
        return Sent::Unsent;
    };
    line.is_fresh = is_fresh;
    if !may_go() {
        return Sent::Withheld;
    }
    line.note_sent();
    let answer = match sender.try_send_request(request(out, headers)).await {
        Ok(answer) => answer,
        Err(mut e) => {
            if e.take_message().is_some() {
                return Sent::Unsent;
            }
            let e = e.into_error();
            log::debug!(target: "dispatch", "No answer. cause={e}");
            return if is_break(&e) {
                Sent::Broken
            } else {
                Sent::Lost
            };
        }
    };
    line.sender = Some(sender);
    line.heard();
    read_head(gw, answer, line)
}

fn read_head(gw: &Gateway, answer: Response<Incoming>, line: Line) -> Sent {
    let (parts, body) = answer.into_parts();
    let facts = gw.platform.response_metadata(&parts.headers);
    if let Some(cold_ms) = facts.cold_ms {
        line.note_cold(cold_ms);
    }
    Sent::Answer(Box::new(Answer {
        status: parts.status,
        headers: parts.headers,
        facts,
        body,
        line,
    }))
}

fn request(out: &Outgoing, headers: HeaderMap) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(out.body.clone()));
    *request.method_mut() = out.method.clone();
    *request.uri_mut() = out.uri.clone();
    *request.headers_mut() = headers;
    request
}

/// Returns an idle connection, or a new one.
async fn connect(gw: &Gateway, target: TargetKey) -> Option<(Sender, bool)> {
    let address = {
        let targets = gw.targets.borrow();
        let t: &Target = targets.get(target)?;
        let pooled = t.pool.borrow_mut().take(Instant::now());
        if let Some(sender) = pooled {
            return Some((sender, false));
        }
        t.entry.address
    };
    let sender = timeout(connect_timeout(gw), connect_to(address)).await;
    Some((sender.ok()?.ok()?, true))
}

/// Returns the longest time for a new connection.
pub fn connect_timeout(gw: &Gateway) -> Duration {
    Duration::from_millis(CONNECT_MS) + gw.waited() * WAITS_IN_CONNECT
}

/// Opens a connection.
///
/// # Errors
///
/// Those of the system.
pub async fn connect_to(address: SocketAddr) -> io::Result<Sender> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let shaken = http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, line) = shaken.map_err(io::Error::other)?;
    spawn_local(line);
    sender.ready().await.map_err(io::Error::other)?;
    Ok(sender)
}

/// Returns whether a failure is the end of a connection, not what came on it.
pub fn is_break(e: &hyper::Error) -> bool {
    !e.is_parse() && !e.is_user() && !e.is_timeout()
}

/// Removes the headers that concern one connection only.
pub fn strip_hop_headers(headers: &mut HeaderMap) {
    let named = headers.get_all(hyper::header::CONNECTION);
    let named = named.iter().filter_map(|v| v.to_str().ok());
    let named: Vec<HeaderName> = named
        .flat_map(|v| v.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in HOP_HEADERS {
        headers.remove(name);
    }
    headers.remove(CONTENT_LENGTH);
    headers.remove(TRANSFER_ENCODING);
}

/// Returns a request's head as it is sent on.
pub fn outgoing(parts: request::Parts, body: Bytes) -> Outgoing {
    let mut headers = parts.headers;
    strip_hop_headers(&mut headers);
    Outgoing {
        method: parts.method,
        uri: parts.uri,
        headers,
        body,
    }
}
