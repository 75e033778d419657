//! Explains the placement of a request with the functions that route it.

use wisteriapass_policy::placement::Ranking;

use super::attempt::ProxiedRequest;
use super::candidates::CandidateSet;
use super::history::AttemptHistory;
use crate::explain::{Choice, Decision, ServicePlacement, TargetPlacement, WaitSummary};
use crate::ledger::MoneyCheck;
use crate::prelude::*;
use crate::target::{Target, TargetKey};
use crate::targets::Targets;

/// Seed that breaks ties in explanations. Each request draws its own, so those of equal cost are named
/// as such.
const TIE_SEED: u64 = 0;

/// Exclusion of a target that runs more requests than the one that gets a trial.
const NOT_IDLEST: &str = "not_idlest";

/// Hedged copies of requests are not sent.
const HEDGE_OFF: &str = "off";

impl ProxiedRequest {
    /// Explains where the request would go within its service now, and sends nothing. `refusal` is that
    /// of its head or of the stream that it resumes; `asks_for_origin` if other routers are asked for
    /// the origin of that stream.
    pub(crate) fn explain(
        &self,
        share: f64,
        refusal: Option<Refusal>,
        asks_for_origin: bool,
        money: &MoneyCheck,
    ) -> ServicePlacement {
        let now = Instant::now();
        let history = AttemptHistory::new(self.plan.origin.clone());
        let is_trial = self.needs_trial();
        let targets = self.gw.targets.borrow();
        let eligible = self.eligible_targets(&targets, &history, now);
        let target_refusal = eligible.as_ref().err().copied();
        let eligible = eligible.unwrap_or_default();
        let time = self.gw.time();
        let model = self
            .gw
            .speeds
            .model_copy(&self.plan.service, &targets, time);
        let set = self.candidates(&eligible, &model, is_trial, now);
        let ranking = set.ranking();
        let chosen = ranking.choose(TIE_SEED);
        let refusal = refusal
            .or_else(|| self.quarantine_refusal())
            .or(money.refusal)
            .or_else(|| (now >= self.plan.deadline).then(|| history.deadline_refusal()))
            .or(target_refusal);
        let found = self.explain_targets(&targets, &set, chosen, now);
        ServicePlacement {
            service: self.plan.service.clone(),
            share,
            decision: Decision::new(refusal, waits(asks_for_origin, is_trial, money)),
            choice: Choice::among(&found),
            is_trial,
            hedge: self.explain_hedge(&ranking, chosen),
            targets: found,
        }
    }

    /// Returns the refusal of a request that is banned, or of which another copy is in its trial here.
    fn quarantine_refusal(&self) -> Option<Refusal> {
        let suspect = || self.taken_suspect().map(|_| Refusal::Suspect);
        self.ban_refusal().or_else(suspect)
    }

    /// Returns whether a hedged copy of the request would be sent if its target answered late.
    ///
    /// The decision on hedged copies is to be asked here.
    fn explain_hedge(&self, _: &Ranking<'_, TargetKey>, _: Option<TargetKey>) -> String {
        HEDGE_OFF.to_owned()
    }

    /// Returns all targets of the service: the chosen one, then candidates by cost, then the rest.
    fn explain_targets(
        &self,
        targets: &Targets,
        set: &CandidateSet,
        chosen: Option<TargetKey>,
        now: Instant,
    ) -> Vec<TargetPlacement> {
        let history = AttemptHistory::new(self.plan.origin.clone());
        let ranking = set.ranking();
        let explain = |(key, target): (TargetKey, &Target)| {
            if let Some(candidate) = set.candidates.iter().find(|c| c.key == key) {
                let is_chosen = Some(key) == chosen;
                return TargetPlacement::candidate(target, candidate, &ranking, is_chosen);
            }
            match self.ineligibility(targets, (key, target), &history, now) {
                Some(ineligibility) => TargetPlacement::ineligible(target, ineligibility, now),
                None => TargetPlacement::excluded(target, NOT_IDLEST),
            }
        };
        let of_service = targets.of_service(&self.plan.service);
        let mut found: Vec<TargetPlacement> = of_service.into_iter().map(explain).collect();
        found.sort_by(TargetPlacement::by_rank);
        found
    }
}

/// Returns what a request waits for before it is sent.
fn waits(asks_for_origin: bool, is_trial: bool, money: &MoneyCheck) -> Vec<WaitSummary> {
    let origin = asks_for_origin.then(|| WaitSummary::new("origin", Refusal::UnknownVersion));
    let trial = is_trial.then(|| WaitSummary::new("trial", Refusal::Suspect));
    let tokens = money.wait.clone();
    origin.into_iter().chain(tokens).chain(trial).collect()
}
