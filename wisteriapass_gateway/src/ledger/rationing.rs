//! Rationing: less urgent requests of accounts that lost tokens are refused in favor of more urgent
//! ones.

use wisteriapass_coord::prepaid::{Scarcity, TokenRequest};

use super::TokenLedger;

impl TokenLedger {
    /// Returns whether a request is refused in favor of more urgent requests of its account.
    pub(super) fn is_rationed(&self, request: TokenRequest<'_>) -> bool {
        let Some(scarcity) = self.scarcity(request.account) else {
            return false;
        };
        let mut rationing = self.rationing.borrow_mut();
        rationing.should_refuse(self.clock.now_ms(), request, scarcity, rand::random())
    }

    /// Returns the probability with which a request is refused in favor of more urgent ones, without
    /// measuring it.
    pub(super) fn refusal_probability(&self, request: TokenRequest<'_>) -> f64 {
        let Some(scarcity) = self.scarcity(request.account) else {
            return 0.0;
        };
        let rationing = self.rationing.borrow();
        rationing.refusal_probability(self.clock.now_ms(), request, scarcity)
    }

    /// Returns how scarce an account's tokens are, by the record of the last exchange; `None` if its
    /// total is not known.
    fn scarcity(&self, account: &str) -> Option<Scarcity> {
        let incarnation = self.incarnation();
        let group = incarnation.group(account);
        let record = group.record.borrow();
        group.holder.borrow().scarcity(account, &record)
    }
}
