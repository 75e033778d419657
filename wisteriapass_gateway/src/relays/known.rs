//! The relays that this router knows.

use std::net::SocketAddr;

use smallvec::SmallVec;
use wisteriapass_coord::prepaid::{DomainId, HolderId};
use wisteriapass_coord::relay::RelayInfo;
use wisteriapass_policy::placement::hash_name;
use wisteriapass_policy::rendezvous::rank;

use crate::ledger::Role;
use crate::prelude::*;

/// A relay.
#[derive(Clone, Debug)]
pub struct KnownPeer {
    /// Its VM.
    pub id: HolderId,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainId,
}

impl KnownPeer {
    /// Returns its place in an order of the relays that is specific to a router.
    pub fn rank_for(&self, router: &str) -> (u64, u64) {
        rank(hash_name(router), hash_name(&self.id.0))
    }
}

impl From<RelayInfo> for KnownPeer {
    fn from(relay: RelayInfo) -> Self {
        Self {
            id: relay.id,
            address: relay.address,
            domain: relay.domain,
        }
    }
}

/// Returns all relays, including this router if it is one.
pub fn known_relays(gw: &Gateway) -> SmallVec<[KnownPeer; 8]> {
    if gw.ledger.role() == Role::Relay {
        let recorded = gw.ledger.relays().into_iter();
        return recorded.map(KnownPeer::from).collect();
    }
    let roster = gw.ledger.roster.borrow();
    let relays = roster.relays().map(|relay| KnownPeer {
        id: relay.id.clone(),
        address: relay.address,
        domain: relay.domain(),
    });
    relays.collect()
}
