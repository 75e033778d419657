//! Reservations whose runs cannot be followed: settled when the side process can be asked again.

use std::net::SocketAddr;

use parking_lot::Mutex;

use crate::prelude::*;
use crate::router::Money;
use crate::rpc::{Caller, SideControlClient, Withdrawal, Withdrawn};
use crate::run_wire::Payment;

/// Time between two rounds of asking, in milliseconds.
const ASK_MS: u64 = 1_000;

/// A reservation that waits for word of its run.
#[derive(Clone, Debug)]
pub struct OpenReservation {
    /// Money reserved.
    pub payment: Payment,
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

    /// Returns the tokens that wait for word of their runs.
    pub fn tokens(&self) -> u64 {
        let open = self.open.lock();
        open.iter()
            .flat_map(|r| &r.payment.parts)
            .map(|p| p.amount)
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
            if !self.ask(&reservation) {
                self.open.lock().push(reservation);
            }
        }
    }

    /// Asks about one run; returns whether the reservation is settled.
    fn ask(&self, open: &OpenReservation) -> bool {
        let (run, attempt) = (open.run.clone(), open.attempt);
        let answer: Result<Withdrawal, _> =
            self.caller.call(
                open.control,
                |c| async move { c.withdraw(run, attempt).await },
            );
        match answer.map(|w| w.withdrawn) {
            Ok(Withdrawn::Ended { bill }) => self.money.settle(&open.payment, &bill),
            // A later incarnation says this too: then no bill was made, and none will be.
            Ok(Withdrawn::NeverRuns | Withdrawn::Unknown) => self.money.release(&open.payment),
            Ok(Withdrawn::Running) | Err(_) => return false,
        }
        true
    }
}
