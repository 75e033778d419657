//! When a follower tries to become a relay.
//!
//! When relays die, are cut off or are turned away, their followers try to take their place one
//! after the other, those on strong VMs first, so that a few join and the rest find them. While all
//! routers are cut off from the service, each one queries it rarely, because every call is billed
//! and none of them helps.

use super::MIN_RELAYS_PER_FLEET;

/// Whether a router needs more relays than there are. The variants appear in log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayNeed {
    /// There are enough.
    None,
    /// The router has a relay, but its failure domain or the fleet has too few relays.
    Another,
    /// No relay of its failure domain has fresh news, but one of another domain has.
    One,
    /// No relay of any failure domain has fresh news.
    Any,
    /// Some known relays of its failure domain haven't been asked yet.
    Unclear,
}

/// What a candidate does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CandidateAction {
    /// Nothing.
    None,
    /// Read from the service which routers are relays: either it answers this router, or all
    /// routers are cut off alike.
    QueryService,
    /// Become a relay, unless the record shows that others have done so.
    Join,
}

/// How long [`RelayNeed::Another`] has to last, in milliseconds: a relay whose process was killed
/// is back sooner, and its followers use another one until then.
const ANOTHER_DELAY_MS: u64 = 6_000;

/// How long [`RelayNeed::Another`] has to last in a fleet so small that each router is a relay, in
/// milliseconds: all routers have been counted by then.
const SMALL_FLEET_DELAY_MS: u64 = 800;

/// How long [`RelayNeed::One`] has to last, in milliseconds: enough for a few attempts at each
/// known relay.
const ONE_DELAY_MS: u64 = 400;

/// Initial backoff after a query that the service didn't answer, in milliseconds; it doubles with
/// each further one.
const INITIAL_BACKOFF_MS: u64 = 1_500;

/// Additional delay for weak VMs, in milliseconds: one exchange of a strong VM.
const WEAK_VM_DELAY_MS: u64 = 300;

/// How long [`RelayNeed::Any`] has to last before the service is queried, in milliseconds: a
/// target that leaves has to be known within a second or two.
const QUERY_DELAY_MS: u64 = 100;

/// Maximum jitter of [`QUERY_DELAY_MS`], in milliseconds.
const MAX_QUERY_JITTER_MS: u64 = 300;

/// Jitter per router that may try, in milliseconds: two calls of the service.
const JITTER_PER_ROUTER_MS: u64 = 20;

/// Number of routers to assume until it is known.
const ASSUMED_ROUTERS: usize = 16;

/// How long a need has to last after the service answered, in milliseconds: relays that were all
/// cut off have fresh news again by then.
const CONFIRM_DELAY_MS: u64 = 1_500;

/// Maximum backoff after queries that the service didn't answer, in milliseconds.
const MAX_BACKOFF_MS: u64 = 6_000;

/// The candidacy of one follower.
#[derive(Clone, Copy, Debug)]
pub struct Candidacy {
    is_strong: bool,
    /// Whether the follower has ever had a relay.
    has_followed: bool,
    /// The need and when to act on it if it lasts, in milliseconds.
    due: Option<(RelayNeed, u64)>,
    /// Consecutive queries that the service didn't answer.
    failures: u32,
    /// Whether the service has answered since the need arose.
    has_answer: bool,
}

impl Candidacy {
    /// Creates the candidacy of a router that has just started.
    pub fn new(is_strong: bool) -> Self {
        Self {
            is_strong,
            has_followed: false,
            due: None,
            failures: 0,
            has_answer: false,
        }
    }

    /// Returns what to do now.
    ///
    /// `routers` is the number of routers in the fleet; `random` is uniformly distributed between 0
    /// and 1.
    pub fn next_action(
        &mut self,
        now_ms: u64,
        need: RelayNeed,
        routers: usize,
        random: f64,
    ) -> CandidateAction {
        self.has_followed |= matches!(need, RelayNeed::None | RelayNeed::Another);
        if matches!(need, RelayNeed::None | RelayNeed::Unclear) {
            self.withdraw();
            return CandidateAction::None;
        }
        if self.due.is_none_or(|(due_need, _)| due_need != need) {
            let due_ms = now_ms + self.delay_ms(need, routers, random);
            self.due = Some((need, due_ms));
            self.has_answer = false;
        }
        if self.due.is_some_and(|(_, due_ms)| now_ms < due_ms) {
            return CandidateAction::None;
        }
        let may_be_cut_off = matches!(need, RelayNeed::One | RelayNeed::Any) && self.has_followed;
        let is_cut_off = may_be_cut_off && !self.has_answer;
        if is_cut_off {
            CandidateAction::QueryService
        } else {
            CandidateAction::Join
        }
    }

    /// Records that the service answered a query.
    pub fn record_answer(&mut self, now_ms: u64) {
        self.failures = 0;
        self.has_answer = true;
        if let Some((_, due_ms)) = &mut self.due {
            *due_ms = now_ms + CONFIRM_DELAY_MS + if self.is_strong { 0 } else { WEAK_VM_DELAY_MS };
        }
    }

    /// Records that the service didn't answer a query.
    pub fn record_failure(&mut self) {
        self.failures += 1;
        self.due = None;
    }

    /// Returns whether the service answers this router while no relay does.
    pub fn is_service_reachable(&self) -> bool {
        self.has_answer && self.due.is_some()
    }

    /// Withdraws, because other routers have become relays.
    pub fn withdraw(&mut self) {
        self.failures = 0;
        self.due = None;
    }

    /// Returns how long a need has to last, in milliseconds.
    fn delay_ms(&self, need: RelayNeed, routers: usize, random: f64) -> u64 {
        let candidates = if self.has_followed {
            routers
        } else {
            ASSUMED_ROUTERS
        };
        let max_jitter = candidates as u64 * JITTER_PER_ROUTER_MS;
        let jitter = (random * max_jitter as f64) as u64;
        let backoff = (INITIAL_BACKOFF_MS << self.failures.min(8)).min(MAX_BACKOFF_MS);
        let retry_delay = if self.failures > 0 {
            backoff + jitter
        } else {
            0
        };
        if need == RelayNeed::Any && self.has_followed {
            return QUERY_DELAY_MS
                + (random * max_jitter.min(MAX_QUERY_JITTER_MS) as f64) as u64
                + retry_delay;
        }
        let weak_delay = if self.is_strong {
            0
        } else {
            WEAK_VM_DELAY_MS + jitter
        };
        let is_small = self.has_followed && routers <= MIN_RELAYS_PER_FLEET;
        let need_delay = match need {
            RelayNeed::Another if is_small => SMALL_FLEET_DELAY_MS,
            RelayNeed::Another if self.has_followed => ANOTHER_DELAY_MS + jitter,
            RelayNeed::One if self.has_followed => ONE_DELAY_MS + jitter,
            _ => 0,
        };
        need_delay + weak_delay + retry_delay
    }
}
