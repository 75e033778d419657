//! A forwarded connection.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicBool, Ordering};

use super::{Direction, ProcessNames, Shared};

/// Largest number of bytes forwarded at once.
const BUFFER_BYTES: usize = 64 << 10;

/// A connection from a client, and the one to the server once it is established.
pub(super) struct Connection {
    client: TcpStream,
    server: OnceLock<TcpStream>,
    client_process: OnceLock<String>,
    is_blackholed: AtomicBool,
    is_closed: AtomicBool,
}

impl Connection {
    pub fn new(client: TcpStream) -> io::Result<Self> {
        client.set_nodelay(true)?;
        Ok(Self {
            client,
            server: OnceLock::new(),
            client_process: OnceLock::new(),
            is_blackholed: AtomicBool::new(false),
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

    /// Permanently blackholes the connection.
    pub fn blackhole(&self) {
        self.is_blackholed.store(true, Ordering::Relaxed);
    }

    pub fn is_blackholed(&self) -> bool {
        self.is_blackholed.load(Ordering::Relaxed)
    }

    /// Closes the connections to the client and to the server.
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

    /// Returns the name of the client process.
    pub fn client_process(&self, process_names: &ProcessNames, link: SocketAddr) -> &str {
        self.client_process.get_or_init(|| {
            let peer = self.client.peer_addr().ok();
            peer.map_or_else(String::new, |peer| process_names.name_of(peer, link))
        })
    }

    /// Forwards one direction until it finishes.
    pub fn forward_direction(&self, link: &Shared, direction: Direction) {
        let Some(server) = self.server.get() else {
            return;
        };
        let (source, destination) = match direction {
            Direction::ToServer => (&self.client, server),
            Direction::ToClient => (server, &self.client),
        };
        if self.copy(link, direction, source, destination).is_err() {
            self.close();
        }
    }

    fn copy(
        &self,
        link: &Shared,
        direction: Direction,
        mut source: &TcpStream,
        mut destination: &TcpStream,
    ) -> io::Result<()> {
        let mut buf = vec![0; BUFFER_BYTES];
        loop {
            let n = source.read(&mut buf)?;
            let Some(faults) = link.wait_deliverable(self, direction) else {
                return Err(io::ErrorKind::ConnectionAborted.into());
            };
            if n == 0 {
                std::thread::sleep(faults.delay(n));
                return destination.shutdown(Shutdown::Write);
            }
            for chunk in faults.chunks(direction, &buf[..n]) {
                std::thread::sleep(faults.delay(chunk.len()));
                destination.write_all(chunk)?;
                link.count_bytes(chunk.len());
            }
        }
    }
}
