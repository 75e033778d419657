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

use crate::account_queue::AccountQueue;
use crate::queued_request::QueuedRequest;
use crate::{AccountKey, PolicyConfig, Priority, TargetKey, Time};

/// Time over which an account counts as active, in seconds.
const ACTIVE_S: f64 = 5.0;
/// Time between two counts of the active accounts, in seconds.
const RECOUNT_S: f64 = 0.1;

/// Waiting requests of one pool.
#[derive(Debug, Default)]
pub(crate) struct FairQueue {
    accounts: SecondaryMap<AccountKey, AccountQueue>,
    active: Vec<AccountKey>,
    /// Virtual time of the last request given work.
    virtual_now: f64,
    /// Work that waits, in tokens.
    pub(crate) work: f64,
    /// Requests that wait, by class.
    counts: [usize; 3],
    recent_weight: Option<RecentWeight>,
}

/// Weights of the accounts that offered work lately, together.
#[derive(Clone, Copy, Debug)]
struct RecentWeight {
    at: Time,
    weight: f64,
}

/// Classes of waiting requests that cannot be placed now.
pub(crate) type BlockedClasses = [bool; 3];

impl FairQueue {
    /// Returns an account's lane, created if new.
    pub(crate) fn account_queue(
        &mut self,
        account: AccountKey,
        weight: f64,
    ) -> Option<&mut AccountQueue> {
        if !self.accounts.contains_key(account) {
            self.accounts.insert(account, AccountQueue::default());
        }
        let account_queue = self.accounts.get_mut(account)?;
        account_queue.weight = weight;
        Some(account_queue)
    }

    /// Forgets an account.
    pub(crate) fn remove_account(&mut self, account: AccountKey) {
        if let Some(account_queue) = self.accounts.remove(account) {
            self.work -= account_queue.work.iter().sum::<f64>();
            for (count, queue) in self.counts.iter_mut().zip(&account_queue.queues) {
                *count -= queue.len();
            }
        }
        self.active.retain(|&a| a != account);
    }

    /// Adds a waiting request; an idle account has saved at most this many seconds of its share.
    pub(crate) fn push(&mut self, waiting: QueuedRequest, weight: f64, saved_s: f64) {
        let virtual_now = self.virtual_now;
        let Some(account_queue) = self.account_queue(waiting.account, weight) else {
            return;
        };
        let was_empty = account_queue.is_empty();
        if was_empty {
            account_queue.virtual_time = account_queue
                .virtual_time
                .max(virtual_now - saved_s * account_queue.share / weight);
        }
        let class = waiting.priority.index();
        account_queue.work[class] += waiting.work;
        if waiting.is_retry {
            account_queue.retry_work += waiting.work;
        }
        if waiting.is_retry {
            let index = account_queue.queues[class]
                .iter()
                .take_while(|w| w.is_retry)
                .count();
            account_queue.queues[class].insert(index, waiting);
        } else {
            account_queue.queues[class].push_back(waiting);
        }
        if was_empty {
            self.active.push(waiting.account);
        }
        self.work += waiting.work;
        self.counts[class] += 1;
    }

    /// Returns the next request in fair order that is not blocked, without taking it out.
    pub(crate) fn peek(
        &self,
        now: Time,
        service_rate: f64,
        blocked: BlockedClasses,
        cfg: &PolicyConfig,
    ) -> Option<QueuedRequest> {
        let share = (service_rate / self.active_weight()).max(1e-6);
        if blocked.iter().all(|&b| b) {
            return None;
        }
        let heads = self.active.iter().flat_map(|&a| self.accounts[a].heads());
        let unblocked = heads.filter(|(_, w)| !blocked[w.priority.index()]);
        let scored = unblocked.map(|(virtual_time, w)| {
            (w.score(now, virtual_time - self.virtual_now, share, cfg), w)
        });
        scored.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, w)| *w)
    }

    /// Returns the first request in fair order whose home is a target, if it is near the first.
    pub(crate) fn peek_for_home(
        &self,
        now: Time,
        service_rate: f64,
        first: &QueuedRequest,
        home: TargetKey,
        cfg: &PolicyConfig,
    ) -> Option<QueuedRequest> {
        let share = (service_rate / self.active_weight()).max(1e-6);
        let score = |account: AccountKey, w: &QueuedRequest| {
            let lead = self.accounts[account].virtual_time - self.virtual_now;
            w.score(now, lead, share, cfg)
        };
        let limit = score(first.account, first) + cfg.affinity_wait_s;
        let candidates = self
            .active
            .iter()
            .flat_map(|&a| self.accounts[a].first_few().map(move |w| (a, w)));
        let at_home =
            candidates.filter(|(_, w)| w.home == Some(home) && w.priority <= first.priority);
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
    pub(crate) fn has_unblocked(&self, blocked: BlockedClasses) -> bool {
        self.counts
            .iter()
            .zip(blocked)
            .any(|(&n, blocked)| n > 0 && !blocked)
    }

    /// Takes a waiting request out; returns whether it was there.
    pub(crate) fn remove(&mut self, waiting: &QueuedRequest) -> bool {
        let Some(account_queue) = self.accounts.get_mut(waiting.account) else {
            return false;
        };
        let class = waiting.priority.index();
        let queue = &mut account_queue.queues[class];
        let Some(index) = queue.iter().position(|w| w.ticket == waiting.ticket) else {
            return false;
        };
        queue.remove(index);
        self.counts[class] -= 1;
        account_queue.work[class] = if queue.is_empty() {
            0.0
        } else {
            account_queue.work[class] - waiting.work
        };
        if waiting.is_retry {
            account_queue.retry_work = (account_queue.retry_work - waiting.work).max(0.0);
        }
        if account_queue.is_empty() {
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
        let Some(account_queue) = self.accounts.get_mut(account) else {
            return;
        };
        if work > 0.0 {
            self.virtual_now = self
                .virtual_now
                .max(account_queue.virtual_time.min(self.virtual_now + work));
        }
        account_queue.virtual_time += work / account_queue.weight.max(1e-3);
    }

    /// Returns the work that an account is ahead of the others, in tokens; negative if behind.
    pub(crate) fn account_lead(&self, account: AccountKey) -> f64 {
        let account_queue = self.accounts.get(account);
        account_queue.map_or(0.0, |q| (q.virtual_time - self.virtual_now) * q.weight)
    }

    /// Returns the waiting work of all accounts in a class and above, in tokens.
    pub(crate) fn work_above(&self, priority: Priority) -> f64 {
        let queues = self.active.iter().map(|&a| &self.accounts[a]);
        queues.map(|q| q.work_above(priority)).sum()
    }

    /// Returns the weights of the accounts that wait, together.
    pub(crate) fn active_weight(&self) -> f64 {
        let weights = self.active.iter().map(|&a| self.accounts[a].weight);
        weights.sum::<f64>().max(1e-3)
    }

    /// Returns the weights of the accounts that offered work lately, counted anew now and then.
    pub(crate) fn recent_weight(&mut self, now: Time) -> f64 {
        let counted = self
            .recent_weight
            .filter(|r| now.secs_since(r.at) < RECOUNT_S);
        let recent = counted.unwrap_or_else(|| {
            let since = now.plus_secs(-ACTIVE_S);
            let queues = self.accounts.values().filter(|q| q.last_offer >= since);
            let weight = queues.map(|q| q.weight).sum();
            RecentWeight { at: now, weight }
        });
        self.recent_weight = Some(recent);
        recent.weight
    }

    /// Returns the least valuable waiting request: lowest class, furthest ahead, newest.
    pub(crate) fn least_valuable(&self) -> Option<QueuedRequest> {
        let queues = || self.active.iter().map(|&a| &self.accounts[a]);
        let class = Priority::ALL
            .iter()
            .rev()
            .find(|p| queues().any(|q| q.work[p.index()] > 0.0))?;
        let queues_with_class = queues().filter(|q| !q.queues[class.index()].is_empty());
        let furthest_ahead = queues_with_class.max_by(|a, b| {
            a.projected_virtual_time()
                .total_cmp(&b.projected_virtual_time())
        })?;
        furthest_ahead.queues[class.index()].back().copied()
    }
}
