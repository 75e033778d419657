//! Serving the connections of a listener, on one thread of its own.

use std::cell::Cell;
use std::future::pending;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use flume::Sender;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, watch};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, timeout_at};

use super::handlers::Handlers;
use super::listener::Phase;
use super::request::{BodyPiece, Reply};
use super::{Request, stream_writer};

/// Time in which the head of a request has to come, and that a kept connection may rest, in
/// seconds.
const HEAD_S: u64 = 120;

/// Time between two looks whether all connections are at their end, in milliseconds.
const LOOK_MS: u64 = 2;

/// Pause after a connection could not be taken, in milliseconds: descriptors come free meanwhile.
const REFUSED_PAUSE_MS: u64 = 20;

/// Longest time in which the rest of a body is read that nobody takes, in seconds.
const DISCARD_S: u64 = 1;

/// Pieces of a request's body read ahead of its handler.
const BODY_AHEAD: usize = 4;

/// Serves connections until all of them are to end.
pub(super) fn run<H: Fn(Request) + Send + Sync + 'static>(
    socket: std::net::TcpListener,
    handlers: Handlers<H>,
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
            open: Cell::new(0),
        });
        tokio::select! {
            () = take_connections(&listener, &server) => {}
            () = left(&mut phase, Phase::Open) => {}
        }
        drop(listener);
        left(&mut phase, Phase::Closed).await;
        tokio::select! {
            () = server.all_ended() => {}
            () = left(&mut phase, Phase::Finishing) => {}
        }
        Ok(())
    })
}

/// Waits until a phase and those before it are over; a listener dropped in it stays in it.
async fn left(phase: &mut watch::Receiver<Phase>, last: Phase) {
    if phase.wait_for(|now| *now > last).await.is_err() {
        pending::<()>().await;
    }
}

/// Takes connections for ever.
async fn take_connections<H: Fn(Request) + Send + Sync + 'static>(
    listener: &TcpListener,
    server: &Rc<Server<H>>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                spawn_local(serve_connection(stream, server.clone()));
            }
            Err(e) => {
                log::warn!(target: "http", "Connection not taken. cause={e}");
                tokio::time::sleep(Duration::from_millis(REFUSED_PAUSE_MS)).await;
            }
        }
    }
}

/// Serves one connection to its end.
async fn serve_connection<H: Fn(Request) + Send + Sync + 'static>(
    stream: TcpStream,
    server: Rc<Server<H>>,
) {
    server.open.set(server.open.get() + 1);
    let mut phase = server.phase.clone();
    let service = service_fn(|req| answer(&server.handlers, req));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_secs(HEAD_S))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    // An error here is the caller's end of the connection; its handler notices it.
    tokio::select! {
        _ = connection.as_mut() => {}
        () = left(&mut phase, Phase::Closed) => {
            connection.as_mut().graceful_shutdown();
            let _ = connection.await;
        }
    }
    server.open.set(server.open.get() - 1);
}

/// Has one request answered; an error closes the connection.
async fn answer<H: Fn(Request) + Send + Sync + 'static>(
    handlers: &Handlers<H>,
    req: hyper::Request<Incoming>,
) -> Result<Reply, stream_writer::BodyTruncated> {
    let (head, body) = req.into_parts();
    let (pieces, body_rx) = flume::bounded(BODY_AHEAD);
    let (reply, mut answer) = oneshot::channel();
    handlers.hand_over(Request::new(head, body_rx, reply));
    let mut reading = Box::pin(read_ahead(body, pieces));
    let reply = tokio::select! {
        reply = &mut answer => {
            // A connection that closes with a body unread is reset, and the answer lost.
            let until = Instant::now() + Duration::from_secs(DISCARD_S);
            spawn_local(timeout_at(until, reading));
            reply
        }
        () = &mut reading => answer.await,
    };
    reply.map_err(|_| stream_writer::BodyTruncated)
}

/// Reads a body to its end, and hands on what its handler takes.
async fn read_ahead(mut body: Incoming, pieces: Sender<BodyPiece>) {
    while let Some(frame) = body.frame().await {
        let piece: BodyPiece = match frame {
            // Trailers carry nothing that handlers read.
            Ok(frame) => Ok(frame.into_data().unwrap_or_else(|_| Bytes::new())),
            Err(_) => Err(stream_writer::BodyTruncated),
        };
        let is_cut = piece.is_err();
        // A handler that has answered takes no more.
        let _ = pieces.send_async(piece).await;
        if is_cut {
            return;
        }
    }
}

/// What the connections of a listener share.
struct Server<H> {
    handlers: Handlers<H>,
    phase: watch::Receiver<Phase>,
    /// Connections that are open.
    open: Cell<usize>,
}

impl<H> Server<H> {
    /// Waits until no connection is open.
    async fn all_ended(&self) {
        while self.open.get() > 0 {
            tokio::time::sleep(Duration::from_millis(LOOK_MS)).await;
        }
    }
}
