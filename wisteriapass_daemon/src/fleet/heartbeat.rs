//! Heartbeats to partners.

use std::net::SocketAddr;

use flume::RecvTimeoutError;

use crate::fleet::{DocumentSync, Fleet};
use crate::prelude::*;
use crate::rpc::{ControlClient, HeartbeatAnswer, RpcClient};

/// Keeps exchanging heartbeats, one round a period and one whenever there is news.
pub fn run_heartbeats(fleet: &Arc<Fleet>, caller: &RpcClient, catch_up: &DocumentSync) {
    loop {
        let started_at = Instant::now();
        if let Some(address) = fleet.take_newer_sender() {
            catch_up.fetch(address);
        }
        fleet.apply_config();
        let partners = fleet.partners();
        for (address, answer) in exchange_heartbeats(fleet, caller, &partners.addresses()) {
            catch_up.sync_with(address, &answer);
        }
        let next_at = started_at + partners.period();
        match fleet.heartbeat_requests().recv_deadline(next_at) {
            Ok(()) | Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
    }
}

/// Exchanges a heartbeat with each address; returns the answers.
pub fn exchange_heartbeats(
    fleet: &Arc<Fleet>,
    caller: &RpcClient,
    addresses: &[SocketAddr],
) -> Vec<(SocketAddr, HeartbeatAnswer)> {
    let beat = fleet.heartbeat(Instant::now());
    let call = move |client| {
        let beat = beat.clone();
        async move { ControlClient::heartbeat(&client, beat).await }
    };
    let mut answers = Vec::new();
    caller.call_all(addresses, call, |address, result| match result {
        Ok(answer) => {
            fleet.handle_answer(&answer, Instant::now());
            answers.push((address, answer));
        }
        Err(e) => log::debug!(target: "fleet", "No heartbeat. address={address} cause={e:?}"),
    });
    answers
}
