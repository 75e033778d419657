//! Listening for HTTP requests and handling each on a thread of its own.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use flume::{Receiver, Sender};
use socket2::{Domain, Socket, TcpKeepalive, Type};
use tiny_http::{Request, Server};

/// Connections that may wait for acceptance.
const BACKLOG: i32 = 1_024;

/// Longest time that a write to a peer which does not read may block, in seconds.
const SEND_TIMEOUT_S: u64 = 10;

/// Idle time after which the system probes whether the peer still lives, in seconds.
const KEEPALIVE_S: u64 = 10;

/// Time a handler thread waits for another request before it ends, in seconds.
const IDLE_THREAD_S: u64 = 5;

/// Stack of a handler thread, in bytes.
const STACK: usize = 256 * 1024;

/// An address that is taken and not listened on: connections to it are refused.
pub struct Reserved {
    socket: Socket,
}

impl Reserved {
    /// Binds to an address.
    ///
    /// The socket's options are inherited by accepted connections (Linux), which is the only way
    /// to set them, as tiny_http keeps the connections to itself.
    ///
    /// # Errors
    ///
    /// The system's error, for example if the address is in use.
    pub fn bind(address: SocketAddr) -> io::Result<Self> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.set_tcp_nodelay(true)?;
        socket.set_write_timeout(Some(Duration::from_secs(SEND_TIMEOUT_S)))?;
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
        self.socket.listen(BACKLOG)?;
        let listener: TcpListener = self.socket.into();
        let address = listener.local_addr()?;
        let server = Server::from_listener(listener, None).map_err(io::Error::other)?;
        Ok(Listener {
            server: Arc::new(server),
            address,
        })
    }
}

/// An HTTP server on a TCP address.
pub struct Listener {
    server: Arc<Server>,
    address: SocketAddr,
}

impl Listener {
    /// Returns the address bound to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops listening: connections made from now on are refused, which tells callers that
    /// nothing was sent. Requests under way go on.
    pub fn close(self) {
        self.server.unblock();
    }
}

/// Handles requests, each on a thread of its own, until the listener's process ends.
pub fn serve(
    listener: &Listener,
    part: &'static str,
    handle: impl Fn(Request) + Send + Sync + 'static,
) {
    let server = listener.server.clone();
    let handle = Arc::new(handle);
    let (tx, rx) = flume::bounded(0);
    let accept = move || {
        while let Ok(req) = server.recv() {
            hand_over(part, &tx, &rx, req, &handle);
        }
    };
    spawn(part, accept);
}

/// Gives a request to an idle thread, or to a new one.
fn hand_over<H: Fn(Request) + Send + Sync + 'static>(
    part: &'static str,
    tx: &Sender<Request>,
    rx: &Receiver<Request>,
    req: Request,
    handle: &Arc<H>,
) {
    let Err(refused) = tx.try_send(req) else {
        return;
    };
    let (rx, handle) = (rx.clone(), handle.clone());
    let first = refused.into_inner();
    spawn(part, move || {
        handle(first);
        while let Ok(req) = rx.recv_timeout(Duration::from_secs(IDLE_THREAD_S)) {
            handle(req);
        }
    });
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
