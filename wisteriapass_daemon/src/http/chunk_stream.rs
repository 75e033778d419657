//! Streamed answers read in chunks with hyper.
//!
//! hyper reports a body that is cut before its length, or before its last chunk, as an error. An
//! answer with neither ends with its connection, as it does if its service crashes, so it is complete
//! only if the service lives.

use std::fmt::Display;
use std::time::Duration;

use bytes::Bytes;
use flume::Sender;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::header::{CONNECTION, HOST};
use hyper::{Request, Response, Uri};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::runtime::Builder;
use tokio::time::timeout;
use wisteriapass_gateway::{Framing, stay_open};

use crate::http::frames::{EXCHANGE_TIMEOUT_S, Frame, FrameReceiver, FrameResult, StreamError};

/// Maximum size of a chunk, in bytes.
const CHUNK_SIZE: usize = 16 * 1024;

/// Timeout for connecting, in seconds.
const CONNECT_TIMEOUT_S: u64 = 5;

/// A request whose answer is streamed in chunks.
#[derive(Clone, Debug)]
pub struct StreamedRequest {
    /// HTTP method.
    pub method: String,
    /// URL of the request.
    pub url: String,
    /// Header names and values.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
}

/// Sends a request once, on a new connection, and streams its answer in chunks.
pub fn stream_chunks(req: StreamedRequest) -> FrameReceiver {
    FrameReceiver::new(move |tx| {
        // The receiver may have been dropped already; it needs no final frame.
        let _ = tx.send(read_all(req, tx));
    })
}

fn read_all(req: StreamedRequest, tx: &Sender<FrameResult>) -> FrameResult {
    let runtime = Builder::new_current_thread().enable_all().build();
    let limit = Duration::from_secs(EXCHANGE_TIMEOUT_S);
    let result = runtime
        .map_err(not_sent)?
        .block_on(async { timeout(limit, exchange(req, tx)).await });
    result.map_err(broken)?
}

async fn exchange(req: StreamedRequest, tx: &Sender<FrameResult>) -> FrameResult {
    let uri: Uri = req.url.parse().map_err(not_sent)?;
    let address = uri.authority().map_or("", |a| a.as_str());
    let mut request = Request::builder()
        .method(req.method.as_str())
        .uri(uri.path_and_query().map_or("/", |path| path.as_str()))
        .header(HOST, address)
        .header(CONNECTION, "close");
    for (name, value) in &req.headers {
        request = request.header(name, value);
    }
    let request = request.body(Full::new(Bytes::from(req.body)));
    let answer = send(address, request.map_err(not_sent)?).await?;
    let headers = answer.headers().iter().filter_map(|(name, value)| {
        let value = std::str::from_utf8(value.as_bytes()).ok()?;
        Some((name.to_string(), value.to_owned()))
    });
    let head = Frame::Head {
        status: answer.status().as_u16(),
        headers: headers.collect(),
    };
    if tx.send(Ok(head)).is_err() {
        return Ok(Frame::End);
    }
    let framing = Framing::of(answer.headers(), answer.body());
    read_chunks(answer, tx).await?;
    if framing == Framing::ConnectionEnd && !is_alive(address).await {
        return Err(broken("the service ended, and its answer has no length"));
    }
    Ok(Frame::End)
}

/// Sends a request on a new connection and waits for the head of its answer.
async fn send(address: &str, req: Request<Full<Bytes>>) -> Result<Response<Incoming>, StreamError> {
    let connecting = TcpStream::connect(address);
    let stream = timeout(Duration::from_secs(CONNECT_TIMEOUT_S), connecting).await;
    let stream = stream.map_err(not_sent)?.map_err(not_sent)?;
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.map_err(not_sent)?;
    tokio::spawn(connection);
    sender.send_request(req).await.map_err(broken)
}

/// Passes on a body, until its end or until nobody receives it any more.
async fn read_chunks(
    answer: Response<Incoming>,
    tx: &Sender<FrameResult>,
) -> Result<(), StreamError> {
    let mut body = answer.into_body();
    while let Some(frame) = body.frame().await {
        // Trailers are ignored.
        let Ok(data) = frame.map_err(broken)?.into_data() else {
            continue;
        };
        for chunk in data.chunks(CHUNK_SIZE) {
            if tx.send(Ok(Frame::Bytes(chunk.to_vec()))).is_err() {
                return Ok(());
            }
        }
    }
    Ok(())
}

/// Returns whether a service accepts a new connection and keeps it open.
async fn is_alive(address: &str) -> bool {
    let connecting = TcpStream::connect(address);
    let limit = Duration::from_secs(CONNECT_TIMEOUT_S);
    let Ok(Ok(stream)) = timeout(limit, connecting).await else {
        return false;
    };
    stay_open(&stream).await.is_ok()
}

fn not_sent(e: impl Display) -> StreamError {
    StreamError::NotSent {
        cause: e.to_string(),
    }
}

fn broken(e: impl Display) -> StreamError {
    StreamError::Broken {
        cause: e.to_string(),
    }
}
