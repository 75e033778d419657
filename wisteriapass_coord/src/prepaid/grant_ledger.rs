//! What a relay granted to its followers out of its own share, in memory only.
//!
//! A grant is a reservation of the relay's share that lasts until its follower has spent it or
//! given it back; so a relay that dies leaves nothing behind that its share does not cover.

use std::collections::BTreeMap;

use crate::prepaid::{AccountGrant, AccountUsage, CreditLineId, GrantAnswer, GrantCall};

/// Time without a call after which a line is closed, in milliseconds: longer than a VM is
/// suspended or restarted for; what is open on it counts as spent from then on.
const CLOSE_MS: u64 = 15_000;

/// Time without a call after which a follower counts as gone, in milliseconds.
const LIVE_MS: u64 = 2_000;

/// Part of a reservation that ended: `most` tokens were reserved, of which `used` are spent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settlement {
    /// Account.
    pub account: String,
    /// Tokens that are reserved no more.
    pub reserved: u64,
    /// Tokens of them that are spent.
    pub used: u64,
}

/// Grants on one account of a line.
#[derive(Clone, Copy, Debug, Default)]
struct Granted {
    granted: u64,
    /// Being obtained for calls under way.
    coming: u64,
    settled: u64,
    returned: u64,
}

/// One line.
#[derive(Clone, Debug, Default)]
struct Line {
    heard_ms: u64,
    accounts: BTreeMap<String, Granted>,
    /// Whether it was closed for silence: its sums mean nothing any more.
    is_closed: bool,
}

/// Grants of one relay process.
#[derive(Clone, Debug)]
pub struct GrantLedger {
    process: u64,
    lines: BTreeMap<CreditLineId, Line>,
}

impl GrantLedger {
    /// Creates an empty one; `process` is drawn at the start of the process.
    pub fn new(process: u64) -> Self {
        Self {
            process,
            lines: BTreeMap::new(),
        }
    }

    /// Takes a call in that came at `now_ms`; returns what its follower has spent or given back
    /// since the last one.
    pub fn apply_call(&mut self, now_ms: u64, call: &GrantCall) -> Vec<Settlement> {
        if !self.knows(call) {
            return Vec::new();
        }
        let line = self.lines.entry(call.line.clone()).or_default();
        line.heard_ms = now_ms;
        let settle = |said: &AccountUsage| {
            let granted = line.accounts.get_mut(&said.name)?;
            granted.settle(said)
        };
        call.accounts.iter().filter_map(settle).collect()
    }

    /// Returns the tokens that are missing for what a call wants of an account, and that nobody
    /// obtains for it yet; they count as being obtained until [`GrantBook::end`].
    pub fn begin_grant(&mut self, call: &GrantCall, wanted: &AccountUsage) -> u64 {
        if !self.knows(call) {
            return 0;
        }
        let line = self.lines.entry(call.line.clone()).or_default();
        let granted = line.accounts.entry(wanted.name.clone()).or_default();
        let missing = wanted
            .requested
            .saturating_sub(granted.granted + granted.coming);
        granted.coming += missing;
        missing
    }

    /// Notes that tokens were reserved for a line, or could not be.
    ///
    /// Returns whether they are granted; a line that was closed meanwhile takes none.
    pub fn end_grant(
        &mut self,
        line: &CreditLineId,
        account: &str,
        tokens: u64,
        is_reserved: bool,
    ) -> bool {
        let line = self.lines.get_mut(line).filter(|l| !l.is_closed);
        let Some(granted) = line.and_then(|l| l.accounts.get_mut(account)) else {
            return false;
        };
        granted.coming = granted.coming.saturating_sub(tokens);
        if is_reserved {
            granted.granted += tokens;
        }
        is_reserved
    }

    /// Answers a call: says what is granted of all accounts that have something open, and of those
    /// asked about.
    ///
    /// A grant whose answer was lost is known to its follower by the next answer, whatever that
    /// is about, and given back if nobody needs it any more.
    pub fn answer(&self, call: &GrantCall) -> GrantAnswer {
        let is_asked = |name: &String| call.accounts.iter().any(|said| said.name == *name);
        let accounts = self.lines.get(&call.line).into_iter();
        let accounts = accounts.flat_map(|l| &l.accounts);
        let told = accounts.filter(|(name, g)| g.open() > 0 || is_asked(name));
        let grants = told.map(|(name, g)| AccountGrant {
            name: name.clone(),
            granted: g.granted,
        });
        GrantAnswer {
            relay: self.process,
            is_unknown_line: !self.knows(call),
            accounts: grants.collect(),
        }
    }

    /// Closes lines that fell silent; returns what was open on them, all of it as spent: their
    /// followers may have spent it, and may yet.
    pub fn close_silent_lines(&mut self, now_ms: u64) -> Vec<Settlement> {
        let silent = |l: &&mut Line| now_ms.saturating_sub(l.heard_ms) >= CLOSE_MS;
        let open = self.lines.values_mut().filter(|l| !l.is_closed);
        open.filter(silent).flat_map(Line::close).collect()
    }

    /// Returns the followers that called of late.
    pub fn live_followers(&self, now_ms: u64) -> usize {
        let is_live = |l: &Line| now_ms.saturating_sub(l.heard_ms) < LIVE_MS;
        let live = self.lines.iter().filter(|(_, l)| is_live(l));
        let mut names: Vec<_> = live.map(|(id, _)| &id.follower).collect();
        names.dedup();
        names.len()
    }

    /// Returns the tokens that are granted and neither spent nor given back.
    pub fn outstanding(&self) -> u64 {
        let lines = self.lines.values().filter(|l| !l.is_closed);
        let accounts = lines.flat_map(|l| l.accounts.values());
        accounts.map(|g| g.open()).sum()
    }

    /// Returns whether a call's sums are about this process and a line that is open, or a new one.
    fn knows(&self, call: &GrantCall) -> bool {
        let is_open = self.lines.get(&call.line).is_none_or(|l| !l.is_closed);
        is_open && call.relay.is_none_or(|relay| relay == self.process)
    }
}

impl Line {
    fn close(&mut self) -> Vec<Settlement> {
        self.is_closed = true;
        let accounts = std::mem::take(&mut self.accounts).into_iter();
        let open = accounts.filter(|(_, g)| g.open() > 0);
        open.map(|(account, g)| Settlement {
            account,
            reserved: g.open(),
            used: g.open(),
        })
        .collect()
    }
}

impl Granted {
    fn open(&self) -> u64 {
        self.granted.saturating_sub(self.settled + self.returned)
    }

    /// Takes in what a follower spent and gave back; `None` if that is nothing new.
    fn settle(&mut self, said: &AccountUsage) -> Option<Settlement> {
        let used = said.settled.saturating_sub(self.settled).min(self.open());
        self.settled += used;
        let back = said.returned.saturating_sub(self.returned).min(self.open());
        self.returned += back;
        (used + back > 0).then(|| Settlement {
            account: said.name.clone(),
            reserved: used + back,
            used,
        })
    }
}
