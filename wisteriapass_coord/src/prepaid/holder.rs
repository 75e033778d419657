//! A router's shares in memory: reserve, settle, and what to write next.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use derive_more::Display;

use crate::prepaid::account_share::{AccountShare, Scene};
use crate::prepaid::attests::Attests;
use crate::prepaid::clock_check::ClockCheck;
use crate::prepaid::stamp::AGREE_MS;
use crate::prepaid::{
    HolderId, Inquiry, Receipt, Report, ShareRecord, ShareSizes, Stamp, Standing, Tenure,
    Testimony, WitnessId,
};

/// Why a reservation was not made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shortfall {
    /// The account's total does not cover it, as far as is known.
    Exhausted,
    /// Its total may cover it, but this router's share does not yet.
    Short,
}

/// Steps in which the time is looked for after which a sealed part is open far enough, in
/// milliseconds: callers are told no more precisely.
const OPENS_STEP_MS: usize = 100;

/// What says how far a dead predecessor can have spent its shares.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Proof {
    /// Its seals are whole: its last write was young enough.
    #[display("seal")]
    Seal,
    /// A witness that it named.
    #[display("witness")]
    Witness,
    /// Its seals may be whole by the time of day, if that is confirmed.
    #[display("time_of_day")]
    TimeOfDay,
    /// Nothing: all that it held is lost.
    #[display("none")]
    Nothing,
}

/// The shares of one router process.
#[derive(Debug)]
pub struct ShareHolder {
    id: HolderId,
    process: u64,
    writes: u64,
    sizes: ShareSizes,
    accounts: BTreeMap<String, AccountShare>,
    /// Stamp of the last write that may have reached the service.
    last_sent: Option<Stamp>,
    /// Age of that write by the boot clock as of the last look at it, in milliseconds.
    age_ms: u64,
    attests: Attests,
    /// What a witness knows of a predecessor's process, as far as it can be believed.
    testimony: Option<(u64, BTreeMap<String, u64>)>,
    /// What the last succession rests on.
    proof: Option<Proof>,
    /// Whether shares were given back: nothing is reserved any more.
    closed: bool,
    /// When this process started: no predecessor lived later.
    started: Stamp,
    lends_at: Option<SocketAddr>,
    clock: ClockCheck,
    /// Sealed parts of the predecessor that are whole if the time of day is right, by account.
    claims: BTreeMap<String, u64>,
}

impl ShareHolder {
    /// Creates a holder without shares; `process` is drawn at the start of the process.
    pub fn new(id: HolderId, process: u64, started: Stamp, sizes: ShareSizes) -> Self {
        Self {
            id,
            process,
            writes: 0,
            sizes,
            accounts: BTreeMap::new(),
            last_sent: None,
            age_ms: 0,
            attests: Attests::default(),
            testimony: None,
            proof: None,
            closed: false,
            started,
            lends_at: None,
            clock: ClockCheck::default(),
            claims: BTreeMap::new(),
        }
    }

    /// Says where this process lends shares to other routers.
    pub fn with_lending(mut self, at: SocketAddr) -> Self {
        self.lends_at = Some(at);
        self
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
    pub fn loan(&self, now_ms: u64, account: &str, most: u64) -> (u64, u64) {
        let a = self.accounts.get(account).copied().unwrap_or_default();
        a.loan(now_ms, most, self.level(account), &self.sizes)
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
    pub fn miss(&mut self, account: &str, most: u64) {
        let a = self.accounts.entry(account.to_owned()).or_default();
        a.missed = a.missed.saturating_add(most);
    }

    /// Notes that as many tokens will be asked for again, for a lender that had less.
    ///
    /// Not for requests that were turned away here: they come again and again, shares grow by them
    /// beyond what is drawn, and what is held beyond that is lost with its holder.
    pub fn expect(&mut self, now_ms: u64, account: &str, tokens: u64) {
        let a = self.accounts.entry(account.to_owned()).or_default();
        a.draw.add(now_ms, tokens);
    }

    /// Replaces a reservation by what was really used, in tokens.
    pub fn settle(&mut self, account: &str, most: u64, used: u64) {
        let a = self.accounts.entry(account.to_owned()).or_default();
        a.reserved = a.reserved.saturating_sub(most);
        a.used += used.min(most);
    }

    /// Opens the sealed parts by the age of the last write that may have reached the service, and
    /// as far as no witness binds this process.
    ///
    /// Returns whether they are open whole.
    pub fn unseal(&mut self, now: Stamp) -> bool {
        let Some(sent) = self.last_sent else {
            return false;
        };
        // Of two clocks that disagree, the one by which more time passed is the one not to
        // believe: a successor believes neither, so nothing is lost by waiting.
        let age_ms = now.since_boot.saturating_sub(sent.since_boot);
        self.age_ms = self.age_ms.max(age_ms);
        self.attests.advance(now.since_boot, self.sizes.silence_ms);
        self.age_ms >= self.sizes.seal_ms + self.sizes.ramp_ms && !self.attests.bind()
    }

    /// Returns up to which level an account's share may be spent now, in tokens.
    fn level(&self, account: &str) -> u64 {
        let share = self.accounts.get(account).copied().unwrap_or_default();
        let aged = share.aged(self.age_ms, &self.sizes);
        if !self.attests.bind() {
            return aged;
        }
        share.open.max(aged.min(self.attests.level(account)))
    }

    /// Returns whether a report to the witnesses may make room for `most` tokens.
    pub fn awaits_witnesses(&self, account: &str, most: u64) -> bool {
        let share = self.accounts.get(account).copied().unwrap_or_default();
        let aged = share.aged(self.age_ms, &self.sizes);
        let is_bound = self.level(account) < aged && self.attests.answer();
        is_bound && share.spendable(aged) >= most
    }

    /// Returns in what time enough of a sealed part opens for `most` tokens, in milliseconds, if
    /// the service stays away.
    pub fn opens_in(&self, account: &str, most: u64) -> Option<u64> {
        let share = self.accounts.get(account)?;
        let most_ms = self.sizes.seal_ms + self.sizes.ramp_ms;
        let ages = (self.age_ms..=most_ms).step_by(OPENS_STEP_MS);
        let fits = |age_ms: &u64| share.spendable(share.aged(*age_ms, &self.sizes)) >= most;
        let age_ms = ages.chain([most_ms]).find(fits)?;
        Some(age_ms.saturating_sub(self.age_ms))
    }

    /// Returns the witnesses of this process.
    pub fn attests(&mut self) -> &mut Attests {
        &mut self.attests
    }

    /// Composes what the witnesses are told, but for their last receipts.
    ///
    /// While the service answers nothing beyond the open parts is asked for.
    pub fn report(&self, now_ms: u64, now: Stamp) -> Report {
        let sent = self.last_sent.map_or(now.since_boot, |s| s.since_boot);
        let soon = now.since_boot.saturating_sub(sent) >= self.sizes.seal_ms / 2;
        let asking = self.accounts.iter().filter(|(_, a)| soon && a.has_base);
        let level = |a: &AccountShare| a.level(now_ms, &self.sizes);
        Report {
            holder: self.id.clone(),
            process: self.process,
            levels: asking.map(|(name, a)| (name.clone(), level(a))).collect(),
            last: None,
        }
    }

    /// Takes on a witness that answered this process's first report, sent at `sent`.
    pub fn meet(&mut self, id: WitnessId, receipt: Receipt, sent: Stamp) {
        self.attests.meet(id, receipt, sent.since_boot);
    }

    /// Returns what to ask the witnesses of a dead predecessor for, if there are any.
    pub fn inquiries(&self, record: &ShareRecord) -> Vec<(WitnessId, Inquiry)> {
        let before = record.tenure(&self.id);
        let Some(before) = before.filter(|t| t.process != self.process) else {
            return Vec::new();
        };
        let inquiry = |id: WitnessId| Inquiry {
            witness: id.process,
            holder: self.id.clone(),
            process: before.process,
        };
        let named = before.witnesses.into_iter().flatten();
        named.map(|id| (id, inquiry(id))).collect()
    }

    /// Takes what a witness says of a predecessor's process to a question sent at `asked`.
    ///
    /// Believed only if at this process's start the predecessor cannot have been silent for so
    /// long that the witness bound it no more; returns whether it is.
    pub fn testify(&mut self, process: u64, testimony: Testimony, asked: Stamp) -> bool {
        let up_ms = asked.since_boot.saturating_sub(self.started.since_boot);
        let silent_ms = testimony.silent_ms.saturating_sub(up_ms) + AGREE_MS;
        if silent_ms >= self.sizes.silence_ms {
            return false;
        }
        self.testimony = Some((process, testimony.levels));
        true
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
        let before = record.tenure(&self.id);
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
        let tenure = Tenure {
            process: self.process,
            write: self.writes,
            stamp: now,
            agreed,
            lends_at: self.lends_at.filter(|_| !self.closed),
            witnesses: self.attests.fit(),
        };
        self.attests.name(tenure.witnesses);
        record.sign(&self.id, tenure);
    }

    /// Takes the shares of a dead predecessor over.
    fn succeed(&mut self, before: Tenure, next: &mut ShareRecord) {
        let sizes = self.sizes;
        let age_ms = self.started.since(before.stamp);
        // Two readings of the time of day may each be off by what still counts as agreement.
        let by_day = self.started.since_by_day(before.stamp);
        let by_day = by_day.map(|ms| ms + 2 * AGREE_MS);
        let by_day = by_day.filter(|_| before.agreed && age_ms.is_none());
        let opened_at = |age: Option<u64>, sealed| {
            let opened = age.map(|ms| sizes.opened(sealed, ms));
            opened.unwrap_or(sealed)
        };
        let known = self.testimony.as_ref();
        let known = known.filter(|(process, _)| *process == before.process);
        self.proof = Some(match (age_ms, known, by_day) {
            (_, Some(_), _) => Proof::Witness,
            (Some(_), ..) => Proof::Seal,
            (None, None, Some(_)) => Proof::TimeOfDay,
            (None, None, None) => Proof::Nothing,
        });
        self.claims.clear();
        let mut claims = BTreeMap::new();
        for (account, sealed) in next.sealed(&self.id) {
            claims.insert(account, sealed - opened_at(by_day, sealed));
        }
        if known.is_none() && by_day.is_some() {
            self.claims = claims;
        }
        next.succeed(&self.id, |account, share| {
            let opened = opened_at(age_ms, share.sealed);
            let Some((_, levels)) = known else {
                return opened;
            };
            let open = share.granted - share.sealed.min(share.granted);
            let level = levels.get(account).copied().unwrap_or_default();
            opened.min(level.saturating_sub(open))
        });
    }

    /// Gets sealed parts back after a loss of power, once the time of day is confirmed.
    fn claim(&mut self) {
        for (name, a) in self.accounts.iter_mut().filter(|(_, a)| a.has_base) {
            let claim = self.claims.remove(name).unwrap_or_default();
            a.lost = a.lost.saturating_sub(claim);
        }
    }

    /// Notes that a composed record is being sent: it may take effect from now on.
    ///
    /// Returns the mark to give to [`ShareHolder::not_done`].
    pub fn sent(&mut self, stamp: Stamp) -> Option<Stamp> {
        self.age_ms = 0;
        self.last_sent.replace(stamp)
    }

    /// Notes that the record sent last cannot take effect any more.
    pub fn not_done(&mut self, before: Option<Stamp>) {
        self.last_sent = before;
    }

    /// Takes over what the service holds, if it holds the last write of this process.
    ///
    /// Returns whether it does. Otherwise a write may come late, and could lower a share that is
    /// believed to be larger: the shares in memory stay as they are until the next write.
    pub fn adopt(&mut self, record: &ShareRecord) -> bool {
        let tenure = record.tenure(&self.id);
        if tenure.is_none_or(|t| (t.process, t.write) != (self.process, self.writes)) {
            return false;
        }
        self.clock.confirm();
        let named: Vec<WitnessId> = tenure
            .into_iter()
            .flat_map(|t| t.witnesses)
            .flatten()
            .collect();
        self.attests.settle(&named);
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
    pub fn give_back(&mut self, now: Stamp, record: &ShareRecord) -> Option<ShareRecord> {
        let tenure = record.tenure(&self.id)?;
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
    pub fn standing(&self, account: &str) -> Standing {
        let a = self.accounts.get(account).copied().unwrap_or_default();
        a.standing(self.level(account))
    }

    /// Returns what the succession to a dead predecessor rests on, if there was one.
    pub fn proof(&self) -> Option<Proof> {
        self.proof
    }

    /// Returns what predecessors on this VM may have spent and nobody knows, in tokens, of accounts
    /// that lost any.
    pub fn losses(&self) -> impl Iterator<Item = (&str, u64)> {
        let lost = self.accounts.iter().filter(|(_, a)| a.lost > 0);
        lost.map(|(name, a)| (name.as_str(), a.lost))
    }

    /// Returns what this process has settled of an account, in tokens.
    pub fn used(&self, account: &str) -> u64 {
        self.accounts.get(account).map_or(0, |a| a.used)
    }
}
