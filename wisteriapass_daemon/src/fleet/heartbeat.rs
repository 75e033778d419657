//! Heartbeats to partners, and catching up with those who have another revision.

use std::net::SocketAddr;

use flume::RecvTimeoutError;

use crate::fleet::{Fleet, InForce};
use crate::prelude::*;
use crate::rpc::{CallError, Caller, ControlClient, HeartbeatAnswer};

/// Keeps exchanging heartbeats, one round a period and one whenever there is news.
pub fn keep_beating(fleet: &Arc<Fleet>, caller: &Arc<Caller>, config: &Arc<InForce>) {
    loop {
        let started_at = Instant::now();
        fleet.plan();
        let partners = fleet.partners();
        beat(fleet, caller, config, &partners.addresses());
        let next_at = started_at + partners.period();
        match fleet.news().recv_deadline(next_at) {
            Ok(()) | Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
    }
}

/// Exchanges a heartbeat with each address; returns the answers.
pub fn beat(
    fleet: &Arc<Fleet>,
    caller: &Caller,
    config: &InForce,
    addresses: &[SocketAddr],
) -> Vec<(SocketAddr, HeartbeatAnswer)> {
    let beat = fleet.heartbeat(Instant::now());
    let call = move |client| {
        let beat = beat.clone();
        async move { ControlClient::heartbeat(&client, beat).await }
    };
    let mut answers = Vec::new();
    caller.call_each(addresses, call, |address, result| match result {
        Ok(answer) => {
            fleet.answered(&answer, Instant::now());
            answers.push((address, answer));
        }
        Err(e) => log::debug!(target: "fleet", "No heartbeat. address={address} cause={e:?}"),
    });
    for (address, answer) in &answers {
        if let Err(e) = catch_up(caller, config, *address, answer) {
            log::warn!(target: "fleet", "Cannot catch up. address={address} cause={e:?}");
        }
    }
    answers
}

/// Fetches the partner's document if it is ahead, and offers ours if it is behind.
fn catch_up(
    caller: &Caller,
    config: &InForce,
    address: SocketAddr,
    answer: &HeartbeatAnswer,
) -> Result<(), CallError> {
    let theirs = answer.from.revision.0;
    if theirs > config.revision() {
        let text = caller.call(
            address,
            |c| async move { ControlClient::document(&c).await },
        )?;
        if let Some(text) = text {
            config.offer(&text);
        }
    } else if theirs < config.revision()
        && let Some(held) = config.held()
    {
        let text = held.text().to_string();
        caller.call(
            address,
            |c| async move { ControlClient::offer(&c, text).await },
        )?;
    }
    Ok(())
}
