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
const CONNECT_TIMEOUT_MS: u64 = 100;

/// How often what waits on its way to this router fits into that, beyond it: a full link delays
/// connections to all targets alike.
const CONNECT_DELAY_FACTOR: u32 = 3;

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
pub struct OutgoingRequest {
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
pub enum SendOutcome {
    /// The target answers.
    Answer(Box<TargetResponse>),
    /// No byte of it reached the target.
    NotSent,
    /// It may have reached the target, and no right answer came.
    Lost,
    /// This router ended before an answer came; it may have reached the target.
    CutShort,
    /// The same, as the connection ended.
    ConnectionBroken,
    /// It was held back when the connection was there.
    Withheld,
}

/// An answer whose body is yet to come.
#[derive(Debug)]
pub struct TargetResponse {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// What the target says of it.
    pub metadata: ResponseMetadata,
    /// Body.
    pub body: Incoming,
    /// The connection it comes on.
    pub connection: TargetConnection,
}

/// A connection in use, and the mark that a request is under way at its target.
///
/// Dropped before the answer is whole, it closes the connection, which ends the target's work.
pub struct TargetConnection {
    gw: Rc<Gateway>,
    target: TargetKey,
    sender: Option<Sender>,
    prefill_tokens: u64,
    /// Whether no request was on it before.
    pub is_new: bool,
}

impl std::fmt::Debug for TargetConnection {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Line")
            .field("target", &self.target)
            .finish_non_exhaustive()
    }
}

impl TargetConnection {
    fn new(gw: Rc<Gateway>, target: TargetKey, prefill_tokens: u64) -> Self {
        if let Some(t) = gw.targets.borrow().get(target) {
            if t.running.get() == 0 {
                t.last_received_at.set(Instant::now());
            }
            t.running.set(t.running.get() + 1);
            t.pending_prefill_tokens
                .set(t.pending_prefill_tokens.get() + prefill_tokens);
        }
        Self {
            gw,
            target,
            sender: None,
            prefill_tokens,
            is_new: false,
        }
    }

    /// Notes that a request is sent now.
    fn record_sent(&self) {
        let targets = self.gw.targets.borrow();
        if let Some(t) = targets.get(self.target) {
            t.send_log.borrow_mut().record(self.gw.time());
        }
    }

    /// Takes the target's word on how long it stays cold.
    fn record_cold(&self, cold_ms: u64) {
        let targets = self.gw.targets.borrow();
        if let Some(t) = targets.get(self.target) {
            t.set_cold(cold_ms, Instant::now());
        }
    }

    /// Notes that the target sent something.
    pub fn record_received(&mut self) {
        let targets = self.gw.targets.borrow();
        if let Some(t) = targets.get(self.target) {
            t.last_received_at.set(Instant::now());
            t.pending_prefill_tokens.set(
                t.pending_prefill_tokens
                    .get()
                    .saturating_sub(self.prefill_tokens),
            );
        }
        self.prefill_tokens = 0;
    }

    /// Puts the connection back after a whole answer.
    pub fn release(mut self, metadata: &ResponseMetadata) {
        let Some(sender) = self.sender.take() else {
            return;
        };
        if metadata.closes_connection {
            return;
        }
        let targets = self.gw.targets.borrow();
        if let Some(t) = targets.get(self.target) {
            t.pool
                .borrow_mut()
                .put(sender, Instant::now(), metadata.keep_alive_s);
        }
    }
}

impl Drop for TargetConnection {
    fn drop(&mut self) {
        let targets = self.gw.targets.borrow();
        if let Some(t) = targets.get(self.target) {
            t.running.set(t.running.get().saturating_sub(1));
            t.pending_prefill_tokens.set(
                t.pending_prefill_tokens
                    .get()
                    .saturating_sub(self.prefill_tokens),
            );
        }
    }
}

/// Sends a request and waits for the head of its answer.
///
/// It is held back if it may not go any more once there is a connection. Dropped before it ends, it
/// closes the connection.
pub async fn send_request(
    gw: &Rc<Gateway>,
    target: TargetKey,
    outgoing: &OutgoingRequest,
    headers: HeaderMap,
    prefill_tokens: u64,
    may_go: impl Fn() -> bool,
) -> SendOutcome {
    let mut connection = TargetConnection::new(gw.clone(), target, prefill_tokens);
    let Some((mut sender, is_new)) = take_or_open(gw, target).await else {
        return SendOutcome::NotSent;
    };
    connection.is_new = is_new;
    if !may_go() {
        return SendOutcome::Withheld;
    }
    connection.record_sent();
    let answer = match sender
        .try_send_request(build_request(outgoing, headers))
        .await
    {
        Ok(answer) => answer,
        Err(mut e) => {
            if e.take_message().is_some() {
                return SendOutcome::NotSent;
            }
            let e = e.into_error();
            log::debug!(target: "dispatch", "No answer. cause={e}");
            return if is_connection_error(&e) {
                SendOutcome::ConnectionBroken
            } else {
                SendOutcome::Lost
            };
        }
    };
    connection.sender = Some(sender);
    connection.record_received();
    read_head(gw, answer, connection)
}

fn read_head(
    gw: &Gateway,
    answer: Response<Incoming>,
    connection: TargetConnection,
) -> SendOutcome {
    let (parts, body) = answer.into_parts();
    let metadata = gw.platform.response_metadata(&parts.headers);
    if let Some(cold_ms) = metadata.cold_ms {
        connection.record_cold(cold_ms);
    }
    SendOutcome::Answer(Box::new(TargetResponse {
        status: parts.status,
        headers: parts.headers,
        metadata,
        body,
        connection,
    }))
}

fn build_request(outgoing: &OutgoingRequest, headers: HeaderMap) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(outgoing.body.clone()));
    *request.method_mut() = outgoing.method.clone();
    *request.uri_mut() = outgoing.uri.clone();
    *request.headers_mut() = headers;
    request
}

/// Returns an idle connection, or a new one.
async fn take_or_open(gw: &Gateway, target: TargetKey) -> Option<(Sender, bool)> {
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
    Duration::from_millis(CONNECT_TIMEOUT_MS) + gw.queueing_delay() * CONNECT_DELAY_FACTOR
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
    let (mut sender, connection) = shaken.map_err(io::Error::other)?;
    spawn_local(connection);
    sender.ready().await.map_err(io::Error::other)?;
    Ok(sender)
}

/// Returns whether a failure is the end of a connection, not what came on it.
pub fn is_connection_error(e: &hyper::Error) -> bool {
    !e.is_parse() && !e.is_user() && !e.is_timeout()
}

/// Removes the headers that concern one connection only.
pub fn strip_hop_by_hop_headers(headers: &mut HeaderMap) {
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
pub fn outgoing_request(parts: request::Parts, body: Bytes) -> OutgoingRequest {
    let mut headers = parts.headers;
    strip_hop_by_hop_headers(&mut headers);
    OutgoingRequest {
        method: parts.method,
        uri: parts.uri,
        headers,
        body,
    }
}
