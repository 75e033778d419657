//! Credit at relays: how a follower reserves tokens.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use tokio::time::{Instant, sleep, timeout_at};
use wisteriapass_coord::prepaid::{CreditLineKey, TokenRequest};

use super::TokenLedger;
use super::grants::{CreditAnswer, CreditCall, Denial};
use crate::refusal::Refusal;
use crate::rpc::deadline_in;

/// Path of a follower's credit call.
pub const GRANT_PATH: &str = "/relay/grant";

/// Timeout of a request for a grant, in milliseconds: the relay may need an exchange or a loan
/// first.
const GRANT_TIMEOUT_MS: u64 = 400;

/// Timeout of a credit report, in milliseconds.
const REPORT_TIMEOUT_MS: u64 = 200;

/// Interval between two credit reports, in milliseconds: the time until returned tokens are
/// available to other routers.
const REPORT_INTERVAL_MS: u64 = 150;

/// Number of relays that are asked for one request: the second stands in for the first, and a third
/// one in another failure domain for both.
const MAX_RELAYS_ASKED: usize = 3;

/// Retry delay if no relay answers, in milliseconds: another relay is found or promoted in less
/// time.
const RETRY_NO_RELAY_MS: u64 = 1_200;

/// The wait of a request for a grant, which ends when this is dropped.
struct GrantWait<'a> {
    ledger: &'a TokenLedger,
    line: CreditLineKey,
    account: &'a str,
    max_cost: u64,
}

impl Drop for GrantWait<'_> {
    fn drop(&mut self) {
        let mut credit = self.ledger.credit.borrow_mut();
        credit.end_wait(self.line, self.account, self.max_cost);
    }
}

impl TokenLedger {
    /// Reserves tokens on a credit line, and calls a relay if no line has enough.
    pub(super) async fn reserve_credit(
        &self,
        request: TokenRequest<'_>,
        deadline: Instant,
    ) -> Result<CreditLineKey, Refusal> {
        let TokenRequest {
            account, max_cost, ..
        } = request;
        if let Some(line) = self.credit.borrow_mut().reserve(account, max_cost) {
            return Ok(line);
        }
        let mut refusal = no_relay_refusal();
        let now_ms = self.clock.now_ms();
        let relays = self.roster.borrow().relays_by_preference(now_ms);
        for at in relays.into_iter().take(MAX_RELAYS_ASKED) {
            match self.request_grant(at, request, deadline).await {
                Ok(line) => return Ok(line),
                Err(Some(next)) => refusal = next,
                Err(None) => {}
            }
            let is_final = matches!(refusal, Refusal::BudgetExhausted | Refusal::Saved);
            if is_final || Instant::now() >= deadline {
                break;
            }
        }
        Err(refusal)
    }

    /// Requests a grant from one relay; returns `Err(None)` if the relay does not answer.
    async fn request_grant(
        &self,
        at: SocketAddr,
        request: TokenRequest<'_>,
        deadline: Instant,
    ) -> Result<CreditLineKey, Option<Refusal>> {
        let TokenRequest {
            account, max_cost, ..
        } = request;
        // A restarted relay first answers that it does not know the line, and is then asked again
        // on a new one.
        for _ in 0..2 {
            let line = self.credit.borrow_mut().open_line(at, rand::random());
            self.credit.borrow_mut().begin_wait(line, account, max_cost);
            let wait = GrantWait {
                ledger: self,
                line,
                account,
                max_cost,
            };
            let call = self
                .credit
                .borrow_mut()
                .compose_request(line, account)
                .ok_or(None)?;
            let until = deadline.min(deadline_in(GRANT_TIMEOUT_MS));
            let call = CreditCall {
                grant: call,
                request: Some((request.rank, max_cost)),
            };
            let answer = self.send_call(line, at, &call, until).await;
            drop(wait);
            let answer = answer.ok_or(None)?;
            if let Some(line) = self.credit.borrow_mut().reserve(account, max_cost) {
                return Ok(line);
            }
            if let Some(denial) = answer.denial {
                return Err(Some(self.refusal_for(denial, answer.version)));
            }
        }
        Err(None)
    }

    /// Sends a credit call to a relay and applies the answer.
    async fn send_call(
        &self,
        line: CreditLineKey,
        at: SocketAddr,
        call: &CreditCall,
        until: Instant,
    ) -> Option<CreditAnswer> {
        let answer: CreditAnswer = self.rpc.call(at, GRANT_PATH, call, until).await?;
        let mut credit = self.credit.borrow_mut();
        credit.apply_answer(line, &call.grant, &answer.grants);
        drop(credit);
        Some(answer)
    }

    /// Converts a denial to a refusal. A relay with an older configuration than this router may not
    /// know all totals, so its denial is not final.
    fn refusal_for(&self, denial: Denial, version: u64) -> Refusal {
        match denial {
            Denial::Exhausted if version >= self.totals.borrow().version() => {
                Refusal::BudgetExhausted
            }
            Denial::Exhausted => no_relay_refusal(),
            Denial::Short { retry_after_ms } => Refusal::ShareShort { retry_after_ms },
            Denial::Rationed => Refusal::Saved,
        }
    }

    /// Reports spending to relays and returns unneeded credit; never returns.
    pub(crate) async fn run_credit_reports(self: Rc<Self>) {
        loop {
            self.report_credit().await;
            sleep(Duration::from_millis(REPORT_INTERVAL_MS)).await;
        }
    }

    /// Reports spending on all lines and returns the credit that no request needs.
    pub(super) async fn report_credit(&self) {
        let lines = self.credit.borrow().active_lines();
        let reports = lines.into_iter().map(async |(line, at)| {
            let call = self.credit.borrow_mut().compose_report(line, |_| 0);
            if let Some(grant) = call {
                let call = CreditCall {
                    grant,
                    request: None,
                };
                self.send_call(line, at, &call, deadline_in(REPORT_TIMEOUT_MS))
                    .await;
            }
        });
        join_all(reports).await;
        self.credit.borrow_mut().remove_closed_lines();
    }

    /// Returns all credit, and repeats until no line is open or a deadline passes.
    pub(super) async fn return_credit(&self, until: Instant) {
        while !self.credit.borrow().active_lines().is_empty() && Instant::now() < until {
            let _ = timeout_at(until, self.report_credit()).await;
            sleep(Duration::from_millis(REPORT_INTERVAL_MS / 10)).await;
        }
    }
}

/// Returns the refusal of a request that no relay grants anything for.
pub(super) fn no_relay_refusal() -> Refusal {
    Refusal::ShareShort {
        retry_after_ms: RETRY_NO_RELAY_MS,
    }
}
