//! Loans to and from other routers.

use super::ShareHolder;

impl ShareHolder {
    /// Lends tokens from this router's share.
    ///
    /// The amount is `requested` or half of what is spendable, whichever is less, but at least
    /// `min_tokens`; nothing is lent if `min_tokens` is not spendable. The loan counts as spent
    /// here at once, so a lost answer strands the loan but never duplicates it.
    pub fn lend(&mut self, account: &str, requested: u64, min_tokens: u64) -> u64 {
        let spend_limit = self.spend_limit(account);
        let Some(account_share) = self.accounts.get_mut(account).filter(|_| !self.closed) else {
            return 0;
        };
        let spendable = account_share.spendable(spend_limit);
        if spendable < min_tokens {
            return 0;
        }
        let lent = requested.min(spendable / 2).max(min_tokens);
        account_share.used += lent;
        lent
    }

    /// Adds tokens that another router lent.
    pub fn borrow(&mut self, account: &str, lent: u64) {
        self.accounts
            .entry(account.to_owned())
            .or_default()
            .borrowed += lent;
    }

    /// Returns the least that has to be borrowed so that `max_cost` fits, and the preferred amount,
    /// in tokens.
    pub fn loan_amounts(&self, now_ms: u64, account: &str, max_cost: u64) -> (u64, u64) {
        let account_share = self.accounts.get(account).copied().unwrap_or_default();
        account_share.loan_amounts(now_ms, max_cost, self.spend_limit(account), &self.config)
    }
}
