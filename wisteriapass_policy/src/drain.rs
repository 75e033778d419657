//! How long a stopping router goes on taking callers, which work, and when it gives up the rest.
//!
//! Answers a roll that stops one router after the other faster than each of them drains. A router
//! that takes nobody while its longest streams end leaves its callers to routers that are stopping
//! as well, and for seconds nobody takes connections. So a stopping router goes on taking callers
//! as long as they still come, but only work that is expected to end before it is killed; as what
//! is expected may fail, targets and callers are told of the end in time.

use crate::Time;

/// Time after the stop in which callers are taken in any case, in milliseconds: the balancer asks
/// once a second and needs two answers to stop sending callers.
const ACCEPT_ALL_MS: u64 = 2_300;

/// Time without a new connection after which nobody depends on this router, in milliseconds: the
/// balancer asks once a second, and sends callers at once where others fail.
const NO_NEW_CONNECTION_MS: u64 = 1_000;

/// Time before the kill at which callers are turned away, in milliseconds: nothing but the shortest
/// work would end in it.
const LAST_ACCEPT_MS: u64 = 1_200;

/// Time before the kill at which work is expected to have ended, in milliseconds: shares are given
/// back from then on.
const EXPECTED_END_MS: u64 = 400;

/// Time before the kill at which targets end their work, in milliseconds: what they say of it then
/// still reaches callers.
const TARGETS_END_MS: u64 = 350;

/// Time before the kill at which work under way is given up, in milliseconds: the answers that say
/// so have to leave.
const ABORT_MS: u64 = 200;

/// How much longer than expected work may take, as a factor: speeds vary with the load, and a
/// stream that is cut is lost, one that is refused goes elsewhere.
const DURATION_MARGIN: f64 = 1.5;

/// The end of one router.
#[derive(Clone, Copy, Debug)]
pub struct Drain {
    accept_all_until: Time,
    last_accept: Time,
    expected_end: Time,
    targets_end: Time,
    abort_time: Time,
}

impl Drain {
    /// Creates the end of a router that is told to stop now and killed after `grace_ms`.
    pub fn new(now: Time, grace_ms: u64) -> Self {
        let before_kill = |ms: u64| now.plus_millis(grace_ms.saturating_sub(ms));
        Self {
            accept_all_until: now.plus_millis(ACCEPT_ALL_MS),
            last_accept: before_kill(LAST_ACCEPT_MS),
            expected_end: before_kill(EXPECTED_END_MS),
            targets_end: before_kill(TARGETS_END_MS),
            abort_time: before_kill(ABORT_MS),
        }
    }

    /// Returns whether kept connections are given up on which nothing is under way.
    pub fn closes_idle_connections(&self, now: Time) -> bool {
        now >= self.accept_all_until
    }

    /// Returns whether new connections are refused from now on; `last_taken` is when one came last,
    /// `is_idle` says that nothing is under way.
    ///
    /// A router that still works takes callers too: those that stopped later may need it yet.
    pub fn refuses_connections(&self, now: Time, last_accepted: Time, is_idle: bool) -> bool {
        if now < self.accept_all_until {
            return false;
        }
        let no_new_connections = now.millis_since(last_accepted) >= NO_NEW_CONNECTION_MS;
        no_new_connections && is_idle || now >= self.last_accept
    }

    /// Returns whether work that is expected to take `expected_ms` ends in time.
    pub fn accepts_work(&self, now: Time, expected_ms: u64) -> bool {
        let ms = (DURATION_MARGIN * expected_ms as f64) as u64;
        now < self.accept_all_until || now.plus_millis(ms) <= self.expected_end
    }

    /// Returns when work is expected to have ended.
    pub fn expected_end(&self) -> Time {
        self.expected_end
    }

    /// Returns how long targets may still work for this router, in milliseconds.
    ///
    /// An estimate may fail. A target that knows the router's end says in time that a request did
    /// not run, and works on nothing that nobody can get.
    pub fn target_time_left_ms(&self, now: Time) -> u64 {
        self.targets_end.millis_since(now)
    }

    /// Returns when work that is still under way is given up.
    pub fn abort_time(&self) -> Time {
        self.abort_time
    }
}
