//! Refusal of less urgent requests of accounts that lost tokens, in favor of more urgent ones.

use wisteriapass_coord::prepaid::TokenRequest;

use super::TokenLedger;

impl TokenLedger {
    /// Returns whether a request is refused in favor of more urgent requests of its account.
    pub(super) fn holds_back(&self, asked: TokenRequest<'_>) -> bool {
        let group = self.group(asked.account);
        let record = group.record.borrow();
        let scarcity = group.holder.borrow().scarcity(asked.account, &record);
        let mut savings = self.savings.borrow_mut();
        savings.should_refuse(self.clock.now_ms(), asked, scarcity, rand::random())
    }
}
