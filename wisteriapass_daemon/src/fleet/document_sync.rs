//! Catching up with partners that have another revision.

use std::io;
use std::net::SocketAddr;

use flume::{Receiver, Sender};
use wisteriapass_coord::revision::ConfigRevision;

use crate::fleet::{ConfigInForce, Fleet};
use crate::prelude::*;
use crate::rpc::{CallError, ControlClient, HeartbeatAnswer, RpcClient};

/// Partners that wait for their turn; more are met again with their next heartbeat.
const WAITING: usize = 4;

/// Which way a document goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// From a partner that is ahead of this revision of ours.
    Fetch(SocketAddr, ConfigRevision),
    /// To one that is behind.
    Offer(SocketAddr),
}

/// Moves documents between this process and its partners.
#[derive(Clone)]
pub struct DocumentSync {
    fleet: Arc<Fleet>,
    caller: Arc<RpcClient>,
    config: Arc<ConfigInForce>,
    tx: Sender<Step>,
}

impl DocumentSync {
    /// Starts a thread of its own for it: a document takes seconds on a slow link, and heartbeats
    /// that wait for it could make this process suspect.
    ///
    /// # Errors
    ///
    /// The system's error if the thread cannot be started.
    pub fn start(
        fleet: Arc<Fleet>,
        caller: Arc<RpcClient>,
        config: Arc<ConfigInForce>,
    ) -> io::Result<Self> {
        let (tx, rx) = flume::bounded(WAITING);
        let catch_up = Self {
            fleet,
            caller,
            config,
            tx,
        };
        let worker = catch_up.clone();
        let builder = std::thread::Builder::new().name("catch-up".into());
        builder.spawn(move || worker.work(&rx))?;
        Ok(catch_up)
    }

    /// Fetches the document of a partner that is ahead, soon.
    pub fn fetch(&self, address: SocketAddr) {
        self.plan(Step::Fetch(address, self.revision()));
    }

    /// Fetches the partner's document if it is ahead, and offers ours if it is behind for long.
    ///
    /// A partner that is behind fetches by itself once it has our heartbeat. Offering at once would
    /// send it the document from everybody who heard of the edit before it.
    pub fn sync_with(&self, address: SocketAddr, answer: &HeartbeatAnswer) {
        let own = self.revision();
        let partner = answer.from.revision;
        if partner > own {
            self.fetch(address);
        }
        if partner < own && self.fleet.was_notified(address, own) {
            self.plan(Step::Offer(address));
        }
    }

    fn revision(&self) -> ConfigRevision {
        ConfigRevision(self.config.revision())
    }

    fn plan(&self, step: Step) {
        if self.tx.try_send(step).is_err() {
            log::debug!(target: "fleet", "Too many documents under way. left_out={step:?}");
        }
    }

    fn work(&self, rx: &Receiver<Step>) {
        for step in rx {
            let done = match step {
                // Several partners may be ahead; the first that answers brings what all have.
                Step::Fetch(_, behind) if self.revision() > behind => Ok(false),
                Step::Fetch(address, _) => fetch(&self.caller, &self.config, address),
                Step::Offer(address) => self.offer(address),
            };
            match done {
                Ok(true) => self.fleet.request_heartbeats(),
                Ok(false) => {}
                Err(e) => log::warn!(target: "fleet", "Cannot catch up. step={step:?} cause={e:?}"),
            }
        }
    }

    /// Offers our document; nothing new comes of it here.
    fn offer(&self, address: SocketAddr) -> Result<bool, CallError> {
        let Some(held) = self.config.held() else {
            return Ok(false);
        };
        let text = held.text().to_string();
        self.caller.call_for_document(address, |c| async move {
            ControlClient::offer(&c, text).await
        })?;
        Ok(false)
    }
}

/// Fetches a partner's document; returns whether it is in force here from now on.
pub fn fetch(
    caller: &RpcClient,
    config: &ConfigInForce,
    address: SocketAddr,
) -> Result<bool, CallError> {
    let text =
        caller.call_for_document(
            address,
            |c| async move { ControlClient::document(&c).await },
        )?;
    Ok(text.is_some_and(|text| config.offer(&text)))
}
