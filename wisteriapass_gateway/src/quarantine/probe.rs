//! Finding out whether a target whose connection broke is gone.

use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;

use derive_more::Display;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use crate::dispatch::{connect_time, open};
use crate::pool::Sender;
use crate::prelude::*;
use crate::target::{TargetEntry, TargetKey};

/// Time for which a new connection has to stay open, in milliseconds: a process that ends may
/// still have one taken, and resets it a moment later. So does a target that has enough of them.
const STAYS_MS: u64 = 10;

/// Times that a connection is opened where it does not stay open, or is reset.
const MOST_OPENED: u32 = 3;

/// Time for which it is remembered that a target is gone, in milliseconds: requests that broke with
/// it are noticed within.
const GONE_MS: u64 = 500;

/// What a new connection says of a target.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum ProbeResult {
    /// It refuses: its process ended.
    #[display("gone")]
    Gone,
    /// It takes connections.
    #[display("lives")]
    Alive,
    /// It is silent (cut off, or its VM has no power), or takes no more connections.
    #[display("silent")]
    Unresponsive,
}

/// Waits for what a probe finds.
pub type Finding = watch::Receiver<Option<ProbeResult>>;

/// The probes that are under way, one of each target.
#[derive(Debug, Default)]
pub struct Probes {
    under_way: RefCell<HashMap<TargetKey, Finding>>,
}

impl Probes {
    /// Probes a target, unless that is under way.
    pub fn start(&self, gw: &Rc<Gateway>, key: TargetKey) -> Finding {
        let mut under_way = self.under_way.borrow_mut();
        if let Some(finding) = under_way.get(&key) {
            return finding.clone();
        }
        let (found, finding) = watch::channel(None);
        under_way.insert(key, finding.clone());
        let entry = gw.targets.borrow().get(key).map(|t| t.entry.clone());
        let gw = gw.clone();
        spawn_local(async move {
            let probed = match entry {
                Some(entry) => probe(&gw, key, &entry).await,
                None => ProbeResult::Unresponsive,
            };
            found.send_replace(Some(probed));
            if probed == ProbeResult::Gone {
                sleep(Duration::from_millis(GONE_MS)).await;
            }
            gw.probes.under_way.borrow_mut().remove(&key);
        });
        finding
    }
}

/// Opens a connection to a target, which is kept for the next request if it stays open.
async fn probe(gw: &Gateway, key: TargetKey, entry: &TargetEntry) -> ProbeResult {
    let probed = open_anew(gw, key, entry.address).await;
    if probed == ProbeResult::Gone {
        gw.metrics.target_died();
        if let Some(target) = gw.targets.borrow().get(key) {
            target.suspect_restart(Instant::now());
        }
    }
    log::info!(target: "quarantine", "Connection broke. target={} found={probed}", entry.id);
    probed
}

async fn open_anew(gw: &Gateway, key: TargetKey, address: SocketAddr) -> ProbeResult {
    for _ in 0..MOST_OPENED {
        let opened = timeout(connect_time(gw), open(address)).await;
        match opened {
            Ok(Ok(sender)) => {
                sleep(Duration::from_millis(STAYS_MS)).await;
                if !sender.is_closed() {
                    keep(gw, key, sender);
                    return ProbeResult::Alive;
                }
            }
            Ok(Err(e)) if e.kind() == ErrorKind::ConnectionRefused => return ProbeResult::Gone,
            Ok(Err(_)) => sleep(Duration::from_millis(STAYS_MS)).await,
            Err(_) => return ProbeResult::Unresponsive,
        }
    }
    ProbeResult::Unresponsive
}

fn keep(gw: &Gateway, key: TargetKey, sender: Sender) {
    if let Some(target) = gw.targets.borrow().get(key) {
        target.pool.borrow_mut().put(sender, Instant::now(), None);
    }
}
