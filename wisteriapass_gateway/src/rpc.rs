//! Calls between the system's own processes: one small message each way over HTTP, on connections
//! that are kept.

use std::collections::HashMap;
use std::convert::Infallible;
use std::net::SocketAddr;

use bytes::BytesMut;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1 as client;
use hyper::header::HOST;
use hyper::server::conn::http1 as server;
use hyper::service::service_fn;
use hyper::{Method, Request, Response};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout_at};
use wisteriapass_policy::Time;
use wisteriapass_policy::overload::OverloadDetector;

use crate::platform::LocalFuture;
use crate::prelude::*;

/// Largest call, in bytes: what is spent of some thousand accounts.
const MAX_CALL_BYTES: usize = 256 << 10;

/// Largest answer, in bytes: a whole configuration.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// Longest time for a new connection, in milliseconds: hundreds of round trips within a region, and
/// shorter than the first repeat of a lost opening packet.
const CONNECT_TIMEOUT_MS: u64 = 150;

/// Longest silence within an answer that has begun, in milliseconds: whole answers take as long as
/// their link takes.
const READ_TIMEOUT_MS: u64 = 700;

/// Time for which a connection is kept that nobody uses, in milliseconds.
const IDLE_TIMEOUT_MS: u64 = 5_000;

/// Pause after a connection could not be taken, in milliseconds.
const ACCEPT_RETRY_MS: u64 = 20;

type Sender = client::SendRequest<Full<Bytes>>;

/// A kept connection.
struct IdleConnection {
    sender: Sender,
    until: Instant,
}

/// Shortest time without an answer that says something of this router's own link and processor, in
/// milliseconds: an address without a process refuses sooner.
const MIN_UNANSWERED_MS: u64 = 120;

/// Calls other processes.
pub struct RpcClient {
    clock: Clock,
    idle: RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>,
    /// How long small calls took of late.
    backlog: RefCell<OverloadDetector>,
}

impl RpcClient {
    /// Creates one that has made no call yet.
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            idle: RefCell::default(),
            backlog: RefCell::default(),
        }
    }

    /// Makes a call that is answered at once, and takes its time as a measure of this router's own
    /// backlog.
    pub async fn call_measured<A: Serialize, B: DeserializeOwned>(
        &self,
        to: SocketAddr,
        path: &str,
        message: &A,
        begins_by: Instant,
    ) -> Option<B> {
        let began = Instant::now();
        let answer = self.call(to, path, message, begins_by).await;
        let took_ms = began.elapsed().as_millis() as u64;
        if answer.is_some() || took_ms >= MIN_UNANSWERED_MS {
            let now = Time::from_millis(self.clock.now_ms());
            self.backlog.borrow_mut().record_round_trip(now, took_ms);
        }
        answer
    }

    /// Returns what is known of this router's backlog.
    pub fn backlog(&self) -> OverloadDetector {
        *self.backlog.borrow()
    }

    /// Calls another process; `None` without a right answer that begins in time.
    pub async fn call<A: Serialize, B: DeserializeOwned>(
        &self,
        to: SocketAddr,
        path: &str,
        message: &A,
        begins_by: Instant,
    ) -> Option<B> {
        let body = Bytes::from(postcard::to_stdvec(message).ok()?);
        let begun = timeout_at(begins_by, self.start_call(to, path, body)).await;
        let (sender, answer) = begun.ok()??;
        if !answer.status().is_success() {
            return None;
        }
        let answer = read_body(answer.into_body(), begins_by).await?;
        self.keep_idle(to, sender);
        postcard::from_bytes(&answer).ok()
    }

    /// Sends a message and waits for the head of its answer.
    async fn start_call(
        &self,
        to: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Option<(Sender, Response<Incoming>)> {
        // A kept connection may have ended as the message crossed its close: it was not read then.
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
        idle.retain(|c| !c.sender.is_closed() && now < c.until);
        let ready = idle.iter().rposition(|c| c.sender.is_ready())?;
        Some(idle.remove(ready).sender)
    }

    fn keep_idle(&self, to: SocketAddr, sender: Sender) {
        let until = Instant::now() + Duration::from_millis(IDLE_TIMEOUT_MS);
        let mut all = self.idle.borrow_mut();
        all.entry(to)
            .or_default()
            .push(IdleConnection { sender, until });
    }
}

impl std::fmt::Debug for RpcClient {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("RpcClient").finish_non_exhaustive()
    }
}

/// Returns the time in so many milliseconds.
pub fn deadline_in(ms: u64) -> Instant {
    Instant::now() + Duration::from_millis(ms)
}

fn build_request(to: SocketAddr, path: &str, body: Bytes) -> Option<Request<Full<Bytes>>> {
    let request = Request::post(path).header(HOST, to.to_string());
    request.body(Full::new(body)).ok()
}

async fn connect(to: SocketAddr) -> Option<Sender> {
    let stream = timeout_at(deadline_in(CONNECT_TIMEOUT_MS), TcpStream::connect(to)).await;
    let stream = stream.ok()?.ok()?;
    stream.set_nodelay(true).ok()?;
    let (sender, connection) = client::handshake(TokioIo::new(stream)).await.ok()?;
    spawn_local(connection);
    Some(sender)
}

/// Reads an answer's body to its end, as long as bytes come.
async fn read_body(mut body: Incoming, begins_by: Instant) -> Option<Bytes> {
    let mut bytes = BytesMut::new();
    let mut due = begins_by.max(deadline_in(READ_TIMEOUT_MS));
    while let Some(frame) = timeout_at(due, body.frame()).await.ok()? {
        let frame = frame.ok()?;
        bytes.extend_from_slice(frame.data_ref().map_or(&[], |data| data));
        if bytes.len() > MAX_ANSWER_BYTES {
            return None;
        }
        due = deadline_in(READ_TIMEOUT_MS);
    }
    Some(bytes.freeze())
}

/// Answers calls: gets path and message, and returns `None` for what is no call of its.
pub type CallHandler = dyn Fn(String, Bytes) -> LocalFuture<'static, Option<Vec<u8>>>;

/// Answers calls until the process ends.
pub async fn serve_calls(listener: TcpListener, answer: Rc<CallHandler>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(Duration::from_millis(ACCEPT_RETRY_MS)).await;
            continue;
        };
        if stream.set_nodelay(true).is_err() {
            continue;
        }
        let answer = answer.clone();
        spawn_local(async move {
            let service = service_fn(|request| respond(&*answer, request));
            let connection = server::Builder::new().serve_connection(TokioIo::new(stream), service);
            // Whoever asks may leave at any time.
            let _ = connection.await;
        });
    }
}

async fn respond(
    answer: &CallHandler,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let is_post = request.method() == Method::POST;
    let path = request.uri().path().to_owned();
    let body = Limited::new(request.into_body(), MAX_CALL_BYTES)
        .collect()
        .await;
    let body = body.ok().filter(|_| is_post).map(|b| b.to_bytes());
    let bytes = match body {
        Some(body) => answer(path, body).await,
        None => None,
    };
    let mut response = Response::default();
    match bytes {
        Some(bytes) => *response.body_mut() = Full::new(Bytes::from(bytes)),
        None => *response.status_mut() = StatusCode::BAD_REQUEST,
    }
    Ok(response)
}
