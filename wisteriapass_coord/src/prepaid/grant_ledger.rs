//! What a relay granted to its followers out of its own share; kept in memory only.
//!
//! A grant is a reservation of the relay's share that lasts until the follower spends or returns
//! it. If the relay dies, everything that it granted is therefore covered by its share.

use std::collections::BTreeMap;

use crate::prepaid::{AccountGrant, AccountUsage, CreditLineId, GrantAnswer, GrantCall};

/// Time without a call after which a credit line is closed, in milliseconds. It is longer than the
/// suspension or restart of a VM takes. What is outstanding on the line counts as spent from then
/// on.
const LINE_TIMEOUT_MS: u64 = 15_000;

/// Time without a call after which a follower no longer counts as live, in milliseconds.
const FOLLOWER_LIVE_MS: u64 = 2_000;

/// Settlement of part of a reservation: of `reserved` tokens, `used` are spent and the rest is free
/// again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settlement {
    /// Account.
    pub account: String,
    /// Tokens that are no longer reserved.
    pub reserved: u64,
    /// The spent part of them, in tokens.
    pub used: u64,
}

/// Sums of one account over the life of a credit line, in tokens.
#[derive(Clone, Copy, Debug, Default)]
struct AccountSums {
    granted: u64,
    /// Requested by calls whose reservation is in progress.
    pending: u64,
    settled: u64,
    returned: u64,
}

/// A credit line.
#[derive(Clone, Debug, Default)]
struct Line {
    last_call_ms: u64,
    accounts: BTreeMap<String, AccountSums>,
    /// Whether the line was closed because its follower was silent; it accepts no calls any more.
    is_closed: bool,
}

/// Grants of one relay process.
#[derive(Clone, Debug)]
pub struct GrantLedger {
    process: u64,
    lines: BTreeMap<CreditLineId, Line>,
}

impl GrantLedger {
    /// Creates an empty ledger; `process` is drawn at random when the process starts.
    pub fn new(process: u64) -> Self {
        Self {
            process,
            lines: BTreeMap::new(),
        }
    }

    /// Applies a call that arrived at `now_ms`, and returns what its follower has spent or returned
    /// since the last call.
    pub fn apply_call(&mut self, now_ms: u64, call: &GrantCall) -> Vec<Settlement> {
        if !self.is_current(call) {
            return Vec::new();
        }
        let line = self.lines.entry(call.line.clone()).or_default();
        line.last_call_ms = now_ms;
        let settle = |usage: &AccountUsage| {
            let sums = line.accounts.get_mut(&usage.name)?;
            sums.settle(usage)
        };
        call.accounts.iter().filter_map(settle).collect()
    }

    /// Returns how many tokens have to be reserved for an account to cover a call, without those
    /// being reserved already. They count as pending until [`GrantLedger::end_grant`].
    pub fn begin_grant(&mut self, call: &GrantCall, usage: &AccountUsage) -> u64 {
        if !self.is_current(call) {
            return 0;
        }
        let line = self.lines.entry(call.line.clone()).or_default();
        let sums = line.accounts.entry(usage.name.clone()).or_default();
        let missing = usage.requested.saturating_sub(sums.granted + sums.pending);
        sums.pending += missing;
        missing
    }

    /// Records whether the tokens returned by [`GrantLedger::begin_grant`] could be reserved.
    ///
    /// Returns whether they are granted. A line that was closed in the meantime accepts no grant.
    pub fn end_grant(
        &mut self,
        line: &CreditLineId,
        account: &str,
        tokens: u64,
        is_reserved: bool,
    ) -> bool {
        let line = self.lines.get_mut(line).filter(|l| !l.is_closed);
        let Some(sums) = line.and_then(|l| l.accounts.get_mut(account)) else {
            return false;
        };
        sums.pending = sums.pending.saturating_sub(tokens);
        if is_reserved {
            sums.granted += tokens;
        }
        is_reserved
    }

    /// Answers a call with the grants of all accounts that have something outstanding, and of those
    /// in the call.
    ///
    /// If the answer that announces a grant is lost, the follower learns of the grant from the next
    /// answer, whatever that answer is about, and returns it if it is no longer needed.
    pub fn answer(&self, call: &GrantCall) -> GrantAnswer {
        let is_asked = |name: &String| call.accounts.iter().any(|usage| usage.name == *name);
        let accounts = self.lines.get(&call.line).into_iter();
        let accounts = accounts.flat_map(|l| &l.accounts);
        let listed = accounts.filter(|(name, g)| g.outstanding() > 0 || is_asked(name));
        let grants = listed.map(|(name, g)| AccountGrant {
            name: name.clone(),
            granted: g.granted,
        });
        GrantAnswer {
            relay: self.process,
            is_unknown_line: !self.is_current(call),
            accounts: grants.collect(),
        }
    }

    /// Closes lines whose followers are silent. What was outstanding on them is returned as spent,
    /// as the followers may have spent it or may still do so.
    pub fn close_silent_lines(&mut self, now_ms: u64) -> Vec<Settlement> {
        let silent = |l: &&mut Line| now_ms.saturating_sub(l.last_call_ms) >= LINE_TIMEOUT_MS;
        let open = self.lines.values_mut().filter(|l| !l.is_closed);
        open.filter(silent).flat_map(Line::close).collect()
    }

    /// Returns the number of followers that called recently.
    pub fn live_followers(&self, now_ms: u64) -> usize {
        let is_live = |l: &Line| now_ms.saturating_sub(l.last_call_ms) < FOLLOWER_LIVE_MS;
        let live = self.lines.iter().filter(|(_, l)| is_live(l));
        let mut names: Vec<_> = live.map(|(id, _)| &id.follower).collect();
        names.dedup();
        names.len()
    }

    /// Returns the tokens that are granted and neither spent nor returned.
    pub fn outstanding(&self) -> u64 {
        let lines = self.lines.values().filter(|l| !l.is_closed);
        let accounts = lines.flat_map(|l| l.accounts.values());
        accounts.map(|g| g.outstanding()).sum()
    }

    /// Returns whether a call is for this process, and for a line that is new or not closed.
    fn is_current(&self, call: &GrantCall) -> bool {
        let is_open = self.lines.get(&call.line).is_none_or(|l| !l.is_closed);
        is_open && call.relay.is_none_or(|relay| relay == self.process)
    }
}

impl Line {
    fn close(&mut self) -> Vec<Settlement> {
        self.is_closed = true;
        let accounts = std::mem::take(&mut self.accounts).into_iter();
        let outstanding = accounts.filter(|(_, g)| g.outstanding() > 0);
        outstanding
            .map(|(account, g)| Settlement {
                account,
                reserved: g.outstanding(),
                used: g.outstanding(),
            })
            .collect()
    }
}

impl AccountSums {
    fn outstanding(&self) -> u64 {
        self.granted.saturating_sub(self.settled + self.returned)
    }

    /// Applies what a follower has spent and returned; `None` if there is nothing new.
    fn settle(&mut self, usage: &AccountUsage) -> Option<Settlement> {
        let used = usage
            .settled
            .saturating_sub(self.settled)
            .min(self.outstanding());
        self.settled += used;
        let returned = usage
            .returned
            .saturating_sub(self.returned)
            .min(self.outstanding());
        self.returned += returned;
        (used + returned > 0).then(|| Settlement {
            account: usage.name.clone(),
            reserved: used + returned,
            used,
        })
    }
}
