//! Exchange of configuration documents with partners that have another revision.

use std::io;
use std::net::SocketAddr;

use flume::{Receiver, Sender};
use wisteriapass_coord::revision::ConfigRevision;

use crate::fleet::{ConfigInForce, Fleet};
use crate::prelude::*;
use crate::rpc::{CallError, ControlClient, HeartbeatAnswer, RpcClient};

/// Maximum number of queued transfers; a partner beyond it is handled at its next heartbeat.
const MAX_QUEUED: usize = 4;

/// One transfer of a document.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Transfer {
    /// From a partner at this address whose revision is higher than this one of ours.
    Fetch(SocketAddr, ConfigRevision),
    /// To a partner with a lower revision.
    Offer(SocketAddr),
}

/// Transfers documents between this process and its partners.
#[derive(Clone)]
pub struct DocumentSync {
    fleet: Arc<Fleet>,
    client: Arc<RpcClient>,
    config: Arc<ConfigInForce>,
    tx: Sender<Transfer>,
}

impl DocumentSync {
    /// Starts the transfers on their own thread. A document takes seconds on a slow link, and
    /// heartbeats delayed by it could make this process suspect.
    ///
    /// # Errors
    ///
    /// The system's error if the thread cannot be started.
    pub fn start(
        fleet: Arc<Fleet>,
        client: Arc<RpcClient>,
        config: Arc<ConfigInForce>,
    ) -> io::Result<Self> {
        let (tx, rx) = flume::bounded(MAX_QUEUED);
        let sync = Self {
            fleet,
            client,
            config,
            tx,
        };
        let worker = sync.clone();
        let builder = std::thread::Builder::new().name("catch-up".into());
        builder.spawn(move || worker.run(&rx))?;
        Ok(sync)
    }

    /// Queues fetching the document of a partner that has a higher revision.
    pub fn fetch(&self, address: SocketAddr) {
        self.enqueue(Transfer::Fetch(address, self.revision()));
    }

    /// Queues fetching the partner's document if its revision is higher, or offering ours if its
    /// revision has stayed lower.
    ///
    /// A partner with a lower revision fetches the document itself after our heartbeat. If it were
    /// offered at once, every process that heard of the edit first would send the document to it.
    pub fn sync_with(&self, address: SocketAddr, answer: &HeartbeatAnswer) {
        let own = self.revision();
        let partner = answer.from.revision;
        if partner > own {
            self.fetch(address);
        }
        if partner < own && self.fleet.was_notified(address, own) {
            self.enqueue(Transfer::Offer(address));
        }
    }

    fn revision(&self) -> ConfigRevision {
        ConfigRevision(self.config.revision())
    }

    fn enqueue(&self, transfer: Transfer) {
        if self.tx.try_send(transfer).is_err() {
            log::debug!(target: "fleet", "Too many documents queued. skipped={transfer:?}");
        }
    }

    fn run(&self, rx: &Receiver<Transfer>) {
        for transfer in rx {
            let result = match transfer {
                // Several partners may have a higher revision; one document is enough.
                Transfer::Fetch(_, known) if self.revision() > known => Ok(false),
                Transfer::Fetch(address, _) => fetch(&self.client, &self.config, address),
                Transfer::Offer(address) => self.offer(address),
            };
            match result {
                Ok(true) => self.fleet.request_heartbeats(),
                Ok(false) => {}
                Err(e) => {
                    log::warn!(
                        target: "fleet",
                        "Document not transferred. transfer={transfer:?} cause={e:?}"
                    );
                }
            }
        }
    }

    /// Offers our document; returns false because nothing changes here.
    fn offer(&self, address: SocketAddr) -> Result<bool, CallError> {
        let Some(config_document) = self.config.config_document() else {
            return Ok(false);
        };
        let text = config_document.text().to_string();
        self.client.call_for_document(address, |c| async move {
            ControlClient::offer(&c, text).await
        })?;
        Ok(false)
    }
}

/// Fetches a partner's document; returns whether it came into force here.
pub fn fetch(
    client: &RpcClient,
    config: &ConfigInForce,
    address: SocketAddr,
) -> Result<bool, CallError> {
    let text =
        client.call_for_document(
            address,
            |c| async move { ControlClient::document(&c).await },
        )?;
    Ok(text.is_some_and(|text| config.offer(&text)))
}
