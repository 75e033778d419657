//! What a process holds: status of accounts, what covers a request, and what could be lost with the
//! process.

use super::{ShareHolder, ShareShortfall};
use crate::prepaid::{AccountStatus, Outstanding, Scarcity, ShareRecord};

impl ShareHolder {
    /// Checks whether [`ShareHolder::reserve`] would reserve the maximum cost of a request now,
    /// without reserving or recording anything.
    ///
    /// # Errors
    ///
    /// Returns [`ShareShortfall`] if the share does not cover it.
    pub fn check(&self, account: &str, max_cost: u64) -> Result<(), ShareShortfall> {
        if self.closed {
            return Err(ShareShortfall::Short);
        }
        let account_share = self.accounts.get(account).copied().unwrap_or_default();
        if account_share.spendable(self.spend_limit(account)) >= max_cost {
            return Ok(());
        }
        if self.is_awaiting_witnesses(account, max_cost) {
            return Err(ShareShortfall::AwaitsReceipts);
        }
        let is_beyond = |total| account_share.known_used().saturating_add(max_cost) > total;
        if self.totals.of(account).is_some_and(is_beyond) {
            return Err(ShareShortfall::Exhausted);
        }
        Err(ShareShortfall::Short)
    }

    /// Returns what can be reserved of an account at once, in tokens.
    pub fn available(&self, account: &str) -> u64 {
        if self.closed {
            return 0;
        }
        let account_share = self.accounts.get(account).copied().unwrap_or_default();
        account_share.spendable(self.spend_limit(account))
    }

    /// Returns whether an exchange is due because more could be lost with this process than should
    /// be, and an exchange makes it less: requests cost less than they reserved, or demand fell.
    pub fn holds_too_much(&self, now_ms: u64) -> bool {
        let open_ms = if self.witnesses.any_binds() {
            self.config.open_demand_ms
        } else {
            self.config.open_at_any_age_ms()
        };
        self.accounts.iter().any(|(name, a)| {
            let (total, limit) = (self.total(name), self.spend_limit(name));
            a.is_unproved_part_too_large(now_ms, total, limit, open_ms, &self.config)
        })
    }

    /// Returns what this process holds of all accounts.
    pub fn outstanding(&self) -> Outstanding {
        let mut outstanding = Outstanding::default();
        for (name, account_share) in &self.accounts {
            outstanding.granted_unspent += account_share.unproved(u64::MAX);
            outstanding.open_unspent += account_share.unproved(self.spend_limit(name));
            outstanding.lost += account_share.lost;
        }
        outstanding
    }

    /// Returns the status of an account.
    pub fn account_status(&self, account: &str) -> AccountStatus {
        let account_share = self.accounts.get(account).copied().unwrap_or_default();
        account_share.account_status(self.totals.of(account), self.spend_limit(account))
    }

    /// Returns how scarce an account's tokens are, by a record that was adopted; `None` if its total is
    /// not known.
    pub fn scarcity(&self, account: &str, record: &ShareRecord) -> Option<Scarcity> {
        let total = self.totals.of(account)?;
        let account_share = self.accounts.get(account).copied().unwrap_or_default();
        let lost = account_share.lost + account_share.others_lost;
        let used_or_lost = account_share.known_used() + lost;
        let wish = record.share(account, &self.id).wish as f64;
        Some(Scarcity {
            total,
            remaining: total.saturating_sub(used_or_lost),
            lost,
            demand_fraction: wish / record.total_wish(account).max(1) as f64,
        })
    }
}
