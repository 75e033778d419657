//! Watches which configuration revision each daemon has in force.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use wisteriapass_daemon::rpc::{ControlClient, RpcClient};

use super::observations::Rollback;
use crate::fleet::Fleet;

/// Interval at which each daemon is polled, in milliseconds.
const POLL_INTERVAL_MS: u64 = 100;

/// Revision of a daemon that has no configuration yet.
const NO_REVISION: u64 = 0;

/// Polls all daemons until it is stopped, and records rollbacks to an older revision.
#[derive(Debug, Default)]
pub(super) struct RevisionWatcher {
    is_stopped: AtomicBool,
    rollbacks: Mutex<Vec<Rollback>>,
}

impl RevisionWatcher {
    /// Watches the daemons until [`Self::stop`], each in its own thread because a call to a paused
    /// daemon blocks.
    pub fn watch(&self, fleet: &Fleet) {
        let inventory = fleet.document().inventory;
        let routers = inventory.router.iter().map(|r| (&r.name, r.control));
        let sides = inventory.target.iter().map(|t| (&t.name, t.side_control));
        std::thread::scope(|s| {
            for (name, control) in routers.chain(sides) {
                s.spawn(move || self.watch_daemon(name, control));
            }
        });
    }

    /// Stops watching.
    pub fn stop(&self) {
        self.is_stopped.store(true, Ordering::Relaxed);
    }

    /// Returns the rollbacks seen so far.
    pub fn rollbacks(&self) -> Vec<Rollback> {
        self.rollbacks.lock().clone()
    }

    fn watch_daemon(&self, daemon: &str, control: SocketAddr) {
        let Ok(client) = RpcClient::new() else {
            return;
        };
        let mut last = NO_REVISION;
        while !self.is_stopped.load(Ordering::Relaxed) {
            let status = client.call(control, |c| async move { ControlClient::status(&c).await });
            let revision = status.map_or(NO_REVISION, |s| s.revision);
            if revision != NO_REVISION {
                self.record(daemon, last, revision);
                last = revision;
            }
            std::thread::sleep(Duration::from_millis(POLL_INTERVAL_MS));
        }
    }

    fn record(&self, daemon: &str, from: u64, to: u64) {
        if to < from {
            self.rollbacks.lock().push(Rollback {
                daemon: daemon.into(),
                from,
                to,
            });
        }
    }
}
