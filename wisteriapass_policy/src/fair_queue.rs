//! Weighted fair queue of the requests that wait in one pool, by account and class.
//!
//! Handles a few accounts that send most of the load. Without it they take slots in proportion to
//! what they send, and the other accounts starve (`loads --pattern hot --without fairness`). Each
//! account has a virtual time: the work dispatched for it, divided by its weight. The next request
//! belongs to the account with the lowest virtual time, with a lead for urgent classes and for age.
//! The lead is bounded to some seconds of the account's share, so that priority orders requests
//! over seconds and fairness over a minute.
//!
//! An account that was idle keeps some seconds of its unused share. The few requests that a small
//! account has at one router arrive in clusters, and without this credit it would get less than its
//! share of every minute. The rest of the unused share is lent to other accounts. Requests retried
//! at their promised time go first within their account. Without classes, interactive requests wait
//! behind batch work (`loads --pattern saturation --without priority`).

use slotmap::SecondaryMap;

use crate::account_queue::AccountQueue;
use crate::queued_request::QueuedRequest;
use crate::{AccountKey, PolicyConfig, Priority, TargetKey, Time};

/// Time for which an account counts as active, in seconds.
const ACTIVE_S: f64 = 5.0;
/// Interval between two counts of the active accounts, in seconds.
const RECOUNT_S: f64 = 0.1;

#[derive(Debug, Default)]
pub(crate) struct FairQueue {
    accounts: SecondaryMap<AccountKey, AccountQueue>,
    active: Vec<AccountKey>,
    /// Virtual time of the request dispatched last.
    virtual_now: f64,
    /// Queued work, in tokens.
    pub(crate) work: f64,
    /// Queued requests by class.
    counts: [usize; 3],
    recent_weight: Option<RecentWeight>,
}

/// Total weight of the accounts that offered work recently.
#[derive(Clone, Copy, Debug)]
struct RecentWeight {
    at: Time,
    weight: f64,
}

/// Classes of queued requests that cannot be dispatched now.
pub(crate) type BlockedClasses = [bool; 3];

impl FairQueue {
    /// Returns an account's queue, created if it does not exist.
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

    pub(crate) fn remove_account(&mut self, account: AccountKey) {
        if let Some(account_queue) = self.accounts.remove(account) {
            self.work -= account_queue.work.iter().sum::<f64>();
            for (count, queue) in self.counts.iter_mut().zip(&account_queue.queues) {
                *count -= queue.len();
            }
        }
        self.active.retain(|&a| a != account);
    }

    /// Adds a request; an idle account keeps at most `saved_s` seconds of its share as credit.
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

    /// Returns the next request in fair order of a class that is not blocked, without removing it.
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

    /// Returns the first request in fair order whose home is this target, if its score is near that
    /// of `first`.
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

    pub(crate) fn is_waiting(&self) -> bool {
        !self.active.is_empty()
    }

    /// Returns whether a request is queued in a class that is not blocked.
    pub(crate) fn has_unblocked(&self, blocked: BlockedClasses) -> bool {
        self.counts
            .iter()
            .zip(blocked)
            .any(|(&n, blocked)| n > 0 && !blocked)
    }

    /// Removes a request; returns whether it was queued.
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

    /// Charges an account for dispatched work; a negative amount refunds work that was not needed.
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

    /// Returns how far an account is ahead of the others, in tokens; negative if behind.
    pub(crate) fn account_lead(&self, account: AccountKey) -> f64 {
        let account_queue = self.accounts.get(account);
        account_queue.map_or(0.0, |q| (q.virtual_time - self.virtual_now) * q.weight)
    }

    /// Returns the queued work of all accounts in this class and more urgent ones, in tokens.
    pub(crate) fn work_above(&self, priority: Priority) -> f64 {
        let queues = self.active.iter().map(|&a| &self.accounts[a]);
        queues.map(|q| q.work_above(priority)).sum()
    }

    /// Returns the total weight of the accounts with queued requests.
    pub(crate) fn active_weight(&self) -> f64 {
        let weights = self.active.iter().map(|&a| self.accounts[a].weight);
        weights.sum::<f64>().max(1e-3)
    }

    /// Returns the total weight of the accounts that offered work recently, recounted at intervals.
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

    /// Returns the request to shed first: of the lowest class, from the account furthest ahead, the
    /// newest.
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
