//! A router's shares in memory: reserve, settle, and what to write next.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use derive_more::Display;

use crate::prepaid::witness::Witness;
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
    /// Part of what is left of a total that all routers together hold unspent at the most: what
    /// they hold is lost if all of them are killed, and what they don't is not there in a cut.
    pub held: f64,
    /// Part of what is left that a router without draw holds, divided by the routers: the first
    /// request of an account does not wait for an exchange.
    pub floor: f64,
}

/// Why a reservation was not made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shortfall {
    /// The account's total does not cover it, as far as is known.
    Exhausted,
    /// Its total may cover it, but this router's share does not yet.
    Short,
}

/// What a router knows of an account, in tokens, for logs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display)]
#[display(
    "total={total} granted={granted} spent={spent} lost={lost} sealed={sealed} \
     others_granted={others_granted} others_used={others_used}"
)]
pub struct Standing {
    /// Total by the configuration in force.
    pub total: u64,
    /// This VM's share.
    pub granted: u64,
    /// What of it is spent, lost or reserved.
    pub spent: u64,
    /// What of that predecessors may have spent, and nobody knows.
    pub lost: u64,
    /// What of it may not be spent yet.
    pub sealed: u64,
    /// What others were granted.
    pub others_granted: u64,
    /// What others are known to have spent.
    pub others_used: u64,
}

/// What this router knows of one account.
#[derive(Clone, Copy, Debug, Default)]
struct Purchase {
    share: Share,
    /// The most that may be spent while the seal is whole, in tokens: in whichever of the states
    /// that the service may hold, a successor takes no more than the rest back.
    open: u64,
    /// What predecessors on this VM are known to have spent, in tokens.
    base: u64,
    /// What they may have spent beyond that, in tokens.
    lost: u64,
    /// Whether what predecessors spent was looked up.
    based: bool,
    /// Borrowed from other routers so far, in tokens; they count it as spent.
    borrowed: u64,
    /// Settled or lent by this process, in tokens.
    used: u64,
    /// Reserved by requests under way, in tokens.
    reserved: u64,
    /// Largest request refused as short since the last exchange, in tokens.
    wanted: u64,
    /// What could be reserved after the last exchange, in tokens.
    stocked: u64,
    /// Whether the last exchange brought nothing for what was wanted.
    barren: bool,
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
    /// Whether shares were given back: nothing is reserved any more.
    closed: bool,
    /// When this process started: no predecessor lived later.
    started: Stamp,
    lends_at: Option<SocketAddr>,
    witness: Witness,
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
            unsealed: false,
            closed: false,
            started,
            lends_at: None,
            witness: Witness::default(),
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
        let unsealed = self.unsealed;
        let Some(a) = self.accounts.get_mut(account).filter(|_| !self.closed) else {
            return 0;
        };
        let spare = a.spendable(unsealed);
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
        let least = most.saturating_sub(a.spendable(self.unsealed));
        (least, least + a.open_wish(now_ms, &self.sizes) / LOAN)
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
        let unsealed = self.unsealed;
        let a = self.accounts.entry(account.to_owned()).or_default();
        if a.spendable(unsealed) >= most {
            a.reserved += most;
            a.draw.add(now_ms, most);
            return Ok(());
        }
        a.wanted = a.wanted.max(most);
        if a.spent() - a.lost + a.others_used + most > a.total {
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
    pub fn is_due(&self) -> bool {
        let due = |a: &Purchase| {
            let is_low = LOW * a.spendable(false) < a.stocked;
            let has_rest = a.others_granted + a.share.granted < a.total;
            has_rest && !a.barren && (a.wanted > 0 || is_low)
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
        let agreed = self.witness.look(&self.id, now, record);
        let before = record.tenure(&self.id);
        if let Some(before) = before.filter(|t| t.process != self.process) {
            self.succeed(before, &mut next);
        }
        if agreed && now.since(self.started).is_some() {
            self.claim();
        }
        for (name, a) in &mut self.accounts {
            let mut share = next.share(name, &self.id);
            if !a.based || before.is_none_or(|t| t.process != self.process) {
                a.based = true;
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
        self.writes += 1;
        next.sign(
            &self.id,
            Tenure {
                process: self.process,
                write: self.writes,
                stamp: now,
                agreed,
                lends_at: self.lends_at,
            },
        );
        next
    }

    /// Takes the shares of a dead predecessor over.
    fn succeed(&mut self, before: Tenure, next: &mut ShareRecord) {
        let seal_ms = self.sizes.seal_ms;
        let proved = self.started.since(before.stamp);
        let whole = proved.is_some_and(|ms| ms < seal_ms);
        let by_day = self.started.since_by_day(before.stamp);
        let may_be_whole = before.agreed && by_day.is_some_and(|ms| ms < seal_ms);
        self.claims.clear();
        if !whole && may_be_whole {
            self.claims = next.sealed(&self.id);
        }
        next.succeed(&self.id, whole);
    }

    /// Gets sealed parts back after a loss of power, once the time of day is confirmed.
    fn claim(&mut self) {
        for (name, a) in self.accounts.iter_mut().filter(|(_, a)| a.based) {
            let claim = self.claims.remove(name).unwrap_or_default();
            a.lost = a.lost.saturating_sub(claim);
        }
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

    /// Takes over what the service holds, if it holds the last write of this process.
    ///
    /// Returns whether it does. Otherwise a write may come late, and could lower a share that is
    /// believed to be larger: the shares in memory stay as they are until the next write.
    pub fn adopt(&mut self, record: &ShareRecord) -> bool {
        let tenure = record.tenure(&self.id);
        if tenure.is_none_or(|t| (t.process, t.write) != (self.process, self.writes)) {
            return false;
        }
        self.witness.confirm();
        // An account that became known while the write was under way has no part in it yet.
        for (name, a) in self.accounts.iter_mut().filter(|(_, a)| a.based) {
            a.share = record.share(name, &self.id);
            a.open = a.share.granted - a.share.sealed.min(a.share.granted);
            a.others_granted = record.granted(name) - a.share.granted;
            a.others_used = record.used(name) - a.share.used;
            a.stocked = a.spendable(false);
            a.barren = a.stocked < a.wanted;
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
        self.closed = true;
        let mut next = record.clone();
        for (name, a) in self.accounts.iter_mut().filter(|(_, a)| a.based) {
            let mut share = next.share(name, &self.id);
            share.used = a.spent() - a.lost;
            share.granted = a.spent().min(share.granted);
            share.sealed = 0;
            share.wish = 0;
            a.share = share;
            a.open = share.granted;
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
                agreed: false,
                lends_at: None,
            },
        );
        Some(next)
    }

    /// Returns what is known of an account.
    pub fn standing(&self, account: &str) -> Standing {
        let a = self.accounts.get(account).copied().unwrap_or_default();
        Standing {
            total: a.total,
            granted: a.share.granted,
            spent: a.spent(),
            lost: a.lost,
            sealed: if self.unsealed { 0 } else { a.share.sealed },
            others_granted: a.others_granted,
            others_used: a.others_used,
        }
    }

    /// Returns what this process has settled of an account, in tokens.
    pub fn used(&self, account: &str) -> u64 {
        self.accounts.get(account).map_or(0, |a| a.used)
    }
}

impl Purchase {
    /// Returns what of the share is spent or may still be by requests under way, in tokens.
    fn spent(&self) -> u64 {
        let own = self.used + self.reserved;
        self.base + self.lost + own.saturating_sub(self.borrowed)
    }

    /// Returns what of the share is known to be spent, in tokens; loans are spent first.
    fn used(&self) -> u64 {
        self.base + self.used.saturating_sub(self.borrowed)
    }

    /// Returns what may be reserved now, in tokens.
    fn spendable(&self, unsealed: bool) -> u64 {
        let most = if unsealed {
            self.share.granted
        } else {
            self.open.min(self.share.granted)
        };
        most.saturating_sub(self.spent()) + self.loans()
    }

    /// Returns what is left of what was borrowed, in tokens.
    fn loans(&self) -> u64 {
        self.borrowed.saturating_sub(self.used + self.reserved)
    }

    /// Returns what the draw makes desirable to have unspent, in tokens.
    fn wish(&self, now_ms: u64, sizes: &ShareSizes) -> u64 {
        let ms = (sizes.open_ms + sizes.sealed_ms) as f64;
        let draw = self.draw.per_second(now_ms) / 1_000.0;
        (draw * ms + 2.0 * self.draw.largest(now_ms)) as u64
    }

    /// Returns the open part of what is desirable, in tokens.
    fn open_wish(&self, now_ms: u64, sizes: &ShareSizes) -> u64 {
        let draw = self.draw.per_second(now_ms) / 1_000.0;
        (draw * sizes.open_ms as f64 + self.draw.largest(now_ms)) as u64
    }

    /// Changes a share towards what is fair, within what is free of the total.
    fn compose(&mut self, sizes: &ShareSizes, share: &mut Share, scene: Scene) {
        let spent = self.spent();
        let aim = ((share.wish as f64 * scene.scale) as u64).max(scene.floor);
        let aim = aim.saturating_sub(self.loans());
        let target = spent + self.wanted + aim;
        share.used = self.used();
        if target >= share.granted {
            share.granted = target.min(share.granted + scene.free);
        } else if share.granted - target > aim / GIVE_BACK {
            share.granted = target;
        }
        let rest = share.granted.saturating_sub(spent + self.wanted);
        let part = sizes.sealed_ms as f64 / (sizes.open_ms + sizes.sealed_ms).max(1) as f64;
        share.sealed = (rest as f64 * part) as u64;
        self.share.granted = self.share.granted.min(share.granted);
        self.open = self.open.min(share.granted - share.sealed);
    }
}

/// Part of what a router aims at by which its share may be larger before it gives back: one that
/// gives back at every exchange takes again at the next.
const GIVE_BACK: u64 = 4;

/// Part of what the last exchange left at hand below which the next is due.
const LOW: u64 = 3;

/// Part of the open wish that is asked for beyond what is needed: what is left of a loan is lost
/// with its borrower, and a larger one saves few calls.
const LOAN: u64 = 4;

/// What an account's record leaves to this router.
#[derive(Clone, Copy, Debug)]
struct Scene {
    /// What nobody was granted, in tokens.
    free: u64,
    /// Part of each router's wish that fits.
    scale: f64,
    /// What a router without draw holds, in tokens.
    floor: u64,
}

impl Scene {
    fn new(record: &ShareRecord, account: &str, total: u64, sizes: &ShareSizes) -> Self {
        let left = total.saturating_sub(record.gone(account)) as f64;
        let wishes = record.wishes(account).max(1) as f64;
        let holders = record.tenures().count().max(1) as f64;
        Self {
            free: total.saturating_sub(record.granted(account)),
            scale: (left * sizes.held / wishes).min(1.0),
            floor: (left * sizes.floor / holders) as u64,
        }
    }
}
