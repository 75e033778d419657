//! What relays granted to a follower, and what the follower has spent of it.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use slotmap::{SlotMap, new_key_type};

use crate::prepaid::{AccountUsage, CreditLineId, GrantAnswer, GrantCall, HolderId};

new_key_type! {
    /// Key of a credit line at its follower.
    pub struct CreditLineKey;
}

/// A follower's balance of one account on one line, in tokens.
#[derive(Clone, Copy, Debug, Default)]
struct Balance {
    granted: u64,
    settled: u64,
    returned: u64,
    /// Reserved by requests in progress.
    reserved: u64,
    /// Needed by requests that wait for a grant.
    awaited: u64,
    /// Settled and returned sums that the relay is known to have received.
    acknowledged: (u64, u64),
}

/// A credit line.
#[derive(Clone, Debug)]
struct CreditLine {
    id: CreditLineId,
    at: SocketAddr,
    relay: Option<u64>,
    accounts: BTreeMap<String, Balance>,
    /// Whether the line is closed because its relay no longer accepts it: what the relay granted
    /// may be spent, but nothing is added.
    is_closed: bool,
    /// Whether more may be granted than is known, because an answer may have been lost.
    is_unsure: bool,
}

/// The credit of one follower process.
#[derive(Clone, Debug)]
pub struct Credit {
    follower: HolderId,
    lines: SlotMap<CreditLineKey, CreditLine>,
}

impl Credit {
    /// Creates a follower's credit without lines.
    pub fn new(follower: HolderId) -> Self {
        Self {
            follower,
            lines: SlotMap::with_key(),
        }
    }

    /// Reserves the maximum cost of a request on one line.
    pub fn reserve(&mut self, account: &str, max_cost: u64) -> Option<CreditLineKey> {
        let mut lines = self.lines.iter_mut();
        lines.find_map(|(key, line)| line.reserve(account, max_cost).then_some(key))
    }

    /// Returns whether [`Credit::reserve`] would reserve the maximum cost of a request now.
    pub fn covers(&self, account: &str, max_cost: u64) -> bool {
        let mut lines = self.lines.values();
        lines.any(|line| line.covers(account, max_cost))
    }

    /// Reserves more for a request that has a reservation on a line.
    pub fn reserve_more(&mut self, key: CreditLineKey, account: &str, tokens: u64) -> bool {
        let line = self.lines.get_mut(key);
        line.is_some_and(|line| line.reserve(account, tokens))
    }

    /// Replaces a reservation by the actual cost, in tokens.
    pub fn settle(&mut self, key: CreditLineKey, account: &str, max_cost: u64, used: u64) {
        let line = self.lines.get_mut(key);
        let Some(balance) = line.and_then(|line| line.accounts.get_mut(account)) else {
            return;
        };
        balance.reserved = balance.reserved.saturating_sub(max_cost);
        balance.settled += used.min(max_cost);
    }

    /// Returns the line to the relay at an address, and opens one with this `nonce` if there is
    /// none.
    pub fn open_line(&mut self, at: SocketAddr, nonce: u64) -> CreditLineKey {
        let mut active = self
            .lines
            .iter()
            .filter(|(_, l)| !l.is_closed && l.at == at);
        if let Some((key, _)) = active.next() {
            return key;
        }
        self.lines.insert(CreditLine {
            id: CreditLineId {
                follower: self.follower.clone(),
                nonce,
            },
            at,
            relay: None,
            accounts: BTreeMap::new(),
            is_closed: false,
            is_unsure: false,
        })
    }

    /// Notes that a request waits for `max_cost` tokens on a line, until [`Credit::end_wait`].
    pub fn begin_wait(&mut self, key: CreditLineKey, account: &str, max_cost: u64) {
        if let Some(line) = self.lines.get_mut(key) {
            let balance = line.accounts.entry(account.to_owned()).or_default();
            balance.awaited += max_cost;
        }
    }

    /// Notes that such a request no longer waits.
    pub fn end_wait(&mut self, key: CreditLineKey, account: &str, max_cost: u64) {
        let line = self.lines.get_mut(key);
        if let Some(balance) = line.and_then(|line| line.accounts.get_mut(account)) {
            balance.awaited = balance.awaited.saturating_sub(max_cost);
        }
    }

    /// Composes the call that requests a grant of one account.
    pub fn compose_request(&mut self, key: CreditLineKey, account: &str) -> Option<GrantCall> {
        let line = self.lines.get_mut(key).filter(|line| !line.is_closed)?;
        line.is_unsure = true;
        let balance = line.accounts.get(account).copied().unwrap_or_default();
        Some(line.call([balance.usage(account)]))
    }

    /// Composes the call that reports what the relay does not know yet of any account, and returns
    /// what is not needed. `keep` returns how much of an account to keep, in tokens.
    pub fn compose_report(
        &mut self,
        key: CreditLineKey,
        keep: impl Fn(&str) -> u64,
    ) -> Option<GrantCall> {
        let line = self.lines.get_mut(key).filter(|line| !line.is_closed)?;
        for (account, balance) in &mut line.accounts {
            balance.return_unneeded(keep(account));
        }
        let unreported = line.accounts.iter().filter(|(_, b)| b.has_unreported());
        let usage: Vec<AccountUsage> = unreported.map(|(account, b)| b.usage(account)).collect();
        Some(line.call(usage))
    }

    /// Applies a relay's answer to a call.
    pub fn apply_answer(&mut self, key: CreditLineKey, call: &GrantCall, answer: &GrantAnswer) {
        let Some(line) = self.lines.get_mut(key) else {
            return;
        };
        let is_other = line.relay.is_some_and(|relay| relay != answer.relay);
        if is_other || answer.is_unknown_line {
            line.is_closed = true;
            return;
        }
        line.relay = Some(answer.relay);
        // Calls that requests still wait for may be granted after this answer.
        line.is_unsure &= line.accounts.values().any(|b| b.awaited > 0);
        for grant in &answer.accounts {
            let balance = line.accounts.entry(grant.name.clone()).or_default();
            balance.granted = balance.granted.max(grant.granted);
        }
        for usage in &call.accounts {
            let balance = line.accounts.entry(usage.name.clone()).or_default();
            let (settled, returned) = balance.acknowledged;
            balance.acknowledged = (settled.max(usage.settled), returned.max(usage.returned));
        }
    }

    /// Returns the lines that have something outstanding or to report, with the addresses of their
    /// relays.
    pub fn active_lines(&self) -> Vec<(CreditLineKey, SocketAddr)> {
        let valid = self.lines.iter().filter(|(_, line)| !line.is_closed);
        let is_active = |l: &CreditLine| l.is_unsure || l.accounts.values().any(Balance::is_active);
        let active = valid.filter(|(_, line)| is_active(line));
        active.map(|(key, line)| (key, line.at)).collect()
    }

    /// Returns the address of a line's relay.
    pub fn relay_address(&self, key: CreditLineKey) -> Option<SocketAddr> {
        self.lines.get(key).map(|line| line.at)
    }

    /// Removes closed lines on which no request holds a reservation or waits.
    pub fn remove_closed_lines(&mut self) {
        self.lines.retain(|_, line| {
            let is_needed = |b: &Balance| b.reserved > 0 || b.awaited > 0;
            !line.is_closed || line.accounts.values().any(is_needed)
        });
    }

    /// Returns what can be reserved of an account at once, in tokens, on the line that has most.
    pub fn available(&self, account: &str) -> u64 {
        let balances = self.lines.values().filter_map(|l| l.accounts.get(account));
        balances.map(|b| b.free()).max().unwrap_or_default()
    }
}

impl CreditLine {
    fn covers(&self, account: &str, max_cost: u64) -> bool {
        let balance = self.accounts.get(account);
        balance.is_some_and(|balance| balance.free() >= max_cost)
    }

    fn reserve(&mut self, account: &str, max_cost: u64) -> bool {
        if !self.covers(account, max_cost) {
            return false;
        }
        let Some(balance) = self.accounts.get_mut(account) else {
            return false;
        };
        balance.reserved += max_cost;
        true
    }

    fn call(&self, accounts: impl IntoIterator<Item = AccountUsage>) -> GrantCall {
        GrantCall {
            line: self.id.clone(),
            relay: self.relay,
            accounts: accounts.into_iter().collect(),
        }
    }
}

impl Balance {
    /// Returns what can be reserved.
    fn free(&self) -> u64 {
        self.granted
            .saturating_sub(self.settled + self.returned + self.reserved)
    }

    /// Returns what is spent, returned, reserved or waited for.
    fn needed(&self) -> u64 {
        self.settled + self.returned + self.reserved + self.awaited
    }

    fn usage(&self, account: &str) -> AccountUsage {
        AccountUsage {
            name: account.to_owned(),
            settled: self.settled,
            returned: self.returned,
            requested: self.needed(),
        }
    }

    fn return_unneeded(&mut self, keep: u64) {
        let kept = self.awaited.max(keep);
        self.returned += self.free().saturating_sub(kept);
    }

    fn has_unreported(&self) -> bool {
        self.acknowledged != (self.settled, self.returned)
    }

    fn is_active(&self) -> bool {
        self.has_unreported() || self.granted > self.settled + self.returned
    }
}
