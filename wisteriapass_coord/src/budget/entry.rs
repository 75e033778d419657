//! One budget in a record.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::budget::{Origin, RecordError, Tokens, TopupId};

/// What one origin took and what became of it; the counters only grow.
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
    /// Returns what the origin's money holders may still spend or return.
    pub fn outstanding(&self) -> Tokens {
        self.granted - self.returned - self.spent
    }
}

/// One budget: what was prepaid and where it is.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetEntry {
    /// Sum of the top-ups.
    pub prepaid: Tokens,
    /// Amount nobody holds.
    pub free: Tokens,
    /// Top-ups applied.
    pub topups: BTreeMap<TopupId, Tokens>,
    /// Live origins.
    pub origins: BTreeMap<Origin, OriginEntry>,
    /// Amount spent by origins that are no longer listed.
    pub spent_before: Tokens,
    /// Amount of retired origins that could not be proved unspent; it stays spent.
    pub stranded: Tokens,
    /// Amount of retired origins that came back.
    pub recovered: Tokens,
}

impl BudgetEntry {
    /// Returns the amount known to be spent.
    pub fn spent(&self) -> Tokens {
        let live: Tokens = self.origins.values().map(|o| o.spent).sum();
        self.spent_before + live
    }

    /// Returns the amount that routers hold or have under way.
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

    /// Applies a top-up unless its id was applied before; returns whether it was new.
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

    /// Moves `amount` from the free money to an origin.
    pub(super) fn grant(&mut self, origin: Origin, amount: Tokens) {
        if amount.is_zero() {
            return;
        }
        self.free -= amount;
        self.origins.entry(origin).or_default().granted += amount;
    }

    /// Takes an origin off the list; what it holds must be settled.
    pub(super) fn close(&mut self, origin: Origin) {
        let Some(entry) = self.origins.get(&origin) else {
            return;
        };
        if !entry.outstanding().is_zero() {
            return;
        }
        self.spent_before += entry.spent;
        self.origins.remove(&origin);
    }

    /// Takes a fenced origin off the list: what is not spent comes back or, without proof
    /// (`spent` is `None`), is stranded. Returns both amounts.
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
        let kept = entry.granted - entry.returned;
        let spent = proved.max(entry.spent).min(kept);
        let recovered = kept - spent;
        self.spent_before += spent;
        self.free += recovered;
        self.recovered += recovered;
        (recovered, Tokens::ZERO)
    }
}
