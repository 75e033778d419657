//! A router's shares in memory: reserve, settle, and what to write next.

mod spend_limit;
mod succession;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::prepaid::account_share::{AccountShare, Scene};
use crate::prepaid::clock_check::ClockCheck;
use crate::prepaid::witness_set::WitnessSet;
use crate::prepaid::{
    AccountStatus, DomainId, HolderEntry, HolderId, Proof, Scarcity, ShareConfig, ShareRecord,
    Stamp, WitnessId,
};

/// Why a reservation was not made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shortfall {
    /// The account's total does not cover it, as far as is known.
    Exhausted,
    /// Its total may cover it, but this router's share does not yet.
    Short,
}

/// The shares of one router process.
#[derive(Debug)]
pub struct ShareHolder {
    id: HolderId,
    process: u64,
    writes: u64,
    sizes: ShareConfig,
    accounts: BTreeMap<String, AccountShare>,
    /// Stamp of the last write that may have reached the service.
    last_sent: Option<Stamp>,
    /// Age of that write by the boot clock as of the last look at it, in milliseconds.
    age_ms: u64,
    witnesses: WitnessSet,
    /// What a witness knows of a predecessor's process, as far as it can be believed.
    testimony: Option<(u64, BTreeMap<String, u64>)>,
    /// What the last succession rests on.
    proof: Option<Proof>,
    /// Whether shares were given back: nothing is reserved any more.
    closed: bool,
    /// When this process started: no predecessor lived later.
    started: Stamp,
    lends_at: Option<SocketAddr>,
    domain: DomainId,
    is_strong: bool,
    followers: u32,
    clock: ClockCheck,
    /// Sealed parts of the predecessor that are whole if the time of day is right, by account.
    claims: BTreeMap<String, u64>,
}

impl ShareHolder {
    /// Creates a holder without shares; `process` is drawn at the start of the process.
    pub fn new(id: HolderId, process: u64, started: Stamp, sizes: ShareConfig) -> Self {
        Self {
            id,
            process,
            writes: 0,
            sizes,
            accounts: BTreeMap::new(),
            last_sent: None,
            age_ms: 0,
            witnesses: WitnessSet::default(),
            testimony: None,
            proof: None,
            closed: false,
            started,
            lends_at: None,
            domain: DomainId::default(),
            is_strong: false,
            followers: 0,
            clock: ClockCheck::default(),
            claims: BTreeMap::new(),
        }
    }

    /// Says where this process lends shares to other routers.
    pub fn with_lending_address(mut self, at: SocketAddr) -> Self {
        self.lends_at = Some(at);
        self
    }

    /// Says in which failure domain this process runs, and whether on a strong VM.
    pub fn with_placement(mut self, domain: DomainId, is_strong: bool) -> Self {
        self.domain = domain;
        self.is_strong = is_strong;
        self
    }

    /// Says for how many routers besides itself this process carries shares.
    pub fn set_followers(&mut self, followers: u32) {
        self.followers = followers;
    }

    /// Lends from this router's share, in tokens: what is asked for or half of what is at hand, if
    /// that is at least `least`, or all that is needed for `least`; else nothing.
    ///
    /// What is lent counts as spent here from now on, so an answer that is lost strands it and
    /// doubles nothing.
    pub fn lend(&mut self, account: &str, ask: u64, least: u64) -> u64 {
        let level = self.level(account);
        let Some(a) = self.accounts.get_mut(account).filter(|_| !self.closed) else {
            return 0;
        };
        let spare = a.spendable(level);
        if spare < least {
            return 0;
        }
        let lent = ask.min(spare / 2).max(least);
        a.used += lent;
        lent
    }

    /// Takes what another router lent, in tokens.
    pub fn borrow(&mut self, account: &str, lent: u64) {
        self.accounts
            .entry(account.to_owned())
            .or_default()
            .borrowed += lent;
    }

    /// Returns what another router has to lend so that `most` fits, in tokens, and what would be
    /// welcome.
    pub fn loan_amounts(&self, now_ms: u64, account: &str, most: u64) -> (u64, u64) {
        let a = self.accounts.get(account).copied().unwrap_or_default();
        a.loan(now_ms, most, self.level(account), &self.sizes)
    }

    /// Returns the mark of the process.
    pub fn process(&self) -> u64 {
        self.process
    }

    /// Returns the name under which shares are held.
    pub fn id(&self) -> &HolderId {
        &self.id
    }

    /// Sets an account's total; one that shrinks takes no share back.
    pub fn set_total(&mut self, account: &str, total: u64) {
        let a = self.accounts.entry(account.to_owned()).or_default();
        a.barren &= a.total == total;
        a.total = total;
    }

    /// Reserves the most that a request can cost, in tokens.
    ///
    /// # Errors
    ///
    /// [`Shortfall`] if the share does not cover it.
    pub fn reserve(&mut self, now_ms: u64, account: &str, most: u64) -> Result<(), Shortfall> {
        if self.closed {
            return Err(Shortfall::Short);
        }
        let level = self.level(account);
        let a = self.accounts.entry(account.to_owned()).or_default();
        if a.spendable(level) >= most {
            a.reserved += most;
            a.draw.add(now_ms, most);
            return Ok(());
        }
        a.wanted = a.wanted.max(most);
        if a.known_used() + most > a.total {
            return Err(Shortfall::Exhausted);
        }
        Err(Shortfall::Short)
    }

    /// Notes that a request of `most` tokens found the share short, once for each request: the
    /// next exchange is to bring as much as all that are waiting or were turned away.
    pub fn note_unserved(&mut self, account: &str, most: u64) {
        let a = self.accounts.entry(account.to_owned()).or_default();
        a.missed = a.missed.saturating_add(most);
    }

    /// Notes that as many tokens will be asked for again, for a lender that had less.
    ///
    /// Not for requests that were turned away here: they come again and again, shares grow by them
    /// beyond what is drawn, and what is held beyond that is lost with its holder.
    pub fn expect_demand(&mut self, now_ms: u64, account: &str, tokens: u64) {
        let a = self.accounts.entry(account.to_owned()).or_default();
        a.draw.add(now_ms, tokens);
    }

    /// Replaces a reservation by what was really used, in tokens.
    pub fn settle(&mut self, account: &str, most: u64, used: u64) {
        let a = self.accounts.entry(account.to_owned()).or_default();
        a.reserved = a.reserved.saturating_sub(most);
        a.used += used.min(most);
    }

    /// Returns whether nothing is reserved.
    pub fn is_idle(&self) -> bool {
        self.accounts.values().all(|a| a.reserved == 0)
    }

    /// Returns whether an exchange is due: a request waits for it, or a share runs low.
    pub fn is_due(&self) -> bool {
        self.accounts.values().any(AccountShare::is_due)
    }

    /// Composes the next state of a record that was read; nothing of it counts before
    /// [`ShareHolder::adopt`].
    ///
    /// What is given back is lowered here at once: it must not be spent while the write is on
    /// its way.
    pub fn compose(&mut self, now_ms: u64, now: Stamp, record: &ShareRecord) -> ShareRecord {
        let mut next = record.clone();
        let agreed = self.clock.look(&self.id, now, record);
        let before = record.holder_entry(&self.id);
        if let Some(before) = before.filter(|t| t.process != self.process) {
            self.succeed(before, &mut next);
        }
        if agreed && now.since(self.started).is_some() {
            self.claim();
        }
        for (name, a) in &mut self.accounts {
            let mut share = next.share(name, &self.id);
            if !a.has_base || before.is_none_or(|t| t.process != self.process) {
                a.has_base = true;
                a.base = share.used;
                a.lost = share.lost;
            }
            // What was claimed since the record was written.
            share.granted -= share.lost.saturating_sub(a.lost).min(share.granted);
            share.lost = a.lost;
            share.wish = a.wish(now_ms, &self.sizes);
            next.set_share(name, &self.id, share);
            let scene = Scene::new(&next, name, a.total, &self.sizes);
            a.compose(&self.sizes, &mut share, scene);
            next.set_share(name, &self.id, share);
        }
        self.sign(&mut next, now, agreed);
        next
    }

    /// Signs a composed record as this process's next write.
    fn sign(&mut self, record: &mut ShareRecord, now: Stamp, agreed: bool) {
        self.writes += 1;
        let tenure = HolderEntry {
            process: self.process,
            write: self.writes,
            stamp: now,
            agreed,
            lends_at: self.lends_at.filter(|_| !self.closed),
            witnesses: self.witnesses.nameable(),
            domain: self.domain,
            followers: self.followers,
            is_strong: self.is_strong,
        };
        self.witnesses.may_be_named(tenure.witnesses);
        record.set_holder_entry(&self.id, tenure);
    }

    /// Notes that a composed record is being sent: it may take effect from now on.
    ///
    /// Returns the mark to give to [`ShareHolder::not_done`].
    pub fn note_sent(&mut self, stamp: Stamp) -> Option<Stamp> {
        self.age_ms = 0;
        self.last_sent.replace(stamp)
    }

    /// Notes that the record sent last cannot take effect any more.
    pub fn note_not_applied(&mut self, before: Option<Stamp>) {
        self.last_sent = before;
    }

    /// Takes over what the service holds, if it holds the last write of this process.
    ///
    /// Returns whether it does. Otherwise a write may come late, and could lower a share that is
    /// believed to be larger: the shares in memory stay as they are until the next write.
    pub fn adopt(&mut self, record: &ShareRecord) -> bool {
        let tenure = record.holder_entry(&self.id);
        if tenure.is_none_or(|t| (t.process, t.write) != (self.process, self.writes)) {
            return false;
        }
        self.clock.confirm();
        let named: Vec<WitnessId> = tenure
            .into_iter()
            .flat_map(|t| t.witnesses)
            .flatten()
            .collect();
        self.witnesses.set_named(&named);
        // An account that became known while the write was under way has no part in it yet.
        for (name, a) in self.accounts.iter_mut().filter(|(_, a)| a.has_base) {
            a.adopt(
                record.share(name, &self.id),
                record.granted(name),
                record.used(name),
                record.lost(name),
            );
        }
        true
    }

    /// Gives everything back that is not spent; for a process that ends in good order.
    pub fn return_unspent(&mut self, now: Stamp, record: &ShareRecord) -> Option<ShareRecord> {
        let tenure = record.holder_entry(&self.id)?;
        if tenure.process != self.process {
            return None;
        }
        self.closed = true;
        let mut next = record.clone();
        for (name, a) in self.accounts.iter_mut().filter(|(_, a)| a.has_base) {
            let share = a.give_back(next.share(name, &self.id));
            next.set_share(name, &self.id, share);
        }
        self.sign(&mut next, now, false);
        Some(next)
    }

    /// Returns what is known of an account.
    pub fn account_status(&self, account: &str) -> AccountStatus {
        let a = self.accounts.get(account).copied().unwrap_or_default();
        a.standing(self.level(account))
    }

    /// Returns how scarce an account is, by a record that was adopted.
    pub fn scarcity(&self, account: &str, record: &ShareRecord) -> Scarcity {
        let a = self.accounts.get(account).copied().unwrap_or_default();
        let lost = a.lost + a.others_lost;
        let gone = a.known_used() + lost;
        let wish = record.share(account, &self.id).wish as f64;
        Scarcity {
            total: a.total,
            remaining: a.total.saturating_sub(gone),
            lost,
            demand_fraction: wish / record.total_wish(account).max(1) as f64,
        }
    }

    /// Returns what this process has settled of an account, in tokens.
    pub fn used(&self, account: &str) -> u64 {
        self.accounts.get(account).map_or(0, |a| a.used)
    }
}
