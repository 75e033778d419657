//! Refusing less urgent requests of accounts that lost money, for more urgent ones.

use wisteriapass_coord::prepaid::Asked;

use super::TokenLedger;

impl TokenLedger {
    /// Returns whether a request is refused for more urgent ones of its account.
    pub(super) fn saves(&self, asked: Asked<'_>) -> bool {
        let group = self.group(asked.account);
        let record = group.record.borrow();
        let scarcity = group.holder.borrow().scarcity(asked.account, &record);
        let mut savings = self.savings.borrow_mut();
        savings.refuses(self.clock.now_ms(), asked, scarcity, rand::random())
    }
}
