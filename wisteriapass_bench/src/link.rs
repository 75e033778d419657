//! TCP proxy on loopback that injects faults between two processes.

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

/// A proxy for one server, which closes its connections when dropped.
pub struct Link {
    addr: SocketAddr,
    shared: Arc<Shared>,
    acceptor: Option<JoinHandle<()>>,
}

/// State shared by the threads of a link.
struct Shared {
    addr: SocketAddr,
    server: Mutex<SocketAddr>,
    process_names: ProcessNames,
    state: Mutex<State>,
    changed: Condvar,
    forwarded_bytes: AtomicU64,
}

/// Active faults and open connections.
#[derive(Default)]
struct State {
    faults: LinkFaults,
    faults_by_client: BTreeMap<String, LinkFaults>,
    connections: Vec<Arc<Connection>>,
    is_stopped: bool,
}

impl Link {
    /// Starts forwarding connections to `server`.
    ///
    /// # Errors
    ///
    /// Returns the system's error if no address can be bound.
    pub fn start(server: SocketAddr) -> io::Result<Self> {
        Self::with_process_names(server, ProcessNames::default())
    }

    /// Starts forwarding connections to `server`, with faults that depend on the connecting
    /// process.
    ///
    /// # Errors
    ///
    /// Returns the system's error if no address can be bound.
    pub fn with_process_names(server: SocketAddr, process_names: ProcessNames) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let addr = listener.local_addr()?;
        let shared = Arc::new(Shared {
            addr,
            server: Mutex::new(server),
            process_names,
            state: Mutex::default(),
            changed: Condvar::new(),
            forwarded_bytes: AtomicU64::new(0),
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

    /// Returns the address that clients connect to instead of the server's.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Forwards new connections to another server, such as one that was restarted.
    pub fn set_server(&self, server: SocketAddr) {
        *self.shared.server.lock() = server;
    }

    /// Sets the faults of all connections, except from clients that have faults of their own.
    pub fn set_faults(&self, faults: LinkFaults) {
        self.shared.update(|state| state.faults = faults);
    }

    /// Sets the faults of all open and new connections from one client process.
    pub fn set_faults_for(&self, client_process: &str, faults: LinkFaults) {
        self.shared.update(|state| {
            state
                .faults_by_client
                .insert(client_process.to_owned(), faults);
        });
    }

    /// Removes all faults, except from connections that were blackholed permanently.
    pub fn heal(&self) {
        self.shared.update(|state| {
            state.faults = LinkFaults::default();
            state.faults_by_client.clear();
        });
    }

    /// Permanently blackholes the open connections in both directions; new ones work.
    pub fn blackhole_open_connections(&self) {
        self.shared.update(|state| {
            state.connections.iter().for_each(|c| c.blackhole());
        });
    }

    /// Closes the open connections; new ones work.
    pub fn close_open_connections(&self) {
        self.shared.update(|state| {
            state.connections.iter().for_each(|c| c.close());
        });
    }

    /// Returns the number of bytes forwarded so far, in both directions.
    pub fn forwarded_bytes(&self) -> u64 {
        self.shared.forwarded_bytes.load(Ordering::Relaxed)
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> usize {
        self.shared.state.lock().connections.len()
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.shared.update(|state| {
            state.is_stopped = true;
            state.connections.iter().for_each(|c| c.close());
        });
        // Wakes the accepting thread.
        TcpStream::connect(self.addr).ok();
        if let Some(acceptor) = self.acceptor.take() {
            acceptor.join().ok();
        }
    }
}

impl Shared {
    /// Updates the state, closes the connections that it cuts and wakes waiting threads.
    fn update(&self, update: impl FnOnce(&mut State)) {
        let mut state = self.state.lock();
        update(&mut state);
        let state = &*state;
        for connection in &state.connections {
            if self.faults_of(state, connection).cut == Cut::Closed {
                connection.close();
            }
        }
        self.changed.notify_all();
    }

    /// Counts forwarded bytes.
    fn count_bytes(&self, bytes: usize) {
        self.forwarded_bytes
            .fetch_add(bytes as u64, Ordering::Relaxed);
    }

    fn accept(self: &Arc<Self>, listener: &TcpListener) {
        while let Ok((client, _)) = listener.accept() {
            if self.state.lock().is_stopped {
                return;
            }
            let shared = Arc::clone(self);
            std::thread::spawn(move || shared.forward(client));
        }
    }

    /// Forwards one connection until both directions have finished.
    fn forward(self: &Arc<Self>, client: TcpStream) {
        let Ok(connection) = Connection::new(client) else {
            return;
        };
        let connection = Arc::new(connection);
        self.state.lock().connections.push(Arc::clone(&connection));
        if self.wait_connectable(&connection) && connection.connect(*self.server.lock()).is_ok() {
            let to_client = {
                let shared = Arc::clone(self);
                let connection = Arc::clone(&connection);
                std::thread::spawn(move || {
                    connection.forward_direction(&shared, Direction::ToClient);
                })
            };
            connection.forward_direction(self, Direction::ToServer);
            to_client.join().ok();
        }
        connection.close();
        let mut state = self.state.lock();
        state.connections.retain(|c| !Arc::ptr_eq(c, &connection));
    }

    /// Waits until a connection can be made, which requires both directions to work.
    fn wait_connectable(&self, connection: &Connection) -> bool {
        self.wait_deliverable(connection, Direction::ToServer)
            .is_some()
            && self
                .wait_deliverable(connection, Direction::ToClient)
                .is_some()
    }

    /// Waits until bytes can be delivered and returns the faults that apply to them, or `None` if
    /// the connection is closed.
    fn wait_deliverable(
        &self,
        connection: &Connection,
        direction: Direction,
    ) -> Option<LinkFaults> {
        let mut state = self.state.lock();
        loop {
            let faults = self.faults_of(&state, connection);
            if state.is_stopped || connection.is_closed() || faults.cut == Cut::Closed {
                return None;
            }
            if !connection.is_blackholed() && faults.passes(direction) {
                return Some(faults);
            }
            self.changed.wait(&mut state);
        }
    }

    /// Returns the faults of a connection; the client process is looked up only if any has faults
    /// of its own.
    fn faults_of(&self, state: &State, connection: &Connection) -> LinkFaults {
        if state.faults_by_client.is_empty() {
            return state.faults;
        }
        let client_process = connection.client_process(&self.process_names, self.addr);
        state
            .faults_by_client
            .get(client_process)
            .copied()
            .unwrap_or(state.faults)
    }
}
