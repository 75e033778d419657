//! Reservations that cannot be settled yet, because the outcome of the run is unknown or its bill
//! needs a claim.

use std::net::SocketAddr;

use parking_lot::Mutex;
use wisteriapass_coord::budget::{Reservation, Tokens};
use wisteriapass_coord::once::{Attempt, Place, RunId};

use crate::prelude::*;
use crate::router::run_locator::RunLocator;
use crate::router::{ConfigInForce, MoneyManager};
use crate::rpc::{RpcClient, SideControlClient, WithdrawalOutcome};
use crate::run_wire::RunBill;

/// Interval between two rounds of queries, in milliseconds.
const POLL_INTERVAL_MS: u64 = 500;

/// Event that a reservation waits for.
#[derive(Clone, Debug)]
pub enum AwaitedEvent {
    /// The bill of its run, or the report that it has none.
    Bill {
        /// Number of the attempt.
        attempt: Attempt,
        /// Incarnation of the side process to which it was sent.
        incarnation: String,
    },
    /// The claim that confirms its bill as the only one of the request.
    Confirmation {
        /// Bill to be confirmed.
        bill: Box<RunBill>,
        /// Place of the run.
        place: Place,
        /// Place where an earlier run may have been, and which was gone or unreachable.
        lost_place: Option<Place>,
    },
}

/// A reservation that cannot be settled yet.
#[derive(Debug)]
pub struct UnsettledReservation {
    /// Reserved money.
    pub reservation: Reservation,
    /// Name of the side process.
    pub side: String,
    /// Address of the side process for control calls.
    pub control: SocketAddr,
    /// Identity of the run.
    pub run: RunId,
    /// Event that it waits for.
    pub awaited: AwaitedEvent,
}

/// How a reservation is resolved.
enum Resolution {
    /// Pay this bill.
    Bill(RunBill),
    /// Release it; the request is free.
    Free,
    /// Wait; the outcome is not known yet.
    Wait,
}

/// Reservations of this router that cannot be settled yet.
pub struct UnsettledReservations {
    money: Arc<MoneyManager>,
    rpc: Arc<RpcClient>,
    locator: Arc<RunLocator>,
    config: Arc<ConfigInForce>,
    reservations: Mutex<Vec<UnsettledReservation>>,
}

impl Service for UnsettledReservations {
    const NAME: &'static str = "unsettled";
}

impl UnsettledReservations {
    /// Creates an empty list.
    ///
    /// # Errors
    ///
    /// [`crate::kernel::KernelError`] if a required service is missing.
    pub fn new(kernel: &Kernel) -> crate::kernel::Result<Self> {
        Ok(Self {
            money: kernel.find()?,
            rpc: kernel.find()?,
            locator: kernel.find()?,
            config: kernel.find()?,
            reservations: Mutex::default(),
        })
    }

    /// Adds a reservation, which is kept until it can be settled.
    pub fn add(&self, reservation: UnsettledReservation) {
        self.reservations.lock().push(reservation);
    }

    /// Returns the sum of the unsettled reservations.
    pub fn amount(&self) -> Tokens {
        self.reservations
            .lock()
            .iter()
            .map(|r| r.reservation.amount())
            .sum()
    }

    /// Polls in a loop; never returns.
    pub fn poll_forever(&self) {
        loop {
            std::thread::sleep(Duration::from_millis(POLL_INTERVAL_MS));
            self.poll_once();
            self.money.claim_foreign_bills(&self.locator);
        }
    }

    /// Polls until everything is settled or the deadline has passed; what is left is lost when the
    /// process ends.
    pub fn settle_until(&self, deadline: Instant) {
        while !self.reservations.lock().is_empty() && Instant::now() < deadline {
            self.poll_once();
            self.money.claim_foreign_bills(&self.locator);
            std::thread::sleep(Duration::from_millis(POLL_INTERVAL_MS));
        }
    }

    /// Queries the outcome of each reservation once.
    pub fn poll_once(&self) {
        let reservations = std::mem::take(&mut *self.reservations.lock());
        for unsettled in reservations {
            match self.resolve(&unsettled) {
                Resolution::Bill(bill) => {
                    let amount = bill.amount;
                    log::info!(
                        target: "money",
                        "Settled a reservation late. run={} tokens={amount}",
                        bill.run
                    );
                    self.money.settle(unsettled.reservation, &bill);
                }
                Resolution::Free => {
                    log::info!(target: "money", "Released a reservation. run={}", unsettled.run);
                    self.money.release(unsettled.reservation);
                }
                Resolution::Wait => self.reservations.lock().push(unsettled),
            }
        }
    }

    fn resolve(&self, unsettled: &UnsettledReservation) -> Resolution {
        match &unsettled.awaited {
            AwaitedEvent::Bill {
                attempt,
                incarnation,
            } => self.query_side(unsettled, *attempt, incarnation.clone()),
            AwaitedEvent::Confirmation {
                bill,
                place,
                lost_place,
            } => {
                let document = self.config.document();
                match self.locator.confirm_bill(
                    &document,
                    &unsettled.run,
                    place,
                    lost_place.as_ref(),
                ) {
                    Some(true) => Resolution::Bill(bill.as_ref().clone()),
                    Some(false) => Resolution::Free,
                    None => Resolution::Wait,
                }
            }
        }
    }

    /// Resolves the bill of a run by a claim, as the request may have run elsewhere since the
    /// connection was lost.
    fn resolve_by_claim(&self, unsettled: &UnsettledReservation, bill: RunBill) -> Resolution {
        let place = bill
            .ran_at
            .split_once('/')
            .map(|(side, i)| Place::new(side, i));
        let Some(place) = place.filter(|_| bill.amount > 0) else {
            return Resolution::Bill(bill);
        };
        match self.locator.claim_bill(&unsettled.run, &place) {
            Some(true) => Resolution::Bill(bill),
            Some(false) => Resolution::Free,
            None => Resolution::Wait,
        }
    }

    fn query_side(
        &self,
        unsettled: &UnsettledReservation,
        attempt: Attempt,
        incarnation: String,
    ) -> Resolution {
        let (run, attempt) = (unsettled.run.to_string(), attempt.0);
        let dispatched_to = incarnation.clone();
        let answer = self.rpc.call(unsettled.control, |c| async move {
            c.withdraw(run, attempt, incarnation).await
        });
        let Ok(answer) = answer else {
            return Resolution::Wait;
        };
        match answer.withdrawn {
            WithdrawalOutcome::Ended { bill } => self.resolve_by_claim(unsettled, bill),
            WithdrawalOutcome::Running => Resolution::Wait,
            WithdrawalOutcome::NeverRuns if answer.incarnation != dispatched_to => {
                self.query_homes(unsettled, &dispatched_to)
            }
            WithdrawalOutcome::NeverRuns | WithdrawalOutcome::Unknown => Resolution::Free,
        }
    }

    /// Looks for the bill of a run whose side process was replaced: first for a copy at the homes,
    /// then for the bill that another router wrote to the store. Without either, no bill was issued
    /// or it was lost with the side process.
    fn query_homes(&self, unsettled: &UnsettledReservation, dispatched_to: &str) -> Resolution {
        let document = self.config.document();
        let place = Place::new(&unsettled.side, dispatched_to);
        match self.locator.bill_copy(&document, &unsettled.run, &place) {
            Some(Some(bill)) => {
                return self.resolve_by_claim(unsettled, RunBill::from_copy(bill));
            }
            Some(None) => {}
            None => return Resolution::Wait,
        }
        // A copy is deleted only after the bill is written, so this order misses none.
        match self.locator.written_bill(&unsettled.run, &place) {
            Some(Some(bill)) => Resolution::Bill(RunBill::from_copy(bill)),
            Some(None) => Resolution::Free,
            None => Resolution::Wait,
        }
    }
}
