//! Fetches the configuration and the evacuated failure domains from other relays while the key-value
//! store does not answer this one. The store may turn away a few routers and serve all others.

use tokio::time::sleep;
use wisteriapass_coord::relay::RelayInfo;

use super::known::other_relays;
use super::messages::{UPDATE_PATH, UpdateAnswer, UpdateCall};
use super::updates::apply_configuration;
use crate::ledger::Role;
use crate::prelude::*;
use crate::rpc::deadline_in;

/// Interval between two requests, in milliseconds.
const POLL_MS: u64 = 400;

/// Age of the store's last answer above which other relays are asked, in milliseconds.
const STALE_MS: u64 = 1_300;

/// Time within which an answer has to start, in milliseconds.
const ANSWER_TIMEOUT_MS: u64 = 250;

/// Revision with which a call requests no targets: later than any change.
const NO_TARGETS: u64 = u64::MAX;

/// Polls the other relays in turn while this relay gets no updates from the store; never returns.
pub async fn poll_other_relays(gw: Rc<Gateway>) {
    let mut next_relay = 0;
    loop {
        sleep(Duration::from_millis(POLL_MS)).await;
        let is_stale = gw.store_liveness.staleness_ms(Instant::now()) > STALE_MS;
        if gw.ledger.role() == Role::Follower || !is_stale {
            continue;
        }
        let relays = other_relays(&gw);
        next_relay += 1;
        if let Some(relay) = relays.get(next_relay % relays.len().max(1)) {
            request_configuration(&gw, relay).await;
        }
    }
}

async fn request_configuration(gw: &Gateway, relay: &RelayInfo) {
    let call = UpdateCall {
        follower: gw.ledger.id(),
        version: gw.catalogue().map_or(0, |c| c.version),
        targets_at: NO_TARGETS,
        limits: Vec::new(),
        quarantine: gw.quarantine.call_for(relay.address, true),
    };
    let polled_at = Instant::now();
    let until = deadline_in(ANSWER_TIMEOUT_MS);
    let answer: Option<UpdateAnswer> = gw.rpc.call(relay.address, UPDATE_PATH, &call, until).await;
    let Some(answer) = answer else {
        return;
    };
    let (call, delta) = (&call.quarantine, &answer.quarantine);
    gw.quarantine.apply_answer(relay.address, call, delta);
    apply_configuration(gw, &relay.id, polled_at, &answer);
}
