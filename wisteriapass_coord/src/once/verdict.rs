//! What a router does after asking homes or the side process that holds a claim.

use crate::once::{Attempt, Claim, HomeAnswer, Place};

/// What the homes' answers come to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HomesVerdict {
    /// Nobody else runs it: send it to the place that was claimed.
    Unclaimed,
    /// A home could not be asked, or may miss runs: somebody may run it, so its bill is
    /// provisional.
    Uncertain,
    /// It is at another place: follow it there.
    Elsewhere(Place),
}

impl HomesVerdict {
    /// Judges the answers of all homes to a claim for `own`; `None` for a home without an answer.
    ///
    /// A claim of its own, found again, is no news.
    pub fn from_answers(answers: &[Option<HomeAnswer>], own: &Place) -> Self {
        let held = answers.iter().flatten().find_map(|answer| match answer {
            HomeAnswer::Held(held) if held.place != *own => Some(held.place.clone()),
            HomeAnswer::Held(_) | HomeAnswer::Fresh { .. } => None,
        });
        if let Some(place) = held {
            return Self::Elsewhere(place);
        }
        let is_firm = |answer: &Option<HomeAnswer>| match answer {
            Some(HomeAnswer::Fresh { is_complete }) => *is_complete,
            // The run itself, or an earlier claim of this router for the same place.
            Some(HomeAnswer::Held(_)) => true,
            None => false,
        };
        if !answers.is_empty() && answers.iter().all(is_firm) {
            return Self::Unclaimed;
        }
        Self::Uncertain
    }
}

/// What the side process that holds a claim says of its attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HolderAnswer {
    /// It never began and never will.
    NeverRuns,
    /// It goes on, or its answer is kept.
    Present,
    /// It ran, and its answer is no longer kept.
    AnswerDropped,
}

/// What to do about a claim that another operation holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HeldClaimAction {
    /// Follow the run where it is.
    Follow(Place),
    /// Take the claim over under this attempt.
    TakeOver(Attempt),
    /// Tell the caller that the outcome is unknown.
    ReportUnknown,
}

impl HeldClaimAction {
    /// Judges a held claim by the answer of the named side process to a withdrawal of the claimed
    /// attempt; `None` without an answer, else with the incarnation that answered.
    ///
    /// Only the incarnation that was claimed for can say that it did not run.
    pub fn decide(claim: &Claim, answer: Option<(&str, HolderAnswer)>) -> Self {
        let Some((incarnation, says)) = answer else {
            return Self::ReportUnknown;
        };
        match says {
            HolderAnswer::Present => Self::Follow(Place::new(&claim.place.side, incarnation)),
            HolderAnswer::NeverRuns if incarnation == claim.place.incarnation => {
                Self::TakeOver(claim.attempt.next())
            }
            HolderAnswer::NeverRuns | HolderAnswer::AnswerDropped => Self::ReportUnknown,
        }
    }
}
