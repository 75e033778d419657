//! Grants of this relay to its followers.

use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep};
use wisteriapass_coord::prepaid::{
    AccountUsage, CreditLineId, GrantAnswer, GrantCall, Settlement, TokenRequest,
};

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
    ledger: &'a TokenLedger,
    line: &'a CreditLineId,
    account: &'a str,
    tokens: u64,
    is_reserved: bool,
}

impl Drop for PendingGrant<'_> {
    fn drop(&mut self) {
        let mut grants = self.ledger.grants.borrow_mut();
        let is_granted = grants.end_grant(self.line, self.account, self.tokens, self.is_reserved);
        drop(grants);
        if self.is_reserved && !is_granted {
            self.ledger.settle_share(self.account, self.tokens, 0);
        }
    }
}

impl TokenLedger {
    /// Applies a follower's report and grants what it requests, as far as the share allows.
    pub(crate) async fn grant(self: &Rc<Self>, call: &CreditCall, version: u64) -> CreditAnswer {
        let request = call.request;
        let call = &call.grant;
        let settlements = self
            .grants
            .borrow_mut()
            .apply_call(self.clock.now_ms(), call);
        self.settle_all(settlements);
        let mut denial = None;
        for usage in &call.accounts {
            denial = match request {
                Some(request) if self.is_usage_rationed(usage, request) => Some(Denial::Rationed),
                _ => self.grant_account(call, usage).await.err().or(denial),
            };
        }
        CreditAnswer {
            grants: self.grants.borrow().answer(call),
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
        self: &Rc<Self>,
        call: &GrantCall,
        usage: &AccountUsage,
    ) -> Result<(), Denial> {
        if self.role() != Role::Relay {
            return Err(Denial::Short { retry_after_ms: 0 });
        }
        let tokens = self.grants.borrow_mut().begin_grant(call, usage);
        if tokens == 0 {
            return Ok(());
        }
        let mut pending = PendingGrant {
            ledger: self,
            line: &call.line,
            account: &usage.name,
            tokens,
            is_reserved: false,
        };
        match self.reserve_share(&usage.name, tokens, None).await {
            Ok(()) => {
                pending.is_reserved = true;
                Ok(())
            }
            Err(refusal) => {
                log::info!(
                    target: "money",
                    "Not granted. follower={} account={} tokens={tokens} {} in_touch={}",
                    call.line.follower,
                    usage.name,
                    self.group(&usage.name).account_status(&usage.name),
                    self.group(&usage.name).in_contact.get()
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
            let closed = self.grants.borrow_mut().close_silent_lines(now_ms);
            for settlement in &closed {
                let (account, tokens) = (&settlement.account, settlement.reserved);
                log::info!(
                    target: "money",
                    "Credit line of a silent follower closed. account={account} tokens={tokens}"
                );
            }
            self.settle_all(closed);
        }
    }

    /// Returns the number of followers that called recently.
    pub(crate) fn followers(&self) -> usize {
        self.grants.borrow().live_followers(self.clock.now_ms())
    }

    /// Waits until no grant is open, at most until a deadline.
    pub(super) async fn wait_for_grants(&self, until: Instant) {
        while self.grants.borrow().outstanding() > 0 && Instant::now() < until {
            sleep(Duration::from_millis(POLL_MS / 20)).await;
        }
    }

    fn settle_all(&self, settlements: Vec<Settlement>) {
        for s in settlements {
            self.settle_share(&s.account, s.reserved, s.used);
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
