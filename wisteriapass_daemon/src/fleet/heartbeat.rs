//! Exchange of heartbeats with partners.

use std::net::SocketAddr;

use flume::RecvTimeoutError;

use crate::fleet::{DocumentSync, Fleet};
use crate::prelude::*;
use crate::rpc::{ControlClient, HeartbeatAnswer, RpcClient};

/// Exchanges heartbeats with the partners: one round per period, and one whenever it is requested.
pub fn run_heartbeats(fleet: &Arc<Fleet>, client: &RpcClient, sync: &DocumentSync) {
    loop {
        let started_at = Instant::now();
        if let Some(address) = fleet.take_newer_sender() {
            sync.fetch(address);
        }
        fleet.apply_config();
        let partners = fleet.partners();
        for (address, answer) in exchange_heartbeats(fleet, client, &partners.addresses()) {
            sync.sync_with(address, &answer);
        }
        let next_at = started_at + partners.period();
        match fleet.heartbeat_requests().recv_deadline(next_at) {
            Ok(()) | Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
    }
}

/// Exchanges a heartbeat with the process at each address; returns the answers.
pub fn exchange_heartbeats(
    fleet: &Arc<Fleet>,
    client: &RpcClient,
    addresses: &[SocketAddr],
) -> Vec<(SocketAddr, HeartbeatAnswer)> {
    let heartbeat = fleet.heartbeat(Instant::now());
    let call = move |client| {
        let heartbeat = heartbeat.clone();
        async move { ControlClient::heartbeat(&client, heartbeat).await }
    };
    let mut answers = Vec::new();
    client.call_all(addresses, call, |address, result| match result {
        Ok(answer) => {
            fleet.handle_answer(&answer, Instant::now());
            answers.push((address, answer));
        }
        Err(e) => {
            log::debug!(target: "fleet", "No heartbeat answer. address={address} cause={e:?}");
        }
    });
    answers
}
