//! Finds the local process that made a connection.
//!
//! All processes of a test share one IP address, so they are told apart by the kernel's tables:
//! `/proc/net/tcp` lists the connection's socket, and `/proc/<pid>/fd` the process that holds it.

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::sync::Arc;

use parking_lot::Mutex;

use super::UNNAMED_PROCESS;

/// Column of `/proc/net/tcp` with the local address.
const LOCAL_ADDRESS_COLUMN: usize = 1;

/// Column of `/proc/net/tcp` with the remote address.
const REMOTE_ADDRESS_COLUMN: usize = 2;

/// Column of `/proc/net/tcp` with the socket's inode.
const INODE_COLUMN: usize = 9;

/// Names of processes by process id, shared by all links of a test.
#[derive(Clone, Default)]
pub struct ProcessNames {
    names: Arc<Mutex<BTreeMap<u32, String>>>,
}

impl ProcessNames {
    /// Names a process.
    pub fn insert(&self, pid: u32, name: &str) {
        self.names.lock().insert(pid, name.to_owned());
    }

    /// Removes a process that has ended.
    pub fn remove(&self, pid: u32) {
        self.names.lock().remove(&pid);
    }

    /// Returns the name of the process that connected from `peer` to `link`, or [`UNNAMED_PROCESS`]
    /// if it has none.
    pub fn name_of(&self, peer: SocketAddr, link: SocketAddr) -> String {
        let Some(inode) = inode_of(peer, link) else {
            return UNNAMED_PROCESS.into();
        };
        let socket = format!("socket:[{inode}]");
        let names = self.names.lock().clone();
        names
            .into_iter()
            .find(|(pid, _)| holds_socket(*pid, &socket))
            .map_or_else(|| UNNAMED_PROCESS.into(), |(_, name)| name)
    }
}

/// Returns the inode of the socket at `local` that is connected to `remote`.
fn inode_of(local: SocketAddr, remote: SocketAddr) -> Option<String> {
    let table = fs::read_to_string("/proc/net/tcp").ok()?;
    let (local, remote) = (kernel_format(local)?, kernel_format(remote)?);
    table.lines().find_map(|line| {
        let columns: Vec<&str> = line.split_whitespace().collect();
        let matches = columns.get(LOCAL_ADDRESS_COLUMN)? == &local
            && columns.get(REMOTE_ADDRESS_COLUMN)? == &remote;
        matches.then(|| columns.get(INODE_COLUMN).map(|inode| (*inode).to_owned()))?
    })
}

/// Formats an address as in the kernel's table; only IPv4 is supported.
fn kernel_format(addr: SocketAddr) -> Option<String> {
    let SocketAddr::V4(addr) = addr else {
        return None;
    };
    let ip = u32::from_le_bytes(addr.ip().octets());
    Some(format!("{ip:08X}:{:04X}", addr.port()))
}

/// Returns whether a process holds a socket.
fn holds_socket(pid: u32, socket: &str) -> bool {
    let Ok(files) = fs::read_dir(format!("/proc/{pid}/fd")) else {
        return false;
    };
    files
        .filter_map(|file| fs::read_link(file.ok()?.path()).ok())
        .any(|target| target.as_os_str() == socket)
}
