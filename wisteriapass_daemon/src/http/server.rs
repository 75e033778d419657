//! Serves the connections of a listener on a single thread.

use std::cell::Cell;
use std::future::pending;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use flume::Sender;
use http_body_util::BodyExt;
use hyper::Version;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, watch};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, timeout_at};

use super::handlers::HandlerPool;
use super::listener::Phase;
use super::request::{BodyChunk, Reply};
use super::{Request, stream_writer};

/// Timeout for the head of a request, and for an idle connection that is kept alive, in seconds.
const HEAD_TIMEOUT_S: u64 = 120;

/// Interval between two checks whether all connections have ended, in milliseconds.
const POLL_MS: u64 = 2;

/// Pause after a connection could not be accepted, in milliseconds; file descriptors may become
/// free meanwhile.
const ACCEPT_RETRY_MS: u64 = 20;

/// Longest time for which the unread rest of a body is read and discarded, in seconds.
const DISCARD_TIMEOUT_S: u64 = 1;

/// Number of body chunks that are buffered for the handler.
const BUFFERED_CHUNKS: usize = 4;

/// Serves connections until the listener is stopped, or has finished all of them.
pub(super) fn run<H: Fn(Request) + Send + Sync + 'static>(
    socket: std::net::TcpListener,
    handlers: HandlerPool<H>,
    mut phase: watch::Receiver<Phase>,
) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let local = LocalSet::new();
    local.block_on(&runtime, async {
        let listener = TcpListener::from_std(socket)?;
        let server = Rc::new(Server {
            handlers,
            phase: phase.clone(),
            open_connections: Cell::new(0),
        });
        tokio::select! {
            () = accept_connections(&listener, &server) => {}
            () = phase_left(&mut phase, Phase::Open) => {}
        }
        serve_waiting(listener, &server)?;
        phase_left(&mut phase, Phase::Closed).await;
        tokio::select! {
            () = server.all_connections_ended() => {}
            () = phase_left(&mut phase, Phase::Finishing) => {}
        }
        Ok(())
    })
}

/// Waits until the listener has left a phase. A listener dropped in the phase never leaves it.
async fn phase_left(phase: &mut watch::Receiver<Phase>, last: Phase) {
    if phase.wait_for(|now| *now > last).await.is_err() {
        pending::<()>().await;
    }
}

/// Accepts connections forever.
async fn accept_connections<H: Fn(Request) + Send + Sync + 'static>(
    listener: &TcpListener,
    server: &Rc<Server<H>>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => spawn_connection(stream, server),
            Err(e) => {
                log::warn!(target: "http", "Cannot accept a connection. cause={e}");
                tokio::time::sleep(Duration::from_millis(ACCEPT_RETRY_MS)).await;
            }
        }
    }
}

/// Serves the connections that are not accepted yet, and closes the listener: the system would reset
/// them.
fn serve_waiting<H: Fn(Request) + Send + Sync + 'static>(
    listener: TcpListener,
    server: &Rc<Server<H>>,
) -> io::Result<()> {
    let listener = listener.into_std()?;
    // It does not block: an error means that no connection is left, or that none can be accepted.
    while let Ok((stream, _)) = listener.accept() {
        stream.set_nonblocking(true)?;
        spawn_connection(TcpStream::from_std(stream)?, server);
    }
    Ok(())
}

/// Serves a connection, which counts as open from now on.
fn spawn_connection<H: Fn(Request) + Send + Sync + 'static>(
    stream: TcpStream,
    server: &Rc<Server<H>>,
) {
    let open = &server.open_connections;
    open.set(open.get() + 1);
    spawn_local(serve_connection(stream, server.clone()));
}

/// Serves one connection to its end.
async fn serve_connection<H: Fn(Request) + Send + Sync + 'static>(
    stream: TcpStream,
    server: Rc<Server<H>>,
) {
    let mut phase = server.phase.clone();
    let service = service_fn(|req| answer(&server.handlers, req));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_secs(HEAD_TIMEOUT_S))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    // An error means that the caller closed the connection, which the handler notices itself.
    tokio::select! {
        _ = connection.as_mut() => {}
        () = phase_left(&mut phase, Phase::Closed) => {
            connection.as_mut().graceful_shutdown();
            let _ = connection.await;
        }
    }
    server
        .open_connections
        .set(server.open_connections.get() - 1);
}

/// Passes a request to a handler and returns its answer; an error closes the connection.
async fn answer<H: Fn(Request) + Send + Sync + 'static>(
    handlers: &HandlerPool<H>,
    req: hyper::Request<Incoming>,
) -> Result<Reply, stream_writer::BodyTruncated> {
    let (head, body) = req.into_parts();
    let version = head.version;
    let (chunks, body_rx) = flume::bounded(BUFFERED_CHUNKS);
    let (reply, mut answer) = oneshot::channel();
    handlers.dispatch(Request::new(head, body_rx, reply));
    let mut reading = Box::pin(read_body(body, chunks));
    let reply = tokio::select! {
        reply = &mut answer => {
            // Closing a connection with an unread body resets it, and the answer would be lost.
            let until = Instant::now() + Duration::from_secs(DISCARD_TIMEOUT_S);
            spawn_local(timeout_at(until, reading));
            reply
        }
        () = &mut reading => answer.await,
    };
    let reply = reply.map_err(|_| stream_writer::BodyTruncated)?;
    if version < Version::HTTP_11 {
        return Ok(stream_writer::collect(reply).await);
    }
    Ok(reply)
}

/// Reads a body to its end and passes the chunks to the handler.
async fn read_body(mut body: Incoming, chunks: Sender<BodyChunk>) {
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return;
        };
        // Trailers are ignored.
        let data = frame.into_data().unwrap_or_else(|_| Bytes::new());
        // A handler that has answered reads no more chunks.
        let _ = chunks.send_async(BodyChunk::Data(data)).await;
    }
    let _ = chunks.send_async(BodyChunk::End).await;
}

/// State shared by the connections of a listener.
struct Server<H> {
    handlers: HandlerPool<H>,
    phase: watch::Receiver<Phase>,
    /// Number of open connections.
    open_connections: Cell<usize>,
}

impl<H> Server<H> {
    /// Waits until no connection is open.
    async fn all_connections_ended(&self) {
        while self.open_connections.get() > 0 {
            tokio::time::sleep(Duration::from_millis(POLL_MS)).await;
        }
    }
}
