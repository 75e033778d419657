//! Whether this router is a relay or follows one.

use super::follower::{find_relays, follow_relays};
use super::relay::be_relay;
use crate::prelude::*;

/// Keeps this router in the role that its failure domain needs; never ends.
pub async fn run_role(gw: Rc<Gateway>) {
    // One whose VM held shares goes on at once: what its predecessor left sealed can be proved
    // whole for a short time only.
    let mut known = if find_relays(&gw).await {
        gw.ledger.unknown()
    } else {
        follow_relays(&gw).await
    };
    loop {
        be_relay(&gw, known).await;
        known = follow_relays(&gw).await;
    }
}
