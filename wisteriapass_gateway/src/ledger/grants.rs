//! Grants of this relay to its followers.

use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep};
use wisteriapass_coord::prepaid::{
    AccountUsage, CreditLineId, GrantAnswer, GrantCall, TokenRequest,
};

use super::incarnation::Incarnation;
use super::{Role, TokenLedger};
use crate::refusal::Refusal;

/// Interval between checks for silent followers, in milliseconds.
const POLL_MS: u64 = 1_000;

/// A follower's credit call.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CreditCall {
    /// What the follower has spent and requests.
    pub grant: GrantCall,
    /// Rank and maximum cost in tokens of the request that needs the grant; `None` for a report.
    pub request: Option<(u8, u64)>,
}

/// Why a relay granted less than requested.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Denial {
    /// The total does not cover it, according to the relay's configuration.
    Exhausted,
    /// The relay's share does not cover it at present.
    Short {
        /// Retry delay, in milliseconds.
        retry_after_ms: u64,
    },
    /// The remaining tokens are rationed, and kept for more urgent requests.
    Rationed,
}

/// A relay's answer to a credit call.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CreditAnswer {
    /// The grants.
    pub grants: GrantAnswer,
    /// Why less was granted than requested.
    pub denial: Option<Denial>,
    /// Version of the configuration that the relay's totals come from.
    pub version: u64,
}

/// Tokens that are being reserved for a follower. Dropping it ends the attempt, and releases tokens
/// that were reserved but can no longer be granted.
struct PendingGrant<'a> {
    incarnation: &'a Incarnation,
    line: &'a CreditLineId,
    account: &'a str,
    tokens: u64,
    is_reserved: bool,
}

impl Drop for PendingGrant<'_> {
    fn drop(&mut self) {
        let mut grants = self.incarnation.grants.borrow_mut();
        let is_granted = grants.end_grant(self.line, self.account, self.tokens, self.is_reserved);
        drop(grants);
        if self.is_reserved && !is_granted {
            self.incarnation.settle(self.account, self.tokens, 0);
        }
    }
}

impl TokenLedger {
    /// Applies a follower's report and grants what it requests, as far as the share allows.
    pub(crate) async fn grant(&self, call: &CreditCall) -> CreditAnswer {
        let request = call.request;
        let call = &call.grant;
        let incarnation = self.incarnation();
        // Totals that come while this waits are newer, and a denial by them is final as well.
        let version = self.totals.borrow().version();
        let now_ms = self.clock.now_ms();
        let settlements = incarnation.grants.borrow_mut().apply_call(now_ms, call);
        incarnation.settle_all(settlements);
        let mut denial = None;
        for usage in &call.accounts {
            denial = match request {
                Some(request) if self.is_usage_rationed(usage, request) => Some(Denial::Rationed),
                _ => {
                    let granted = self.grant_account(&incarnation, call, usage).await;
                    granted.err().or(denial)
                }
            };
        }
        CreditAnswer {
            grants: incarnation.grants.borrow().answer(call),
            denial,
            version,
        }
    }

    /// Returns whether a follower's request is refused in favor of more urgent requests of its
    /// account.
    fn is_usage_rationed(&self, usage: &AccountUsage, (rank, max_cost): (u8, u64)) -> bool {
        let request = TokenRequest {
            account: &usage.name,
            rank,
            max_cost,
        };
        self.role() == Role::Relay && self.is_rationed(request)
    }

    async fn grant_account(
        &self,
        incarnation: &Incarnation,
        call: &GrantCall,
        usage: &AccountUsage,
    ) -> Result<(), Denial> {
        if self.role() != Role::Relay {
            return Err(Denial::Short { retry_after_ms: 0 });
        }
        let tokens = incarnation.grants.borrow_mut().begin_grant(call, usage);
        if tokens == 0 {
            return Ok(());
        }
        let mut pending = PendingGrant {
            incarnation,
            line: &call.line,
            account: &usage.name,
            tokens,
            is_reserved: false,
        };
        let reserving = self.reserve_share(incarnation, &usage.name, tokens, None);
        match reserving.await {
            Ok(()) => {
                pending.is_reserved = true;
                Ok(())
            }
            Err(refusal) => {
                let group = incarnation.group(&usage.name);
                log::info!(
                    target: "money",
                    "Not granted. follower={} account={} tokens={tokens} {} in_touch={}",
                    call.line.follower,
                    usage.name,
                    group.account_status(&usage.name),
                    group.in_contact.get()
                );
                Err(denial_for(refusal))
            }
        }
    }

    /// Closes the credit lines of silent followers; never returns.
    pub(super) async fn run_grant_expiry(self: Rc<Self>) {
        loop {
            sleep(Duration::from_millis(POLL_MS)).await;
            let now_ms = self.clock.now_ms();
            let incarnation = self.incarnation();
            let closed = incarnation.grants.borrow_mut().close_silent_lines(now_ms);
            for settlement in &closed {
                let (account, tokens) = (&settlement.account, settlement.reserved);
                log::info!(
                    target: "money",
                    "Credit line of a silent follower closed. account={account} tokens={tokens}"
                );
            }
            incarnation.settle_all(closed);
        }
    }

    /// Returns the number of followers that called recently.
    pub(crate) fn followers(&self) -> usize {
        let incarnation = self.incarnation();
        let grants = incarnation.grants.borrow();
        grants.live_followers(self.clock.now_ms())
    }

    /// Waits until no grant is open, at most until a deadline.
    pub(super) async fn wait_for_grants(&self, until: Instant) {
        let incarnation = self.incarnation();
        while incarnation.grants.borrow().outstanding() > 0 && Instant::now() < until {
            sleep(Duration::from_millis(POLL_MS / 20)).await;
        }
    }
}

fn denial_for(refusal: Refusal) -> Denial {
    match refusal {
        Refusal::BudgetExhausted => Denial::Exhausted,
        Refusal::Saved => Denial::Rationed,
        other => Denial::Short {
            retry_after_ms: other.retry_after_ms().unwrap_or_default(),
        },
    }
}
