//! Links between the named processes of a test, which are cut and healed by pairs of names.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;

use parking_lot::Mutex;

use super::{Direction, Link, LinkFaults, ProcessNames};

/// Name of each process that has no name of its own, such as the clients of the routers.
pub const UNNAMED_PROCESS: &str = "callers";

/// Links in front of all servers of a test, by the name of the server's process.
///
/// A fault between two processes applies to each connection that either makes to the other.
/// Processes may be named before they exist, but a fault applies only to links that were already
/// added.
#[derive(Default)]
pub struct Network {
    process_names: ProcessNames,
    links: Mutex<BTreeMap<String, Vec<Link>>>,
}

impl Network {
    /// Creates a network without links.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the names of the processes.
    pub fn process_names(&self) -> &ProcessNames {
        &self.process_names
    }

    /// Adds a link in front of a server and returns the address that clients connect to.
    ///
    /// # Errors
    ///
    /// Returns the system's error if no address can be bound.
    pub fn add_link(&self, server_name: &str, server: SocketAddr) -> io::Result<SocketAddr> {
        let link = Link::with_process_names(server, self.process_names.clone())?;
        let addr = link.addr();
        let mut links = self.links.lock();
        links.entry(server_name.to_owned()).or_default().push(link);
        Ok(addr)
    }

    /// Changes the server of the link with this address, such as after a restart.
    pub fn set_server(&self, link: SocketAddr, server: SocketAddr) {
        let links = self.links.lock();
        let all = links.values().flatten();
        all.filter(|l| l.addr() == link)
            .for_each(|l| l.set_server(server));
    }

    /// Returns the number of bytes forwarded by the link with this address so far, in both
    /// directions.
    pub fn forwarded_bytes(&self, link: SocketAddr) -> u64 {
        let links = self.links.lock();
        let found = links.values().flatten().find(|l| l.addr() == link);
        found.map_or(0, Link::forwarded_bytes)
    }

    /// Sets the faults of the connections that `from` makes to `to`.
    pub fn set_faults(&self, from: &str, to: &str, faults: LinkFaults) {
        self.for_each_link(to, |link| link.set_faults_for(from, faults));
    }

    /// Blackholes all connections between two processes, whichever of them connected.
    pub fn cut(&self, a: &str, b: &str) {
        self.set_faults(a, b, LinkFaults::blackhole());
        self.set_faults(b, a, LinkFaults::blackhole());
    }

    /// Drops all bytes from one process to another; the other direction works.
    pub fn cut_one_way(&self, from: &str, to: &str) {
        self.set_faults(from, to, LinkFaults::one_way_drop(Direction::ToServer));
        self.set_faults(to, from, LinkFaults::one_way_drop(Direction::ToClient));
    }

    /// Blackholes all connections between any process in `a` and any in `b`.
    pub fn partition(&self, a: &[&str], b: &[&str]) {
        for left in a {
            for right in b {
                self.cut(left, right);
            }
        }
    }

    /// Removes the faults between two processes.
    pub fn heal(&self, a: &str, b: &str) {
        self.set_faults(a, b, LinkFaults::default());
        self.set_faults(b, a, LinkFaults::default());
    }

    /// Removes all faults, except from connections that were blackholed permanently.
    pub fn heal_all(&self) {
        let links = self.links.lock();
        links.values().flatten().for_each(Link::heal);
    }

    /// Permanently blackholes the open connections to a process; new ones work.
    pub fn blackhole_open_connections(&self, server_name: &str) {
        self.for_each_link(server_name, Link::blackhole_open_connections);
    }

    /// Closes the open connections to a process; new ones work.
    pub fn close_open_connections(&self, server_name: &str) {
        self.for_each_link(server_name, Link::close_open_connections);
    }

    fn for_each_link(&self, server_name: &str, f: impl Fn(&Link)) {
        let links = self.links.lock();
        links.get(server_name).into_iter().flatten().for_each(f);
    }
}
