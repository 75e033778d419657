//! Fences routers whose lease expired, and recovers the money that they did not spend.
//!
//! One router, the reaper, does this for the fleet; if two do, the repeated steps have no effect.

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
    /// Fences dead routers, if this router is the reaper.
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

    /// Fences an origin and retires its money, as far as the side processes have confirmed it.
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
        let acks = self.fence_at_sides(origin, sides);
        let proof = match decide_retirement(registered.revision, sides, &in_force, &acks) {
            RetirementDecision::Retire(proof) => proof,
            RetirementDecision::Wait { side } => {
                log::info!(
                    target: "money",
                    "A fence waits for a side process. origin={origin} side={side}"
                );
                return Ok(());
            }
        };
        let journal = self.journal();
        match self.ledger(&journal).retire(origin, &proof) {
            Ok(retired) => {
                log::warn!(
                    target: "money",
                    "Retired the money of a dead router. origin={origin} recovered={} stranded={}",
                    retired.recovered,
                    retired.stranded
                );
            }
            Err(LedgerError::Store(e)) => return Err(e),
            Err(e) => {
                log::error!(
                    target: "money",
                    "Cannot retire the money of an origin. origin={origin} cause={e}"
                );
                return Ok(());
            }
        }
        Registry::new(self.store.as_ref()).remove_origin(origin)
    }

    /// Asks the registered side processes in the configuration to refuse money of an origin.
    fn fence_at_sides(
        &self,
        origin: Origin,
        sides: &BTreeMap<String, Registration>,
    ) -> BTreeMap<String, SideAck> {
        let document = self.peers.document();
        let in_force = document.inventory.target.iter();
        let mut acks = BTreeMap::new();
        for target in in_force.filter(|t| sides.contains_key(&t.name)) {
            let ack =
                self.peers.rpc().call(
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
