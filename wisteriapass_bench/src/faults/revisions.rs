//! Watching which configuration each daemon has in force.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use wisteriapass_daemon::rpc::{ControlClient, RpcClient};

use super::facts::Rollback;
use crate::fleet::Fleet;

/// Time between two looks at a daemon, in milliseconds.
const LOOK_MS: u64 = 100;

/// Revision of a daemon that has no configuration yet.
const NONE: u64 = 0;

/// Watches all daemons until it is told to end.
#[derive(Debug, Default)]
pub(super) struct Revisions {
    is_over: AtomicBool,
    reverted: Mutex<Vec<Rollback>>,
}

impl Revisions {
    /// Watches the daemons until [`Self::end`], with a thread each as a paused one holds its up.
    pub fn watch(&self, fleet: &Fleet) {
        let inventory = fleet.document().inventory;
        let routers = inventory.router.iter().map(|r| (&r.name, r.control));
        let sides = inventory.target.iter().map(|t| (&t.name, t.side_control));
        std::thread::scope(|s| {
            for (name, control) in routers.chain(sides) {
                s.spawn(move || self.watch_one(name, control));
            }
        });
    }

    /// Ends the watching.
    pub fn end(&self) {
        self.is_over.store(true, Ordering::Relaxed);
    }

    /// Returns which daemons went back.
    pub fn reverted(&self) -> Vec<Rollback> {
        self.reverted.lock().clone()
    }

    fn watch_one(&self, daemon: &str, control: SocketAddr) {
        let Ok(caller) = RpcClient::new() else {
            return;
        };
        let mut last = NONE;
        while !self.is_over.load(Ordering::Relaxed) {
            let status = caller.call(control, |c| async move { ControlClient::status(&c).await });
            let revision = status.map_or(NONE, |s| s.revision);
            if revision != NONE {
                self.note(daemon, last, revision);
                last = revision;
            }
            std::thread::sleep(Duration::from_millis(LOOK_MS));
        }
    }

    fn note(&self, daemon: &str, from: u64, to: u64) {
        if to < from {
            self.reverted.lock().push(Rollback {
                daemon: daemon.into(),
                from,
                to,
            });
        }
    }
}
