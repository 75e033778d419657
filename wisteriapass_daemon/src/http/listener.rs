//! Listening for HTTP requests and handling each on a thread of its own.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use socket2::{Domain, Socket, TcpKeepalive, Type};
use tokio::sync::watch;

use super::handlers::{Handlers, spawn};
use super::{Request, server};

/// Connections that may wait for acceptance.
const BACKLOG: i32 = 1_024;

/// Longest time that sent bytes may stay unread by a peer, in seconds.
const UNREAD_S: u64 = 10;

/// Idle time after which the system probes whether the peer still lives, in seconds.
const KEEPALIVE_S: u64 = 10;

/// Longest time in which a stopped server's thread comes to its end, in seconds.
const STOP_S: u64 = 5;

/// How far a listener serves; each phase follows on those above it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Phase {
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
        if let Err(e) = server::run(socket, handlers, phase) {
            log::error!(target: "start", "Cannot serve. part={part} cause={e:?}");
        }
    });
}
