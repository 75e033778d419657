//! One forwarded connection.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicBool, Ordering};

use super::{Direction, ProcessNames, Shared};

/// Largest piece forwarded at once, in bytes.
const PIECE: usize = 64 << 10;

/// A connection from a client, and the one to the server once it was made.
pub(super) struct Connection {
    client: TcpStream,
    server: OnceLock<TcpStream>,
    caller: OnceLock<String>,
    is_silent: AtomicBool,
    is_closed: AtomicBool,
}

impl Connection {
    pub fn new(client: TcpStream) -> io::Result<Self> {
        client.set_nodelay(true)?;
        Ok(Self {
            client,
            server: OnceLock::new(),
            caller: OnceLock::new(),
            is_silent: AtomicBool::new(false),
            is_closed: AtomicBool::new(false),
        })
    }

    /// Connects to the server.
    pub fn connect(&self, server: SocketAddr) -> io::Result<()> {
        let stream = TcpStream::connect(server)?;
        stream.set_nodelay(true)?;
        self.server.get_or_init(|| stream);
        Ok(())
    }

    /// Makes the connection silent for good.
    pub fn silence(&self) {
        self.is_silent.store(true, Ordering::Relaxed);
    }

    pub fn is_silent(&self) -> bool {
        self.is_silent.load(Ordering::Relaxed)
    }

    /// Closes both ends.
    pub fn close(&self) {
        self.is_closed.store(true, Ordering::Relaxed);
        self.client.shutdown(Shutdown::Both).ok();
        if let Some(server) = self.server.get() {
            server.shutdown(Shutdown::Both).ok();
        }
    }

    pub fn is_closed(&self) -> bool {
        self.is_closed.load(Ordering::Relaxed)
    }

    /// Returns the name of the process that connected.
    pub fn caller(&self, callers: &ProcessNames, link: SocketAddr) -> &str {
        self.caller.get_or_init(|| {
            let peer = self.client.peer_addr().ok();
            peer.map_or_else(String::new, |peer| callers.name_of(peer, link))
        })
    }

    /// Forwards one direction until it ends.
    pub fn pump(&self, link: &Shared, to: Direction) {
        let Some(server) = self.server.get() else {
            return;
        };
        let (from, into) = match to {
            Direction::ToServer => (&self.client, server),
            Direction::ToClient => (server, &self.client),
        };
        if self.forward(link, to, from, into).is_err() {
            self.close();
        }
    }

    fn forward(
        &self,
        link: &Shared,
        to: Direction,
        mut from: &TcpStream,
        mut into: &TcpStream,
    ) -> io::Result<()> {
        let mut buf = vec![0; PIECE];
        loop {
            let n = from.read(&mut buf)?;
            let Some(faults) = link.wait_passage(self, to) else {
                return Err(io::ErrorKind::ConnectionAborted.into());
            };
            std::thread::sleep(faults.delay(n));
            if n == 0 {
                return into.shutdown(Shutdown::Write);
            }
            into.write_all(&buf[..n])?;
            link.count(n);
        }
    }
}
