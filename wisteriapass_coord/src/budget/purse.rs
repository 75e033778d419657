//! A wallet's money of one budget.

use std::collections::BTreeMap;

use crate::budget::{BudgetId, Lot, Origin, Part, Parts, Tokens, UsageMeter};

/// Spent and returned amounts that the service has not been told yet.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Tally {
    pub(super) spent: Tokens,
    pub(super) returned: Tokens,
}

/// Money of one budget: held, reserved and not yet reported.
#[derive(Clone, Debug, Default)]
pub(super) struct Purse {
    lots: Parts,
    pub(super) reserved: Tokens,
    pub(super) tallies: BTreeMap<Origin, Tally>,
    pub(super) meter: UsageMeter,
}

impl Purse {
    /// Returns the amount held and not reserved.
    pub(super) fn held(&self) -> Tokens {
        self.lots.iter().map(|l| l.amount).sum()
    }

    /// Returns the money held and not reserved.
    pub(super) fn lots(&self, budget: &BudgetId) -> Vec<Lot> {
        self.lots.iter().map(|p| p.into_lot(budget)).collect()
    }

    /// Puts money in.
    pub(super) fn put(&mut self, part: Part) {
        if part.amount.is_zero() {
            return;
        }
        if let Some(lot) = self.lots.iter_mut().find(|l| l.origin == part.origin) {
            lot.amount += part.amount;
            return;
        }
        self.lots.push(part);
    }

    /// Takes out up to `amount`, oldest lots first.
    pub(super) fn draw(&mut self, amount: Tokens) -> Parts {
        let mut left = amount;
        let mut parts = Parts::new();
        for lot in &mut self.lots {
            let taken = lot.amount.min(left);
            if taken.is_zero() {
                continue;
            }
            lot.amount -= taken;
            left -= taken;
            parts.push(Part {
                origin: lot.origin,
                amount: taken,
            });
        }
        self.lots.retain(|l| !l.amount.is_zero());
        parts
    }

    /// Drops all money and unreported amounts of `origin`; returns the money dropped.
    pub(super) fn fence(&mut self, origin: Origin) -> Tokens {
        let of_origin = self.lots.iter().filter(|l| l.origin == origin);
        let voided = of_origin.map(|l| l.amount).sum();
        self.lots.retain(|l| l.origin != origin);
        self.tallies.remove(&origin);
        voided
    }
}
