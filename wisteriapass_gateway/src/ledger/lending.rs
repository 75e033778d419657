//! Lending shares between routers: for accounts whose share is short here and not elsewhere.
//!
//! Answers a cut of all routers from the service, in which draws shift between them, and totals
//! that run low. The lender counts a loan as spent before it answers: a lost answer strands the
//! loan and doubles nothing.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::TokenLedger;
use super::group::Group;
/// Path of the call.
pub const LEND: &str = "/shares/lend";

/// Shortest wait for one router's answer, in milliseconds: many round trips within a region.
const ASK_MS: u64 = 40;

/// Longest wait for it, in milliseconds: that of a router whose own link is full.
const SLOW_ASK_MS: u64 = 250;

/// Asks for a loan.
#[derive(Debug, Serialize, Deserialize)]
struct Ask {
    account: String,
    /// Tokens that would be welcome.
    ask: u64,
    /// Tokens below which a loan is of no use.
    least: u64,
    /// Whether the lender is to take more at its next exchange for loans to come.
    ahead: bool,
}

/// Answers it.
#[derive(Debug, Default, Serialize, Deserialize)]
struct Loan {
    /// Tokens lent; 0 is none.
    tokens: u64,
}

impl TokenLedger {
    /// Borrows for a request that costs `most`; returns whether another try makes sense.
    pub(super) async fn borrow(&self, group: &Group, account: &str, most: u64) -> bool {
        if !group.loans.borrow_mut().begin(account, self.clock.now_ms()) {
            return false;
        }
        let is_lent = self.ask_lenders(group, account, most).await;
        let now_ms = self.clock.now_ms();
        group.loans.borrow_mut().end(account, is_lent, now_ms);
        group.done.notify_waiters();
        is_lent
    }

    /// Asks one router after the other.
    async fn ask_lenders(&self, group: &Group, account: &str, most: u64) -> bool {
        let now_ms = self.clock.now_ms();
        let (least, ask) = group.holder.borrow().loan(now_ms, account, most);
        let me = group.holder.borrow().id().clone();
        let lenders = {
            let record = group.record.borrow();
            let known = group.lenders.borrow();
            known.choose(&record, &me, account, least, now_ms)
        };
        let patience = 2 * group.took.get();
        let patience = patience.clamp(
            Duration::from_millis(ASK_MS),
            Duration::from_millis(SLOW_ASK_MS),
        );
        for (n, lender) in lenders.into_iter().enumerate() {
            let ask = Ask {
                account: account.to_owned(),
                ask,
                least,
                ahead: n == 0,
            };
            let loan: Option<Loan> = self
                .caller
                .call(lender, LEND, &ask, Instant::now() + patience)
                .await;
            let lent = loan.unwrap_or_default().tokens;
            if lent == 0 {
                let mut lenders = group.lenders.borrow_mut();
                lenders.note_short(account, lender, least, self.clock.now_ms());
                continue;
            }
            log::info!(target: "money", "Borrowed. account={account} tokens={lent} of={lender}");
            group.holder.borrow_mut().borrow(account, lent);
            return true;
        }
        false
    }

    /// Answers another relay that asks for a loan; `None` for what is no such call.
    pub(crate) fn answer_borrower(&self, message: &[u8]) -> Option<Vec<u8>> {
        let ask = postcard::from_bytes::<Ask>(message).ok()?;
        postcard::to_stdvec(&self.lend(&ask)).ok()
    }

    fn lend(&self, ask: &Ask) -> Loan {
        let group = self.group(&ask.account);
        let mut holder = group.holder.borrow_mut();
        let tokens = holder.lend(&ask.account, ask.ask, ask.least);
        let rest = ask.ask.saturating_sub(tokens);
        if ask.ahead && rest > 0 && group.in_touch.get() {
            // A borrower whose link is full comes to no exchange of its own.
            holder.miss(&ask.account, rest);
            holder.expect(self.clock.now_ms(), &ask.account, rest);
            group.needed.notify_one();
        }
        Loan { tokens }
    }
}
