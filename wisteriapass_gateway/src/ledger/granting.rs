//! Granting out of this relay's share to its followers.

use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep};
use wisteriapass_coord::prepaid::{AccountCall, Asked, GrantAnswer, GrantCall, LineId, Settlement};

use super::{Role, TokenLedger};
use crate::refusal::Refusal;

/// Time between two looks for followers that fell silent, in milliseconds.
const LOOK_MS: u64 = 1_000;

/// A follower's word on its credit.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CreditCall {
    /// What was spent and is wanted.
    pub grant: GrantCall,
    /// Rank of the request that asks, and the most that it can cost, in tokens; none if none does.
    pub asked: Option<(u8, u64)>,
}

/// Why a relay granted less than was asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Denial {
    /// The total does not cover it, by the relay's configuration.
    Exhausted,
    /// The share does not cover it; there may be more after a while.
    Short {
        /// When, in milliseconds.
        back_ms: u64,
    },
    /// What is left is saved for more urgent requests.
    Saved,
}

/// A relay's answer to a follower's word on its credit.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Granted {
    /// What is granted.
    pub grants: GrantAnswer,
    /// Why it is less than what was asked for.
    pub denial: Option<Denial>,
    /// Version of the configuration by which the relay knows totals.
    pub version: u64,
}

/// Tokens that are being obtained for a follower; given up, they count no more as such.
struct Coming<'a> {
    bank: &'a TokenLedger,
    line: &'a LineId,
    account: &'a str,
    tokens: u64,
    is_reserved: bool,
}

impl Drop for Coming<'_> {
    fn drop(&mut self) {
        let mut book = self.bank.grants.borrow_mut();
        let is_granted = book.end(self.line, self.account, self.tokens, self.is_reserved);
        drop(book);
        if self.is_reserved && !is_granted {
            self.bank.settle_share(self.account, self.tokens, 0);
        }
    }
}

impl TokenLedger {
    /// Takes a follower's word on its credit in, and grants what it asks for as far as there is.
    pub(crate) async fn grant(self: &Rc<Self>, call: &CreditCall, version: u64) -> Granted {
        let asked = call.asked;
        let call = &call.grant;
        let settled = self.grants.borrow_mut().hear(self.clock.now_ms(), call);
        self.settle_all(settled);
        let mut denial = None;
        for wanted in &call.accounts {
            denial = match asked {
                Some(asked) if self.saves_for(wanted, asked) => Some(Denial::Saved),
                _ => self.grant_one(call, wanted).await.err().or(denial),
            };
        }
        Granted {
            grants: self.grants.borrow().answer(call),
            denial,
            version,
        }
    }

    /// Returns whether a follower's request is refused for more urgent ones of its account.
    fn saves_for(&self, wanted: &AccountCall, (rank, most): (u8, u64)) -> bool {
        let asked = Asked {
            account: &wanted.name,
            rank,
            most,
        };
        self.role() == Role::Relay && self.saves(asked)
    }

    async fn grant_one(
        self: &Rc<Self>,
        call: &GrantCall,
        wanted: &AccountCall,
    ) -> Result<(), Denial> {
        if self.role() != Role::Relay {
            return Err(Denial::Short { back_ms: 0 });
        }
        let tokens = self.grants.borrow_mut().begin(call, wanted);
        if tokens == 0 {
            return Ok(());
        }
        let mut coming = Coming {
            bank: self,
            line: &call.line,
            account: &wanted.name,
            tokens,
            is_reserved: false,
        };
        match self.obtain(&wanted.name, tokens, None).await {
            Ok(()) => {
                coming.is_reserved = true;
                Ok(())
            }
            Err(refusal) => {
                log::info!(
                    target: "money",
                    "Not granted. follower={} account={} tokens={tokens} {} in_touch={}",
                    call.line.follower,
                    wanted.name,
                    self.group(&wanted.name).standing(&wanted.name),
                    self.group(&wanted.name).in_touch.get()
                );
                Err(denial(refusal))
            }
        }
    }

    /// Closes lines of followers that fell silent; never ends.
    pub(super) async fn keep_grants(self: Rc<Self>) {
        loop {
            sleep(Duration::from_millis(LOOK_MS)).await;
            let now_ms = self.clock.now_ms();
            let closed = self.grants.borrow_mut().close_silent(now_ms);
            for gone in &closed {
                let (account, tokens) = (&gone.account, gone.most);
                log::info!(target: "money", "Lost with a follower. account={account} tokens={tokens}");
            }
            self.settle_all(closed);
        }
    }

    /// Returns the followers of this relay that called of late.
    pub(crate) fn followers(&self) -> usize {
        self.grants.borrow().live(self.clock.now_ms())
    }

    /// Waits until nothing is granted any more, at most until a deadline.
    pub(super) async fn grants_end(&self, until: Instant) {
        while self.grants.borrow().open() > 0 && Instant::now() < until {
            sleep(Duration::from_millis(LOOK_MS / 20)).await;
        }
    }

    fn settle_all(&self, settled: Vec<Settlement>) {
        for s in settled {
            self.settle_share(&s.account, s.most, s.used);
        }
    }
}

fn denial(refusal: Refusal) -> Denial {
    match refusal {
        Refusal::Exhausted => Denial::Exhausted,
        Refusal::Saved => Denial::Saved,
        other => Denial::Short {
            back_ms: other.retry_after_ms().unwrap_or_default(),
        },
    }
}
