//! HTTP listener that handles each request on a separate thread.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use socket2::{Domain, Socket, TcpKeepalive, Type};
use tokio::sync::watch;

use super::handlers::{HandlerPool, spawn};
use super::{Request, server};

/// Maximum number of connections waiting to be accepted.
const BACKLOG: i32 = 1_024;

/// TCP user timeout, in seconds: the longest time for which data may wait for a peer that does not
/// acknowledge or read it.
const USER_TIMEOUT_S: u64 = 10;

/// Idle time before the first TCP keepalive probe, and interval of the probes, in seconds.
const KEEPALIVE_S: u64 = 10;

/// Longest time to wait for the thread of a stopped server to end, in seconds.
const STOP_TIMEOUT_S: u64 = 5;

/// Phase of a listener; the phases follow in the order of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Phase {
    /// New connections are accepted.
    Open,
    /// New connections are refused; requests in progress continue.
    Closed,
    /// Each connection ends once its answers have been sent.
    Finishing,
    /// All connections end at once.
    Stopped,
}

/// A bound address without a listener: connections to it are refused.
pub struct BoundAddress {
    socket: Socket,
}

impl BoundAddress {
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
        socket.set_tcp_user_timeout(Some(Duration::from_secs(USER_TIMEOUT_S)))?;
        let keepalive = TcpKeepalive::new()
            .with_time(Duration::from_secs(KEEPALIVE_S))
            .with_interval(Duration::from_secs(KEEPALIVE_S));
        socket.set_tcp_keepalive(&keepalive)?;
        socket.bind(&address.into())?;
        Ok(Self { socket })
    }

    /// Starts listening.
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
    /// Taken by [`serve`].
    socket: Mutex<Option<std::net::TcpListener>>,
    phase: watch::Sender<Phase>,
}

impl Listener {
    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops listening. New connections are refused, so that callers know that nothing was sent;
    /// requests in progress continue.
    pub fn close(&self) {
        self.phase.send_replace(Phase::Closed);
    }

    /// Waits until all answers have been sent, at most until a deadline.
    pub fn finish(self, deadline: Instant) {
        self.phase.send_replace(Phase::Finishing);
        self.wait_for_end(deadline);
    }

    /// Stops listening and closes all connections, as the end of the process would.
    pub fn stop(self) {
        self.phase.send_replace(Phase::Stopped);
        self.wait_for_end(Instant::now() + Duration::from_secs(STOP_TIMEOUT_S));
    }

    /// Waits for the end of the server thread, which drops its phase receiver last.
    fn wait_for_end(&self, deadline: Instant) {
        while self.phase.receiver_count() > 0 && Instant::now() < deadline {
            std::thread::sleep(Duration::from_millis(1));
        }
    }
}

/// Handles each request on a separate thread until the listener is stopped.
pub fn serve(
    listener: &Listener,
    part: &'static str,
    handle: impl Fn(Request) + Send + Sync + 'static,
) {
    let Some(socket) = listener.socket.lock().take() else {
        return;
    };
    let phase = listener.phase.subscribe();
    let handlers = HandlerPool::new(part, handle);
    spawn(part, move || {
        if let Err(e) = server::run(socket, handlers, phase) {
            log::error!(target: "start", "Cannot serve. part={part} cause={e:?}");
        }
    });
}
