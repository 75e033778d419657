//! Fetches the evacuated failure domains from other relays while the key-value store does not
//! answer.

use tokio::time::sleep;

use crate::call::within;
use crate::evacuations::Evacuations;
use crate::ledger::Role;
use crate::prelude::*;

/// Path of a request for the evacuated failure domains.
pub const EVACUATIONS_PATH: &str = "/relay/evacuations";

/// Interval between two requests, in milliseconds.
const ASK_MS: u64 = 400;

/// Age of the store's last answer above which other relays are asked, in milliseconds.
const OLD_MS: u64 = 1_300;

/// Time within which an answer has to start, in milliseconds.
const PATIENCE_MS: u64 = 250;

/// Polls the other relays in turn while this relay gets no updates from the store; never returns.
pub async fn poll_evacuations(gw: Rc<Gateway>) {
    let mut turn = 0;
    loop {
        sleep(Duration::from_millis(ASK_MS)).await;
        let is_old = gw.touch.news_age_ms(Instant::now()) > OLD_MS;
        if gw.ledger.role() == Role::Follower || !is_old {
            continue;
        }
        let me = gw.ledger.id();
        let mut relays = gw.ledger.relays();
        relays.retain(|relay| relay.id != me);
        turn += 1;
        let Some(relay) = relays.get(turn % relays.len().max(1)) else {
            continue;
        };
        let until = within(PATIENCE_MS);
        let told: Option<Evacuations> =
            gw.caller.call(relay.at, EVACUATIONS_PATH, &(), until).await;
        if let Some(told) = told {
            gw.set_evacuations(told);
        }
    }
}
