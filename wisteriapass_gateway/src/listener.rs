//! Listeners for clients and for readiness probes.

use std::convert::Infallible;
use std::io::ErrorKind;
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
use wisteriapass_policy::memory_account::Purpose;

use crate::caller_stream::{CallerStream, WriteStall};
use crate::catalogue::Limits;
use crate::exchange;
use crate::explain::{self, EXPLAIN_PATH};
use crate::gateway::{ShutdownPhase, wait_for_phase};
use crate::held_memory::{CONNECTION_BYTES, HeldMemory, MemoryShort};
use crate::prelude::*;

/// Length of the accept queue.
const BACKLOG: i32 = 1_024;

/// Pause before an address that was not available is tried again, in milliseconds.
const LISTEN_RETRY_MS: u64 = 100;

/// Pause after `accept` failed, in milliseconds, so that file descriptors can be released.
const ACCEPT_RETRY_MS: u64 = 20;

/// Minimum buffer size that hyper accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8 << 10;

/// Memory that an open connection of another router, a probe or an operator holds, in bytes.
pub(crate) const PEER_BYTES: u64 = 24 << 10;

/// Size of the buffer for such a connection, in bytes.
const PEER_BUFFER_BYTES: usize = 16 << 10;

/// Maximum time that such a connection is idle or takes for a head: longer than routers keep
/// connections for later calls.
const PEER_HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Listens on an address once it is available: a process that ends instead would be started again
/// and again until then.
///
/// # Errors
///
/// Those of the operating system, except that the address is not available.
pub async fn listen_when_free(address: SocketAddr) -> std::io::Result<TcpListener> {
    let mut is_waiting = false;
    loop {
        let error = match listen(address) {
            Ok(listener) => return Ok(listener),
            Err(e) => e,
        };
        if !matches!(
            error.kind(),
            ErrorKind::AddrInUse | ErrorKind::AddrNotAvailable
        ) {
            return Err(error);
        }
        if !std::mem::replace(&mut is_waiting, true) {
            log::warn!(
                target: "start",
                "Waiting for an address; free it, or configure another one. address={address} \
                 cause={error}"
            );
        }
        sleep(Duration::from_millis(LISTEN_RETRY_MS)).await;
    }
}

/// Listens on an address, even just after a previous process released it.
fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
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

/// Accepts client connections until the shutdown closes the listener.
pub async fn serve_clients(gw: Rc<Gateway>, listener: TcpListener, open: Rc<Cell<usize>>) {
    let mut phase = gw.shutdown_phase.subscribe();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = wait_for_phase(&mut phase, ShutdownPhase::CloseAll) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                gw.last_accepted_at.set(gw.time());
                // A caller whose connection closes before it is read can use another router at once.
                match gw.memory.hold(Purpose::Connection, CONNECTION_BYTES) {
                    Ok(memory) => {
                        spawn_local(serve_client(gw.clone(), stream, open.clone(), memory));
                    }
                    Err(MemoryShort) => gw.record_memory_short(Purpose::Connection),
                }
            }
            Err(e) => {
                log::warn!(target: "listen", "Accept failed. cause={e}");
                sleep(Duration::from_millis(ACCEPT_RETRY_MS)).await;
            }
        }
    }
}

/// Serves one client connection until it ends.
async fn serve_client(
    gw: Rc<Gateway>,
    stream: TcpStream,
    open: Rc<Cell<usize>>,
    _memory: HeldMemory,
) {
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
    let mut closing = gw.rotation.closing();
    // In a box, the state of a request takes no memory while a connection is idle.
    let service = service_fn(|request| Box::pin(exchange::serve(gw.clone(), request)));
    let stall = WriteStall::default();
    let stream = CallerStream::new(stream, stall.clone());
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .keep_alive(!is_late)
        .header_read_timeout(Duration::from_millis(limits.idle_ms))
        .max_buf_size(header_buffer_bytes(&limits));
    let mut connection = std::pin::pin!(builder.serve_connection(TokioIo::new(stream), service));
    let closes = async {
        tokio::select! {
            () = wait_for_phase(&mut phase, closes_at) => {}
            // An error means that the router is shutting down.
            _ = closing.changed() => {}
        }
    };
    let serving = async {
        tokio::select! {
            _ = connection.as_mut() => {}
            () = closes => {
                connection.as_mut().graceful_shutdown();
                // An error here means that the client disconnected, which its requests notice
                // themselves.
                let _ = connection.await;
            }
        }
    };
    tokio::select! {
        () = serving => {}
        () = stall.lasts(Duration::from_millis(limits.idle_ms)) => {}
    }
    open.set(open.get() - 1);
}

/// Returns the settings of connections of other routers, probes and operators.
pub(crate) fn peer_http() -> http1::Builder {
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(PEER_HEAD_TIMEOUT)
        .max_buf_size(PEER_BUFFER_BYTES);
    builder
}

/// Returns the size of the buffer for the head of a request, in bytes.
pub(crate) fn header_buffer_bytes(limits: &Limits) -> usize {
    limits.header_bytes.max(MIN_BUFFER_BYTES)
}

/// Serves readiness probes, metrics and questions about placement until the process ends.
pub async fn serve_readiness(gw: Rc<Gateway>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(Duration::from_millis(ACCEPT_RETRY_MS)).await;
            continue;
        };
        let Ok(memory) = gw.memory.hold(Purpose::Peer, PEER_BYTES) else {
            gw.record_memory_short(Purpose::Peer);
            continue;
        };
        let gw = gw.clone();
        spawn_local(async move {
            let service = service_fn(|request| readiness(&gw, request));
            let connection = peer_http().serve_connection(TokioIo::new(stream), service);
            // The peer may disconnect at any time.
            let _ = connection.await;
            drop(memory);
        });
    }
}

/// Responds to readiness probes with 200 if clients may be sent here and 503 otherwise, serves counters
/// under `/metrics` and explains placement under [`EXPLAIN_PATH`].
async fn readiness(
    gw: &Rc<Gateway>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let path = request.uri().path();
    if path == EXPLAIN_PATH {
        return Ok(explain::serve(gw, request).await);
    }
    let (status, text) = if gw.platform.is_readiness_probe(request.method(), path) {
        let ready = gw.is_ready();
        let status = if ready {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        (status, String::new())
    } else if path == "/metrics" {
        gw.metrics.record_held_memory(&gw.memory.account());
        (StatusCode::OK, gw.metrics.encode())
    } else {
        (StatusCode::NOT_FOUND, String::new())
    };
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    Ok(response)
}
