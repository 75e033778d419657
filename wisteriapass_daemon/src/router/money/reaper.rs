//! Fencing routers whose lease lapsed, and taking back what they did not spend.
//!
//! One router does this for all; if two do, nothing is done twice.

use std::collections::BTreeMap;

use wisteriapass_coord::budget::{LedgerError, Origin};
use wisteriapass_coord::fence::{
    FenceList, Registration, Registry, RetirementDecision, SideAck, decide_retirement,
};
use wisteriapass_coord::store::Result;

use crate::router::MoneyManager;
use crate::router::money::lease::Lease;
use crate::rpc::SideControlClient;

impl MoneyManager {
    /// Looks for dead routers, if it falls to this one.
    pub(super) fn fence_dead_routers(&self, lease: Option<Lease>) -> Result<()> {
        let registry = Registry::new(self.store.as_ref());
        let own = self.origin();
        let Some(lease) = lease else {
            return Ok(());
        };
        if !registry.try_become_reaper(own, lease.id)? {
            return Ok(());
        }
        let mut suspects = registry.suspects()?;
        suspects.remove(&own);
        if suspects.is_empty() {
            return Ok(());
        }
        let sides = registry.sides()?;
        for (origin, registered) in suspects {
            self.fence(origin, &registered, &sides)?;
        }
        Ok(())
    }

    /// Fences one origin, as far as it goes now.
    fn fence(
        &self,
        origin: Origin,
        registered: &Registration,
        sides: &BTreeMap<String, Registration>,
    ) -> Result<()> {
        FenceList::add(self.store.as_ref(), origin)?;
        let document = self.peers.document();
        let in_force: Vec<&str> = document
            .inventory
            .target
            .iter()
            .map(|t| t.name.as_str())
            .collect();
        let acks = self.ask_sides(origin, sides);
        let proof = match decide_retirement(registered.revision, sides, &in_force, &acks) {
            RetirementDecision::Retire(proof) => proof,
            RetirementDecision::Wait { side } => {
                log::info!(target: "money", "A fence waits. origin={origin} side={side}");
                return Ok(());
            }
        };
        let journal = self.journal();
        match self.ledger(&journal).retire(origin, &proof) {
            Ok(retired) => {
                log::warn!(
                    target: "money",
                    "Retired a dead router's money. origin={origin} recovered={} stranded={}",
                    retired.recovered,
                    retired.stranded
                );
            }
            Err(LedgerError::Store(e)) => return Err(e),
            Err(e) => {
                log::error!(target: "money", "Cannot retire. origin={origin} cause={e}");
                return Ok(());
            }
        }
        Registry::new(self.store.as_ref()).remove_origin(origin)
    }

    /// Asks the registered side processes in force to refuse an origin.
    fn ask_sides(
        &self,
        origin: Origin,
        sides: &BTreeMap<String, Registration>,
    ) -> BTreeMap<String, SideAck> {
        let document = self.peers.document();
        let in_force = document.inventory.target.iter();
        let mut acks = BTreeMap::new();
        for target in in_force.filter(|t| sides.contains_key(&t.name)) {
            let ack =
                self.peers.caller().call(
                    target.side_control,
                    |c| async move { c.fence(origin).await },
                );
            if let Ok(ack) = ack {
                acks.insert(target.name.clone(), ack);
            }
        }
        acks
    }
}
