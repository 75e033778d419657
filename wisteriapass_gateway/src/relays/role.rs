//! Switches this router between the roles of relay and follower.

use super::follower::{follow_relays, load_relays};
use super::relay::run_relay;
use crate::prelude::*;

/// Keeps this router in the role that its failure domain needs; never returns.
pub async fn run_role(gw: Rc<Gateway>) {
    // If this VM held shares, the router resumes as a relay at once: only for a short time can it
    // prove that its predecessor left the sealed part unspent.
    let mut known = if load_relays(&gw).await {
        gw.ledger.unknown_records()
    } else {
        follow_relays(&gw).await
    };
    loop {
        run_relay(&gw, known).await;
        known = follow_relays(&gw).await;
    }
}
