//! The daemons of an inventory, asked side by side.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

use wisteriapass_config::Inventory;
use wisteriapass_daemon::rpc::Role;

/// Daemons asked at a time; a silent one holds a thread until its call ends.
const MAX_CONCURRENT_CALLS: usize = 32;

/// A daemon that the inventory lists.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Process {
    /// Name of the router, or of the target beside the side process.
    pub name: String,
    /// Router or side process.
    pub role: Role,
    /// Where its control calls go.
    pub control: SocketAddr,
}

/// Returns the daemons of an inventory, routers first.
pub fn processes(inventory: &Inventory) -> Vec<Process> {
    let routers = inventory.router.iter().map(|r| Process {
        name: r.name.clone(),
        role: Role::Router,
        control: r.control,
    });
    routers.chain(side_processes(inventory)).collect()
}

/// Returns the side processes of an inventory, in the order of the targets.
pub fn side_processes(inventory: &Inventory) -> impl Iterator<Item = Process> {
    inventory.target.iter().map(|t| Process {
        name: t.name.clone(),
        role: Role::Side,
        control: t.side_control,
    })
}

/// Asks all daemons side by side and returns the answers in their order.
pub fn query_all<T: Send>(processes: &[Process], ask: impl Fn(&Process) -> T + Sync) -> Vec<T> {
    let next = AtomicUsize::new(0);
    let work = || {
        let mut answers = Vec::new();
        loop {
            let n = next.fetch_add(1, Ordering::Relaxed);
            let Some(process) = processes.get(n) else {
                return answers;
            };
            answers.push((n, ask(process)));
        }
    };
    let mut answers: Vec<(usize, T)> = thread::scope(|scope| {
        let threads = MAX_CONCURRENT_CALLS.min(processes.len());
        let workers: Vec<_> = (0..threads).map(|_| scope.spawn(work)).collect();
        let results = workers.into_iter().map(|w| w.join());
        results.flatten().flatten().collect()
    });
    answers.sort_by_key(|(n, _)| *n);
    answers.into_iter().map(|(_, answer)| answer).collect()
}
