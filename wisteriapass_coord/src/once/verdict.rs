//! Decisions that a router makes on the answers of homes and of a claim's side process.

use crate::once::{Attempt, Claim, HomeAnswer, Place};

/// Conclusion from the answers of a run's homes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HomesVerdict {
    /// No other process runs the request, so it can be sent to the claimed place.
    Unclaimed,
    /// A home did not answer or may not know all runs. The request may be running elsewhere, so its
    /// bill is provisional.
    Uncertain,
    /// The run is at another place and has to be followed there.
    Elsewhere(Place),
}

impl HomesVerdict {
    /// Evaluates the answers of all homes to a claim for `own`; `None` stands for a missing answer.
    ///
    /// An entry for `own` itself, left by an earlier claim, does not count as a run elsewhere.
    pub fn from_answers(answers: &[Option<HomeAnswer>], own: &Place) -> Self {
        let elsewhere = answers.iter().flatten().find_map(|answer| match answer {
            HomeAnswer::Held(held) if held.place != *own => Some(held.place.clone()),
            HomeAnswer::Held(_) | HomeAnswer::Fresh { .. } => None,
        });
        if let Some(place) = elsewhere {
            return Self::Elsewhere(place);
        }
        let is_definite = |answer: &Option<HomeAnswer>| match answer {
            Some(HomeAnswer::Fresh { is_complete }) => *is_complete,
            // The entry is the run itself or an earlier claim of this router for the same place.
            Some(HomeAnswer::Held(_)) => true,
            None => false,
        };
        if !answers.is_empty() && answers.iter().all(is_definite) {
            return Self::Unclaimed;
        }
        Self::Uncertain
    }
}

/// What the side process named in a claim reports about the claimed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HolderAnswer {
    /// The attempt never began and never will.
    NeverRuns,
    /// The run is in progress, or its answer is kept.
    Present,
    /// The request ran, and its answer is no longer kept.
    AnswerDropped,
}

/// Action to take on a claim that another operation holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HeldClaimAction {
    /// Follow the run at this place.
    Follow(Place),
    /// Take over the claim with this attempt.
    TakeOver(Attempt),
    /// Tell the caller that the outcome is unknown.
    ReportUnknown,
}

impl HeldClaimAction {
    /// Decides on a held claim from the side process's answer to the withdrawal of its attempt.
    ///
    /// `answer` contains the incarnation that answered and is `None` without an answer. Only the
    /// claimed incarnation can rule out that the attempt ran.
    pub fn decide(claim: &Claim, answer: Option<(&str, HolderAnswer)>) -> Self {
        let Some((incarnation, reported)) = answer else {
            return Self::ReportUnknown;
        };
        match reported {
            HolderAnswer::Present => Self::Follow(Place::new(&claim.place.side, incarnation)),
            HolderAnswer::NeverRuns if incarnation == claim.place.incarnation => {
                Self::TakeOver(claim.attempt.next())
            }
            HolderAnswer::NeverRuns | HolderAnswer::AnswerDropped => Self::ReportUnknown,
        }
    }
}
