//! When a relay gives up its role.

use twox_hash::XxHash64;

use super::{MIN_RELAYS_PER_FLEET, RELAYS_PER_DOMAIN};
use crate::prepaid::{DomainId, HolderEntry, HolderId};

/// How long there have to be too many relays, in milliseconds: relays that died come back in the
/// meantime, and others may be about to die.
const SURPLUS_DELAY_MS: u64 = 10_000;

/// Decides when a surplus relay retires.
#[derive(Clone, Copy, Debug, Default)]
pub struct RelayRetirement {
    since_ms: Option<u64>,
}

impl RelayRetirement {
    /// Returns whether this relay has to give up its role.
    ///
    /// `live` are the relays that wrote recently, including this one.
    pub fn is_due<'a>(
        &mut self,
        now_ms: u64,
        me: &HolderId,
        domain: DomainId,
        live: impl Iterator<Item = (&'a HolderId, &'a HolderEntry)>,
    ) -> bool {
        if !is_surplus(me, domain, live) {
            self.since_ms = None;
            return false;
        }
        let since_ms = *self.since_ms.get_or_insert(now_ms);
        now_ms.saturating_sub(since_ms) >= SURPLUS_DELAY_MS
    }
}

/// Returns whether there are too many relays and this one ranks lowest in its failure domain; weak
/// VMs rank below strong ones.
fn is_surplus<'a>(
    me: &HolderId,
    domain: DomainId,
    live: impl Iterator<Item = (&'a HolderId, &'a HolderEntry)>,
) -> bool {
    let (mut in_fleet, mut in_domain) = (0, Vec::new());
    for (id, entry) in live {
        in_fleet += 1;
        if entry.domain == domain {
            let rank = XxHash64::oneshot(0, id.0.as_bytes());
            in_domain.push((entry.is_strong, rank, id));
        }
    }
    let lowest = in_domain.iter().min();
    in_domain.len() > RELAYS_PER_DOMAIN
        && in_fleet > MIN_RELAYS_PER_FLEET
        && lowest.is_some_and(|(.., id)| *id == me)
}
