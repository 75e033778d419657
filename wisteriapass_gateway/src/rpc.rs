//! RPC between routers: one small postcard message each way over HTTP, on pooled connections.

use std::collections::HashMap;
use std::convert::Infallible;
use std::net::SocketAddr;

use bytes::BytesMut;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1 as client;
use hyper::header::HOST;
use hyper::service::service_fn;
use hyper::{Method, Request, Response};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::sleep;
use wisteriapass_policy::Time;
use wisteriapass_policy::memory_account::Purpose;
use wisteriapass_policy::overload::OverloadDetector;

use crate::held_buffer::{hold_bytes, read_held};
use crate::held_memory::SharedMemory;
use crate::listener::{PEER_BYTES, peer_http};
use crate::platform::LocalFuture;
use crate::prelude::*;
use crate::timeout::answer_by;

/// Maximum size of a call, in bytes: enough to report the spending of some thousand accounts.
const MAX_CALL_BYTES: usize = 256 << 10;

/// Maximum size of an answer, in bytes: enough for a complete configuration.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// Connect timeout, in milliseconds: hundreds of round trips within a region, and shorter than the
/// first retransmission of a lost SYN.
const CONNECT_TIMEOUT_MS: u64 = 150;

/// Maximum pause within the body of an answer, in milliseconds. There is no limit on the whole
/// body, which takes as long as its link needs.
const READ_TIMEOUT_MS: u64 = 700;

/// Time after which an unused connection is dropped, in milliseconds.
const IDLE_TIMEOUT_MS: u64 = 5_000;

/// Time within which a call has to arrive, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 5_000;

/// Pause after `accept` failed, in milliseconds.
const ACCEPT_RETRY_MS: u64 = 20;

type Sender = client::SendRequest<Full<Bytes>>;

/// A pooled connection.
struct IdleConnection {
    sender: Sender,
    expires_at: Instant,
}

/// Minimum duration of an unanswered call that counts towards the overload estimate, in
/// milliseconds. A faster failure says nothing of this router's own link and CPU: an address
/// without a process refuses the connection sooner.
const MIN_UNANSWERED_MS: u64 = 120;

/// Calls other routers.
pub struct RpcClient {
    clock: Clock,
    idle: RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>,
    /// Recent durations of small calls.
    overload: RefCell<OverloadDetector>,
}

impl RpcClient {
    /// Creates a client without connections.
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            idle: RefCell::default(),
            overload: RefCell::default(),
        }
    }

    /// Makes a call that the peer answers at once, and records its duration as a sample of this
    /// router's own delay.
    pub async fn call_measured<A: Serialize, B: DeserializeOwned>(
        &self,
        to: SocketAddr,
        path: &str,
        message: &A,
        begins_by: Instant,
    ) -> Option<B> {
        let started = Instant::now();
        let answer = self.call(to, path, message, begins_by).await;
        let took_ms = started.elapsed().as_millis() as u64;
        if answer.is_some() || took_ms >= MIN_UNANSWERED_MS {
            let now = Time::from_millis(self.clock.now_ms());
            self.overload.borrow_mut().record_round_trip(now, took_ms);
        }
        answer
    }

    /// Returns the current overload estimate.
    pub fn overload(&self) -> OverloadDetector {
        *self.overload.borrow()
    }

    /// Calls another router; returns `None` unless a valid answer begins in time.
    pub async fn call<A: Serialize, B: DeserializeOwned>(
        &self,
        to: SocketAddr,
        path: &str,
        message: &A,
        begins_by: Instant,
    ) -> Option<B> {
        let body = Bytes::from(postcard::to_stdvec(message).ok()?);
        let (sender, answer) = answer_by(begins_by, self.start_call(to, path, body)).await??;
        if !answer.status().is_success() {
            return None;
        }
        let answer = read_body(answer.into_body(), begins_by).await?;
        self.keep_idle(to, sender);
        postcard::from_bytes(&answer).ok()
    }

    /// Sends a message and waits for the head of the answer.
    async fn start_call(
        &self,
        to: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Option<(Sender, Response<Incoming>)> {
        // The peer may have closed a pooled connection while the message was being sent; hyper then
        // returns the message, which was not read.
        while let Some(mut sender) = self.take_idle(to) {
            match sender
                .try_send_request(build_request(to, path, body.clone())?)
                .await
            {
                Ok(answer) => return Some((sender, answer)),
                Err(mut e) => e.take_message()?,
            };
        }
        let mut sender = connect(to).await?;
        let answer = sender
            .send_request(build_request(to, path, body)?)
            .await
            .ok()?;
        Some((sender, answer))
    }

    fn take_idle(&self, to: SocketAddr) -> Option<Sender> {
        let mut all = self.idle.borrow_mut();
        let idle = all.get_mut(&to)?;
        let now = Instant::now();
        idle.retain(|c| !c.sender.is_closed() && now < c.expires_at);
        let ready = idle.iter().rposition(|c| c.sender.is_ready())?;
        Some(idle.remove(ready).sender)
    }

    fn keep_idle(&self, to: SocketAddr, sender: Sender) {
        let expires_at = Instant::now() + Duration::from_millis(IDLE_TIMEOUT_MS);
        let mut all = self.idle.borrow_mut();
        all.entry(to)
            .or_default()
            .push(IdleConnection { sender, expires_at });
    }
}

impl std::fmt::Debug for RpcClient {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("RpcClient").finish_non_exhaustive()
    }
}

/// Returns the instant `ms` milliseconds from now.
pub fn deadline_in(ms: u64) -> Instant {
    Instant::now() + Duration::from_millis(ms)
}

fn build_request(to: SocketAddr, path: &str, body: Bytes) -> Option<Request<Full<Bytes>>> {
    let request = Request::post(path).header(HOST, to.to_string());
    request.body(Full::new(body)).ok()
}

async fn connect(to: SocketAddr) -> Option<Sender> {
    let connecting = TcpStream::connect(to);
    let stream = answer_by(deadline_in(CONNECT_TIMEOUT_MS), connecting).await;
    let stream = stream?.ok()?;
    stream.set_nodelay(true).ok()?;
    let (sender, connection) = client::handshake(TokioIo::new(stream)).await.ok()?;
    spawn_local(connection);
    Some(sender)
}

/// Reads the body of an answer; each read has its own timeout.
async fn read_body(mut body: Incoming, begins_by: Instant) -> Option<Bytes> {
    let mut bytes = BytesMut::new();
    let mut due = begins_by.max(deadline_in(READ_TIMEOUT_MS));
    while let Some(frame) = answer_by(due, body.frame()).await? {
        let frame = frame.ok()?;
        bytes.extend_from_slice(frame.data_ref().map_or(&[], |data| data));
        if bytes.len() > MAX_ANSWER_BYTES {
            return None;
        }
        due = deadline_in(READ_TIMEOUT_MS);
    }
    Some(bytes.freeze())
}

/// Handles a call, given its path and message; returns `None` if it does not accept the call.
pub type CallHandler = dyn Fn(String, Bytes) -> LocalFuture<'static, Option<Vec<u8>>>;

/// Serves calls until the process ends.
pub async fn serve_calls(listener: TcpListener, memory: SharedMemory, answer: Rc<CallHandler>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(Duration::from_millis(ACCEPT_RETRY_MS)).await;
            continue;
        };
        if stream.set_nodelay(true).is_err() {
            continue;
        }
        let Ok(held) = memory.hold(Purpose::Peer, PEER_BYTES) else {
            log::debug!(target: "relay", "Memory short. purpose={}", Purpose::Peer);
            continue;
        };
        let (answer, memory) = (answer.clone(), memory.clone());
        spawn_local(async move {
            let service = service_fn(|request| respond(&*answer, &memory, request));
            let connection = peer_http().serve_connection(TokioIo::new(stream), service);
            // The peer may disconnect at any time.
            let _ = connection.await;
            drop(held);
        });
    }
}

async fn respond(
    answer: &CallHandler,
    memory: &SharedMemory,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let is_post = request.method() == Method::POST;
    let path = request.uri().path().to_owned();
    let mut body = request.into_body();
    let reading = read_held(memory, Purpose::Peer, &mut body, MAX_CALL_BYTES);
    let body = answer_by(deadline_in(CALL_TIMEOUT_MS), reading).await;
    let body = body.and_then(Result::ok).filter(|_| is_post);
    let bytes = match body {
        Some(body) => answer(path, body).await,
        None => None,
    };
    let bytes = bytes.and_then(|bytes| hold_bytes(memory, Purpose::Peer, bytes).ok());
    let mut response = Response::default();
    match bytes {
        Some(bytes) => *response.body_mut() = Full::new(bytes),
        None => *response.status_mut() = StatusCode::BAD_REQUEST,
    }
    Ok(response)
}
