//! Loans that a router asked for: one at a time for an account, none for a while after a vain one.

use std::collections::{HashMap, HashSet};

/// Time without another try for an account that nobody could lend to, in milliseconds: loans cost
/// calls at routers that are as short.
const NO_LOAN_MS: u64 = 250;

/// Loans asked for, by account.
#[derive(Clone, Debug, Default)]
pub struct LoanRequests {
    under_way: HashSet<String>,
    /// When accounts that nobody could lend to are asked for again, in milliseconds.
    not_before_ms: HashMap<String, u64>,
}

impl LoanRequests {
    /// Returns whether an answer is awaited: other requests of the account wait for it too.
    pub fn is_pending(&self, account: &str) -> bool {
        self.under_way.contains(account)
    }

    /// Notes a loan as asked for; returns whether that makes sense now.
    pub fn begin(&mut self, account: &str, now_ms: u64) -> bool {
        let not_before_ms = self.not_before_ms.get(account).copied();
        if not_before_ms.is_some_and(|at| now_ms < at) {
            return false;
        }
        self.under_way.insert(account.to_owned())
    }

    /// Notes the end of asking.
    pub fn end(&mut self, account: &str, is_lent: bool, now_ms: u64) {
        self.under_way.remove(account);
        if is_lent {
            self.not_before_ms.remove(account);
            return;
        }
        let not_before_ms = now_ms + NO_LOAN_MS;
        self.not_before_ms.insert(account.to_owned(), not_before_ms);
    }
}
