//! The relays that this router knows.

use smallvec::SmallVec;
use wisteriapass_coord::relay::{KnownRelay, RelayInfo};

use crate::ledger::Role;
use crate::prelude::*;

/// Returns all relays, including this router if it is one.
pub fn known_relays(gw: &Gateway) -> SmallVec<[RelayInfo; 8]> {
    if gw.ledger.role() == Role::Relay {
        return gw.ledger.relays().into();
    }
    let roster = gw.ledger.roster.borrow();
    roster.relays().map(KnownRelay::info).collect()
}

/// Returns all relays but this router.
pub fn other_relays(gw: &Gateway) -> SmallVec<[RelayInfo; 8]> {
    let me = gw.ledger.id();
    let mut relays = known_relays(gw);
    relays.retain(|relay| relay.id != me);
    relays
}
