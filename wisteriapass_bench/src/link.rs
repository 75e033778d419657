//! TCP forwarder on loopback with fault switches, to put between any two processes.

mod connection;
mod faults;
mod network;
mod process_names;

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::JoinHandle;

use parking_lot::{Condvar, Mutex};

pub use faults::{Cut, Direction, LinkFaults};
pub use network::{Network, UNNAMED_PROCESS};
pub use process_names::ProcessNames;

use connection::Connection;

/// A forwarder to one server; it closes its connections when dropped.
pub struct Link {
    addr: SocketAddr,
    shared: Arc<Shared>,
    acceptor: Option<JoinHandle<()>>,
}

/// What the threads of a link share.
struct Shared {
    addr: SocketAddr,
    server: Mutex<SocketAddr>,
    process_names: ProcessNames,
    rules: Mutex<Rules>,
    changed: Condvar,
    bytes: AtomicU64,
}

/// Faults in force and open connections.
#[derive(Default)]
struct Rules {
    faults: LinkFaults,
    by_caller: BTreeMap<String, LinkFaults>,
    connections: Vec<Arc<Connection>>,
    is_stopped: bool,
}

impl Link {
    /// Starts to forward connections to `server`.
    ///
    /// # Errors
    ///
    /// The system's error if no address can be bound.
    pub fn start(server: SocketAddr) -> io::Result<Self> {
        Self::with_process_names(server, ProcessNames::default())
    }

    /// Starts to forward connections to `server`, with faults that depend on who connects.
    ///
    /// # Errors
    ///
    /// The system's error if no address can be bound.
    pub fn with_process_names(server: SocketAddr, process_names: ProcessNames) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let addr = listener.local_addr()?;
        let shared = Arc::new(Shared {
            addr,
            server: Mutex::new(server),
            process_names,
            rules: Mutex::default(),
            changed: Condvar::new(),
            bytes: AtomicU64::new(0),
        });
        let acceptor = {
            let shared = Arc::clone(&shared);
            std::thread::spawn(move || shared.accept(&listener))
        };
        Ok(Self {
            addr,
            shared,
            acceptor: Some(acceptor),
        })
    }

    /// Returns the address to connect to in place of the server's.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Forwards new connections to another server, such as one that was restarted.
    pub fn set_server(&self, server: SocketAddr) {
        *self.shared.server.lock() = server;
    }

    /// Sets the faults of all connections whose caller has none of its own.
    pub fn set_faults(&self, faults: LinkFaults) {
        self.shared.change(|rules| rules.faults = faults);
    }

    /// Sets the faults of one caller's connections, open and new ones.
    pub fn set_faults_for(&self, caller: &str, faults: LinkFaults) {
        self.shared.change(|rules| {
            rules.by_caller.insert(caller.to_owned(), faults);
        });
    }

    /// Takes all faults back; connections that were silenced for good stay silent.
    pub fn heal(&self) {
        self.shared.change(|rules| {
            rules.faults = LinkFaults::default();
            rules.by_caller.clear();
        });
    }

    /// Makes the open connections silent for good, both ways; new ones work.
    pub fn blackhole_open_connections(&self) {
        self.shared.change(|rules| {
            rules.connections.iter().for_each(|c| c.silence());
        });
    }

    /// Closes the open connections; new ones work.
    pub fn close_open_connections(&self) {
        self.shared.change(|rules| {
            rules.connections.iter().for_each(|c| c.close());
        });
    }

    /// Returns the bytes that passed so far, both ways.
    pub fn forwarded_bytes(&self) -> u64 {
        self.shared.bytes.load(Ordering::Relaxed)
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> usize {
        self.shared.rules.lock().connections.len()
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.shared.change(|rules| {
            rules.is_stopped = true;
            rules.connections.iter().for_each(|c| c.close());
        });
        // A last connection wakes the acceptor.
        TcpStream::connect(self.addr).ok();
        if let Some(acceptor) = self.acceptor.take() {
            acceptor.join().ok();
        }
    }
}

impl Shared {
    /// Changes the rules, closes what they cut and wakes what waits for them.
    fn change(&self, change: impl FnOnce(&mut Rules)) {
        let mut rules = self.rules.lock();
        change(&mut rules);
        let rules = &*rules;
        for connection in &rules.connections {
            if self.faults_of(rules, connection).cut == Cut::Closed {
                connection.close();
            }
        }
        self.changed.notify_all();
    }

    /// Counts bytes that passed.
    fn count(&self, bytes: usize) {
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    fn accept(self: &Arc<Self>, listener: &TcpListener) {
        while let Ok((client, _)) = listener.accept() {
            if self.rules.lock().is_stopped {
                return;
            }
            let shared = Arc::clone(self);
            std::thread::spawn(move || shared.forward(client));
        }
    }

    /// Forwards one connection until both directions have ended.
    fn forward(self: &Arc<Self>, client: TcpStream) {
        let Ok(connection) = Connection::new(client) else {
            return;
        };
        let connection = Arc::new(connection);
        self.rules.lock().connections.push(Arc::clone(&connection));
        if self.may_connect(&connection) && connection.connect(*self.server.lock()).is_ok() {
            let back = {
                let shared = Arc::clone(self);
                let connection = Arc::clone(&connection);
                std::thread::spawn(move || connection.pump(&shared, Direction::ToClient))
            };
            connection.pump(self, Direction::ToServer);
            back.join().ok();
        }
        connection.close();
        let mut rules = self.rules.lock();
        rules.connections.retain(|c| !Arc::ptr_eq(c, &connection));
    }

    /// Waits until a connection can be made: packets must pass both ways for it.
    fn may_connect(&self, connection: &Connection) -> bool {
        self.wait_passage(connection, Direction::ToServer).is_some()
            && self.wait_passage(connection, Direction::ToClient).is_some()
    }

    /// Waits until bytes may pass and returns the faults they meet; `None` if the connection is
    /// closed.
    fn wait_passage(&self, connection: &Connection, to: Direction) -> Option<LinkFaults> {
        let mut rules = self.rules.lock();
        loop {
            let faults = self.faults_of(&rules, connection);
            if rules.is_stopped || connection.is_closed() || faults.cut == Cut::Closed {
                return None;
            }
            if !connection.is_silent() && faults.passes(to) {
                return Some(faults);
            }
            self.changed.wait(&mut rules);
        }
    }

    /// Returns the faults of a connection; who its caller is matters only where rules say so.
    fn faults_of(&self, rules: &Rules, connection: &Connection) -> LinkFaults {
        if rules.by_caller.is_empty() {
            return rules.faults;
        }
        let caller = connection.caller(&self.process_names, self.addr);
        rules.by_caller.get(caller).copied().unwrap_or(rules.faults)
    }
}
