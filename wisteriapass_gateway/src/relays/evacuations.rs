//! Fetches the evacuated failure domains from other relays while the key-value store does not
//! answer.

use tokio::time::sleep;

use crate::evacuations::Evacuations;
use crate::ledger::Role;
use crate::prelude::*;
use crate::rpc::deadline_in;

/// Path of a request for the evacuated failure domains.
pub const EVACUATIONS_PATH: &str = "/relay/evacuations";

/// Interval between two requests, in milliseconds.
const POLL_MS: u64 = 400;

/// Age of the store's last answer above which other relays are asked, in milliseconds.
const STALE_MS: u64 = 1_300;

/// Time within which an answer has to start, in milliseconds.
const ANSWER_TIMEOUT_MS: u64 = 250;

/// Polls the other relays in turn while this relay gets no updates from the store; never returns.
pub async fn poll_evacuations(gw: Rc<Gateway>) {
    let mut next_relay = 0;
    loop {
        sleep(Duration::from_millis(POLL_MS)).await;
        let is_stale = gw.store_liveness.staleness_ms(Instant::now()) > STALE_MS;
        if gw.ledger.role() == Role::Follower || !is_stale {
            continue;
        }
        let me = gw.ledger.id();
        let mut relays = gw.ledger.relays();
        relays.retain(|relay| relay.id != me);
        next_relay += 1;
        let Some(relay) = relays.get(next_relay % relays.len().max(1)) else {
            continue;
        };
        let until = deadline_in(ANSWER_TIMEOUT_MS);
        let received: Option<Evacuations> = gw
            .rpc
            .call(relay.address, EVACUATIONS_PATH, &(), until)
            .await;
        if let Some(received) = received {
            gw.set_evacuations(received);
        }
    }
}
