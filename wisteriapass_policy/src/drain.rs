//! Shutdown schedule of a router: how long it accepts connections, which work it takes, and when it
//! aborts the rest.
//!
//! Handles a rolling restart that stops routers faster than each of them drains. A router that
//! refuses connections while its longest streams finish leaves its callers to routers that are
//! stopping as well, and for seconds no router accepts connections. A stopping router therefore
//! accepts connections as long as callers arrive, but only takes work that is expected to end
//! before it is killed. Since estimates may be wrong, targets and callers are told in time when the
//! router ends, and streams are delivered whole: the rest of one that has begun could not be refused.

use crate::Time;

/// Time after the stop signal in which connections are always accepted, in milliseconds. The load
/// balancer probes once a second and needs two results to stop sending callers.
const ACCEPT_ALL_MS: u64 = 2_300;

/// Time without a new connection after which no caller depends on this router, in milliseconds. The
/// load balancer probes once a second, and redirects callers here at once when other routers fail.
const NO_NEW_CONNECTION_MS: u64 = 1_000;

/// Time before the kill from which connections are refused, in milliseconds. Only the shortest work
/// would still finish.
const LAST_ACCEPT_MS: u64 = 1_200;

/// Time before the kill at which work is expected to be done, in milliseconds. The router returns
/// its shares from then on.
const EXPECTED_END_MS: u64 = 400;

/// Time before the kill at which targets stop working, in milliseconds, so that their last messages
/// still reach callers.
const TARGETS_END_MS: u64 = 350;

/// Time before the kill at which remaining work is aborted, in milliseconds, so that the error
/// answers can still be sent.
const ABORT_MS: u64 = 200;

/// Factor on the expected duration of work. Speed varies with load, and a stream that is cut off is
/// lost, while a refused one goes to another router.
const DURATION_MARGIN: f64 = 1.5;

/// Time after the stop signal from which streams are delivered whole, in milliseconds: less than the
/// time in which callers cannot know of the stop, as the signal may be noticed late.
const WHOLE_STREAMS_MS: u64 = 2_700;

/// Minimum time for which callers wait for the next event of a stream, in milliseconds.
const SILENCE_MS: u64 = 2_000;

/// The same as a multiple of the latency goal, where that is longer.
const SILENCE_GOALS: u64 = 4;

/// The same as a multiple of the longest pause between events, where that is longer.
const SILENCE_PAUSES: u64 = 8;

/// What callers of a stream expect.
#[derive(Clone, Copy, Debug)]
pub struct StreamGoals {
    /// Latency goal for the first event, in milliseconds.
    pub latency_goal_ms: u64,
    /// Goal for the longest pause between events, in milliseconds, if there is one.
    pub gap_goal_ms: Option<u64>,
}

impl StreamGoals {
    /// Returns the time for which callers wait for the next event, in milliseconds.
    fn patience_ms(self) -> u64 {
        let by_latency = self.latency_goal_ms.saturating_mul(SILENCE_GOALS);
        let by_pause = self.gap_goal_ms.unwrap_or_default();
        let by_pause = by_pause.saturating_mul(SILENCE_PAUSES);
        SILENCE_MS.max(by_latency).max(by_pause)
    }
}

/// Shutdown schedule of one router.
#[derive(Clone, Copy, Debug)]
pub struct Drain {
    accept_all_until: Time,
    whole_streams_from: Time,
    last_accept: Time,
    expected_end: Time,
    targets_end: Time,
    abort_time: Time,
}

impl Drain {
    /// Creates the schedule of a router that is stopped now and killed after `grace_ms`.
    pub fn new(now: Time, grace_ms: u64) -> Self {
        let before_kill = |ms: u64| now.plus_millis(grace_ms.saturating_sub(ms));
        Self {
            accept_all_until: now.plus_millis(ACCEPT_ALL_MS),
            whole_streams_from: now.plus_millis(WHOLE_STREAMS_MS),
            last_accept: before_kill(LAST_ACCEPT_MS),
            expected_end: before_kill(EXPECTED_END_MS),
            targets_end: before_kill(TARGETS_END_MS),
            abort_time: before_kill(ABORT_MS),
        }
    }

    /// Returns whether idle keep-alive connections are closed.
    pub fn closes_idle_connections(&self, now: Time) -> bool {
        now >= self.accept_all_until
    }

    /// Returns whether new connections are refused from now on. `last_accepted` is the time of the
    /// latest connection; `is_idle` means that no request is in flight.
    ///
    /// A busy router keeps accepting connections, since callers of routers that stopped later may
    /// need it.
    pub fn refuses_connections(&self, now: Time, last_accepted: Time, is_idle: bool) -> bool {
        if now < self.accept_all_until {
            return false;
        }
        let no_new_connections = now.millis_since(last_accepted) >= NO_NEW_CONNECTION_MS;
        no_new_connections && is_idle || now >= self.last_accept
    }

    /// Returns whether work that is expected to take `expected_ms` would finish in time.
    pub fn accepts_work(&self, now: Time, expected_ms: u64) -> bool {
        let ms = (DURATION_MARGIN * expected_ms as f64) as u64;
        now < self.accept_all_until || now.plus_millis(ms) <= self.expected_end
    }

    /// Returns whether a stream that is expected to take `expected_ms` would finish in time, and
    /// while its caller still waits for its first event, if it is delivered whole.
    pub fn accepts_stream(&self, now: Time, expected_ms: u64, goals: StreamGoals) -> bool {
        let is_whole = self.delivers_whole_streams(now);
        let waits = !is_whole || expected_ms <= goals.patience_ms();
        waits && self.accepts_work(now, expected_ms)
    }

    /// Returns whether streams that arrive now are delivered once they are whole.
    pub fn delivers_whole_streams(&self, now: Time) -> bool {
        now >= self.whole_streams_from
    }

    /// Returns the time by which work is expected to be done.
    pub fn expected_end(&self) -> Time {
        self.expected_end
    }

    /// Returns how long targets may still work for this router, in milliseconds.
    ///
    /// The estimate may be wrong. A target that knows when the router ends can report in time that
    /// a request did not run, and does not work on answers that nobody can receive.
    pub fn target_time_left_ms(&self, now: Time) -> u64 {
        self.targets_end.millis_since(now)
    }

    /// Returns the time at which remaining work is aborted.
    pub fn abort_time(&self) -> Time {
        self.abort_time
    }
}
