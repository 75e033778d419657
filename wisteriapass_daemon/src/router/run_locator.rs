//! Lookup of existing runs of requests with an idempotency key, and claims that prevent a request
//! from running twice.

use std::sync::atomic::{AtomicU64, Ordering};

use wisteriapass_config::Document;
use wisteriapass_coord::budget::Origin;
use wisteriapass_coord::once::{
    Attempt, Bill, BillLedger, Claim, ClaimOpId, ClaimOutcome, Claims, HeldClaimAction,
    HolderAnswer, HomeAnswer, HomesVerdict, Place, RunId,
};
use wisteriapass_coord::store::{Revision, Store};

use crate::clock;
use crate::prelude::*;
use crate::router::RouterIdentity;
use crate::rpc::{HomeClaim, LookupAnswer, RpcClient, SideControlClient, WithdrawalOutcome};
use crate::side::homes_in;

/// Lifetime of a claim, in milliseconds; a request is not expected to be repeated later.
const CLAIM_LIFETIME_MS: u64 = 24 * 3_600_000;

/// Maximum number of tries to claim a request in the store; each may take over a withdrawn claim.
const MAX_CLAIM_TRIES: u32 = 3;

/// Place to which a request is dispatched.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DispatchLocation {
    /// Side process and its incarnation.
    pub place: Place,
    /// Number of the attempt.
    pub attempt: Attempt,
    /// Whether another run of the request may exist, so that the bill needs a claim.
    pub is_provisional: bool,
}

impl DispatchLocation {
    /// Creates the location of a request that no other router can run.
    pub fn new(place: Place, attempt: u32) -> Self {
        Self {
            place,
            attempt: Attempt(attempt),
            is_provisional: false,
        }
    }
}

/// Result of a lookup at the homes of a run, before the first attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Lookup {
    /// The request does not run and did not run recently.
    NotFound,
    /// The run is at this place, or was claimed for it.
    At(Place),
    /// No home could answer.
    Unknown,
}

/// Finds and claims the runs of requests with an idempotency key.
pub struct RunLocator {
    router: Arc<RouterIdentity>,
    rpc: Arc<RpcClient>,
    store: Box<dyn Store>,
    next_op: AtomicU64,
}

impl Service for RunLocator {
    const NAME: &'static str = "locator";
}

impl RunLocator {
    /// Creates a locator that writes claims to `store`.
    ///
    /// # Errors
    ///
    /// [`crate::kernel::KernelError`] if a required service is missing.
    pub fn new(kernel: &Kernel, store: Box<dyn Store>) -> crate::kernel::Result<Self> {
        let (router, rpc) = (kernel.find()?, kernel.find()?);
        Ok(Self {
            router,
            rpc,
            store,
            next_op: AtomicU64::new(0),
        })
    }

    /// Asks the homes for the place of a run; the answer of one home that knows all runs suffices.
    pub fn lookup(&self, document: &Document, run: &RunId) -> Lookup {
        for home in homes_in(document, run) {
            let Some(answer) = self.lookup_at(document, &home, run) else {
                continue;
            };
            if let Some(location) = answer.held {
                return Lookup::At(location.place);
            }
            if answer.is_complete {
                return Lookup::NotFound;
            }
        }
        Lookup::Unknown
    }

    /// Returns whether a request is known not to have run.
    ///
    /// All homes are asked, because one that was replaced may have missed the run. For a request
    /// that is not idempotent, the store is read too: claims in it outlive owners and homes.
    pub fn is_known_not_run(&self, document: &Document, run: &RunId, is_idempotent: bool) -> bool {
        let homes = homes_in(document, run);
        let answers: Vec<Option<LookupAnswer>> = homes
            .iter()
            .map(|home| self.lookup_at(document, home, run))
            .collect();
        let is_complete = |l: &Option<LookupAnswer>| l.as_ref().is_some_and(|l| l.is_complete);
        if answers.iter().flatten().any(|l| l.held.is_some()) {
            return false;
        }
        if !answers.iter().any(is_complete) {
            return false;
        }
        if is_idempotent {
            return true;
        }
        match Claims::new(self.store.as_ref()).read(run) {
            Ok(claim) => claim.is_none(),
            Err(_) => answers.iter().all(is_complete),
        }
    }

    fn lookup_at(&self, document: &Document, home: &str, run: &RunId) -> Option<LookupAnswer> {
        let control = document.inventory.target_named(home)?.side_control;
        let run = run.clone();
        let answer = self
            .rpc
            .call(control, |c| async move { c.lookup(run).await });
        answer.ok()
    }

    /// Finds a run by its homes, or claims it there for `place`.
    pub fn claim_at_homes(
        &self,
        document: &Document,
        run: &RunId,
        place: &Place,
        lost_place: Option<&Place>,
        by: &ClaimOpId,
    ) -> DispatchLocation {
        let mut answers = Vec::new();
        // The homes are asked one after the other, so that the claims of two routers for two places
        // cannot cross.
        for home in homes_in(document, run) {
            let claim = HomeClaim {
                run: run.clone(),
                place: place.clone(),
                gone: lost_place.cloned(),
                by: by.clone(),
            };
            let answer = self.claim_at(document, &home, claim);
            let is_elsewhere =
                matches!(&answer, Some(HomeAnswer::Held(location)) if location.place != *place);
            answers.push(answer);
            if is_elsewhere {
                break;
            }
        }
        let (found, is_provisional) = match HomesVerdict::from_answers(&answers, place) {
            // If this dispatch starts the run, the router with the claim may still dispatch it to
            // another place.
            HomesVerdict::Elsewhere(found) => (found, true),
            // The run at the lost place may have been billed.
            HomesVerdict::Unclaimed => (place.clone(), lost_place.is_some()),
            HomesVerdict::Uncertain => (place.clone(), true),
        };
        DispatchLocation {
            place: found,
            attempt: Attempt::FIRST,
            is_provisional,
        }
    }

    /// Returns the id of a new claim operation.
    pub fn new_claim_op(&self) -> ClaimOpId {
        let n = self.next_op.fetch_add(1, Ordering::Relaxed);
        ClaimOpId(format!("{}/{n}", self.router.incarnation))
    }

    /// Releases a claim at the homes of a request that did not run and will not run.
    pub fn release_at_homes(&self, document: &Document, run: &RunId, by: &ClaimOpId) {
        for home in homes_in(document, run) {
            let Some(target) = document.inventory.target_named(&home) else {
                continue;
            };
            let (run, by) = (run.clone(), by.clone());
            let result = self.rpc.call(
                target.side_control,
                |c| async move { c.release(run, by).await },
            );
            if let Err(e) = result {
                log::info!(target: "router", "Cannot release a claim. home={home} cause={e:?}");
            }
        }
    }

    /// Releases the claim in the store of a request that did not run and will not run.
    pub fn release_in_store(&self, run: &RunId, by: &ClaimOpId) {
        if let Err(e) = Claims::new(self.store.as_ref()).release(run, by) {
            log::info!(target: "router", "Cannot release a claim. run={run} cause={e}");
        }
    }

    /// Claims a request that is not idempotent for `place` in the store, or finds its run.
    ///
    /// # Errors
    ///
    /// A [`Refusal`]: "not run" if the claim cannot be made, or an unknown outcome if that of an
    /// earlier attempt is unknown.
    pub fn claim_in_store(
        &self,
        document: &Document,
        run: &RunId,
        place: &Place,
        op: &ClaimOpId,
    ) -> Result<DispatchLocation, Refusal> {
        let claims = Claims::new(self.store.as_ref());
        let mut attempt = Attempt::FIRST;
        let mut held_revision = Revision::ABSENT;
        for _ in 0..MAX_CLAIM_TRIES {
            let claim = new_claim(place, attempt, op.clone());
            let claimed = claims.take_over(run, &claim, held_revision);
            let claimed =
                claimed.map_err(|e| Refusal::not_run(Reason::ClaimUnavailable, e.to_string()))?;
            let ClaimOutcome::Held {
                claim: held_claim,
                revision,
            } = claimed
            else {
                return Ok(DispatchLocation {
                    place: place.clone(),
                    attempt,
                    is_provisional: false,
                });
            };
            match self.query_holder(document, run, &held_claim) {
                HeldClaimAction::Follow(place) => {
                    return Ok(DispatchLocation {
                        place,
                        attempt: held_claim.attempt,
                        is_provisional: false,
                    });
                }
                HeldClaimAction::TakeOver(next) => {
                    attempt = next;
                    held_revision = revision;
                }
                HeldClaimAction::ReportUnknown => {
                    let message = "the request was dispatched before, and its outcome is unknown";
                    return Err(Refusal::outcome_unknown(message));
                }
            }
        }
        Err(Refusal::not_run(
            Reason::ClaimUnavailable,
            "other routers are claiming the request at the same time",
        ))
    }

    /// Returns whether a provisional bill counts, that is, whether no other run of the request may
    /// be billed; none while this is not known.
    ///
    /// A firmly claimed run, whose bill is not provisional, has no claim in the store, so the
    /// places of such runs are asked first.
    pub fn confirm_bill(
        &self,
        document: &Document,
        run: &RunId,
        place: &Place,
        lost_place: Option<&Place>,
    ) -> Option<bool> {
        if let Some(lost_place) = lost_place
            && self.may_be_billed_at(document, run, lost_place)?
        {
            return Some(false);
        }
        match self.lookup(document, run) {
            Lookup::Unknown => return None,
            Lookup::At(other) if other != *place => {
                if self.may_be_billed_at(document, run, &other)? {
                    return Some(false);
                }
            }
            Lookup::At(_) | Lookup::NotFound => {}
        }
        self.claim_bill(run, place)
    }

    /// Claims a request in the store for the bill of a run at `place`, after its router lost the
    /// connection: another run of the request may be billed too. Returns whether the bill counts;
    /// none while the store does not answer.
    pub fn claim_bill(&self, run: &RunId, place: &Place) -> Option<bool> {
        if !run.is_keyed() {
            return Some(true);
        }
        let claim = new_claim(place, Attempt::FIRST, self.new_claim_op());
        match Claims::new(self.store.as_ref()).claim(run, &claim) {
            Ok(ClaimOutcome::Acquired) => Some(true),
            Ok(ClaimOutcome::Held { claim, .. }) => Some(claim.place == *place),
            Err(_) => None,
        }
    }

    /// Returns the copy of the bill from `place` that a home of the run keeps, if any; none while a
    /// home does not answer and no other has the copy.
    pub fn bill_copy(
        &self,
        document: &Document,
        run: &RunId,
        place: &Place,
    ) -> Option<Option<Bill>> {
        let mut all_answered = true;
        for home in homes_in(document, run) {
            let Some(target) = document.inventory.target_named(&home) else {
                continue;
            };
            let id = run.clone();
            let answer = self
                .rpc
                .call(target.side_control, |c| async move { c.bill(id).await });
            match answer {
                Ok(Some(bill)) if bill.place == *place => return Some(Some(bill)),
                Ok(_) => {}
                Err(_) => all_answered = false,
            }
        }
        all_answered.then_some(None)
    }

    /// Returns the bill from `place` that another router wrote to the store, if any; none while the
    /// store does not answer, or while a router has claimed the bill and not written it yet.
    pub fn written_bill(&self, run: &RunId, place: &Place) -> Option<Option<Bill>> {
        let ledger = BillLedger::new(self.store.as_ref(), Origin(0));
        if let Some(bill) = ledger.find(run).ok()? {
            return Some(Some(bill).filter(|b| b.place == *place));
        }
        if !run.is_keyed() {
            return Some(None);
        }
        let claim = Claims::new(self.store.as_ref()).read(run).ok()?;
        let is_claimed = claim.is_some_and(|c| c.place == *place);
        (!is_claimed).then_some(None)
    }

    /// Returns whether a run at a place may be billed; none if its side process does not answer.
    ///
    /// A later incarnation does not know the run. Its bill was not settled as firm either: a router
    /// settles the run of a caller that disconnected only by a claim.
    fn may_be_billed_at(&self, document: &Document, run: &RunId, place: &Place) -> Option<bool> {
        let Some(target) = document.inventory.target_named(&place.side) else {
            return Some(false);
        };
        let (id, attempt) = (run.to_string(), Attempt::FIRST.0);
        let incarnation = place.incarnation.clone();
        let answer = self.rpc.call(target.side_control, |c| async move {
            c.withdraw(id, attempt, incarnation).await
        });
        let answer = answer.ok()?;
        // The run of a later incarnation may be the one whose bill is to be confirmed.
        if answer.incarnation != place.incarnation {
            return Some(false);
        }
        match answer.withdrawn {
            WithdrawalOutcome::NeverRuns => Some(false),
            WithdrawalOutcome::Running | WithdrawalOutcome::Unknown => Some(true),
            WithdrawalOutcome::Ended { bill } => Some(bill.amount > 0),
        }
    }

    fn claim_at(&self, document: &Document, home: &str, claim: HomeClaim) -> Option<HomeAnswer> {
        let control = document.inventory.target_named(home)?.side_control;
        let answer = self
            .rpc
            .call(control, |c| async move { c.claim(claim).await });
        answer.ok()
    }

    /// Asks the holder of a claim to withdraw its attempt, or to report the outcome.
    fn query_holder(
        &self,
        document: &Document,
        run: &RunId,
        held_claim: &Claim,
    ) -> HeldClaimAction {
        let Some(target) = document.inventory.target_named(&held_claim.place.side) else {
            return HeldClaimAction::ReportUnknown;
        };
        let (id, attempt) = (run.to_string(), held_claim.attempt.0);
        let incarnation = held_claim.place.incarnation.clone();
        let answer = self.rpc.call(target.side_control, |c| async move {
            c.withdraw(id, attempt, incarnation).await
        });
        let Ok(answer) = answer else {
            return HeldClaimAction::decide(held_claim, None);
        };
        let report = match answer.withdrawn {
            WithdrawalOutcome::NeverRuns => HolderAnswer::NeverRuns,
            WithdrawalOutcome::Running | WithdrawalOutcome::Ended { .. } => HolderAnswer::Present,
            WithdrawalOutcome::Unknown => HolderAnswer::AnswerDropped,
        };
        HeldClaimAction::decide(held_claim, Some((&answer.incarnation, report)))
    }
}

fn new_claim(place: &Place, attempt: Attempt, op: ClaimOpId) -> Claim {
    Claim {
        place: place.clone(),
        attempt,
        op,
        until: clock::now().plus(CLAIM_LIFETIME_MS),
    }
}
