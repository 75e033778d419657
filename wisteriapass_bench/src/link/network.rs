//! The links between the named processes of a test, cut and healed by pairs of names.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;

use parking_lot::Mutex;

use super::{Direction, Link, LinkFaults, ProcessNames};

/// Name of whoever connects without being a named process, such as the callers of the routers.
pub const UNNAMED_PROCESS: &str = "callers";

/// Links in front of every server of a test, by the name of the process that serves.
///
/// Names may be given before their servers exist; a fault between two names holds for each
/// connection that either makes to the other.
#[derive(Default)]
pub struct Network {
    callers: ProcessNames,
    links: Mutex<BTreeMap<String, Vec<Link>>>,
}

impl Network {
    /// Creates a network without links.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the registry in which processes are named.
    pub fn process_names(&self) -> &ProcessNames {
        &self.callers
    }

    /// Puts a link in front of a server and returns the address to give to everyone else.
    ///
    /// # Errors
    ///
    /// The system's error if no address can be bound.
    pub fn add_link(&self, owner: &str, server: SocketAddr) -> io::Result<SocketAddr> {
        let link = Link::with_process_names(server, self.callers.clone())?;
        let addr = link.addr();
        let mut links = self.links.lock();
        links.entry(owner.to_owned()).or_default().push(link);
        Ok(addr)
    }

    /// Gives the link with this address another server, such as one that was restarted.
    pub fn set_server(&self, link: SocketAddr, server: SocketAddr) {
        let links = self.links.lock();
        let all = links.values().flatten();
        all.filter(|l| l.addr() == link)
            .for_each(|l| l.set_server(server));
    }

    /// Returns the bytes that passed through the link with this address so far, both ways.
    pub fn forwarded_bytes(&self, link: SocketAddr) -> u64 {
        let links = self.links.lock();
        let found = links.values().flatten().find(|l| l.addr() == link);
        found.map_or(0, Link::forwarded_bytes)
    }

    /// Sets the faults of the connections that `from` makes to `to`.
    pub fn set_faults(&self, from: &str, to: &str, faults: LinkFaults) {
        self.each_link_of(to, |link| link.set_faults_for(from, faults));
    }

    /// Lets no byte pass between two processes, whoever made the connection.
    pub fn cut(&self, a: &str, b: &str) {
        self.set_faults(a, b, LinkFaults::blackhole());
        self.set_faults(b, a, LinkFaults::blackhole());
    }

    /// Lets no byte pass from one process to another; the other way works.
    pub fn cut_one_way(&self, from: &str, to: &str) {
        self.set_faults(from, to, LinkFaults::one_way_drop(Direction::ToServer));
        self.set_faults(to, from, LinkFaults::one_way_drop(Direction::ToClient));
    }

    /// Lets no byte pass between any of `a` and any of `b`.
    pub fn partition(&self, a: &[&str], b: &[&str]) {
        for one in a {
            for other in b {
                self.cut(one, other);
            }
        }
    }

    /// Lets bytes pass again between two processes.
    pub fn heal(&self, a: &str, b: &str) {
        self.set_faults(a, b, LinkFaults::default());
        self.set_faults(b, a, LinkFaults::default());
    }

    /// Lets bytes pass again everywhere, but for connections silenced for good.
    pub fn heal_all(&self) {
        let links = self.links.lock();
        links.values().flatten().for_each(Link::heal);
    }

    /// Makes the open connections to a process silent for good; new ones work.
    pub fn blackhole_open_connections(&self, owner: &str) {
        self.each_link_of(owner, Link::blackhole_open_connections);
    }

    /// Closes the open connections to a process; new ones work.
    pub fn close_open_connections(&self, owner: &str) {
        self.each_link_of(owner, Link::close_open_connections);
    }

    fn each_link_of(&self, owner: &str, f: impl Fn(&Link)) {
        let links = self.links.lock();
        links.get(owner).into_iter().flatten().for_each(f);
    }
}
