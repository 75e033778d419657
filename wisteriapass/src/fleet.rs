//! Concurrent queries to the daemons of an inventory.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

use wisteriapass_config::Inventory;
use wisteriapass_daemon::rpc::ProcessRole;

/// Maximum number of concurrent calls.
///
/// A daemon that does not answer occupies a thread until its call times out.
const MAX_CONCURRENT_CALLS: usize = 32;

/// A daemon of the inventory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Process {
    /// Name of the router, or of the target that the side process serves.
    pub name: String,
    /// Whether it is a router or a side process.
    pub role: ProcessRole,
    /// Address for control calls.
    pub control: SocketAddr,
}

/// Returns the daemons of an inventory, routers first.
pub fn processes(inventory: &Inventory) -> Vec<Process> {
    let routers = inventory.router.iter().map(|r| Process {
        name: r.name.clone(),
        role: ProcessRole::Router,
        control: r.control,
    });
    routers.chain(side_processes(inventory)).collect()
}

/// Returns the side processes of an inventory, in the order of the targets.
pub fn side_processes(inventory: &Inventory) -> impl Iterator<Item = Process> {
    inventory.target.iter().map(|t| Process {
        name: t.name.clone(),
        role: ProcessRole::Side,
        control: t.side_control,
    })
}

/// Queries all daemons concurrently and returns the answers in the order of `processes`.
pub fn query_all<T: Send>(processes: &[Process], query: impl Fn(&Process) -> T + Sync) -> Vec<T> {
    let next_index = AtomicUsize::new(0);
    let run_worker = || {
        let mut answers = Vec::new();
        loop {
            let index = next_index.fetch_add(1, Ordering::Relaxed);
            let Some(process) = processes.get(index) else {
                return answers;
            };
            answers.push((index, query(process)));
        }
    };
    let mut answers: Vec<(usize, T)> = thread::scope(|scope| {
        let threads = MAX_CONCURRENT_CALLS.min(processes.len());
        let workers: Vec<_> = (0..threads).map(|_| scope.spawn(run_worker)).collect();
        let results = workers.into_iter().map(|w| w.join());
        results.flatten().flatten().collect()
    });
    answers.sort_by_key(|(index, _)| *index);
    answers.into_iter().map(|(_, answer)| answer).collect()
}
