//! Choice of the target that a request is sent to.

use wisteriapass_policy::rest;

use super::attempt::ProxiedRequest;
use super::history::{AttemptHistory, SendRecord};
use crate::gateway::{Exclusion, Requirements};
use crate::prelude::*;
use crate::target::{Target, TargetKey};

/// Number of times that the tokens which a target may hold already have to fit into those ahead of a
/// request, for its first event to say how fast the target is.
const MAX_UNCERTAIN_FRACTION: u64 = 4;

/// The chosen target.
#[derive(Clone, Copy, Debug)]
pub struct SelectedTarget {
    pub key: TargetKey,
    /// Prompt tokens that the target has to prefill.
    pub prefill_tokens: u64,
    /// How many of them it may hold already, as other routers may have sent them.
    pub uncertain_tokens: u64,
}

impl ProxiedRequest {
    /// Chooses a target that was not tried and at which the request ends before this router stops.
    pub(super) fn select_target(
        &self,
        history: &AttemptHistory,
    ) -> Result<SelectedTarget, Refusal> {
        let now = Instant::now();
        let targets = self.gw.targets.borrow();
        let eligible = self.eligible_targets(&targets, history, now)?;
        let model = self
            .gw
            .speeds
            .model(&self.plan.service, &targets, self.gw.time());
        let set = self.candidates(&eligible, &model, self.is_trial(), now);
        let key = set.ranking().choose(rand::random());
        let key = key.ok_or_else(|| history.stopping_refusal())?;
        self.log_late_request(targets.get(key));
        let kept = set.has_prefix(key);
        let prompt = set.prompt;
        if let Some(part) = prompt.shared_prefix {
            let target = targets
                .get(key)
                .ok_or_else(|| self.no_target_refusal(history))?;
            target.cached_parts.borrow_mut().insert(part, now);
        }
        let prefill_tokens = if kept {
            prompt.tokens.saturating_sub(prompt.shared_tokens)
        } else {
            prompt.tokens
        };
        Ok(SelectedTarget {
            key,
            prefill_tokens,
            uncertain_tokens: prefill_tokens.min(if kept { 0 } else { prompt.shared_tokens }),
        })
    }

    /// Returns what the request requires of its target.
    pub(super) fn requirements<'a>(&self, history: &'a AttemptHistory) -> Requirements<'a> {
        Requirements {
            cold: self.plan.cold_start,
            origin: history.origin.as_ref(),
        }
    }

    /// Logs a request that is accepted while this router is stopping.
    fn log_late_request(&self, target: Option<&Target>) {
        let now = self.gw.time();
        let drain = self
            .gw
            .drain
            .get()
            .filter(|drain| drain.closes_idle_connections(now));
        let (Some(drain), Some(target)) = (drain, target) else {
            return;
        };
        let most = self.metadata.work.map_or(0, |w| w.max_output);
        log::info!(
            target: "exchange",
            "Taken while stopping. request={} target={} expected_ms={} left_ms={}",
            self.metadata.id_text(),
            target.entry.id,
            self.gw.expected_ms(target, &self.plan.route, most),
            drain.expected_end().millis_since(now)
        );
    }

    /// Returns the record of a request that is sent to a target now.
    pub(super) fn send_record(&self, selected: SelectedTarget) -> SendRecord {
        let targets = self.gw.targets.borrow();
        let target = targets.get(selected.key);
        let pending = target.map_or(0, |t| t.pending_prompt_tokens.get());
        let tokens_ahead = pending + selected.prefill_tokens;
        let is_certain = selected.uncertain_tokens * MAX_UNCERTAIN_FRACTION <= tokens_ahead;
        SendRecord {
            key: selected.key,
            at: Instant::now(),
            running: target.map_or(0, |t| t.running.get()) + 1,
            tokens_ahead: is_certain.then_some(tokens_ahead),
        }
    }

    /// Returns whether the request would end before this router stops at any target that was not
    /// tried.
    pub(super) fn ends_in_time_elsewhere(&self, history: &AttemptHistory) -> bool {
        let (gw, metadata) = (&self.gw, &self.metadata);
        let origin = history.origin.as_ref();
        self.plan
            .ends_in_time_somewhere(gw, metadata, &history.tried, origin)
    }

    /// Returns the priority of the request.
    pub(super) fn priority(&self) -> u8 {
        self.plan.current_priority(&self.gw)
    }

    /// Returns the refusal for a request whose targets are all excluded: that of the last reason in
    /// the order of the list.
    pub(super) fn exclusion_refusal(
        &self,
        history: &AttemptHistory,
        exclusions: &[Exclusion],
    ) -> Refusal {
        match exclusions.iter().max() {
            None | Some(Exclusion::Closed) => self.no_target_refusal(history),
            Some(Exclusion::OtherVersion) => history.refuse_unless_run(Refusal::NoSameVersion),
            Some(Exclusion::Resting(_)) => history.refuse_unless_run(resting_refusal(exclusions)),
            Some(Exclusion::Cold) => history.refuse_unless_run(Refusal::Cold),
            Some(Exclusion::Limited) => history.refuse_unless_run(Refusal::Limited),
        }
    }

    /// Returns the refusal for a request that has no target left.
    pub(super) fn no_target_refusal(&self, history: &AttemptHistory) -> Refusal {
        if history.may_have_run {
            return Refusal::OutcomeUnknown;
        }
        if history.tried.is_empty() {
            return Refusal::NoTarget;
        }
        Refusal::NotTaken
    }
}

/// Returns the refusal while targets rest, with the time to the end of the first rest.
fn resting_refusal(exclusions: &[Exclusion]) -> Refusal {
    let ends = exclusions.iter().filter_map(|exclusion| match exclusion {
        Exclusion::Resting(until) => Some(*until),
        Exclusion::Closed | Exclusion::OtherVersion | Exclusion::Cold | Exclusion::Limited => None,
    });
    let first_end = ends.min().unwrap_or_else(Instant::now);
    let first_back = first_end.saturating_duration_since(Instant::now());
    let first_back_ms = first_back.as_millis() as u64;
    Refusal::Resting {
        retry_after_ms: rest::retry_after_ms(first_back_ms, rand::random()),
    }
}
