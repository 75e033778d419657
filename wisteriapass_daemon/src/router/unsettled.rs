//! Reservations whose runs cannot be followed: settled when the side process can be asked again.

use std::net::SocketAddr;

use parking_lot::Mutex;
use wisteriapass_coord::budget::{Reservation, Tokens};

use crate::prelude::*;
use crate::router::Money;
use crate::rpc::{Caller, SideControlClient, Withdrawal, Withdrawn};

/// Time between two rounds of asking, in milliseconds.
const ASK_MS: u64 = 1_000;

/// A reservation that waits for word of its run.
#[derive(Debug)]
pub struct OpenReservation {
    /// Money reserved.
    pub reservation: Reservation,
    /// Where the side process takes control calls.
    pub control: SocketAddr,
    /// Identity of the run.
    pub run: String,
    /// Attempt at it.
    pub attempt: u32,
}

/// All reservations that wait for word of their runs.
pub struct Unsettled {
    money: Arc<Money>,
    caller: Arc<Caller>,
    open: Mutex<Vec<OpenReservation>>,
}

impl Service for Unsettled {
    const NAME: &'static str = "unsettled";
}

impl Unsettled {
    /// Creates an empty list.
    ///
    /// # Errors
    ///
    /// [`crate::kernel::KernelError`] if a service it needs is missing.
    pub fn new(kernel: &Kernel) -> crate::kernel::Result<Self> {
        Ok(Self {
            money: kernel.find()?,
            caller: kernel.find()?,
            open: Mutex::default(),
        })
    }

    /// Keeps a reservation until its run's end is known.
    pub fn keep(&self, reservation: OpenReservation) {
        self.open.lock().push(reservation);
    }

    /// Returns the amount that waits for word of its runs.
    pub fn amount(&self) -> Tokens {
        self.open
            .lock()
            .iter()
            .map(|r| r.reservation.amount())
            .sum()
    }

    /// Asks the side processes again and again.
    pub fn ask_forever(&self) {
        loop {
            std::thread::sleep(Duration::from_millis(ASK_MS));
            self.ask_all();
        }
    }

    /// Asks each side process once.
    pub fn ask_all(&self) {
        let open = std::mem::take(&mut *self.open.lock());
        for reservation in open {
            if let Some(still_open) = self.ask(reservation) {
                self.open.lock().push(still_open);
            }
        }
    }

    /// Asks about one run; returns the reservation if it stays open.
    fn ask(&self, open: OpenReservation) -> Option<OpenReservation> {
        let (run, attempt) = (open.run.clone(), open.attempt);
        let answer: Result<Withdrawal, _> =
            self.caller.call(
                open.control,
                |c| async move { c.withdraw(run, attempt).await },
            );
        match answer.map(|w| w.withdrawn) {
            Ok(Withdrawn::Ended { bill }) => self.money.settle(open.reservation, &bill),
            // A later incarnation says this too: then no bill was made, and none will be.
            Ok(Withdrawn::NeverRuns | Withdrawn::Unknown) => self.money.release(open.reservation),
            Ok(Withdrawn::Running) | Err(_) => return Some(open),
        }
        None
    }
}
