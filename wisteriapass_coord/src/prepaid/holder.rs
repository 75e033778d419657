//! The shares of one router in memory: reserve, settle, and compose the next write.

mod loans;
mod spend_limit;
mod status;
mod succession;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use crate::prepaid::account_share::AccountShare;
use crate::prepaid::allocation_limits::AllocationLimits;
use crate::prepaid::clock_check::ClockCheck;
use crate::prepaid::witness_set::WitnessSet;
use crate::prepaid::{
    DomainId, HolderEntry, HolderId, ShareConfig, ShareRecord, Stamp, SuccessionProof, Totals,
    WitnessId,
};

/// Reasons why a reservation was not made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShareShortfall {
    /// As far as is known, the account's total does not cover it.
    Exhausted,
    /// The total may cover it, but this router's share does not yet.
    Short,
    /// The share covers it once its witnesses acknowledge that it may be spent.
    AwaitsReceipts,
}

/// The shares of one router process.
#[derive(Debug)]
pub struct ShareHolder {
    id: HolderId,
    process: u64,
    writes: u64,
    config: ShareConfig,
    totals: Rc<Totals>,
    accounts: BTreeMap<String, AccountShare>,
    /// Stamp of the last write that may have reached the store.
    last_sent: Option<Stamp>,
    /// Age of that write by the boot clock when it was last checked, in milliseconds.
    age_ms: u64,
    witnesses: WitnessSet,
    /// Process of a predecessor, and the spending limits that a trusted witness reported for it.
    witness_limits: Option<(u64, BTreeMap<String, u64>)>,
    /// Evidence for the last succession.
    proof: Option<SuccessionProof>,
    /// Time from the predecessor's last write to the start of this process, in milliseconds.
    silent_ms: Option<u64>,
    /// Whether each write returns all that no request in progress needs.
    is_stopping: bool,
    /// Whether the shares were returned; nothing can be reserved after that.
    closed: bool,
    /// When this process started; no predecessor was alive later.
    started: Stamp,
    lends_at: Option<SocketAddr>,
    domain: DomainId,
    is_strong: bool,
    followers: u32,
    clock: ClockCheck,
    /// Sealed parts of the predecessor that are intact if the time of day is right, by account.
    recoverable: BTreeMap<String, u64>,
}

impl ShareHolder {
    /// Creates a holder without shares of these totals; `process` is drawn at random when the process
    /// starts.
    pub fn new(
        id: HolderId,
        process: u64,
        started: Stamp,
        config: ShareConfig,
        totals: Rc<Totals>,
    ) -> Self {
        Self {
            id,
            process,
            writes: 0,
            config,
            totals,
            accounts: BTreeMap::new(),
            last_sent: None,
            age_ms: 0,
            witnesses: WitnessSet::default(),
            witness_limits: None,
            proof: None,
            silent_ms: None,
            is_stopping: false,
            closed: false,
            started,
            lends_at: None,
            domain: DomainId::default(),
            is_strong: false,
            followers: 0,
            clock: ClockCheck::default(),
            recoverable: BTreeMap::new(),
        }
    }

    /// Sets the address at which this process lends shares to other routers.
    pub fn with_lending_address(mut self, at: SocketAddr) -> Self {
        self.lends_at = Some(at);
        self
    }

    /// Sets the failure domain of this process, and whether its VM is a strong one.
    pub fn with_placement(mut self, domain: DomainId, is_strong: bool) -> Self {
        self.domain = domain;
        self.is_strong = is_strong;
        self
    }

    /// Sets when this process is known to be the only one of its VM. It is not earlier than its start,
    /// and before its first exchange.
    pub fn set_started(&mut self, started: Stamp) {
        self.started = started;
    }

    /// Sets the number of routers besides itself that this process carries shares for.
    pub fn set_followers(&mut self, followers: u32) {
        self.followers = followers;
    }

    /// Returns the number that identifies the process.
    pub fn process(&self) -> u64 {
        self.process
    }

    /// Returns the ID under which shares are held.
    pub fn id(&self) -> &HolderId {
        &self.id
    }

    /// Replaces the totals. A smaller total does not reduce the share.
    pub fn set_totals(&mut self, totals: Rc<Totals>) {
        self.totals = totals;
    }

    /// Returns an account's total, in tokens; 0 if it is not known, as nothing is granted then.
    fn total(&self, account: &str) -> u64 {
        self.totals.of(account).unwrap_or_default()
    }

    /// Reserves the maximum cost of a request, in tokens.
    ///
    /// # Errors
    ///
    /// Returns [`ShareShortfall`] if the share does not cover it.
    pub fn reserve(
        &mut self,
        now_ms: u64,
        account: &str,
        max_cost: u64,
    ) -> Result<(), ShareShortfall> {
        let covered = self.check(account, max_cost);
        if self.closed {
            return covered;
        }
        let account_share = self.accounts.entry(account.to_owned()).or_default();
        match covered {
            Ok(()) => {
                account_share.reserved += max_cost;
                account_share.demand.add(now_ms, max_cost);
            }
            Err(ShareShortfall::AwaitsReceipts) => {}
            Err(ShareShortfall::Exhausted | ShareShortfall::Short) => {
                account_share.unserved.largest = account_share.unserved.largest.max(max_cost);
            }
        }
        covered
    }

    /// Notes a request that the share did not cover, once for each request. The next exchange
    /// requests enough for all requests that wait or were refused.
    pub fn note_unserved(&mut self, account: &str, max_cost: u64) {
        let account_share = self.accounts.entry(account.to_owned()).or_default();
        account_share.unserved.note(max_cost);
    }

    /// Adds expected demand, for a lender that could not lend the whole amount.
    ///
    /// Not for requests that were refused here: they are retried again and again, so the share
    /// would grow beyond the real demand, and whatever a holder has beyond that is lost when it
    /// dies.
    pub fn expect_demand(&mut self, now_ms: u64, account: &str, tokens: u64) {
        let account_share = self.accounts.entry(account.to_owned()).or_default();
        account_share.demand.add(now_ms, tokens);
    }

    /// Replaces a reservation by the actual cost, in tokens.
    pub fn settle(&mut self, account: &str, max_cost: u64, used: u64) {
        let account_share = self.accounts.entry(account.to_owned()).or_default();
        account_share.reserved = account_share.reserved.saturating_sub(max_cost);
        account_share.used += used.min(max_cost);
    }

    /// Returns whether nothing is reserved.
    pub fn is_idle(&self) -> bool {
        self.accounts.values().all(|a| a.reserved == 0)
    }

    /// Returns whether an exchange is due: a request waits for it, or a share runs low.
    pub fn is_due(&self) -> bool {
        let is_due = |(name, a): (&String, &AccountShare)| {
            a.is_due(self.total(name), self.limit_with_receipts(name))
        };
        self.accounts.iter().any(is_due)
    }

    /// Composes the next state of a record that was read. It takes effect with
    /// [`ShareHolder::adopt`].
    ///
    /// What is returned is deducted here at once, as it must not be spent while the write is in
    /// progress.
    pub fn compose(&mut self, now_ms: u64, now: Stamp, record: &ShareRecord) -> ShareRecord {
        let mut next = record.clone();
        let agreed = self.clock.check(&self.id, now, record);
        let before = record.holder_entry(&self.id);
        if let Some(before) = before.filter(|e| e.process != self.process) {
            self.take_over(before, &mut next);
        }
        if agreed && now.since(self.started).is_some() {
            self.recover_sealed();
        }
        for name in self.totals.accounts() {
            self.accounts.entry(name.to_owned()).or_default();
        }
        for (name, account_share) in &mut self.accounts {
            let mut share = next.share(name, &self.id);
            if !account_share.is_initialized || before.is_none_or(|e| e.process != self.process) {
                account_share.is_initialized = true;
                account_share.predecessor_used = share.used;
                account_share.lost = share.lost;
            }
            // Sealed parts that were recovered since the record was written.
            share.granted -= share
                .lost
                .saturating_sub(account_share.lost)
                .min(share.granted);
            share.lost = account_share.lost;
            share.wish = account_share.wish(now_ms, &self.config);
            if self.is_stopping {
                share.wish = 0;
            }
            next.set_share(name, &self.id, share);
            let total = self.totals.of(name).unwrap_or_default();
            let limits = AllocationLimits::new(&next, name, total, &self.config);
            let limits = limits.with_idle_share(!self.is_stopping);
            account_share.update_share(&self.config, &mut share, limits);
            next.set_share(name, &self.id, share);
        }
        self.set_own_entry(&mut next, now, agreed);
        next
    }

    /// Sets this process's holder entry in a composed record, as its next write.
    fn set_own_entry(&mut self, record: &mut ShareRecord, now: Stamp, agreed: bool) {
        self.writes += 1;
        let entry = HolderEntry {
            process: self.process,
            write: self.writes,
            stamp: now,
            agreed,
            lends_at: self.lends_at.filter(|_| !self.closed),
            witnesses: self.witnesses.nameable(),
            domain: self.domain,
            followers: self.followers,
            is_strong: self.is_strong,
            opening: self.config.opening,
        };
        self.witnesses.add_named(entry.witnesses);
        record.set_holder_entry(&self.id, entry);
    }

    /// Notes that a composed record is being sent; from now on it may take effect.
    ///
    /// Returns the value to pass to [`ShareHolder::note_not_applied`].
    pub fn note_sent(&mut self, stamp: Stamp) -> Option<Stamp> {
        self.age_ms = 0;
        self.last_sent.replace(stamp)
    }

    /// Notes that the record sent last can no longer take effect.
    pub fn note_not_applied(&mut self, before: Option<Stamp>) {
        self.last_sent = before;
    }

    /// Adopts the record that the store holds, if it contains the last write of this process.
    ///
    /// Returns whether it does. Otherwise an earlier write may still arrive and lower a share that
    /// this process believes to be larger, so the shares in memory stay as they are until the next
    /// write.
    pub fn adopt(&mut self, record: &ShareRecord) -> bool {
        let entry = record.holder_entry(&self.id);
        if entry.is_none_or(|e| (e.process, e.write) != (self.process, self.writes)) {
            return false;
        }
        self.clock.confirm();
        let named: Vec<WitnessId> = entry
            .into_iter()
            .flat_map(|e| e.witnesses)
            .flatten()
            .collect();
        self.witnesses.set_named(&named);
        // An account that was added while the write was in progress has no share in it yet.
        for (name, account_share) in self.accounts.iter_mut().filter(|(_, a)| a.is_initialized) {
            account_share.adopt(
                record.share(name, &self.id),
                (record.granted(name), record.used(name), record.lost(name)),
                &self.config,
            );
        }
        true
    }

    /// Has each further write return all that no request in progress needs, when the process takes
    /// no new requests.
    pub fn set_stopping(&mut self) {
        self.is_stopping = true;
    }

    /// Returns all unspent tokens, when the process ends in an orderly way.
    pub fn return_unspent(&mut self, now: Stamp, record: &ShareRecord) -> Option<ShareRecord> {
        let entry = record.holder_entry(&self.id)?;
        if entry.process != self.process {
            return None;
        }
        self.closed = true;
        let mut next = record.clone();
        for (name, account_share) in self.accounts.iter_mut().filter(|(_, a)| a.is_initialized) {
            let share = account_share.return_unspent(next.share(name, &self.id));
            next.set_share(name, &self.id, share);
        }
        self.set_own_entry(&mut next, now, false);
        Some(next)
    }

    /// Returns what this process has settled of an account, in tokens.
    pub fn used(&self, account: &str) -> u64 {
        self.accounts.get(account).map_or(0, |a| a.used)
    }
}
