//! Loans between relays, for accounts whose share is short on one relay but not on others.
//!
//! They cover partitions that cut all routers off from the store while demand moves between
//! routers, and totals that run low. The lender counts a loan as spent before it answers, so a lost
//! answer strands the tokens but never duplicates them.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::{Instant, timeout_at};

use super::TokenLedger;
use super::account_group::AccountGroup;
use super::receipt_wait::ReceiptWait;

/// Path of a loan request.
pub const LEND_PATH: &str = "/shares/lend";

/// Number of parts of a loan that no relay lends whole. A large request may need more than any relay
/// holds for its own demand, and what several hold covers it.
const MAX_LOAN_PARTS: u64 = 8;

/// Shortest timeout of a loan request, in milliseconds: many round trips within a region.
const MIN_TIMEOUT_MS: u64 = 40;

/// Longest timeout of a loan request, in milliseconds, for a router whose own link is saturated.
const MAX_TIMEOUT_MS: u64 = 250;

/// Longest time that a lender waits for its witnesses, in milliseconds: a few round trips, and less
/// than the shortest timeout of its borrower.
const RECEIPT_WAIT_MS: u64 = 25;

/// A request for a loan.
#[derive(Debug, Serialize, Deserialize)]
struct LoanRequest {
    account: String,
    /// Preferred amount, in tokens.
    ask: u64,
    /// Least amount that is of use, in tokens.
    min_tokens: u64,
    /// Whether the lender is to request more at its next exchange, for further loans.
    refill: bool,
}

/// The answer to a loan request.
#[derive(Debug, Default, Serialize, Deserialize)]
struct LoanAnswer {
    /// Tokens lent; 0 if the loan was denied.
    tokens: u64,
}

impl TokenLedger {
    /// Borrows tokens for a request that costs `max_cost`; returns whether a new attempt to reserve
    /// them is worthwhile.
    pub(super) async fn borrow(&self, group: &AccountGroup, account: &str, max_cost: u64) -> bool {
        if !group
            .loan_requests
            .borrow_mut()
            .begin(account, self.clock.now_ms())
        {
            return false;
        }
        let is_lent = self.ask_lenders(group, account, max_cost).await;
        let now_ms = self.clock.now_ms();
        group
            .loan_requests
            .borrow_mut()
            .end(account, is_lent, now_ms);
        group.progress.notify_waiters();
        is_lent
    }

    /// Asks the possible lenders for all that is missing, and then for parts of it.
    async fn ask_lenders(&self, group: &AccountGroup, account: &str, max_cost: u64) -> bool {
        self.ask_for_parts(group, account, max_cost, 1).await
            || self
                .ask_for_parts(group, account, max_cost, MAX_LOAN_PARTS)
                .await
    }

    /// Asks the possible lenders one after the other for at least one of `parts` parts of what is
    /// missing; returns whether nothing is missing any more.
    async fn ask_for_parts(
        &self,
        group: &AccountGroup,
        account: &str,
        max_cost: u64,
        parts: u64,
    ) -> bool {
        let now_ms = self.clock.now_ms();
        let amounts = || {
            let holder = group.holder.borrow();
            holder.loan_amounts(now_ms, account, max_cost)
        };
        let part = amounts().0.div_ceil(parts);
        let me = group.holder.borrow().id().clone();
        let lenders = {
            let record = group.record.borrow();
            let known = group.lenders.borrow();
            known.choose(&record, &me, account, part, now_ms)
        };
        for (n, lender) in lenders.into_iter().enumerate() {
            let (missing, ask) = amounts();
            if missing == 0 {
                return true;
            }
            let request = LoanRequest {
                account: account.to_owned(),
                ask,
                min_tokens: part.min(missing),
                refill: n == 0 && parts == 1,
            };
            self.ask_lender(group, lender, &request).await;
        }
        amounts().0 == 0
    }

    /// Asks one relay for a loan, and adds what it lends.
    async fn ask_lender(&self, group: &AccountGroup, lender: SocketAddr, request: &LoanRequest) {
        let account = request.account.as_str();
        let timeout = 2 * group.write_duration.get();
        let timeout = timeout.clamp(
            Duration::from_millis(MIN_TIMEOUT_MS),
            Duration::from_millis(MAX_TIMEOUT_MS),
        );
        let until = Instant::now() + timeout;
        let answer: Option<LoanAnswer> = self.rpc.call(lender, LEND_PATH, request, until).await;
        // One that does not answer is not asked for less either.
        let refused = answer.as_ref().map_or(0, |_| request.min_tokens);
        let lent = answer.unwrap_or_default().tokens;
        if lent == 0 {
            let mut lenders = group.lenders.borrow_mut();
            lenders.note_short(account, lender, refused, self.clock.now_ms());
            return;
        }
        log::info!(target: "money", "Borrowed. account={account} tokens={lent} of={lender}");
        group.holder.borrow_mut().borrow(account, lent);
    }

    /// Handles another relay's request for a loan; returns `None` for a malformed message.
    pub(crate) async fn handle_loan_request(&self, message: &[u8]) -> Option<Vec<u8>> {
        let request = postcard::from_bytes::<LoanRequest>(message).ok()?;
        self.wait_for_receipts(&request).await;
        postcard::to_stdvec(&self.lend(&request)).ok()
    }

    /// Waits until the witnesses acknowledge a loan that this relay's share covers.
    async fn wait_for_receipts(&self, request: &LoanRequest) {
        let (account, tokens) = (request.account.as_str(), request.min_tokens);
        let incarnation = self.incarnation();
        let group = incarnation.group(account);
        let until = Instant::now() + Duration::from_millis(RECEIPT_WAIT_MS);
        let awaits = || {
            group
                .holder
                .borrow()
                .is_loan_awaiting_witnesses(account, tokens)
        };
        if !awaits() {
            return;
        }
        let _wait = ReceiptWait::begin(group, account, tokens);
        while awaits() && timeout_at(until, group.progress.notified()).await.is_ok() {}
    }

    fn lend(&self, request: &LoanRequest) -> LoanAnswer {
        let incarnation = self.incarnation();
        let group = incarnation.group(&request.account);
        let mut holder = group.holder.borrow_mut();
        let tokens = holder.lend(&request.account, request.ask, request.min_tokens);
        let rest = request.ask.saturating_sub(tokens);
        if request.refill && rest > 0 && group.in_contact.get() {
            // A borrower with a saturated link does not get to exchange its own share.
            holder.note_unserved(&request.account, rest);
            holder.expect_demand(self.clock.now_ms(), &request.account, rest);
            group.exchange_needed.notify_one();
        }
        LoanAnswer { tokens }
    }
}
