//! Reservations that cannot be settled yet: their runs' ends are not known, or their bills need a
//! claim.

use std::net::SocketAddr;

use parking_lot::Mutex;
use wisteriapass_coord::budget::{Reservation, Tokens};
use wisteriapass_coord::once::{Attempt, Place, RunId};

use crate::prelude::*;
use crate::router::run_locator::RunLocator;
use crate::router::{ConfigInForce, MoneyManager};
use crate::rpc::{RpcClient, SideControlClient, WithdrawalOutcome};
use crate::run_wire::RunBill;

/// Time between two rounds of asking, in milliseconds.
const ASK_MS: u64 = 500;

/// What a reservation waits for.
#[derive(Clone, Debug)]
pub enum AwaitedEvent {
    /// Word of its run.
    Bill {
        /// Attempt that was sent.
        attempt: Attempt,
        /// Incarnation of the side process it was sent to.
        incarnation: String,
    },
    /// The claim that makes its bill the only one.
    Confirmation {
        /// The bill.
        bill: Box<RunBill>,
        /// Where it ran.
        place: Place,
        /// A place that had gone, where it may have run before.
        gone: Option<Place>,
    },
}

/// A reservation that waits.
#[derive(Debug)]
pub struct UnsettledReservation {
    /// Money reserved.
    pub reservation: Reservation,
    /// Name of the side process.
    pub side: String,
    /// Where it takes control calls.
    pub control: SocketAddr,
    /// Identity of the run.
    pub run: RunId,
    /// What it waits for.
    pub awaited: AwaitedEvent,
}

/// How a reservation is to be settled.
enum Verdict {
    /// With this bill.
    Bill(RunBill),
    /// The request cost nothing.
    Free,
    /// Not yet.
    Wait,
}

/// All reservations that wait.
pub struct UnsettledReservations {
    money: Arc<MoneyManager>,
    caller: Arc<RpcClient>,
    locator: Arc<RunLocator>,
    config: Arc<ConfigInForce>,
    open: Mutex<Vec<UnsettledReservation>>,
}

impl Service for UnsettledReservations {
    const NAME: &'static str = "unsettled";
}

impl UnsettledReservations {
    /// Creates an empty list.
    ///
    /// # Errors
    ///
    /// [`crate::kernel::KernelError`] if a service it needs is missing.
    pub fn new(kernel: &Kernel) -> crate::kernel::Result<Self> {
        Ok(Self {
            money: kernel.find()?,
            caller: kernel.find()?,
            locator: kernel.find()?,
            config: kernel.find()?,
            open: Mutex::default(),
        })
    }

    /// Keeps a reservation until it can be settled.
    pub fn add(&self, reservation: UnsettledReservation) {
        self.open.lock().push(reservation);
    }

    /// Returns the amount that waits.
    pub fn amount(&self) -> Tokens {
        self.open
            .lock()
            .iter()
            .map(|r| r.reservation.amount())
            .sum()
    }

    /// Asks again and again.
    pub fn poll_forever(&self) {
        loop {
            std::thread::sleep(Duration::from_millis(ASK_MS));
            self.poll_once();
            self.money.claim_foreign_bills(&self.locator);
        }
    }

    /// Asks until nothing waits or the deadline has come: what waits here ends with the process.
    pub fn settle_until(&self, deadline: Instant) {
        while !self.open.lock().is_empty() && Instant::now() < deadline {
            self.poll_once();
            self.money.claim_foreign_bills(&self.locator);
            std::thread::sleep(Duration::from_millis(ASK_MS));
        }
    }

    /// Asks once about each reservation.
    pub fn poll_once(&self) {
        let open = std::mem::take(&mut *self.open.lock());
        for reservation in open {
            match self.judge(&reservation) {
                Verdict::Bill(bill) => {
                    let amount = bill.amount;
                    log::info!(target: "money", "Settled late. run={} tokens={amount}", bill.run);
                    self.money.settle(reservation.reservation, &bill);
                }
                Verdict::Free => {
                    log::info!(target: "money", "Cost nothing. run={}", reservation.run);
                    self.money.release(reservation.reservation);
                }
                Verdict::Wait => self.open.lock().push(reservation),
            }
        }
    }

    fn judge(&self, open: &UnsettledReservation) -> Verdict {
        match &open.awaited {
            AwaitedEvent::Bill {
                attempt,
                incarnation,
            } => self.ask(open, *attempt, incarnation.clone()),
            AwaitedEvent::Confirmation { bill, place, gone } => {
                let document = self.config.document();
                match self
                    .locator
                    .confirm_bill(&document, &open.run, place, gone.as_ref())
                {
                    Some(true) => Verdict::Bill(bill.as_ref().clone()),
                    Some(false) => Verdict::Free,
                    None => Verdict::Wait,
                }
            }
        }
    }

    /// Judges the bill of a run that was lost sight of; the request may have run elsewhere since.
    fn claim(&self, open: &UnsettledReservation, bill: RunBill) -> Verdict {
        let place = bill
            .ran_at
            .split_once('/')
            .map(|(side, i)| Place::new(side, i));
        let Some(place) = place.filter(|_| bill.amount > 0) else {
            return Verdict::Bill(bill);
        };
        match self.locator.claim_bill(&open.run, &place) {
            Some(true) => Verdict::Bill(bill),
            Some(false) => Verdict::Free,
            None => Verdict::Wait,
        }
    }

    fn ask(&self, open: &UnsettledReservation, attempt: Attempt, incarnation: String) -> Verdict {
        let (run, attempt) = (open.run.to_string(), attempt.0);
        let sent_to = incarnation.clone();
        let answer = self.caller.call(open.control, |c| async move {
            c.withdraw(run, attempt, incarnation).await
        });
        let Ok(answer) = answer else {
            return Verdict::Wait;
        };
        match answer.withdrawn {
            WithdrawalOutcome::Ended { bill } => self.claim(open, bill),
            WithdrawalOutcome::Running => Verdict::Wait,
            WithdrawalOutcome::NeverRuns if answer.incarnation != sent_to => {
                self.ask_homes(open, &sent_to)
            }
            WithdrawalOutcome::NeverRuns | WithdrawalOutcome::Unknown => Verdict::Free,
        }
    }

    /// Asks for the copy of a bill whose side process was replaced, then for the bill that another
    /// router wrote; without either no bill was made, or it died with its maker.
    fn ask_homes(&self, open: &UnsettledReservation, sent_to: &str) -> Verdict {
        let document = self.config.document();
        let place = Place::new(&open.side, sent_to);
        match self.locator.bill_copy(&document, &open.run, &place) {
            Some(Some(bill)) => return self.claim(open, RunBill::from_copy(bill)),
            Some(None) => {}
            None => return Verdict::Wait,
        }
        // Copies go only after the bill is written, so this order misses none.
        match self.locator.written_bill(&open.run, &place) {
            Some(Some(bill)) => Verdict::Bill(RunBill::from_copy(bill)),
            Some(None) => Verdict::Free,
            None => Verdict::Wait,
        }
    }
}
