//! Asking other relays which failure domains are evacuated, while the key-value service is silent.

use tokio::time::sleep;

use crate::call::within;
use crate::evacuations::Evacuations;
use crate::ledger::Role;
use crate::prelude::*;

/// Path of the question.
pub const EVACUATIONS: &str = "/relay/evacuations";

/// Time between two questions, in milliseconds.
const ASK_MS: u64 = 400;

/// Age of the service's news from which on others are asked, in milliseconds.
const OLD_MS: u64 = 1_300;

/// Longest wait for an answer to begin, in milliseconds.
const PATIENCE_MS: u64 = 250;

/// Asks other relays in turn while this one hears nothing of the service; never ends.
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
        let told: Option<Evacuations> = gw.caller.call(relay.at, EVACUATIONS, &(), until).await;
        if let Some(told) = told {
            gw.set_evacuations(told);
        }
    }
}
