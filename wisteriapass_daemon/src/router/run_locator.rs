//! Where a keyed request runs already, and the claims that keep it from running twice.

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

/// Time after which no repeat of a request comes any more, in milliseconds.
const CLAIM_MS: u64 = 24 * 3_600_000;

/// Times that a claim is taken over, or a gone place replaced, for one request.
const MOST_STEPS: u32 = 3;

/// Where a request is to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunLocation {
    /// Side process and incarnation.
    pub place: Place,
    /// Attempt under which it is sent.
    pub attempt: Attempt,
    /// Whether another run of it may exist, so that its bill needs a claim.
    pub is_provisional: bool,
}

impl RunLocation {
    /// Creates the location of a request that nobody else can run.
    pub fn new(place: Place, attempt: u32) -> Self {
        Self {
            place,
            attempt: Attempt(attempt),
            is_provisional: false,
        }
    }
}

/// What the homes say of a request before it is tried.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Lookup {
    /// Nobody runs it or ran it lately.
    NotFound,
    /// It is there, or was claimed for there.
    At(Place),
    /// No home could tell.
    Unknown,
}

/// Finds keyed requests and claims them.
pub struct RunLocator {
    router: Arc<RouterIdentity>,
    caller: Arc<RpcClient>,
    store: Box<dyn Store>,
    next_op: AtomicU64,
}

impl Service for RunLocator {
    const NAME: &'static str = "locator";
}

impl RunLocator {
    /// Creates a locator that claims in `store`.
    ///
    /// # Errors
    ///
    /// [`crate::kernel::KernelError`] if a service it needs is missing.
    pub fn new(kernel: &Kernel, store: Box<dyn Store>) -> crate::kernel::Result<Self> {
        let (router, caller) = (kernel.find()?, kernel.find()?);
        Ok(Self {
            router,
            caller,
            store,
            next_op: AtomicU64::new(0),
        })
    }

    /// Asks the homes where a request is; one that knows all runs is enough.
    pub fn lookup(&self, document: &Document, run: &RunId) -> Lookup {
        for home in homes_in(document, run) {
            let Some(looked) = self.lookup_at(document, &home, run) else {
                continue;
            };
            if let Some(held) = looked.held {
                return Lookup::At(held.place);
            }
            if looked.is_complete {
                return Lookup::NotFound;
            }
        }
        Lookup::Unknown
    }

    /// Returns whether a request surely did not run: before a caller is told so, all homes are
    /// asked, as one that was replaced may have missed it, and for what may not be repeated the
    /// claims too, which outlive owners and homes.
    pub fn is_known_not_run(&self, document: &Document, run: &RunId, is_idempotent: bool) -> bool {
        let homes = homes_in(document, run);
        let looked: Vec<Option<LookupAnswer>> = homes
            .iter()
            .map(|home| self.lookup_at(document, home, run))
            .collect();
        let is_complete = |l: &Option<LookupAnswer>| l.as_ref().is_some_and(|l| l.is_complete);
        if looked.iter().flatten().any(|l| l.held.is_some()) {
            return false;
        }
        if !looked.iter().any(is_complete) {
            return false;
        }
        if is_idempotent {
            return true;
        }
        match Claims::new(self.store.as_ref()).read(run) {
            Ok(claim) => claim.is_none(),
            Err(_) => looked.iter().all(is_complete),
        }
    }

    fn lookup_at(&self, document: &Document, home: &str, run: &RunId) -> Option<LookupAnswer> {
        let control = document.inventory.target_named(home)?.side_control;
        let run = run.clone();
        let answer = self
            .caller
            .call(control, |c| async move { c.lookup(run).await });
        answer.ok()
    }

    /// Finds an idempotent request by its homes, or claims it for `place`.
    pub fn claim_at_homes(
        &self,
        document: &Document,
        run: &RunId,
        place: &Place,
        gone: Option<&Place>,
        by: &ClaimOpId,
    ) -> RunLocation {
        let mut answers = Vec::new();
        // One home after the other: claims of two routers for two places cannot cross.
        for home in homes_in(document, run) {
            let claim = HomeClaim {
                run: run.clone(),
                place: place.clone(),
                gone: gone.cloned(),
                by: by.clone(),
            };
            let answer = self.claim_at(document, &home, claim);
            let is_elsewhere =
                matches!(&answer, Some(HomeAnswer::Held(held)) if held.place != *place);
            answers.push(answer);
            if is_elsewhere {
                break;
            }
        }
        let (found, is_provisional) = match HomesVerdict::from_answers(&answers, place) {
            // Whoever claimed it there may send it elsewhere, if this order begins it.
            HomesVerdict::Elsewhere(found) => (found, true),
            // The run at the place that has gone may have been billed.
            HomesVerdict::Unclaimed => (place.clone(), gone.is_some()),
            HomesVerdict::Uncertain => (place.clone(), true),
        };
        RunLocation {
            place: found,
            attempt: Attempt::FIRST,
            is_provisional,
        }
    }

    /// Returns a new operation that claims.
    pub fn new_claim_op(&self) -> ClaimOpId {
        let n = self.next_op.fetch_add(1, Ordering::Relaxed);
        ClaimOpId(format!("{}/{n}", self.router.incarnation))
    }

    /// Takes a claim back at the homes of a request that did not run and will not.
    pub fn release_at_homes(&self, document: &Document, run: &RunId, by: &ClaimOpId) {
        for home in homes_in(document, run) {
            let Some(target) = document.inventory.target_named(&home) else {
                continue;
            };
            let (run, by) = (run.clone(), by.clone());
            let released =
                self.caller.call(
                    target.side_control,
                    |c| async move { c.release(run, by).await },
                );
            if let Err(e) = released {
                log::info!(target: "router", "Claim not taken back. home={home} cause={e:?}");
            }
        }
    }

    /// Takes back the claim of a request that may not be repeated, did not run and will not.
    pub fn release_in_store(&self, run: &RunId, by: &ClaimOpId) {
        if let Err(e) = Claims::new(self.store.as_ref()).release(run, by) {
            log::info!(target: "router", "Claim not taken back. run={run} cause={e}");
        }
    }

    /// Claims a request that may not be repeated, for `place` by `op`; or finds where it ran.
    ///
    /// # Errors
    ///
    /// A [`Refusal`]: "not run" if the claim cannot be made, or an unknown outcome.
    pub fn claim_in_store(
        &self,
        document: &Document,
        run: &RunId,
        place: &Place,
        op: &ClaimOpId,
    ) -> Result<RunLocation, Refusal> {
        let claims = Claims::new(self.store.as_ref());
        let mut attempt = Attempt::FIRST;
        let mut held_at = Revision::ABSENT;
        for _ in 0..MOST_STEPS {
            let claim = new_claim(place, attempt, op.clone());
            let claimed = claims.take_over(run, &claim, held_at);
            let claimed =
                claimed.map_err(|e| Refusal::not_run(Reason::ClaimUnavailable, e.to_string()))?;
            let ClaimOutcome::Held {
                claim: held,
                revision,
            } = claimed
            else {
                return Ok(RunLocation {
                    place: place.clone(),
                    attempt,
                    is_provisional: false,
                });
            };
            match self.ask_holder(document, run, &held) {
                HeldClaimAction::Follow(place) => {
                    return Ok(RunLocation {
                        place,
                        attempt: held.attempt,
                        is_provisional: false,
                    });
                }
                HeldClaimAction::TakeOver(next) => {
                    attempt = next;
                    held_at = revision;
                }
                HeldClaimAction::ReportUnknown => {
                    let message = "it was sent before, and what became of it is not known";
                    return Err(Refusal::outcome_unknown(message));
                }
            }
        }
        Err(Refusal::not_run(
            Reason::ClaimUnavailable,
            "others claim it at the same time",
        ))
    }

    /// Makes a provisional bill count, unless another run of the request is or was there.
    ///
    /// Runs that were claimed firmly have no claim in the service, so their places are asked
    /// first. Returns none while that cannot be told.
    pub fn confirm_bill(
        &self,
        document: &Document,
        run: &RunId,
        place: &Place,
        gone: Option<&Place>,
    ) -> Option<bool> {
        if let Some(gone) = gone
            && self.is_billed_at(document, run, gone)?
        {
            return Some(false);
        }
        match self.lookup(document, run) {
            Lookup::Unknown => return None,
            Lookup::At(other) if other != *place => {
                if self.is_billed_at(document, run, &other)? {
                    return Some(false);
                }
            }
            Lookup::At(_) | Lookup::NotFound => {}
        }
        self.claim_bill(run, place)
    }

    /// Claims a request for the bill of a run that its router lost sight of: another run of it may
    /// be billed. Returns none while the service does not answer.
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

    /// Returns the copy of a place's bill that the run's homes keep, if they do; none while a home
    /// does not answer and no other has it.
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
                .caller
                .call(target.side_control, |c| async move { c.bill(id).await });
            match answer {
                Ok(Some(bill)) if bill.place == *place => return Some(Some(bill)),
                Ok(_) => {}
                Err(_) => all_answered = false,
            }
        }
        all_answered.then_some(None)
    }

    /// Returns the bill that another router wrote for a run, if one did; none while the service
    /// gives no answer, or somebody has claimed it and not written it yet.
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

    /// Returns whether a run is or was at a place; none if its side process does not answer.
    ///
    /// A later incarnation knows nothing of it, and neither did anybody settle its bill as firm:
    /// a router settles a run whose caller left by the claim alone.
    fn is_billed_at(&self, document: &Document, run: &RunId, place: &Place) -> Option<bool> {
        let Some(target) = document.inventory.target_named(&place.side) else {
            return Some(false);
        };
        let (id, attempt) = (run.to_string(), Attempt::FIRST.0);
        let incarnation = place.incarnation.clone();
        let answer = self.caller.call(target.side_control, |c| async move {
            c.withdraw(id, attempt, incarnation).await
        });
        let answer = answer.ok()?;
        // The later incarnation may run the very bill that is to be confirmed.
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
            .caller
            .call(control, |c| async move { c.claim(claim).await });
        answer.ok()
    }

    /// Has the holder of a claim withdraw its attempt, or say what became of it.
    fn ask_holder(&self, document: &Document, run: &RunId, held: &Claim) -> HeldClaimAction {
        let Some(target) = document.inventory.target_named(&held.place.side) else {
            return HeldClaimAction::ReportUnknown;
        };
        let (id, attempt) = (run.to_string(), held.attempt.0);
        let incarnation = held.place.incarnation.clone();
        let answer = self.caller.call(target.side_control, |c| async move {
            c.withdraw(id, attempt, incarnation).await
        });
        let Ok(answer) = answer else {
            return HeldClaimAction::decide(held, None);
        };
        let says = match answer.withdrawn {
            WithdrawalOutcome::NeverRuns => HolderAnswer::NeverRuns,
            WithdrawalOutcome::Running | WithdrawalOutcome::Ended { .. } => HolderAnswer::Present,
            WithdrawalOutcome::Unknown => HolderAnswer::AnswerDropped,
        };
        HeldClaimAction::decide(held, Some((&answer.incarnation, says)))
    }
}

fn new_claim(place: &Place, attempt: Attempt, op: ClaimOpId) -> Claim {
    Claim {
        place: place.clone(),
        attempt,
        op,
        until: clock::now().plus(CLAIM_MS),
    }
}
