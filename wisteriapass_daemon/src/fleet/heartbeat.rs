//! Heartbeats to partners, and catching up with those who have another revision.

use std::net::SocketAddr;

use flume::RecvTimeoutError;
use wisteriapass_coord::revision::ConfigRevision;

use crate::fleet::{Fleet, InForce};
use crate::prelude::*;
use crate::rpc::{CallError, Caller, ControlClient, HeartbeatAnswer};

/// Keeps exchanging heartbeats, one round a period and one whenever there is news.
pub fn keep_beating(fleet: &Arc<Fleet>, caller: &Arc<Caller>, config: &Arc<InForce>) {
    loop {
        let started_at = Instant::now();
        if let Some(address) = fleet.take_ahead()
            && let Err(e) = fetch(caller, config, address)
        {
            log::warn!(target: "fleet", "Cannot catch up. address={address} cause={e:?}");
        }
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
        if let Err(e) = catch_up(fleet, caller, config, *address, answer) {
            log::warn!(target: "fleet", "Cannot catch up. address={address} cause={e:?}");
        }
    }
    answers
}

/// Fetches the partner's document if it is ahead, and offers ours if it is behind for long.
///
/// A partner that is behind fetches by itself once it has our heartbeat. Offering at once would
/// send it the document from everybody who heard of the edit before it.
fn catch_up(
    fleet: &Fleet,
    caller: &Caller,
    config: &InForce,
    address: SocketAddr,
    answer: &HeartbeatAnswer,
) -> Result<(), CallError> {
    let own = ConfigRevision(config.revision());
    if answer.from.revision > own {
        return fetch(caller, config, address);
    }
    if answer.from.revision < own
        && fleet.was_told(address, own)
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

fn fetch(caller: &Caller, config: &InForce, address: SocketAddr) -> Result<(), CallError> {
    let text = caller.call(
        address,
        |c| async move { ControlClient::document(&c).await },
    )?;
    if let Some(text) = text {
        config.offer(&text);
    }
    Ok(())
}
