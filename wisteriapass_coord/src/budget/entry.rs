//! State of one budget in a record.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::budget::{Origin, RecordError, Tokens, TopupId};

/// Tokens granted to one origin and their use; the counters never decrease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginEntry {
    /// Amount granted.
    pub granted: Tokens,
    /// Amount returned unspent.
    pub returned: Tokens,
    /// Amount reported spent.
    pub spent: Tokens,
}

impl OriginEntry {
    /// Returns the amount that holders of the origin's tokens may still spend or return.
    pub fn outstanding(&self) -> Tokens {
        self.granted - self.returned - self.spent
    }
}

/// State of one budget: the prepaid total and its distribution.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetEntry {
    /// Sum of the top-ups.
    pub prepaid: Tokens,
    /// Amount that is not granted to any origin.
    pub free: Tokens,
    /// Applied top-ups.
    pub topups: BTreeMap<TopupId, Tokens>,
    /// Origins that were granted tokens and have not been removed or retired.
    pub origins: BTreeMap<Origin, OriginEntry>,
    /// Amount spent by origins that are no longer in `origins`.
    pub spent_before: Tokens,
    /// Amount of retired origins that could not be proved unspent; it counts as spent.
    pub stranded: Tokens,
    /// Amount recovered from retired origins.
    pub recovered: Tokens,
}

impl BudgetEntry {
    /// Returns the amount known to be spent.
    pub fn spent(&self) -> Tokens {
        let listed: Tokens = self.origins.values().map(|o| o.spent).sum();
        self.spent_before + listed
    }

    /// Returns the amount that routers hold, including reservations and transfers in flight.
    pub fn outstanding(&self) -> Tokens {
        self.origins.values().map(OriginEntry::outstanding).sum()
    }

    /// Returns whether every prepaid token is accounted for.
    pub fn is_conserved(&self) -> bool {
        let topups: Tokens = self.topups.values().copied().sum();
        let held: Tokens = self.origins.values().map(|o| o.granted - o.returned).sum();
        self.prepaid == topups
            && self.prepaid == self.free + held + self.spent_before + self.stranded
    }

    /// Applies a top-up unless its id was applied before; returns whether it was applied now.
    pub(super) fn topup(
        &mut self,
        id: &TopupId,
        amount: Tokens,
        too_large: RecordError,
    ) -> Result<bool, RecordError> {
        if let Some(&applied) = self.topups.get(id) {
            if applied != amount {
                let id = id.clone();
                return Err(RecordError::TopupReused { id, applied });
            }
            return Ok(false);
        }
        self.prepaid = self.prepaid.checked_add(amount).ok_or(too_large)?;
        self.free += amount;
        self.topups.insert(id.clone(), amount);
        Ok(true)
    }

    /// Moves `amount` from the free tokens to an origin.
    pub(super) fn grant(&mut self, origin: Origin, amount: Tokens) {
        if amount.is_zero() {
            return;
        }
        self.free -= amount;
        self.origins.entry(origin).or_default().granted += amount;
    }

    /// Removes an origin from `origins` if it has nothing outstanding.
    pub(super) fn remove_settled(&mut self, origin: Origin) {
        let Some(entry) = self.origins.get(&origin) else {
            return;
        };
        if !entry.outstanding().is_zero() {
            return;
        }
        self.spent_before += entry.spent;
        self.origins.remove(&origin);
    }

    /// Removes a fenced origin from `origins`. Its unspent tokens become free again or, without
    /// proof (`spent` is `None`), are stranded. Returns the recovered and the stranded amount.
    pub(super) fn retire(&mut self, origin: Origin, spent: Option<Tokens>) -> (Tokens, Tokens) {
        let Some(entry) = self.origins.remove(&origin) else {
            return (Tokens::ZERO, Tokens::ZERO);
        };
        let Some(proved) = spent else {
            let stranded = entry.outstanding();
            self.spent_before += entry.spent;
            self.stranded += stranded;
            return (Tokens::ZERO, stranded);
        };
        let net_granted = entry.granted - entry.returned;
        let spent = proved.max(entry.spent).min(net_granted);
        let recovered = net_granted - spent;
        self.spent_before += spent;
        self.free += recovered;
        self.recovered += recovered;
        (recovered, Tokens::ZERO)
    }
}
