//! A router's shares in memory: reserve, settle, and what to write next.

use std::collections::BTreeMap;

use crate::prepaid::{DrawMeter, HolderId, Share, ShareRecord, Stamp, Tenure};

/// How large shares are, and when a sealed part opens.
#[derive(Clone, Copy, Debug)]
pub struct ShareSizes {
    /// Draw that the open part covers, in milliseconds: has to outlast `seal_ms`.
    pub open_ms: u64,
    /// Draw that the sealed part covers, in milliseconds: what is left of a long cut.
    pub sealed_ms: u64,
    /// Time since the last write that may have reached the service after which the sealed part
    /// opens, in milliseconds.
    pub seal_ms: u64,
    /// Largest part of what is left of a total that one write may take beyond what waits for it.
    pub greed: f64,
}

/// Why a reservation was not made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shortfall {
    /// The account's total does not cover it, as far as is known.
    Exhausted,
    /// Its total may cover it, but this router's share does not yet.
    Short,
}

/// What this router knows of one account.
#[derive(Clone, Copy, Debug, Default)]
struct Purchase {
    share: Share,
    /// What predecessors on this VM are known to have spent, in tokens.
    base: u64,
    /// What they may have spent beyond that, in tokens.
    lost: u64,
    /// Settled by this process, in tokens.
    used: u64,
    /// Reserved by requests under way, in tokens.
    reserved: u64,
    /// Largest request refused as short since the last exchange, in tokens.
    wanted: u64,
    /// Total by the configuration in force, in tokens.
    total: u64,
    /// What others are known to have been granted and to have spent, in tokens.
    others_granted: u64,
    others_used: u64,
    draw: DrawMeter,
}

/// The shares of one router process.
#[derive(Debug)]
pub struct ShareHolder {
    id: HolderId,
    process: u64,
    writes: u64,
    sizes: ShareSizes,
    accounts: BTreeMap<String, Purchase>,
    /// Stamp of the last write that may have reached the service.
    last_sent: Option<Stamp>,
    unsealed: bool,
    /// When this process started: no predecessor lived later.
    started: Stamp,
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
            unsealed: false,
            started,
        }
    }

    /// Returns the name under which shares are held.
    pub fn id(&self) -> &HolderId {
        &self.id
    }

    /// Sets an account's total; one that shrinks takes no share back.
    pub fn set_total(&mut self, account: &str, total: u64) {
        self.accounts.entry(account.to_owned()).or_default().total = total;
    }

    /// Reserves the most that a request can cost, in tokens.
    ///
    /// # Errors
    ///
    /// [`Shortfall`] if the share does not cover it.
    pub fn reserve(&mut self, now_ms: u64, account: &str, most: u64) -> Result<(), Shortfall> {
        let unsealed = self.unsealed;
        let a = self.accounts.entry(account.to_owned()).or_default();
        if a.spendable(unsealed) >= most {
            a.reserved += most;
            a.draw.add(now_ms, most);
            return Ok(());
        }
        a.wanted = a.wanted.max(most);
        if a.base + a.used + a.reserved + a.others_used + most > a.total {
            return Err(Shortfall::Exhausted);
        }
        Err(Shortfall::Short)
    }

    /// Replaces a reservation by what was really used, in tokens.
    pub fn settle(&mut self, account: &str, most: u64, used: u64) {
        let a = self.accounts.entry(account.to_owned()).or_default();
        a.reserved = a.reserved.saturating_sub(most);
        a.used += used.min(most);
    }

    /// Opens the sealed parts once no write of this process can be younger than the bound.
    ///
    /// Returns whether they are open.
    pub fn unseal(&mut self, now: Stamp) -> bool {
        let Some(sent) = self.last_sent else {
            return false;
        };
        // Of two clocks that disagree, the one by which more time passed is the one not to
        // believe: a successor believes neither, so nothing is lost by waiting.
        let boot = now.since_boot.saturating_sub(sent.since_boot);
        self.unsealed = self.unsealed || boot >= self.sizes.seal_ms;
        self.unsealed
    }

    /// Returns whether an exchange is due: a request waits for it, or a share runs low.
    pub fn is_due(&self, now_ms: u64) -> bool {
        let due = |a: &Purchase| {
            let (open, _) = a.aim(now_ms, &self.sizes);
            let is_low = 2 * a.spendable(false) < open;
            let has_rest = a.others_granted + a.share.granted < a.total;
            has_rest && (a.wanted > 0 || is_low)
        };
        self.accounts.values().any(due)
    }

    /// Composes the next state of a record that was read; nothing of it counts before
    /// [`ShareHolder::adopt`].
    ///
    /// What is given back is lowered here at once: it must not be spent while the write is on
    /// its way.
    pub fn compose(&mut self, now_ms: u64, now: Stamp, record: &ShareRecord) -> ShareRecord {
        let mut next = record.clone();
        let before = record.tenure(&self.id);
        if before.is_some_and(|t| t.process != self.process) {
            next.succeed(&self.id, self.started, self.sizes.seal_ms);
        }
        for (name, a) in &mut self.accounts {
            let mut share = next.share(name, &self.id);
            if before.is_none_or(|t| t.process != self.process) {
                a.base = share.used;
                a.lost = share.lost;
            }
            let granted = next.granted(name);
            let free = a.total.saturating_sub(granted);
            a.compose(now_ms, &self.sizes, &mut share, free);
            next.set_share(name, &self.id, share);
        }
        self.writes += 1;
        next.sign(
            &self.id,
            Tenure {
                process: self.process,
                write: self.writes,
                stamp: now,
            },
        );
        next
    }

    /// Notes that a composed record is being sent: it may take effect from now on.
    ///
    /// Returns the mark to give to [`ShareHolder::not_done`].
    pub fn sent(&mut self, stamp: Stamp) -> Option<Stamp> {
        self.unsealed = false;
        self.last_sent.replace(stamp)
    }

    /// Notes that the record sent last cannot take effect any more.
    pub fn not_done(&mut self, before: Option<Stamp>) {
        self.last_sent = before;
    }

    /// Takes over what the service holds, if this process wrote it last.
    ///
    /// Returns whether it did; otherwise the shares in memory stay as they are.
    pub fn adopt(&mut self, record: &ShareRecord) -> bool {
        let tenure = record.tenure(&self.id);
        if tenure.is_none_or(|t| t.process != self.process) {
            return false;
        }
        for (name, a) in &mut self.accounts {
            a.share = record.share(name, &self.id);
            a.others_granted = record.granted(name) - a.share.granted;
            a.others_used = record.used(name) - a.share.used;
            a.wanted = 0;
        }
        true
    }

    /// Gives everything back that is not spent; for a process that ends in good order.
    pub fn give_back(&mut self, now: Stamp, record: &ShareRecord) -> Option<ShareRecord> {
        let tenure = record.tenure(&self.id)?;
        if tenure.process != self.process {
            return None;
        }
        let mut next = record.clone();
        for (name, a) in &mut self.accounts {
            let mut share = next.share(name, &self.id);
            share.used = a.base + a.used + a.reserved;
            share.granted = a.spent().min(share.granted);
            share.sealed = 0;
            a.share = share;
            next.set_share(name, &self.id, share);
        }
        self.writes += 1;
        let write = self.writes;
        let process = self.process;
        next.sign(
            &self.id,
            Tenure {
                process,
                write,
                stamp: now,
            },
        );
        Some(next)
    }

    /// Returns what this process has settled of an account, in tokens.
    pub fn used(&self, account: &str) -> u64 {
        self.accounts.get(account).map_or(0, |a| a.used)
    }
}

impl Purchase {
    /// Returns what is spent or may still be spent by requests under way, in tokens.
    fn spent(&self) -> u64 {
        self.base + self.lost + self.used + self.reserved
    }

    /// Returns what may be reserved now, in tokens.
    fn spendable(&self, unsealed: bool) -> u64 {
        let closed = if unsealed { 0 } else { self.share.sealed };
        self.share.granted.saturating_sub(self.spent() + closed)
    }

    /// Returns the open and the sealed part to aim at, in tokens.
    fn aim(&self, now_ms: u64, sizes: &ShareSizes) -> (u64, u64) {
        let draw = self.draw.per_second(now_ms) / 1_000.0;
        let open = draw * sizes.open_ms as f64;
        let sealed = draw * sizes.sealed_ms as f64;
        (open as u64, sealed as u64)
    }

    /// Changes a share towards its aim, within what is free of the total.
    fn compose(&mut self, now_ms: u64, sizes: &ShareSizes, share: &mut Share, free: u64) {
        let (open, sealed) = self.aim(now_ms, sizes);
        let spent = self.spent();
        let need = spent + self.wanted;
        let left = (free as f64 * sizes.greed) as u64;
        let most = share.granted + free.min(left.max(need.saturating_sub(share.granted)));
        let target = (need + open + sealed).max(spent);
        share.used = self.base + self.used;
        if target >= share.granted {
            share.granted = target.min(most);
        } else if 2 * (share.granted - target) > open + sealed {
            share.granted = target;
        }
        let rest = share.granted.saturating_sub(spent);
        let part = sealed as f64 / (open + sealed).max(1) as f64;
        share.sealed = (rest.saturating_sub(self.wanted) as f64 * part) as u64;
        self.lower(share);
    }

    /// Forgoes at once what the composed share no longer has.
    fn lower(&mut self, share: &Share) {
        self.share.granted = self.share.granted.min(share.granted);
        self.share.sealed = self.share.sealed.max(share.sealed).min(self.share.granted);
    }
}
