//! What relays granted to a follower, and what it has spent of that.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use slotmap::{SlotMap, new_key_type};

use crate::prepaid::{AccountUsage, CreditLineId, GrantAnswer, GrantCall, HolderId};

new_key_type! {
    /// Names a line of credit at its follower.
    pub struct CreditLineKey;
}

/// What a follower has of one account on one line, in tokens.
#[derive(Clone, Copy, Debug, Default)]
struct Balance {
    granted: u64,
    settled: u64,
    returned: u64,
    /// Reserved by requests under way.
    reserved: u64,
    /// Needed by requests that wait for a grant.
    awaited: u64,
    /// What the relay is known to have heard as settled and returned.
    told: (u64, u64),
}

/// One line.
#[derive(Clone, Debug)]
struct Line {
    id: CreditLineId,
    at: SocketAddr,
    relay: Option<u64>,
    accounts: BTreeMap<String, Balance>,
    /// Whether its relay knows it no more: what it granted may be spent, and no more comes.
    is_void: bool,
    /// Whether more may be granted than is known: an answer may have been lost.
    is_unsure: bool,
}

/// The credit of one follower process.
#[derive(Clone, Debug)]
pub struct Credit {
    follower: HolderId,
    lines: SlotMap<CreditLineKey, Line>,
}

impl Credit {
    /// Creates a follower's credit without lines.
    pub fn new(follower: HolderId) -> Self {
        Self {
            follower,
            lines: SlotMap::with_key(),
        }
    }

    /// Reserves the most that a request can cost, on one line.
    pub fn reserve(&mut self, account: &str, most: u64) -> Option<CreditLineKey> {
        let mut lines = self.lines.iter_mut();
        lines.find_map(|(key, line)| line.reserve(account, most).then_some(key))
    }

    /// Reserves more for a request that reserved on a line.
    pub fn reserve_more(&mut self, key: CreditLineKey, account: &str, tokens: u64) -> bool {
        let line = self.lines.get_mut(key);
        line.is_some_and(|line| line.reserve(account, tokens))
    }

    /// Replaces a reservation by what was really used, in tokens.
    pub fn settle(&mut self, key: CreditLineKey, account: &str, most: u64, used: u64) {
        let line = self.lines.get_mut(key);
        let Some(balance) = line.and_then(|line| line.accounts.get_mut(account)) else {
            return;
        };
        balance.reserved = balance.reserved.saturating_sub(most);
        balance.settled += used.min(most);
    }

    /// Returns the line on which a relay at an address grants, opened with this `draw` if there is
    /// none.
    pub fn open_line(&mut self, at: SocketAddr, nonce: u64) -> CreditLineKey {
        let mut open = self.lines.iter().filter(|(_, l)| !l.is_void && l.at == at);
        if let Some((key, _)) = open.next() {
            return key;
        }
        self.lines.insert(Line {
            id: CreditLineId {
                follower: self.follower.clone(),
                nonce,
            },
            at,
            relay: None,
            accounts: BTreeMap::new(),
            is_void: false,
            is_unsure: false,
        })
    }

    /// Notes that a request waits for `most` tokens on a line, until [`Credit::awaits_no_more`].
    pub fn begin_wait(&mut self, key: CreditLineKey, account: &str, most: u64) {
        if let Some(line) = self.lines.get_mut(key) {
            let balance = line.accounts.entry(account.to_owned()).or_default();
            balance.awaited += most;
        }
    }

    /// Notes that such a request waits no more.
    pub fn end_wait(&mut self, key: CreditLineKey, account: &str, most: u64) {
        let line = self.lines.get_mut(key);
        if let Some(balance) = line.and_then(|line| line.accounts.get_mut(account)) {
            balance.awaited = balance.awaited.saturating_sub(most);
        }
    }

    /// Composes the call that asks for one account.
    pub fn compose_request(&mut self, key: CreditLineKey, account: &str) -> Option<GrantCall> {
        let line = self.lines.get_mut(key).filter(|line| !line.is_void)?;
        line.is_unsure = true;
        let balance = line.accounts.get(account).copied().unwrap_or_default();
        Some(line.call([balance.said(account)]))
    }

    /// Composes the call that tells of all accounts what the relay does not know yet, and gives
    /// back what nobody needs here; `keep` says how much of an account is worth keeping, in tokens.
    pub fn compose_report(
        &mut self,
        key: CreditLineKey,
        keep: impl Fn(&str) -> u64,
    ) -> Option<GrantCall> {
        let line = self.lines.get_mut(key).filter(|line| !line.is_void)?;
        for (account, balance) in &mut line.accounts {
            balance.give_back(keep(account));
        }
        let news = line.accounts.iter().filter(|(_, b)| b.has_news());
        let said: Vec<AccountUsage> = news.map(|(account, b)| b.said(account)).collect();
        Some(line.call(said))
    }

    /// Takes a relay's answer to a call in.
    pub fn apply_answer(&mut self, key: CreditLineKey, call: &GrantCall, answer: &GrantAnswer) {
        let Some(line) = self.lines.get_mut(key) else {
            return;
        };
        let is_other = line.relay.is_some_and(|relay| relay != answer.relay);
        if is_other || answer.is_unknown_line {
            line.is_void = true;
            return;
        }
        line.relay = Some(answer.relay);
        // Calls that somebody still waits for may be granted behind this answer.
        line.is_unsure &= line.accounts.values().any(|b| b.awaited > 0);
        for grant in &answer.accounts {
            let balance = line.accounts.entry(grant.name.clone()).or_default();
            balance.granted = balance.granted.max(grant.granted);
        }
        for said in &call.accounts {
            let balance = line.accounts.entry(said.name.clone()).or_default();
            let (settled, returned) = balance.told;
            balance.told = (settled.max(said.settled), returned.max(said.returned));
        }
    }

    /// Returns the lines that have something open or to tell, with the addresses of their relays.
    pub fn active_lines(&self) -> Vec<(CreditLineKey, SocketAddr)> {
        let alive = self.lines.iter().filter(|(_, line)| !line.is_void);
        let is_open = |l: &Line| l.is_unsure || l.accounts.values().any(Balance::is_open);
        let open = alive.filter(|(_, line)| is_open(line));
        open.map(|(key, line)| (key, line.at)).collect()
    }

    /// Returns the address of a line's relay.
    pub fn relay_address(&self, key: CreditLineKey) -> Option<SocketAddr> {
        self.lines.get(key).map(|line| line.at)
    }

    /// Forgets lines on which nothing is left to tell or to settle.
    pub fn remove_closed_lines(&mut self) {
        self.lines.retain(|_, line| {
            let is_needed = |b: &Balance| b.reserved > 0 || b.awaited > 0;
            !line.is_void || line.accounts.values().any(is_needed)
        });
    }

    /// Returns what may be reserved of an account at once, in tokens, on the line that has most.
    pub fn available(&self, account: &str) -> u64 {
        let balances = self.lines.values().filter_map(|l| l.accounts.get(account));
        balances.map(|b| b.free()).max().unwrap_or_default()
    }
}

impl Line {
    fn reserve(&mut self, account: &str, most: u64) -> bool {
        let balance = self.accounts.get_mut(account);
        let Some(balance) = balance.filter(|b| b.free() >= most) else {
            return false;
        };
        balance.reserved += most;
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
    /// Returns what may be reserved.
    fn free(&self) -> u64 {
        self.granted
            .saturating_sub(self.settled + self.returned + self.reserved)
    }

    /// Returns what is spent, given back, reserved or waited for.
    fn needed(&self) -> u64 {
        self.settled + self.returned + self.reserved + self.awaited
    }

    fn said(&self, account: &str) -> AccountUsage {
        AccountUsage {
            name: account.to_owned(),
            settled: self.settled,
            returned: self.returned,
            requested: self.needed(),
        }
    }

    fn give_back(&mut self, keep: u64) {
        let kept = self.awaited.max(keep);
        self.returned += self.free().saturating_sub(kept);
    }

    fn has_news(&self) -> bool {
        self.told != (self.settled, self.returned)
    }

    fn is_open(&self) -> bool {
        self.has_news() || self.granted > self.settled + self.returned
    }
}
