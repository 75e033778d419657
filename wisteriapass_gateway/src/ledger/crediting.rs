//! Drawing on relays' shares: what this router reserves while it is a follower.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use tokio::time::{Instant, sleep, timeout_at};
use wisteriapass_coord::prepaid::{Asked, LineKey};

use super::TokenLedger;
use super::granting::{CreditCall, Denial, Granted};
use crate::call::within;
use crate::refusal::Refusal;

/// Path of a follower's word on its credit.
pub const GRANT: &str = "/relay/grant";

/// Longest wait for a grant, in milliseconds: a relay may need an exchange or a loan for it.
const PATIENCE_MS: u64 = 400;

/// Longest wait for the answer to a report, in milliseconds.
const REPORT_PATIENCE_MS: u64 = 200;

/// Time between two reports, in milliseconds: what is given back is of use to others so soon.
const REPORT_MS: u64 = 150;

/// Relays that are asked for one request: the second carries on for the first, and a third in
/// another failure domain for both.
const MOST_ASKED: usize = 3;

/// When to come back if no relay answers, in milliseconds: another one is found or made in less.
const BACK_NO_RELAY_MS: u64 = 1_200;

/// A request that waits for a grant; given up, it waits no more.
struct Waiting<'a> {
    bank: &'a TokenLedger,
    line: LineKey,
    account: &'a str,
    most: u64,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let mut credit = self.bank.credit.borrow_mut();
        credit.awaits_no_more(self.line, self.account, self.most);
    }
}

impl TokenLedger {
    /// Reserves on a line of credit, with a call to a relay unless there is enough at hand.
    pub(super) async fn draw(
        &self,
        asked: Asked<'_>,
        deadline: Instant,
    ) -> Result<LineKey, Refusal> {
        let Asked { account, most, .. } = asked;
        if let Some(line) = self.credit.borrow_mut().reserve(account, most) {
            return Ok(line);
        }
        let mut refusal = Refusal::ShareShort {
            back_ms: BACK_NO_RELAY_MS,
        };
        let now_ms = self.clock.now_ms();
        let relays = self.roster.borrow().granters(now_ms);
        for at in relays.into_iter().take(MOST_ASKED) {
            match self.ask(at, asked, deadline).await {
                Ok(line) => return Ok(line),
                Err(Some(denied)) => refusal = denied,
                Err(None) => {}
            }
            let is_final = matches!(refusal, Refusal::Exhausted | Refusal::Saved);
            if is_final || Instant::now() >= deadline {
                break;
            }
        }
        Err(refusal)
    }

    /// Asks one relay; no refusal if it does not answer.
    async fn ask(
        &self,
        at: SocketAddr,
        asked: Asked<'_>,
        deadline: Instant,
    ) -> Result<LineKey, Option<Refusal>> {
        let Asked { account, most, .. } = asked;
        // A relay that started anew says so first, and is asked on another line.
        for _ in 0..2 {
            let line = self.credit.borrow_mut().line(at, rand::random());
            self.credit.borrow_mut().awaits(line, account, most);
            let waiting = Waiting {
                bank: self,
                line,
                account,
                most,
            };
            let call = self.credit.borrow_mut().ask(line, account).ok_or(None)?;
            let until = deadline.min(within(PATIENCE_MS));
            let call = CreditCall {
                grant: call,
                asked: Some((asked.rank, most)),
            };
            let granted = self.tell(line, at, &call, until).await;
            drop(waiting);
            let granted = granted.ok_or(None)?;
            if let Some(line) = self.credit.borrow_mut().reserve(account, most) {
                return Ok(line);
            }
            if let Some(denial) = granted.denial {
                return Err(Some(self.refusal(denial, granted.version)));
            }
        }
        Err(None)
    }

    /// Sends a relay a word on credit, and takes its answer in.
    async fn tell(
        &self,
        line: LineKey,
        at: SocketAddr,
        call: &CreditCall,
        until: Instant,
    ) -> Option<Granted> {
        let granted: Granted = self.caller.call(at, GRANT, call, until).await?;
        let mut credit = self.credit.borrow_mut();
        credit.take(line, &call.grant, &granted.grants);
        drop(credit);
        Some(granted)
    }

    /// Returns what a denial means: a relay with an older configuration does not know all totals.
    fn refusal(&self, denial: Denial, version: u64) -> Refusal {
        match denial {
            Denial::Exhausted if version >= self.version.get() => Refusal::Exhausted,
            Denial::Exhausted => Refusal::ShareShort {
                back_ms: BACK_NO_RELAY_MS,
            },
            Denial::Short { back_ms } => Refusal::ShareShort { back_ms },
            Denial::Saved => Refusal::Saved,
        }
    }

    /// Tells relays what was spent and gives back what nobody needs; never ends.
    pub(crate) async fn run_credit_reports(self: Rc<Self>) {
        loop {
            self.report_credit().await;
            sleep(Duration::from_millis(REPORT_MS)).await;
        }
    }

    /// Gives all credit back that nobody needs.
    pub(super) async fn report_credit(&self) {
        let lines = self.credit.borrow().open_lines();
        let reports = lines.into_iter().map(async |(line, at)| {
            let call = self.credit.borrow_mut().report(line, |_| 0);
            if let Some(grant) = call {
                let call = CreditCall { grant, asked: None };
                self.tell(line, at, &call, within(REPORT_PATIENCE_MS)).await;
            }
        });
        join_all(reports).await;
        self.credit.borrow_mut().sweep();
    }

    /// Gives all credit back, as often as it takes until a deadline.
    pub(super) async fn return_credit(&self, until: Instant) {
        while !self.credit.borrow().open_lines().is_empty() && Instant::now() < until {
            let _ = timeout_at(until, self.report_credit()).await;
            sleep(Duration::from_millis(REPORT_MS / 10)).await;
        }
    }
}
