//! Sending a request to a target.

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

use crate::framing::Framing;
use crate::overrun::Overrun;
use crate::pool::Connection;
use crate::prelude::*;
use crate::rotation::HEAD_BYTES;
use crate::target::{Target, TargetKey};
use crate::target_stream::{MAX_BUFFER_BYTES, TargetStream, UnparsedBytes};
use crate::timeout::answer_by;

/// Connect timeout, in milliseconds: many round trips within a region, and short enough for another
/// target to answer in time.
const CONNECT_TIMEOUT_MS: u64 = 100;

/// Multiple of the queueing delay that is added to the connect timeout: a saturated link delays
/// connections to all targets alike.
const CONNECT_DELAY_FACTOR: u32 = 3;

/// Hop-by-hop headers (RFC 9110, section 7.6.1) other than `transfer-encoding`.
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

/// A request in the form in which it is sent to targets, possibly several times.
#[derive(Debug)]
pub struct OutgoingRequest {
    pub method: Method,
    /// Path and query as the client sent them.
    pub uri: Uri,
    /// Headers of the client without the hop-by-hop ones.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

/// Outcome of sending a request.
#[derive(Debug)]
pub enum SendOutcome {
    /// The target sent a response head.
    Answer(Box<TargetResponse>),
    /// No byte reached the target.
    NotSent,
    /// The request may have reached the target, and no valid response came.
    Lost,
    /// This router shut down before a response came; the request may have reached the target.
    CutShort,
    /// As `Lost`, because the connection ended.
    ConnectionBroken,
    /// The request was not sent: it was no longer permitted once a connection was available.
    Withheld,
}

impl SendOutcome {
    /// Returns whether the request may have reached the target.
    pub fn was_sent(&self) -> bool {
        !matches!(self, Self::NotSent | Self::Withheld)
    }
}

/// A response whose body has not been read yet.
#[derive(Debug)]
pub struct TargetResponse {
    pub status: StatusCode,
    pub headers: HeaderMap,
    /// Metadata from the headers.
    pub metadata: ResponseMetadata,
    /// What marks the end of the body.
    pub framing: Framing,
    pub body: Incoming,
    /// Connection that the body arrives on.
    pub connection: TargetConnection,
}

/// A connection in use; counts one running request at its target.
///
/// If dropped before the response is complete, it closes the connection, which makes the target
/// cancel the request.
pub struct TargetConnection {
    gw: Rc<Gateway>,
    target: TargetKey,
    /// The connection itself, once it is in use.
    open: Option<Connection>,
    prefill_tokens: u64,
    /// Whether this is the first request on the connection.
    pub is_new: bool,
}

impl std::fmt::Debug for TargetConnection {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("TargetConnection")
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
            t.pending_prompt_tokens
                .set(t.pending_prompt_tokens.get() + prefill_tokens);
        }
        Self {
            gw,
            target,
            open: None,
            prefill_tokens,
            is_new: false,
        }
    }

    /// Records that a request is being sent.
    fn record_sent(&self) {
        let targets = self.gw.targets.borrow();
        if let Some(t) = targets.get(self.target) {
            t.record_sent(self.gw.time());
        }
    }

    /// Records that the target sent the head or data of an answer.
    pub fn record_received(&mut self) {
        if let Some(open) = &self.open {
            open.unparsed.reset();
        }
        let targets = self.gw.targets.borrow();
        if let Some(t) = targets.get(self.target) {
            t.last_received_at.set(Instant::now());
            t.pending_prompt_tokens.set(
                t.pending_prompt_tokens
                    .get()
                    .saturating_sub(self.prefill_tokens),
            );
        }
        self.prefill_tokens = 0;
    }

    /// Returns the connection to the pool after a complete response.
    pub fn release(mut self, metadata: &ResponseMetadata, framing: Framing) {
        let Some(open) = self.open.take() else {
            return;
        };
        if metadata.closes_connection || framing == Framing::ConnectionEnd {
            return;
        }
        let targets = self.gw.targets.borrow();
        if let Some(t) = targets.get(self.target) {
            t.pool
                .borrow_mut()
                .put(open, Instant::now(), metadata.keep_alive_s);
        }
    }
}

impl Drop for TargetConnection {
    fn drop(&mut self) {
        let targets = self.gw.targets.borrow();
        if let Some(t) = targets.get(self.target) {
            t.running.set(t.running.get().saturating_sub(1));
            t.pending_prompt_tokens.set(
                t.pending_prompt_tokens
                    .get()
                    .saturating_sub(self.prefill_tokens),
            );
        }
    }
}

/// Sends a request and waits for the response head.
///
/// `may_send` is checked again once a connection is available, and the request is withheld if it
/// fails. Dropping the future closes the connection.
pub async fn send_request(
    gw: &Rc<Gateway>,
    target: TargetKey,
    outgoing: &OutgoingRequest,
    headers: HeaderMap,
    prefill_tokens: u64,
    may_send: impl Fn() -> bool,
) -> SendOutcome {
    let mut connection = TargetConnection::new(gw.clone(), target, prefill_tokens);
    let Some((mut open, is_new)) = take_or_open(gw, target).await else {
        return SendOutcome::NotSent;
    };
    open.unparsed.expect_head();
    connection.is_new = is_new;
    if !may_send() {
        return SendOutcome::Withheld;
    }
    connection.record_sent();
    gw.record_bytes(0, HEAD_BYTES + outgoing.body.len());
    let answer = match open
        .sender
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
            if let Some(overrun) = Overrun::of(&e) {
                overrun.record(gw, target);
            }
            return if is_connection_error(&e) {
                SendOutcome::ConnectionBroken
            } else {
                SendOutcome::Lost
            };
        }
    };
    connection.open = Some(open);
    connection.record_received();
    gw.record_bytes(HEAD_BYTES, 0);
    read_head(gw, answer, connection)
}

fn read_head(
    gw: &Gateway,
    answer: Response<Incoming>,
    connection: TargetConnection,
) -> SendOutcome {
    let (parts, body) = answer.into_parts();
    let metadata = gw.platform.response_metadata(&parts.headers);
    let framing = Framing::of(&parts.headers, &body);
    SendOutcome::Answer(Box::new(TargetResponse {
        status: parts.status,
        headers: parts.headers,
        metadata,
        framing,
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

/// Takes an idle connection or opens a new one; also returns whether it is new.
async fn take_or_open(gw: &Gateway, target: TargetKey) -> Option<(Connection, bool)> {
    let address = {
        let targets = gw.targets.borrow();
        let t: &Target = targets.get(target)?;
        let pooled = t.pool.borrow_mut().take(Instant::now());
        if let Some(connection) = pooled {
            return Some((connection, false));
        }
        t.entry.address
    };
    let deadline = Instant::now() + connect_timeout(gw);
    let connection = answer_by(deadline, connect_to(address)).await?;
    Some((connection.ok()?, true))
}

/// Returns the current connect timeout.
pub fn connect_timeout(gw: &Gateway) -> Duration {
    Duration::from_millis(CONNECT_TIMEOUT_MS) + gw.queueing_delay() * CONNECT_DELAY_FACTOR
}

/// Opens a connection.
///
/// # Errors
///
/// Those of the operating system and the HTTP handshake.
pub async fn connect_to(address: SocketAddr) -> io::Result<Connection> {
    start_http(TcpStream::connect(address).await?).await
}

/// Starts to use an open connection.
///
/// # Errors
///
/// Those of the operating system and the HTTP handshake.
pub async fn start_http(stream: TcpStream) -> io::Result<Connection> {
    stream.set_nodelay(true)?;
    let unparsed = UnparsedBytes::default();
    let stream = TargetStream::new(stream, unparsed.clone());
    let mut builder = http1::Builder::new();
    builder.max_buf_size(MAX_BUFFER_BYTES);
    let handshake = builder.handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.map_err(io::Error::other)?;
    spawn_local(connection);
    sender.ready().await.map_err(io::Error::other)?;
    Ok(Connection { sender, unparsed })
}

/// Returns whether an error means that the connection ended, rather than that invalid data arrived.
pub fn is_connection_error(e: &hyper::Error) -> bool {
    !e.is_parse() && !e.is_user() && !e.is_timeout() && Overrun::of(e).is_none()
}

/// Removes hop-by-hop headers, and the body framing headers, which hyper sets itself.
pub fn strip_hop_by_hop_headers(headers: &mut HeaderMap) {
    let listed = headers.get_all(hyper::header::CONNECTION);
    let listed = listed.iter().filter_map(|v| v.to_str().ok());
    let listed: Vec<HeaderName> = listed
        .flat_map(|v| v.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in listed {
        headers.remove(name);
    }
    for name in HOP_HEADERS {
        headers.remove(name);
    }
    headers.remove(CONTENT_LENGTH);
    headers.remove(TRANSFER_ENCODING);
}

/// Converts a client's request to the form that is sent to targets.
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
