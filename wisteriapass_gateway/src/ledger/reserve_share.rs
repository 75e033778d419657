//! Reservations from this router's own shares.
//!
//! A request that the share does not cover waits for what can cover it: the receipts of witnesses,
//! the next exchange, or a loan of another relay.

use std::time::Duration;

use tokio::time::{Instant, timeout_at};
use wisteriapass_coord::prepaid::ShareShortfall;

use super::TokenLedger;
use super::account_group::AccountGroup;
use super::incarnation::Incarnation;
use super::receipt_wait::ReceiptWait;
use crate::refusal::Refusal;

/// Longest time that a request waits for a share, in milliseconds: a few exchanges with a store
/// that answers within milliseconds.
pub(super) const RESERVE_WAIT_MS: u64 = 250;

/// Time for which a request waits only for the receipts of witnesses before it has an exchange made
/// as well, in milliseconds: a few round trips. An exchange for each request that a report covers
/// would multiply the calls to the store.
const RECEIPT_WAIT_MS: u64 = 60;

/// Times up to which one request waits.
struct Waits {
    /// For the first share of the process, if there is none yet.
    first_share: Option<Instant>,
    /// For receipts alone.
    receipts: Instant,
    /// In all.
    end: Instant,
}

impl TokenLedger {
    /// Reserves tokens of this router's own share, after an exchange or a loan if necessary.
    pub(super) async fn reserve_share(
        &self,
        incarnation: &Incarnation,
        account: &str,
        max_cost: u64,
        deadline: Option<Instant>,
    ) -> Result<(), Refusal> {
        let group = incarnation.group(account);
        let waits = self.waits(group, account, deadline);
        let mut receipt_wait = None;
        let mut is_miss_recorded = false;
        loop {
            let progress = group.progress.notified();
            let now_ms = self.clock.now_ms();
            let reserved = group.holder.borrow_mut().reserve(now_ms, account, max_cost);
            let awaits_receipts = match reserved {
                Ok(()) => {
                    self.report_if_due(group, account);
                    return Ok(());
                }
                Err(ShareShortfall::Exhausted) => return Err(Refusal::BudgetExhausted),
                Err(ShareShortfall::Short) => false,
                Err(ShareShortfall::AwaitsReceipts) => true,
            };
            if awaits_receipts {
                receipt_wait.get_or_insert_with(|| ReceiptWait::begin(group, account, max_cost));
                let until = waits.receipts.min(waits.end);
                if Instant::now() < until {
                    let _ = timeout_at(until, progress).await;
                    continue;
                }
            }
            // While the router is cut off from the store, the same clients retry again and again.
            // Counting each retry as demand would not get them served sooner.
            if !is_miss_recorded && group.in_contact.get() {
                group.holder.borrow_mut().note_unserved(account, max_cost);
                is_miss_recorded = true;
            }
            let awaits_soon = self.may_progress(group, account, &waits);
            if !awaits_soon && self.borrow_until(group, account, max_cost, waits.end).await {
                continue;
            }
            let may_succeed = awaits_soon || awaits_receipts || group.awaits_exchange();
            if !may_succeed || timeout_at(waits.end, progress).await.is_err() {
                return Err(group.shortfall_refusal(account, max_cost));
            }
        }
    }

    /// Borrows tokens unless it is too late; returns whether that succeeded.
    async fn borrow_until(
        &self,
        group: &AccountGroup,
        account: &str,
        max_cost: u64,
        until: Instant,
    ) -> bool {
        Instant::now() < until && self.borrow(group, account, max_cost).await
    }

    /// Returns up to when a request waits that arrives now.
    fn waits(&self, group: &AccountGroup, account: &str, deadline: Option<Instant>) -> Waits {
        let now = Instant::now();
        let is_first = group.has_no_grant(account) && now < self.first_share_until;
        let latest = if is_first {
            self.first_share_until
        } else {
            now + Duration::from_millis(RESERVE_WAIT_MS)
        };
        let end = deadline.map_or(latest, |deadline| deadline.min(latest));
        Waits {
            first_share: is_first.then_some(end),
            receipts: now + Duration::from_millis(RECEIPT_WAIT_MS),
            end,
        }
    }

    /// Returns whether an exchange, the first share or a loan that was requested may soon cover a
    /// request; has the exchange made.
    fn may_progress(&self, group: &AccountGroup, account: &str, waits: &Waits) -> bool {
        let awaits_exchange = group.awaits_exchange();
        if awaits_exchange {
            group.exchange_needed.notify_one();
        }
        let is_first = |until: Instant| group.has_no_grant(account) && Instant::now() < until;
        awaits_exchange && group.is_exchange_soon()
            || waits.first_share.is_some_and(is_first)
            || group.loan_requests.borrow().is_pending(account)
    }

    /// Has a report sent to the witnesses if little of what they acknowledged is left.
    fn report_if_due(&self, group: &AccountGroup, account: &str) {
        let (now_ms, stamp) = (self.clock.now_ms(), self.clock.stamp());
        if group.holder.borrow().is_report_due(now_ms, stamp, account) {
            group.report_due.notify_one();
        }
    }
}
