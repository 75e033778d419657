//! Probes targets whose connection broke, to find out whether they died.

use std::collections::HashMap;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;

use derive_more::Display;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use crate::dispatch::{connect_timeout, start_http};
use crate::pool::Connection;
use crate::prelude::*;
use crate::stable_connection::{STABLE_MS, stay_open};
use crate::target::{TargetEntry, TargetKey};

/// Number of connection attempts if a connection is reset or does not stay open.
const MAX_ATTEMPTS: u32 = 3;

/// Time for which a dead target is remembered, in milliseconds: requests that broke with it are
/// noticed within this time.
const DEAD_MEMORY_MS: u64 = 500;

/// The result of a probe.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum ProbeResult {
    /// The target refuses connections: its process ended.
    #[display("gone")]
    Gone,
    /// The target accepts connections.
    #[display("lives")]
    Alive,
    /// The target resets each new connection: it lives and accepts no more of them.
    #[display("saturated")]
    Saturated,
    /// The target does not respond (network partition, or its VM is powered off).
    #[display("silent")]
    Unresponsive,
}

/// Receives the result of a probe.
type ProbeReceiver = watch::Receiver<Option<ProbeResult>>;

/// The probes in progress, at most one for each target.
#[derive(Debug, Default)]
pub struct Probes {
    in_progress: RefCell<HashMap<TargetKey, ProbeReceiver>>,
}

impl Probes {
    /// Determines the state of a target after one of its connections ended.
    pub async fn find_state(&self, gw: &Rc<Gateway>, key: TargetKey) -> ProbeResult {
        let earlier = self.in_progress.borrow().get(&key).cloned();
        if let Some(earlier) = earlier {
            // Other results may be older than the end of that connection.
            let result = wait_for_result(earlier).await;
            if result == ProbeResult::Gone {
                return result;
            }
        }
        wait_for_result(self.start(gw, key)).await
    }

    /// Probes a target, or joins a probe of it that is in progress.
    fn start(&self, gw: &Rc<Gateway>, key: TargetKey) -> ProbeReceiver {
        let mut in_progress = self.in_progress.borrow_mut();
        if let Some(receiver) = in_progress.get(&key) {
            return receiver.clone();
        }
        let (sender, receiver) = watch::channel(None);
        in_progress.insert(key, receiver.clone());
        let entry = gw.targets.borrow().get(key).map(|t| t.entry.clone());
        let gw = gw.clone();
        spawn_local(async move {
            let result = match entry {
                Some(entry) => probe(&gw, key, &entry).await,
                None => ProbeResult::Unresponsive,
            };
            sender.send_replace(Some(result));
            if result == ProbeResult::Gone {
                sleep(Duration::from_millis(DEAD_MEMORY_MS)).await;
            }
            gw.probes.in_progress.borrow_mut().remove(&key);
        });
        receiver
    }
}

/// Waits for the result of a probe.
async fn wait_for_result(mut receiver: ProbeReceiver) -> ProbeResult {
    // An error means that the router is shutting down.
    let result = receiver.wait_for(Option::is_some).await;
    result.map_or(ProbeResult::Unresponsive, |result| {
        result.unwrap_or(ProbeResult::Unresponsive)
    })
}

/// Opens a connection to a target; if it stays open, it is added to the target's pool.
async fn probe(gw: &Gateway, key: TargetKey, entry: &TargetEntry) -> ProbeResult {
    let result = open_connection(gw, key, entry.address).await;
    if result == ProbeResult::Gone {
        gw.metrics.count_target_death();
        if let Some(target) = gw.targets.borrow().get(key) {
            target.suspect_restart(Instant::now());
        }
    }
    log::info!(target: "quarantine", "Connection broke. target={} found={result}", entry.id);
    result
}

async fn open_connection(gw: &Gateway, key: TargetKey, address: SocketAddr) -> ProbeResult {
    let mut result = ProbeResult::Saturated;
    for _ in 0..MAX_ATTEMPTS {
        match timeout(connect_timeout(gw), open_stable(address)).await {
            Ok(Ok(connection)) => {
                add_to_pool(gw, key, connection);
                return ProbeResult::Alive;
            }
            Ok(Err(e)) if e.kind() == ErrorKind::ConnectionRefused => return ProbeResult::Gone,
            Ok(Err(e)) if e.kind() == ErrorKind::ConnectionReset => {}
            Ok(Err(_)) => result = ProbeResult::Unresponsive,
            Err(_) => return ProbeResult::Unresponsive,
        }
        sleep(Duration::from_millis(STABLE_MS)).await;
    }
    result
}

/// Opens a connection that stays open for a while.
async fn open_stable(address: SocketAddr) -> io::Result<Connection> {
    let stream = TcpStream::connect(address).await?;
    stay_open(&stream).await?;
    start_http(stream).await
}

fn add_to_pool(gw: &Gateway, key: TargetKey, connection: Connection) {
    if let Some(target) = gw.targets.borrow().get(key) {
        target
            .pool
            .borrow_mut()
            .put(connection, Instant::now(), None);
    }
}
