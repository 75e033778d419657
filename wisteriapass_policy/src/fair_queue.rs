//! The waiting requests of one pool, by account and class, in fair order.
//!
//! Answers a few accounts that send most of the load. Without it they take slots in proportion to
//! what they send and the rest is starved (`loads --pattern hot --without fairness`). Each account
//! has a virtual time: the work it was given, by its weight. The next request is the one whose
//! account is furthest behind, with a head start for urgent classes and for age. The head start is
//! bounded (some seconds of the account's share), so that priority orders work over seconds and
//! fairness over a minute. An account that was idle keeps some seconds of its unused share: the
//! few requests that a small account has at one router come in clusters, and without that it would
//! get less than its share of every minute. The rest is lent. Requests whose callers come back as told go first within their account.
//! Without classes a question waits behind drafts (`loads --pattern saturation --without
//! priority`).

use slotmap::SecondaryMap;

use crate::account_queue::Lane;
use crate::queued_request::Waiting;
use crate::{AccountKey, PolicyConfig, Priority, TargetKey, Time};

/// Time over which an account counts as active, in seconds.
const ACTIVE_S: f64 = 5.0;
/// Time between two counts of the active accounts, in seconds.
const RECOUNT_S: f64 = 0.1;

/// Waiting requests of one pool.
#[derive(Debug, Default)]
pub(crate) struct Lanes {
    lanes: SecondaryMap<AccountKey, Lane>,
    active: Vec<AccountKey>,
    /// Virtual time of the last request given work.
    present: f64,
    /// Work that waits, in tokens.
    pub(crate) work: f64,
    /// Requests that wait, by class.
    count: [usize; 3],
    recent: Option<Recent>,
}

/// Weights of the accounts that offered work lately, together.
#[derive(Clone, Copy, Debug)]
struct Recent {
    at: Time,
    weight: f64,
}

/// Classes of waiting requests that cannot be placed now.
pub(crate) type Blocked = [bool; 3];

impl Lanes {
    /// Returns an account's lane, created if new.
    pub(crate) fn lane(&mut self, account: AccountKey, weight: f64) -> Option<&mut Lane> {
        if !self.lanes.contains_key(account) {
            self.lanes.insert(account, Lane::default());
        }
        let lane = self.lanes.get_mut(account)?;
        lane.weight = weight;
        Some(lane)
    }

    /// Forgets an account.
    pub(crate) fn remove(&mut self, account: AccountKey) {
        if let Some(lane) = self.lanes.remove(account) {
            self.work -= lane.work.iter().sum::<f64>();
            for (count, queue) in self.count.iter_mut().zip(&lane.queues) {
                *count -= queue.len();
            }
        }
        self.active.retain(|&a| a != account);
    }

    /// Adds a waiting request; an idle account has saved at most this many seconds of its share.
    pub(crate) fn push(&mut self, waiting: Waiting, weight: f64, saved_s: f64) {
        let present = self.present;
        let Some(lane) = self.lane(waiting.account, weight) else {
            return;
        };
        let was_empty = lane.is_empty();
        if was_empty {
            lane.virtual_time = lane
                .virtual_time
                .max(present - saved_s * lane.share / weight);
        }
        let class = waiting.priority.index();
        lane.work[class] += waiting.work;
        if waiting.returned {
            lane.returned_work += waiting.work;
        }
        if waiting.returned {
            let place = lane.queues[class].iter().take_while(|w| w.returned).count();
            lane.queues[class].insert(place, waiting);
        } else {
            lane.queues[class].push_back(waiting);
        }
        if was_empty {
            self.active.push(waiting.account);
        }
        self.work += waiting.work;
        self.count[class] += 1;
    }

    /// Returns the next request in fair order that is not blocked, without taking it out.
    pub(crate) fn peek(
        &self,
        now: Time,
        drain: f64,
        blocked: Blocked,
        cfg: &PolicyConfig,
    ) -> Option<Waiting> {
        let share = (drain / self.active_weight()).max(1e-6);
        if blocked.iter().all(|&b| b) {
            return None;
        }
        let heads = self.active.iter().flat_map(|&a| self.lanes[a].heads());
        let free = heads.filter(|(_, w)| !blocked[w.priority.index()]);
        let scored = free.map(|(vt, w)| (w.score(now, vt - self.present, share, cfg), w));
        scored.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, w)| *w)
    }

    /// Returns the first request in fair order whose home is a target, if it is near the first.
    pub(crate) fn peek_home(
        &self,
        now: Time,
        drain: f64,
        first: &Waiting,
        home: TargetKey,
        cfg: &PolicyConfig,
    ) -> Option<Waiting> {
        let share = (drain / self.active_weight()).max(1e-6);
        let score = |account: AccountKey, w: &Waiting| {
            let ahead = self.lanes[account].virtual_time - self.present;
            w.score(now, ahead, share, cfg)
        };
        let limit = score(first.account, first) + cfg.affinity_wait_s;
        let near = self
            .active
            .iter()
            .flat_map(|&a| self.lanes[a].front().map(move |w| (a, w)));
        let at_home = near.filter(|(_, w)| w.home == Some(home) && w.priority <= first.priority);
        let scored = at_home
            .map(|(a, w)| (score(a, w), w))
            .filter(|(s, _)| *s <= limit);
        scored.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, w)| *w)
    }

    /// Returns whether any request waits.
    pub(crate) fn is_waiting(&self) -> bool {
        !self.active.is_empty()
    }

    /// Returns whether any request waits of a class that is not blocked.
    pub(crate) fn is_waiting_beside(&self, blocked: Blocked) -> bool {
        self.count
            .iter()
            .zip(blocked)
            .any(|(&n, blocked)| n > 0 && !blocked)
    }

    /// Takes a waiting request out; returns whether it was there.
    pub(crate) fn take(&mut self, waiting: &Waiting) -> bool {
        let Some(lane) = self.lanes.get_mut(waiting.account) else {
            return false;
        };
        let class = waiting.priority.index();
        let queue = &mut lane.queues[class];
        let Some(place) = queue.iter().position(|w| w.ticket == waiting.ticket) else {
            return false;
        };
        queue.remove(place);
        self.count[class] -= 1;
        lane.work[class] = if queue.is_empty() {
            0.0
        } else {
            lane.work[class] - waiting.work
        };
        if waiting.returned {
            lane.returned_work = (lane.returned_work - waiting.work).max(0.0);
        }
        if lane.is_empty() {
            self.active.retain(|&a| a != waiting.account);
        }
        self.work = if self.active.is_empty() {
            0.0
        } else {
            self.work - waiting.work
        };
        true
    }

    /// Charges an account for work given (or, if negative, not needed in the end).
    pub(crate) fn charge(&mut self, account: AccountKey, work: f64) {
        let Some(lane) = self.lanes.get_mut(account) else {
            return;
        };
        if work > 0.0 {
            self.present = self.present.max(lane.virtual_time.min(self.present + work));
        }
        lane.virtual_time += work / lane.weight.max(1e-3);
    }

    /// Returns the work that an account is ahead of the others, in tokens; negative if behind.
    pub(crate) fn ahead(&self, account: AccountKey) -> f64 {
        let lane = self.lanes.get(account);
        lane.map_or(0.0, |l| (l.virtual_time - self.present) * l.weight)
    }

    /// Returns the waiting work of all accounts in a class and above, in tokens.
    pub(crate) fn work_above(&self, priority: Priority) -> f64 {
        let lanes = self.active.iter().map(|&a| &self.lanes[a]);
        lanes.map(|l| l.work_above(priority)).sum()
    }

    /// Returns the weights of the accounts that wait, together.
    pub(crate) fn active_weight(&self) -> f64 {
        let weights = self.active.iter().map(|&a| self.lanes[a].weight);
        weights.sum::<f64>().max(1e-3)
    }

    /// Returns the weights of the accounts that offered work lately, counted anew now and then.
    pub(crate) fn recent_weight(&mut self, now: Time) -> f64 {
        let counted = self.recent.filter(|r| now.secs_since(r.at) < RECOUNT_S);
        let recent = counted.unwrap_or_else(|| {
            let since = now.plus_secs(-ACTIVE_S);
            let lanes = self.lanes.values().filter(|l| l.last_offer >= since);
            let weight = lanes.map(|l| l.weight).sum();
            Recent { at: now, weight }
        });
        self.recent = Some(recent);
        recent.weight
    }

    /// Returns the least valuable waiting request: lowest class, furthest ahead, newest.
    pub(crate) fn least_valuable(&self) -> Option<Waiting> {
        let lanes = || self.active.iter().map(|&a| &self.lanes[a]);
        let class = Priority::ALL
            .iter()
            .rev()
            .find(|p| lanes().any(|l| l.work[p.index()] > 0.0))?;
        let holders = lanes().filter(|l| !l.queues[class.index()].is_empty());
        let ahead = holders.max_by(|a, b| a.lead().total_cmp(&b.lead()))?;
        ahead.queues[class.index()].back().copied()
    }
}
