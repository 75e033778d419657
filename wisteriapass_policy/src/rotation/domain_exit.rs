//! Whether a failure domain leaves rotation as a whole.
//!
//! Handles an account that prefers so many weak routers that one of them always serves: the
//! balancer then needs at least one weak router in rotation, and the account finds it. If no router
//! of the domain is in rotation, the balancer uses other domains, whose order of preference differs.
//!
//! Callers of all domains would be without service if all domains left, so a domain leaves only
//! while the coordinators of all others promise to stay.

use super::{ExitAnswer, ExitCall, ExitRefusal};
use crate::Time;

/// Duration of a promise to stay in rotation, in milliseconds.
const PROMISE_MS: u64 = 3_000;

/// Time for which consents are used, counted from the request, in milliseconds; shorter than the
/// promise, which begins later and runs on another clock.
const CONSENT_MS: u64 = 2_500;

/// Interval at which consents are requested, in milliseconds.
const ASK_INTERVAL_MS: u64 = 1_000;

/// Time for which a new coordinator keeps its domain out until it has consents of its own, in
/// milliseconds. The promises to its predecessor last longer.
const RESTORED_MS: u64 = 1_200;

/// Time after a withdrawn consent in which the domain does not ask again, in milliseconds, so that
/// the callers do not move back and forth.
const REFUSED_PAUSE_MS: u64 = 10_000;

/// Time after the last sign of a crowd in which the domain still wants to leave, in milliseconds; a
/// crowd may come in waves.
const WANTED_MS: u64 = 5_000;

/// Minimum number of strong routers with which a domain can take the callers of another one.
const MIN_STRONG: usize = 2;

/// What a failure domain could do for the callers of another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DomainStrength {
    /// Number of serving routers that are much stronger than those of the other domain.
    pub strong_serving: usize,
    /// Whether a router of the domain is live but does not report.
    pub has_unreported: bool,
}

/// A promise to stay in rotation.
#[derive(Clone, Debug)]
struct Promise {
    domain: String,
    until: Time,
    is_out: bool,
}

/// Whether a failure domain leaves rotation as a whole, as its coordinator knows it.
#[derive(Clone, Debug)]
pub struct DomainExit {
    domain: String,
    /// Until when the domain should leave.
    wanted_until: Option<Time>,
    asked_at: Option<Time>,
    /// Whether the last request for consents may still succeed.
    is_bidding: bool,
    may_ask_from: Time,
    out_until: Option<Time>,
    promise: Option<Promise>,
}

impl DomainExit {
    /// Creates the state of a domain in rotation. A coordinator that starts does not know what its
    /// predecessor promised, so it asks nobody until such promises have ended.
    pub fn new(domain: &str, now: Time) -> Self {
        Self {
            domain: domain.to_owned(),
            wanted_until: None,
            asked_at: None,
            is_bidding: false,
            may_ask_from: now.plus_millis(PROMISE_MS),
            out_until: None,
            promise: None,
        }
    }

    /// Returns the name of the domain.
    pub fn domain(&self) -> &str {
        &self.domain
    }

    /// Records that the domain should leave, or stay out.
    pub fn want(&mut self, now: Time) {
        self.wanted_until = Some(now.plus_millis(WANTED_MS));
    }

    /// Ends the wish to leave; a domain that is out returns.
    pub fn cancel(&mut self) {
        self.wanted_until = None;
        self.is_bidding = false;
        self.out_until = None;
    }

    /// Records that the domain is out, as its routers reported to a new coordinator.
    pub fn restore(&mut self, now: Time) {
        if self.out_until.is_none() {
            self.may_ask_from = now;
            self.out_until = Some(now.plus_millis(RESTORED_MS));
        }
    }

    /// Returns whether the domain is out.
    pub fn is_out(&self, now: Time) -> bool {
        self.out_until.is_some_and(|until| now < until)
    }

    /// Returns whether another domain is out with the consent of this one.
    pub fn is_other_out(&self, now: Time) -> bool {
        self.promise_in_force(now).is_some_and(|p| p.is_out)
    }

    /// Returns whether this domain promised to stay in rotation.
    pub fn has_promised(&self, now: Time) -> bool {
        self.promise_in_force(now).is_some()
    }

    /// Returns whether consents are to be requested now, and begins to wait for them if so.
    pub fn begin_asking(&mut self, now: Time) -> bool {
        let is_due = |at| now.millis_since(at) >= ASK_INTERVAL_MS;
        let may_ask = now >= self.may_ask_from && !self.has_promised(now);
        let is_wanted = self.wanted_until.is_some_and(|until| now < until);
        let is_wanted = is_wanted || self.is_out(now);
        if !is_wanted || !may_ask || !self.asked_at.is_none_or(is_due) {
            return false;
        }
        self.asked_at = Some(now);
        self.is_bidding = true;
        true
    }

    /// Records the answers of all other domains to the last request; a domain that did not answer
    /// is `None`.
    pub fn record_answers(&mut self, now: Time, answers: &[Option<ExitAnswer>]) {
        let Some(asked_at) = self.asked_at.filter(|_| self.is_bidding) else {
            return;
        };
        let consents = |a: &&Option<ExitAnswer>| **a == Some(ExitAnswer::Consent);
        let refuses = |a: &Option<ExitAnswer>| matches!(a, Some(ExitAnswer::Refused(_)));
        let all_consent = answers.iter().filter(consents).count() == answers.len();
        if all_consent && !answers.is_empty() {
            self.out_until = Some(asked_at.plus_millis(CONSENT_MS));
        } else if answers.iter().any(refuses) {
            if self.out_until.is_some() {
                self.may_ask_from = now.plus_millis(REFUSED_PAUSE_MS);
            }
            self.is_bidding = false;
            self.out_until = None;
        }
    }

    /// Answers the request of another domain.
    pub fn answer(&mut self, now: Time, call: &ExitCall, strength: DomainStrength) -> ExitAnswer {
        match self.refusal(now, call, strength) {
            Some(refusal) => ExitAnswer::Refused(refusal),
            None => {
                self.is_bidding = false;
                self.promise = Some(Promise {
                    domain: call.domain.clone(),
                    until: now.plus_millis(PROMISE_MS),
                    is_out: call.is_out,
                });
                ExitAnswer::Consent
            }
        }
    }

    fn refusal(&self, now: Time, call: &ExitCall, strength: DomainStrength) -> Option<ExitRefusal> {
        if self.is_out(now) {
            return Some(ExitRefusal::Out);
        }
        if self.may_still_leave(now) && self.domain < call.domain {
            return Some(ExitRefusal::Asked);
        }
        let promised = self.promise_in_force(now);
        if promised.is_some_and(|p| p.domain != call.domain) {
            return Some(ExitRefusal::Promised);
        }
        if strength.strong_serving < MIN_STRONG {
            return Some(ExitRefusal::FewStrong);
        }
        strength.has_unreported.then_some(ExitRefusal::Unreported)
    }

    /// Returns whether answers to the last request may still let the domain leave.
    fn may_still_leave(&self, now: Time) -> bool {
        let is_recent = |at| now.millis_since(at) < CONSENT_MS;
        self.is_bidding && self.asked_at.is_some_and(is_recent)
    }

    fn promise_in_force(&self, now: Time) -> Option<&Promise> {
        self.promise.as_ref().filter(|p| now < p.until)
    }
}
