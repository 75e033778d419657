//! Relays that may be coordinators of failure domains.

use std::collections::HashMap;

use wisteriapass_coord::prepaid::DomainId;
use wisteriapass_coord::relay::RelayInfo;
use wisteriapass_policy::rotation::RelayCandidate;

use crate::prelude::*;
use crate::relays::known_relays;

/// The relays of a failure domain, in the order in which they become coordinator.
#[derive(Debug, Default)]
pub struct DomainRelays {
    /// The relays in order.
    pub in_order: Vec<RelayCandidate>,
    infos: HashMap<String, RelayInfo>,
}

impl DomainRelays {
    /// Returns the relays of this router's failure domain.
    pub fn own(gw: &Gateway) -> Self {
        let own = DomainId::new(&gw.settings.failure_domain);
        let relays = known_relays(gw).into_iter().filter(|r| r.domain == own);
        Self::new(gw, relays.collect())
    }

    /// Returns the relays of each other failure domain.
    pub fn of_others(gw: &Gateway) -> Vec<Self> {
        let own = DomainId::new(&gw.settings.failure_domain);
        let mut domains: HashMap<DomainId, Vec<RelayInfo>> = HashMap::new();
        for relay in known_relays(gw).into_iter().filter(|r| r.domain != own) {
            domains.entry(relay.domain).or_default().push(relay);
        }
        domains.into_values().map(|r| Self::new(gw, r)).collect()
    }

    fn new(gw: &Gateway, relays: Vec<RelayInfo>) -> Self {
        let candidate = |relay: &RelayInfo| RelayCandidate {
            name: relay.id.0.clone(),
            is_strong: gw.ledger.is_strong_relay(&relay.id),
        };
        let in_order = RelayCandidate::in_order(relays.iter().map(candidate).collect());
        let infos = relays.into_iter().map(|r| (r.id.0.clone(), r));
        Self {
            in_order,
            infos: infos.collect(),
        }
    }

    /// Returns what is known of a relay.
    pub fn info(&self, name: &str) -> Option<&RelayInfo> {
        self.infos.get(name)
    }

    /// Returns the names of the relays that were live a short time ago.
    pub fn live(&self) -> Vec<String> {
        let live = self.infos.values().filter(|r| r.is_live);
        live.map(|r| r.id.0.clone()).collect()
    }
}
