//! Rationing: less urgent requests of accounts that lost tokens are refused in favor of more urgent
//! ones.

use wisteriapass_coord::prepaid::TokenRequest;

use super::TokenLedger;

impl TokenLedger {
    /// Returns whether a request is refused in favor of more urgent requests of its account.
    pub(super) fn is_rationed(&self, request: TokenRequest<'_>) -> bool {
        let group = self.group(request.account);
        let record = group.record.borrow();
        let scarcity = group.holder.borrow().scarcity(request.account, &record);
        let mut rationing = self.rationing.borrow_mut();
        rationing.should_refuse(self.clock.now_ms(), request, scarcity, rand::random())
    }
}
