//! Listening for HTTP requests and handling each on a thread of its own.

use std::cell::Cell;
use std::future::pending;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use flume::{Receiver, Sender};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use parking_lot::Mutex;
use socket2::{Domain, Socket, TcpKeepalive, Type};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, watch};
use tokio::task::{LocalSet, spawn_local};

use super::request::{BodyPiece, Reply};
use super::{Request, stream_writer};

/// Connections that may wait for acceptance.
const BACKLOG: i32 = 1_024;

/// Longest time that sent bytes may stay unread by a peer, in seconds.
const UNREAD_S: u64 = 10;

/// Idle time after which the system probes whether the peer still lives, in seconds.
const KEEPALIVE_S: u64 = 10;

/// Time in which the head of a request has to come, and that a kept connection may rest, in
/// seconds.
const HEAD_S: u64 = 120;

/// Longest time in which a stopped server's thread comes to its end, in seconds.
const STOP_S: u64 = 5;

/// Time between two looks whether all connections are at their end, in milliseconds.
const LOOK_MS: u64 = 2;

/// Pause after a connection could not be taken, in milliseconds: descriptors come free meanwhile.
const REFUSED_PAUSE_MS: u64 = 20;

/// Pieces of a request's body read ahead of its handler.
const BODY_AHEAD: usize = 4;

/// Time a handler thread waits for another request before it ends, in seconds.
const IDLE_THREAD_S: u64 = 5;

/// Stack of a handler thread, in bytes.
const STACK: usize = 256 * 1024;

/// How far a listener serves; each phase follows on those above it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Phase {
    /// Connections are taken.
    Open,
    /// No connections are taken; requests under way go on.
    Closed,
    /// Connections end as soon as what was answered on them has left.
    Finishing,
    /// All connections end.
    Stopped,
}

/// An address that is taken and not listened on: connections to it are refused.
pub struct Reserved {
    socket: Socket,
}

impl Reserved {
    /// Binds to an address.
    ///
    /// Accepted connections inherit the socket's options (Linux).
    ///
    /// # Errors
    ///
    /// The system's error, for example if the address is in use.
    pub fn bind(address: SocketAddr) -> io::Result<Self> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.set_tcp_nodelay(true)?;
        socket.set_tcp_user_timeout(Some(Duration::from_secs(UNREAD_S)))?;
        let keepalive = TcpKeepalive::new()
            .with_time(Duration::from_secs(KEEPALIVE_S))
            .with_interval(Duration::from_secs(KEEPALIVE_S));
        socket.set_tcp_keepalive(&keepalive)?;
        socket.bind(&address.into())?;
        Ok(Self { socket })
    }

    /// Begins to listen.
    ///
    /// # Errors
    ///
    /// The system's error.
    pub fn listen(self) -> io::Result<Listener> {
        self.socket.set_nonblocking(true)?;
        self.socket.listen(BACKLOG)?;
        let socket: std::net::TcpListener = self.socket.into();
        Ok(Listener {
            address: socket.local_addr()?,
            socket: Mutex::new(Some(socket)),
            phase: watch::Sender::new(Phase::Open),
        })
    }
}

/// An HTTP server on a TCP address.
pub struct Listener {
    address: SocketAddr,
    /// Taken by whoever serves.
    socket: Mutex<Option<std::net::TcpListener>>,
    phase: watch::Sender<Phase>,
}

impl Listener {
    /// Returns the address bound to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops listening: connections made from now on are refused, which tells callers that
    /// nothing was sent. Requests under way go on.
    pub fn close(&self) {
        self.phase.send_replace(Phase::Closed);
    }

    /// Waits until all answers have left, at most until a deadline.
    pub fn finish(self, deadline: Instant) {
        self.phase.send_replace(Phase::Finishing);
        self.wait_for_end(deadline);
    }

    /// Stops listening and ends all connections, as the end of the process would.
    pub fn stop(self) {
        self.phase.send_replace(Phase::Stopped);
        self.wait_for_end(Instant::now() + Duration::from_secs(STOP_S));
    }

    /// Waits until the server's thread, which drops its receiver last, is at its end.
    fn wait_for_end(&self, deadline: Instant) {
        while self.phase.receiver_count() > 0 && Instant::now() < deadline {
            std::thread::sleep(Duration::from_millis(1));
        }
    }
}

/// Handles requests, each on a thread of its own, until the listener is stopped.
pub fn serve(
    listener: &Listener,
    part: &'static str,
    handle: impl Fn(Request) + Send + Sync + 'static,
) {
    let Some(socket) = listener.socket.lock().take() else {
        return;
    };
    let phase = listener.phase.subscribe();
    let handlers = Handlers::new(part, handle);
    spawn(part, move || {
        if let Err(e) = run(socket, handlers, phase) {
            log::error!(target: "start", "Cannot serve. part={part} cause={e:?}");
        }
    });
}

/// Serves connections until all of them are to end.
fn run<H: Fn(Request) + Send + Sync + 'static>(
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
) -> Result<Reply, stream_writer::Cut> {
    let (head, body) = req.into_parts();
    let (pieces, body_rx) = flume::bounded(BODY_AHEAD);
    let (reply, mut answer) = oneshot::channel();
    handlers.hand_over(Request::new(head, body_rx, reply));
    // What has not come of the body when its handler answers is not wanted any more.
    let reply = tokio::select! {
        reply = &mut answer => reply,
        () = read_ahead(body, pieces) => answer.await,
    };
    reply.map_err(|_| stream_writer::Cut)
}

/// Reads a body as far as its handler takes it.
async fn read_ahead(mut body: Incoming, pieces: Sender<BodyPiece>) {
    while let Some(frame) = body.frame().await {
        let piece: BodyPiece = match frame {
            // Trailers carry nothing that handlers read.
            Ok(frame) => Ok(frame.into_data().unwrap_or_else(|_| Bytes::new())),
            Err(_) => Err(stream_writer::Cut),
        };
        let is_cut = piece.is_err();
        if pieces.send_async(piece).await.is_err() || is_cut {
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

/// Threads that handle requests.
struct Handlers<H> {
    part: &'static str,
    tx: Sender<Request>,
    rx: Receiver<Request>,
    handle: Arc<H>,
}

impl<H: Fn(Request) + Send + Sync + 'static> Handlers<H> {
    fn new(part: &'static str, handle: H) -> Self {
        let (tx, rx) = flume::bounded(0);
        let handle = Arc::new(handle);
        Self {
            part,
            tx,
            rx,
            handle,
        }
    }

    /// Gives a request to an idle thread, or to a new one.
    fn hand_over(&self, req: Request) {
        let Err(refused) = self.tx.try_send(req) else {
            return;
        };
        let first = refused.into_inner();
        let (rx, handle) = (self.rx.clone(), self.handle.clone());
        spawn(self.part, move || {
            handle(first);
            while let Ok(req) = rx.recv_timeout(Duration::from_secs(IDLE_THREAD_S)) {
                handle(req);
            }
        });
    }
}

/// Starts a named thread with a small stack.
fn spawn(part: &str, work: impl FnOnce() + Send + 'static) {
    let builder = std::thread::Builder::new()
        .name(part.into())
        .stack_size(STACK);
    if let Err(e) = builder.spawn(work) {
        log::error!(target: "start", "Cannot start a thread. cause={e:?}");
    }
}
