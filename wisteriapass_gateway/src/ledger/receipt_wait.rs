//! A request that waits until the witnesses acknowledge that its tokens may be spent.

use super::account_group::AccountGroup;

/// Has the next reports to the witnesses cover a request, until it is dropped.
pub(super) struct ReceiptWait<'a> {
    group: &'a AccountGroup,
    account: &'a str,
    max_cost: u64,
}

impl<'a> ReceiptWait<'a> {
    /// Has a report sent at once that covers a request of `max_cost` tokens.
    pub(super) fn begin(group: &'a AccountGroup, account: &'a str, max_cost: u64) -> Self {
        let mut holder = group.holder.borrow_mut();
        holder.begin_receipt_wait(account, max_cost);
        group.report_due.notify_one();
        Self {
            group,
            account,
            max_cost,
        }
    }
}

impl Drop for ReceiptWait<'_> {
    fn drop(&mut self) {
        let mut holder = self.group.holder.borrow_mut();
        holder.end_receipt_wait(self.account, self.max_cost);
    }
}
