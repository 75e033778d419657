//! The candidates for a request: the targets that may get it, as the ranking sees them.

use smallvec::SmallVec;
use wisteriapass_policy::Time;
use wisteriapass_policy::placement::{self, Candidate, Prompt, Ranking};
use wisteriapass_policy::target_speed::ServiceModel;

use super::attempt::ProxiedRequest;
use super::history::AttemptHistory;
use super::ineligibility::Ineligibility;
use crate::gateway::Exclusion;
use crate::prelude::*;
use crate::target::{Target, TargetKey};
use crate::targets::Targets;

/// Targets that may get a request.
pub(super) type EligibleTargets<'a> = SmallVec<[(TargetKey, &'a Target); 32]>;

/// The candidates for a request, and what their ranking depends on.
pub(super) struct CandidateSet {
    pub candidates: SmallVec<[Candidate<TargetKey>; 32]>,
    /// Prompt with the latency goal that is left.
    pub prompt: Prompt,
    /// Number of routers in the fleet.
    pub routers: usize,
}

/// Values that are the same for all candidates of one request.
#[derive(Clone, Copy)]
struct CandidateContext<'a> {
    prompt: Prompt,
    /// Silence after which a target is suspected to be stuck, in milliseconds.
    silence_ms: u64,
    /// Usual times of the service.
    model: &'a ServiceModel,
    now: Instant,
    time: Time,
}

impl CandidateSet {
    /// Ranks the candidates.
    pub fn ranking(&self) -> Ranking<'_, TargetKey> {
        Ranking::new(&self.candidates, self.prompt, self.routers)
    }

    /// Returns whether this router recently sent the prompt's shared prefix to a candidate.
    pub fn has_prefix(&self, key: TargetKey) -> bool {
        let mut candidates = self.candidates.iter();
        candidates.any(|c| c.key == key && c.has_prefix)
    }
}

impl ProxiedRequest {
    /// Returns the targets that may get the request now.
    ///
    /// # Errors
    ///
    /// [`Refusal`] if there is none.
    pub(super) fn eligible_targets<'a>(
        &self,
        targets: &'a Targets,
        history: &AttemptHistory,
        now: Instant,
    ) -> Result<EligibleTargets<'a>, Refusal> {
        let mut exclusions: SmallVec<[Exclusion; 32]> = SmallVec::new();
        let mut is_stopping = false;
        let mut eligible = targets.of_service(&self.plan.service);
        eligible.retain(|(key, target)| {
            let found = self.ineligibility(targets, (*key, *target), history, now);
            match found {
                Some(Ineligibility::Excluded(exclusion)) => exclusions.push(exclusion),
                Some(Ineligibility::Stopping) => is_stopping = true,
                Some(Ineligibility::Tried | Ineligibility::Region) | None => {}
            }
            found.is_none()
        });
        if !eligible.is_empty() {
            return Ok(eligible);
        }
        if is_stopping {
            return Err(history.stopping_refusal());
        }
        Err(self.exclusion_refusal(history, &exclusions))
    }

    /// Returns why a target of the service is no candidate for the request, if so.
    pub(super) fn ineligibility(
        &self,
        targets: &Targets,
        (key, target): (TargetKey, &Target),
        history: &AttemptHistory,
        now: Instant,
    ) -> Option<Ineligibility> {
        if history.tried.contains(&key) {
            return Some(Ineligibility::Tried);
        }
        if !self.plan.allows(&self.gw, target) {
            return Some(Ineligibility::Region);
        }
        let requirements = self.requirements(history);
        if let Some(exclusion) = self.gw.exclusion(targets, target, requirements, now) {
            return Some(Ineligibility::Excluded(exclusion));
        }
        let ends_in_time = self.plan.ends_in_time(&self.gw, &self.metadata, target);
        (!ends_in_time).then_some(Ineligibility::Stopping)
    }

    /// Returns the candidates among the targets that may get the request. A request that may crash
    /// its target goes where the fewest requests run.
    pub(super) fn candidates(
        &self,
        eligible: &EligibleTargets<'_>,
        model: &ServiceModel,
        is_trial: bool,
        now: Instant,
    ) -> CandidateSet {
        let waited_ms = self.plan.arrived.elapsed().as_secs_f64() * 1_000.0;
        let goal_ms = self.plan.route.latency_goal_ms as f64 - waited_ms;
        let prompt = Prompt {
            goal: model.latency_goal(goal_ms),
            ..self.metadata.prompt()
        };
        let silence_ms = self.gw.silence_ms(&self.plan.service, &self.plan.route);
        let context = CandidateContext {
            prompt,
            silence_ms,
            model,
            now,
            time: self.gw.time(),
        };
        let eligible = eligible.iter();
        let candidates = eligible.map(|(key, target)| self.candidate(*key, target, context));
        let mut candidates: SmallVec<[Candidate<TargetKey>; 32]> = candidates.collect();
        if is_trial {
            let fewest = placement::fewest_running(&candidates);
            candidates.retain(|c| Some(c.running) == fewest);
        }
        CandidateSet {
            candidates,
            prompt,
            routers: self.gw.ledger.router_count(),
        }
    }

    fn candidate(
        &self,
        key: TargetKey,
        target: &Target,
        context: CandidateContext<'_>,
    ) -> Candidate<TargetKey> {
        let CandidateContext {
            prompt,
            silence_ms,
            model,
            now,
            time,
        } = context;
        let speed = target.speed.borrow();
        Candidate {
            key,
            hash: placement::hash_name(&target.entry.id.0),
            slots: target.entry.slots,
            running: target.running.get(),
            pending_prompt_tokens: target.pending_prompt_tokens.get(),
            has_prefix: prompt
                .shared_prefix
                .is_some_and(|part| target.cached_parts.borrow().contains(part, now)),
            in_same_domain: target.entry.failure_domain == self.gw.settings.failure_domain,
            recent_failures: target.failures.borrow().value(time),
            silent: target.silent_ms() > silence_ms,
            slowness: speed.slowness(model, time),
            lasting_slowness: speed.lasting(model, time),
        }
    }
}
