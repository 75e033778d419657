//! When a follower tries to become a relay.
//!
//! Answers relays that die, are cut off or turned away: their routers try to take their place one
//! after the other, strong VMs first, so that a few do and the rest find them. In a cut of all
//! each router asks the service seldom, as every call is paid for and none helps.

use super::MIN_RELAYS_PER_FLEET;

/// Whether there are relays enough for a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Need {
    /// There are.
    None,
    /// It has one, and one more is wanted in its failure domain or in the fleet.
    Another,
    /// None in its failure domain has fresh news.
    One,
    /// None has fresh news in any.
    Any,
    /// Those that it knows of were not asked yet.
    Unclear,
}

/// What a candidate does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CandidateAction {
    /// Nothing.
    None,
    /// Ask the service who is a relay: it answers this router, or all are cut off alike.
    QueryService,
    /// Become a relay, unless the record shows that others did.
    Join,
}

/// Time for which a need has to last, in milliseconds: a relay whose process was killed is back
/// sooner, and its followers turn to another one meanwhile.
const ANOTHER_MS: u64 = 6_000;

/// The same in a fleet that is so small that each router is a relay: all have been counted by then.
const SMALL_MS: u64 = 800;

/// The same while no relay is there: some tries of each that is known.
const ONE_MS: u64 = 400;

/// Wait behind a try without an answer of the service, in milliseconds, before it is doubled.
const VAIN_MS: u64 = 1_500;

/// How much longer weak VMs wait, in milliseconds: the exchange of a strong one.
const WEAK_MS: u64 = 300;

/// Wait with the question whether the service answers, in milliseconds, while no relay anywhere has
/// fresh news: a target that leaves has to be known within a second or two.
const ASK_MS: u64 = 100;

/// Longest spread of that wait, in milliseconds.
const ASK_SPREAD_MS: u64 = 300;

/// Spread of the wait, in milliseconds for each router of the failure domain that may try: two
/// calls of the service.
const SPREAD_MS: u64 = 20;

/// Routers of a failure domain that are reckoned with before their number is known.
const UNKNOWN_ROUTERS: usize = 16;

/// Time for which a need has to last behind an answer of the service, in milliseconds: at the end of
/// a cut of all, relays have fresh news by then.
const CONFIRM_MS: u64 = 1_500;

/// Longest wait behind tries without an answer of the service, in milliseconds.
const MOST_MS: u64 = 6_000;

/// The candidacy of one follower.
#[derive(Clone, Copy, Debug)]
pub struct Candidacy {
    is_strong: bool,
    /// Whether a relay was ever there for it.
    has_followed: bool,
    /// When a try is due, if the need lasts.
    due: Option<(Need, u64)>,
    /// Tries in a row that the service did not answer.
    vain: u32,
    /// Whether the service answered since the need began.
    is_answered: bool,
}

impl Candidacy {
    /// Creates the candidacy of a router that has just started.
    pub fn new(is_strong: bool) -> Self {
        Self {
            is_strong,
            has_followed: false,
            due: None,
            vain: 0,
            is_answered: false,
        }
    }

    /// Returns what to do; `routers` are all of the fleet, `draw` is drawn from 0 to 1.
    pub fn next_action(
        &mut self,
        now_ms: u64,
        need: Need,
        routers: usize,
        draw: f64,
    ) -> CandidateAction {
        self.has_followed |= matches!(need, Need::None | Need::Another);
        if matches!(need, Need::None | Need::Unclear) {
            self.withdraw();
            return CandidateAction::None;
        }
        if self.due.is_none_or(|(for_need, _)| for_need != need) {
            let at = now_ms + self.wait_ms(need, routers, draw);
            self.due = Some((need, at));
            self.is_answered = false;
        }
        if self.due.is_some_and(|(_, at)| now_ms < at) {
            return CandidateAction::None;
        }
        let may_be_cut = matches!(need, Need::One | Need::Any) && self.has_followed;
        let is_cut = may_be_cut && !self.is_answered;
        if is_cut {
            CandidateAction::QueryService
        } else {
            CandidateAction::Join
        }
    }

    /// Notes that the service answered who is a relay.
    pub fn record_answer(&mut self, now_ms: u64) {
        self.vain = 0;
        self.is_answered = true;
        if let Some((_, at)) = &mut self.due {
            *at = now_ms + CONFIRM_MS + if self.is_strong { 0 } else { WEAK_MS };
        }
    }

    /// Notes that the service did not answer.
    pub fn record_failure(&mut self) {
        self.vain += 1;
        self.due = None;
    }

    /// Returns whether the service answers this router while no relay does.
    pub fn is_service_reachable(&self) -> bool {
        self.is_answered && self.due.is_some()
    }

    /// Gives this try up: others were there already.
    pub fn withdraw(&mut self) {
        self.vain = 0;
        self.due = None;
    }

    /// Returns how long a need has to last, in milliseconds.
    fn wait_ms(&self, need: Need, routers: usize, draw: f64) -> u64 {
        let others = if self.has_followed {
            routers
        } else {
            UNKNOWN_ROUTERS
        };
        let most_spread = others as u64 * SPREAD_MS;
        let spread = (draw * most_spread as f64) as u64;
        let backoff = (VAIN_MS << self.vain.min(8)).min(MOST_MS);
        let vain = if self.vain > 0 { backoff + spread } else { 0 };
        if need == Need::Any && self.has_followed {
            return ASK_MS + (draw * most_spread.min(ASK_SPREAD_MS) as f64) as u64 + vain;
        }
        let weak = if self.is_strong { 0 } else { WEAK_MS + spread };
        let is_small = self.has_followed && routers <= MIN_RELAYS_PER_FLEET;
        let lasting = match need {
            Need::Another if is_small => SMALL_MS,
            Need::Another if self.has_followed => ANOTHER_MS + spread,
            Need::One if self.has_followed => ONE_MS + spread,
            _ => 0,
        };
        lasting + weak + vain
    }
}
