//! Loans that a router requested: one at a time per account, and none for some time after a failed
//! request.

use std::collections::{HashMap, HashSet};

/// Delay before another request for an account that no router could lend to, in milliseconds.
/// Requests cost calls to routers whose shares are just as short.
const RETRY_DELAY_MS: u64 = 250;

/// Loan requests by account.
#[derive(Clone, Debug, Default)]
pub struct LoanRequests {
    pending: HashSet<String>,
    /// When loans may be requested again for accounts that no router could lend to, in
    /// milliseconds.
    not_before_ms: HashMap<String, u64>,
}

impl LoanRequests {
    /// Returns whether a request is pending; other requests of the account wait for it too.
    pub fn is_pending(&self, account: &str) -> bool {
        self.pending.contains(account)
    }

    /// Begins a loan request; returns false if one is pending or the last one failed recently.
    pub fn begin(&mut self, account: &str, now_ms: u64) -> bool {
        let not_before_ms = self.not_before_ms.get(account).copied();
        if not_before_ms.is_some_and(|at| now_ms < at) {
            return false;
        }
        self.pending.insert(account.to_owned())
    }

    /// Ends a loan request.
    pub fn end(&mut self, account: &str, is_lent: bool, now_ms: u64) {
        self.pending.remove(account);
        if is_lent {
            self.not_before_ms.remove(account);
            return;
        }
        let not_before_ms = now_ms + RETRY_DELAY_MS;
        self.not_before_ms.insert(account.to_owned(), not_before_ms);
    }
}
