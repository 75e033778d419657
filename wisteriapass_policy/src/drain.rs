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
const LINGER_MS: u64 = 2_300;

/// Time without a new connection after which nobody depends on this router, in milliseconds: the
/// balancer asks once a second, and sends callers at once where others fail.
const QUIET_MS: u64 = 1_000;

/// Time before the kill at which callers are turned away, in milliseconds: nothing but the shortest
/// work would end in it.
const LAST_CALL_MS: u64 = 1_200;

/// Time before the kill at which work is expected to have ended, in milliseconds: shares are given
/// back from then on.
const SPARE_MS: u64 = 400;

/// Time before the kill at which targets end their work, in milliseconds: what they say of it then
/// still reaches callers.
const TARGETS_MS: u64 = 350;

/// Time before the kill at which work under way is given up, in milliseconds: the answers that say
/// so have to leave.
const CUT_MS: u64 = 200;

/// How much longer than expected work may take, as a factor: speeds vary with the load, and a
/// stream that is cut is lost, one that is refused goes elsewhere.
const DOUBT: f64 = 1.5;

/// The end of one router.
#[derive(Clone, Copy, Debug)]
pub struct Drain {
    linger_until: Time,
    last_call: Time,
    end: Time,
    targets_end: Time,
    cut: Time,
}

impl Drain {
    /// Creates the end of a router that is told to stop now and killed after `grace_ms`.
    pub fn new(now: Time, grace_ms: u64) -> Self {
        let before_kill = |ms: u64| now.plus_millis(grace_ms.saturating_sub(ms));
        Self {
            linger_until: now.plus_millis(LINGER_MS),
            last_call: before_kill(LAST_CALL_MS),
            end: before_kill(SPARE_MS),
            targets_end: before_kill(TARGETS_MS),
            cut: before_kill(CUT_MS),
        }
    }

    /// Returns whether kept connections are given up on which nothing is under way.
    pub fn closes_idle_connections(&self, now: Time) -> bool {
        now >= self.linger_until
    }

    /// Returns whether new connections are refused from now on; `last_taken` is when one came last,
    /// `is_idle` says that nothing is under way.
    ///
    /// A router that still works takes callers too: those that stopped later may need it yet.
    pub fn refuses_connections(&self, now: Time, last_taken: Time, is_idle: bool) -> bool {
        if now < self.linger_until {
            return false;
        }
        let is_quiet = now.millis_since(last_taken) >= QUIET_MS;
        is_quiet && is_idle || now >= self.last_call
    }

    /// Returns whether work that is expected to take `expected_ms` ends in time.
    pub fn accepts_work(&self, now: Time, expected_ms: u64) -> bool {
        let ms = (DOUBT * expected_ms as f64) as u64;
        now < self.linger_until || now.plus_millis(ms) <= self.end
    }

    /// Returns when work is expected to have ended.
    pub fn expected_end(&self) -> Time {
        self.end
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
        self.cut
    }
}
