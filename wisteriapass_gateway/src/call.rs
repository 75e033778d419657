//! Calls between the system's own processes: one small JSON message each way over HTTP.

use std::convert::Infallible;
use std::net::SocketAddr;

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
use tokio::time::{sleep, timeout};

use crate::prelude::*;

/// Largest message, in bytes: some hundred accounts.
const LARGEST: usize = 64 << 10;

/// Pause after a connection could not be taken, in milliseconds.
const REFUSED_PAUSE_MS: u64 = 20;

/// Calls another process; `None` without a right answer in time.
pub async fn call<A: Serialize, B: DeserializeOwned>(
    to: SocketAddr,
    path: &str,
    message: &A,
    patience: Duration,
) -> Option<B> {
    let body = serde_json::to_vec(message).ok()?;
    let answer = timeout(patience, post(to, path, body)).await.ok()??;
    serde_json::from_slice(&answer).ok()
}

async fn post(to: SocketAddr, path: &str, body: Vec<u8>) -> Option<Bytes> {
    let stream = TcpStream::connect(to).await.ok()?;
    stream.set_nodelay(true).ok()?;
    let (mut sender, line) = client::handshake(TokioIo::new(stream)).await.ok()?;
    spawn_local(line);
    let request = Request::post(path)
        .header(HOST, to.to_string())
        .body(Full::new(Bytes::from(body)))
        .ok()?;
    let answer = sender.send_request(request).await.ok()?;
    if !answer.status().is_success() {
        return None;
    }
    let body = Limited::new(answer.into_body(), LARGEST).collect().await;
    Some(body.ok()?.to_bytes())
}

/// Answers calls until the process ends; `answer` gets path and message, and returns `None` for
/// what is no call of its.
pub async fn serve_calls(
    listener: TcpListener,
    answer: impl Fn(&str, &[u8]) -> Option<Vec<u8>> + 'static,
) {
    let answer = Rc::new(answer);
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(Duration::from_millis(REFUSED_PAUSE_MS)).await;
            continue;
        };
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
    answer: &impl Fn(&str, &[u8]) -> Option<Vec<u8>>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let is_post = request.method() == Method::POST;
    let path = request.uri().path().to_owned();
    let body = Limited::new(request.into_body(), LARGEST).collect().await;
    let body = body.ok().filter(|_| is_post).map(|b| b.to_bytes());
    let text = body.and_then(|body| answer(&path, &body));
    let mut response = Response::default();
    match text {
        Some(text) => *response.body_mut() = Full::new(Bytes::from(text)),
        None => *response.status_mut() = StatusCode::BAD_REQUEST,
    }
    Ok(response)
}
