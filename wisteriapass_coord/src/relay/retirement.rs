//! When a relay gives its role up.

use twox_hash::XxHash64;

use super::{MIN_RELAYS_PER_FLEET, RELAYS_PER_DOMAIN};
use crate::prepaid::{DomainId, HolderId, Tenure};

/// Time for which there have to be too many, in milliseconds: relays that died are back meanwhile,
/// and others may be about to die.
const LASTING_MS: u64 = 10_000;

/// Whether one relay is one too many.
#[derive(Clone, Copy, Debug, Default)]
pub struct Retirement {
    since_ms: Option<u64>,
}

impl Retirement {
    /// Returns whether this relay is to give its role up; `live` are the relays that wrote of late,
    /// this one among them.
    pub fn is_due<'a>(
        &mut self,
        now_ms: u64,
        me: &HolderId,
        domain: DomainId,
        live: impl Iterator<Item = (&'a HolderId, &'a Tenure)>,
    ) -> bool {
        if !is_surplus(me, domain, live) {
            self.since_ms = None;
            return false;
        }
        let since_ms = *self.since_ms.get_or_insert(now_ms);
        now_ms.saturating_sub(since_ms) >= LASTING_MS
    }
}

/// Returns whether a relay is the least of too many in its failure domain: a weak one, if any.
fn is_surplus<'a>(
    me: &HolderId,
    domain: DomainId,
    live: impl Iterator<Item = (&'a HolderId, &'a Tenure)>,
) -> bool {
    let (mut in_fleet, mut near) = (0, Vec::new());
    for (id, tenure) in live {
        in_fleet += 1;
        if tenure.domain == domain {
            let rank = XxHash64::oneshot(0, id.0.as_bytes());
            near.push((tenure.is_strong, rank, id));
        }
    }
    let least = near.iter().min();
    near.len() > RELAYS_PER_DOMAIN
        && in_fleet > MIN_RELAYS_PER_FLEET
        && least.is_some_and(|(.., id)| *id == me)
}
