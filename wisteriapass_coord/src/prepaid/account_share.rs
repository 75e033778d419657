//! One router's share of one account in memory, and how large it ought to be.

use crate::prepaid::{AccountStatus, DemandMeter, Share, ShareConfig, ShareRecord};

/// Part of what a router aims at by which its share may be larger before it gives back: one that
/// gives back at every exchange takes again at the next.
const GIVE_BACK: u64 = 4;

/// Part of what the last exchange left at hand below which the next is due.
const LOW: u64 = 3;

/// Part of the open wish that is asked for beyond what is needed: what is left of a loan is lost
/// with its borrower, and a larger one saves few calls.
const LOAN: u64 = 4;

/// How long a headroom lasts that witnesses are asked for beyond what is spent, in milliseconds of
/// the draw: some reports; what of it is not spent is lost with its router.
const HEADROOM_MS: u64 = 2_000;

/// What this router knows of one account.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct AccountShare {
    pub(super) share: Share,
    /// The most that may be spent while the seal is whole, in tokens: in whichever of the states
    /// that the service may hold, a successor takes no more than the rest back.
    pub(super) open: u64,
    /// What predecessors on this VM are known to have spent, in tokens.
    pub(super) base: u64,
    /// What they may have spent beyond that, in tokens.
    pub(super) lost: u64,
    /// Whether what predecessors spent was looked up.
    pub(super) has_base: bool,
    /// Borrowed from other routers so far, in tokens; they count it as spent.
    pub(super) borrowed: u64,
    /// Settled or lent by this process, in tokens.
    pub(super) used: u64,
    /// Reserved by requests under way, in tokens.
    pub(super) reserved: u64,
    /// Largest request refused as short since the last exchange, in tokens.
    pub(super) wanted: u64,
    /// All requests that found the share short since the last exchange, in tokens.
    pub(super) missed: u64,
    /// What could be reserved after the last exchange, in tokens.
    pub(super) stocked: u64,
    /// Whether the last exchange brought nothing for what was wanted.
    pub(super) barren: bool,
    /// Total by the configuration in force, in tokens.
    pub(super) total: u64,
    /// What others are known to have been granted and to have spent, in tokens.
    pub(super) others_granted: u64,
    pub(super) others_used: u64,
    /// What of theirs dead routers may have spent and nobody knows, in tokens.
    pub(super) others_lost: u64,
    pub(super) draw: DemandMeter,
}

impl AccountShare {
    /// Returns what of the share is spent or may still be by requests under way, in tokens.
    pub(super) fn spent(&self) -> u64 {
        let own = self.used + self.reserved;
        self.base + self.lost + own.saturating_sub(self.borrowed)
    }

    /// Returns what of the share is known to be spent, in tokens; loans are spent first.
    pub(super) fn used(&self) -> u64 {
        self.base + self.used.saturating_sub(self.borrowed)
    }

    /// Returns what all routers are known to have spent or reserved, in tokens.
    pub(super) fn known_used(&self) -> u64 {
        self.spent() - self.lost + self.others_used
    }

    /// Returns what may be reserved if the share may be spent up to a level, in tokens.
    pub(super) fn spendable(&self, level: u64) -> u64 {
        let level = level.min(self.share.granted);
        level.saturating_sub(self.spent()) + self.loans()
    }

    /// Returns the level that is open at an age of the last write, in tokens.
    pub(super) fn aged(&self, age_ms: u64, sizes: &ShareConfig) -> u64 {
        let sealed = self.share.granted.saturating_sub(self.open);
        self.open + sizes.unsealed(sealed, age_ms)
    }

    /// Returns the level that witnesses are asked for, in tokens.
    pub(super) fn level(&self, now_ms: u64, sizes: &ShareConfig) -> u64 {
        let headroom = self.open_wish(now_ms, sizes) * HEADROOM_MS / sizes.open_demand_ms.max(1);
        let level = self.spent() + self.wanted.max(headroom);
        level.min(self.share.granted)
    }

    /// Returns what is left of what was borrowed, in tokens.
    pub(super) fn loans(&self) -> u64 {
        self.borrowed.saturating_sub(self.used + self.reserved)
    }

    /// Returns what the draw makes desirable to have unspent, in tokens.
    pub(super) fn wish(&self, now_ms: u64, sizes: &ShareConfig) -> u64 {
        let ms = (sizes.open_demand_ms + sizes.sealed_demand_ms) as f64;
        let draw = self.draw.tokens_per_second(now_ms) / 1_000.0;
        (draw * ms + 2.0 * self.draw.recent_max(now_ms)) as u64
    }

    /// Returns the open part of what is desirable, in tokens.
    pub(super) fn open_wish(&self, now_ms: u64, sizes: &ShareConfig) -> u64 {
        let draw = self.draw.tokens_per_second(now_ms) / 1_000.0;
        (draw * sizes.open_demand_ms as f64 + self.draw.recent_max(now_ms)) as u64
    }

    /// Returns whether an exchange is due: a request waits for it, or the share runs low.
    pub(super) fn is_due(&self) -> bool {
        let is_low = LOW * self.spendable(self.open) < self.stocked;
        let has_rest = self.others_granted + self.share.granted < self.total;
        has_rest && !self.barren && (self.wanted > 0 || is_low)
    }

    /// Returns what another router has to lend so that `most` fits, and what would be welcome.
    pub(super) fn loan(
        &self,
        now_ms: u64,
        most: u64,
        level: u64,
        sizes: &ShareConfig,
    ) -> (u64, u64) {
        let least = most.saturating_sub(self.spendable(level));
        (least, least + self.open_wish(now_ms, sizes) / LOAN)
    }

    /// Takes over what the service holds: the share, and the sums of all routers.
    pub(super) fn adopt(&mut self, share: Share, granted: u64, used: u64, lost: u64) {
        self.share = share;
        self.open = share.granted - share.sealed.min(share.granted);
        self.others_granted = granted - share.granted;
        self.others_used = used - share.used;
        self.others_lost = lost - share.lost;
        self.stocked = self.spendable(self.open);
        self.barren = self.stocked < self.wanted;
        self.wanted = 0;
        self.missed = 0;
    }

    /// Returns the share with all given back that is not spent.
    pub(super) fn give_back(&mut self, mut share: Share) -> Share {
        share.used = self.spent() - self.lost;
        share.granted = self.spent().min(share.granted);
        share.sealed = 0;
        share.wish = 0;
        self.share = share;
        self.open = share.granted;
        share
    }

    /// Returns what is known, for logs.
    pub(super) fn standing(&self, level: u64) -> AccountStatus {
        AccountStatus {
            total: self.total,
            granted: self.share.granted,
            spent: self.spent(),
            lost: self.lost,
            sealed: self.share.granted.saturating_sub(level),
            others_granted: self.others_granted,
            others_used: self.others_used,
            others_lost: self.others_lost,
        }
    }

    /// Changes a share towards what is fair, within what is free of the total.
    pub(super) fn compose(&mut self, sizes: &ShareConfig, share: &mut Share, scene: Scene) {
        let spent = self.spent();
        let aim = ((share.wish as f64 * scene.scale) as u64).max(scene.floor);
        let aim = aim.saturating_sub(self.loans());
        let wanted = self.wanted.max(self.missed);
        let target = spent + wanted + aim;
        share.used = self.used();
        if target >= share.granted {
            share.granted = target.min(share.granted + scene.free);
        } else if share.granted - target > aim / GIVE_BACK {
            share.granted = target;
        }
        let rest = share.granted.saturating_sub(spent + wanted);
        let part = sizes.sealed_demand_ms as f64
            / (sizes.open_demand_ms + sizes.sealed_demand_ms).max(1) as f64;
        share.sealed = (rest as f64 * part) as u64;
        self.share.granted = self.share.granted.min(share.granted);
        self.open = self.open.min(share.granted - share.sealed);
    }
}

/// How much less is held for each part of a total that was lost: routers that died are the best
/// sign that more will, and what they held is lost with them.
const LOST_WEIGHT: f64 = 4.0;

/// Part of what may be held that is held however much was lost.
const LEAST_HELD: f64 = 0.15;

/// What an account's record leaves to this router.
#[derive(Clone, Copy, Debug)]
pub(super) struct Scene {
    /// What nobody was granted, in tokens.
    free: u64,
    /// Part of each router's wish that fits.
    scale: f64,
    /// What a router without draw holds, in tokens.
    floor: u64,
}

impl Scene {
    pub(super) fn new(
        record: &ShareRecord,
        account: &str,
        total: u64,
        sizes: &ShareConfig,
    ) -> Self {
        let left = total.saturating_sub(record.used_or_lost(account)) as f64;
        let wishes = record.total_wish(account).max(1) as f64;
        let holders = record.holder_entries().count().max(1) as f64;
        let lost = record.lost(account) as f64 / total.max(1) as f64;
        let held = sizes.max_unspent_fraction * (1.0 - LOST_WEIGHT * lost).max(LEAST_HELD);
        Self {
            free: total.saturating_sub(record.granted(account)),
            scale: (left * held / wishes).min(1.0),
            floor: (left * sizes.idle_fraction / holders) as u64,
        }
    }
}
