//! Taking connections of callers, and of those who ask whether this router is ready.

use std::convert::Infallible;
use std::net::SocketAddr;

use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::exchange;
use crate::gateway::{ShutdownPhase, wait_for_phase};
use crate::prelude::*;

/// Connections that wait to be taken.
const BACKLOG: i32 = 1_024;

/// Pause after a connection could not be taken, in milliseconds: descriptors come free meanwhile.
const ACCEPT_RETRY_MS: u64 = 20;

/// Smallest buffer that the library takes, in bytes.
const MIN_BUFFER_BYTES: usize = 8 << 10;

/// Listens on an address, also right after the process before ended.
///
/// # Errors
///
/// Those of the system.
pub fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = socket2::Socket::new(
        socket2::Domain::for_address(address),
        socket2::Type::STREAM,
        Some(socket2::Protocol::TCP),
    )?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Takes callers' connections until the router closes.
pub async fn serve_clients(gw: Rc<Gateway>, listener: TcpListener, open: Rc<Cell<usize>>) {
    let mut phase = gw.shutdown_phase.subscribe();
    loop {
        let taken = tokio::select! {
            taken = listener.accept() => taken,
            _ = wait_for_phase(&mut phase, ShutdownPhase::CloseAll) => return,
        };
        match taken {
            Ok((stream, _)) => {
                gw.last_accepted_at.set(gw.time());
                spawn_local(serve_client(gw.clone(), stream, open.clone()));
            }
            Err(e) => {
                log::warn!(target: "listen", "Connection not taken. cause={e}");
                sleep(Duration::from_millis(ACCEPT_RETRY_MS)).await;
            }
        }
    }
}

/// Serves one caller's connection to its end.
async fn serve_client(gw: Rc<Gateway>, stream: TcpStream, open: Rc<Cell<usize>>) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    open.set(open.get() + 1);
    let limits = gw.catalogue().map(|c| c.limits).unwrap_or_default();
    let mut phase = gw.shutdown_phase.subscribe();
    let is_late = gw.is_stopping();
    let closes_at = if is_late {
        ShutdownPhase::CloseAll
    } else {
        ShutdownPhase::CloseExisting
    };
    let service = service_fn(|request| exchange::serve(gw.clone(), request));
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .keep_alive(!is_late)
        .header_read_timeout(Duration::from_millis(limits.idle_ms))
        .max_buf_size(limits.header_bytes.max(MIN_BUFFER_BYTES));
    let mut connection = std::pin::pin!(builder.serve_connection(TokioIo::new(stream), service));
    tokio::select! {
        _ = connection.as_mut() => {}
        _ = wait_for_phase(&mut phase, closes_at) => {
            connection.as_mut().graceful_shutdown();
            // An error here is the caller's end of the connection; its requests know it.
            let _ = connection.await;
        }
    }
    open.set(open.get() - 1);
}

/// Answers those who ask whether this router is ready, until the process ends.
pub async fn serve_readiness(gw: Rc<Gateway>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(Duration::from_millis(ACCEPT_RETRY_MS)).await;
            continue;
        };
        let gw = gw.clone();
        spawn_local(async move {
            let service = service_fn(|request| readiness(&gw, request));
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            // Whoever asks may leave at any time.
            let _ = connection.await;
        });
    }
}

/// Answers 200 if callers may be sent here, else 503; counters under `/metrics`.
async fn readiness(
    gw: &Gateway,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let path = request.uri().path();
    let (status, text) = if gw.platform.is_readiness_probe(request.method(), path) {
        let ready = gw.is_ready();
        let status = if ready {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        (status, String::new())
    } else if path == "/metrics" {
        (StatusCode::OK, gw.metrics.encode())
    } else {
        (StatusCode::NOT_FOUND, String::new())
    };
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    Ok(response)
}
