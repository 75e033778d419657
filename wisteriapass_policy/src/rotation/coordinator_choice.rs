//! Which relay a router takes for the coordinator of its failure domain.

use std::collections::BTreeMap;

use super::RelayCandidate;
use crate::Time;

/// Time without an answer after which the next relay is used, in milliseconds: three reports. It
/// leaves time to reach the next one before the standing of the router expires.
const SILENCE_MS: u64 = 600;

/// Time after which a relay that was passed over is tried again, in milliseconds; it doubles with
/// each attempt.
const RETRY_MS: u64 = 1_000;

/// Longest such time, in milliseconds.
const MAX_RETRY_MS: u64 = 16_000;

/// Attempts to reach a relay since its last answer.
#[derive(Clone, Copy, Debug)]
struct Unanswered {
    since: Time,
    last_at: Time,
    retry_ms: u64,
}

/// Selects the coordinator: the first relay in the common order that answers.
///
/// A follower does not know which relays are on strong VMs, so the relays that it asks name the
/// coordinator.
#[derive(Clone, Debug, Default)]
pub struct CoordinatorChoice {
    unanswered: BTreeMap<String, Unanswered>,
    /// The coordinator that a relay named.
    named: Option<String>,
}

impl CoordinatorChoice {
    /// Returns the candidate to report to. `me` is the name of this router, which always answers
    /// itself.
    pub fn choose<'a>(
        &self,
        now: Time,
        me: &str,
        in_order: &'a [RelayCandidate],
    ) -> Option<&'a RelayCandidate> {
        let mut answering = in_order
            .iter()
            .filter(|c| c.name == me || !self.is_silent(now, &c.name));
        let is_relay = in_order.iter().any(|c| c.name == me);
        let is_named = |c: &&RelayCandidate| !is_relay && self.named.as_ref() == Some(&c.name);
        let named = answering.clone().find(is_named);
        let tried_first = || in_order.iter().min_by_key(|c| self.last_call(&c.name));
        named.or_else(|| answering.next()).or_else(tried_first)
    }

    /// Returns a candidate before the chosen one that should be tried again. Relays try, and
    /// thereby move the whole domain at once; followers are told the coordinator's name.
    pub fn retry<'a>(
        &self,
        now: Time,
        me: &str,
        in_order: &'a [RelayCandidate],
    ) -> Option<&'a RelayCandidate> {
        let chosen = self.choose(now, me, in_order)?;
        if !in_order.iter().any(|c| c.name == me) {
            return None;
        }
        let mut earlier = in_order.iter().take_while(|c| c.name != chosen.name);
        earlier.find(|c| {
            let calls = self.unanswered.get(&c.name);
            calls.is_some_and(|u| now.millis_since(u.last_at) >= u.retry_ms)
        })
    }

    /// Records that a report was sent to a relay.
    pub fn record_sent(&mut self, now: Time, relay: &str) {
        let is_silent = self.is_silent(now, relay);
        let first = Unanswered {
            since: now,
            last_at: now,
            retry_ms: RETRY_MS,
        };
        let calls = self.unanswered.entry(relay.to_owned()).or_insert(first);
        calls.last_at = now;
        if is_silent {
            calls.retry_ms = (calls.retry_ms * 2).min(MAX_RETRY_MS);
        }
    }

    /// Records an answer of a relay, which names the coordinator. If that one was silent for this
    /// router, it gets another try.
    pub fn record_answer(&mut self, now: Time, relay: &str, coordinator: &str) {
        self.unanswered.remove(relay);
        let last_call = self.last_call(coordinator);
        if last_call.is_some_and(|at| now.millis_since(at) >= RETRY_MS) {
            self.unanswered.remove(coordinator);
        }
        self.named = Some(coordinator.to_owned());
    }

    fn last_call(&self, relay: &str) -> Option<Time> {
        self.unanswered.get(relay).map(|u| u.last_at)
    }

    fn is_silent(&self, now: Time, relay: &str) -> bool {
        let calls = self.unanswered.get(relay);
        calls.is_some_and(|u| now.millis_since(u.since) >= SILENCE_MS)
    }
}
