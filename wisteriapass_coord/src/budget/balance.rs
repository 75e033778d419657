//! Tokens of one budget in a wallet.

use std::collections::BTreeMap;

use crate::budget::{BudgetId, Lot, Origin, Part, Parts, Tokens, UsageMeter};

/// Spent and returned amounts that have not been reported to the store yet.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct UnreportedUsage {
    pub(super) spent: Tokens,
    pub(super) returned: Tokens,
}

/// Tokens of one budget: held, reserved, and used but not yet reported.
#[derive(Clone, Debug, Default)]
pub(super) struct Balance {
    lots: Parts,
    pub(super) reserved: Tokens,
    pub(super) unreported: BTreeMap<Origin, UnreportedUsage>,
    pub(super) meter: UsageMeter,
}

impl Balance {
    /// Returns the amount held and not reserved.
    pub(super) fn held(&self) -> Tokens {
        self.lots.iter().map(|l| l.amount).sum()
    }

    /// Returns the lots held and not reserved.
    pub(super) fn lots(&self, budget: &BudgetId) -> Vec<Lot> {
        self.lots.iter().map(|p| p.into_lot(budget)).collect()
    }

    /// Adds tokens.
    pub(super) fn deposit(&mut self, part: Part) {
        if part.amount.is_zero() {
            return;
        }
        if let Some(lot) = self.lots.iter_mut().find(|l| l.origin == part.origin) {
            lot.amount += part.amount;
            return;
        }
        self.lots.push(part);
    }

    /// Removes and returns up to `amount`, oldest lots first.
    pub(super) fn withdraw(&mut self, amount: Tokens) -> Parts {
        let mut remaining = amount;
        let mut parts = Parts::new();
        for lot in &mut self.lots {
            let taken = lot.amount.min(remaining);
            if taken.is_zero() {
                continue;
            }
            lot.amount -= taken;
            remaining -= taken;
            parts.push(Part {
                origin: lot.origin,
                amount: taken,
            });
        }
        self.lots.retain(|l| !l.amount.is_zero());
        parts
    }

    /// Discards all tokens and unreported amounts of `origin`; returns the amount of tokens
    /// discarded.
    pub(super) fn discard_origin(&mut self, origin: Origin) -> Tokens {
        let of_origin = self.lots.iter().filter(|l| l.origin == origin);
        let discarded = of_origin.map(|l| l.amount).sum();
        self.lots.retain(|l| l.origin != origin);
        self.unreported.remove(&origin);
        discarded
    }
}
