//! The side process's gate: what reaches the target, also one that ignores fencing tokens.

use std::time::{Duration, Instant};

use derive_more::{Display, Error};

use crate::order::{FencingToken, Order, OrderError, OrderRecord, read_order};
use crate::store::Store;

/// How long a read of the service proves that an order is the latest. Longer than a read and a
/// local call take, far shorter than a lease, so that a gate that paused in between reads again.
pub const PERMIT_TERM: Duration = Duration::from_secs(2);

/// Leave to carry out one order, until it expires.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Permit {
    /// Token to hand to the target.
    pub token: FencingToken,
    /// The order as the service holds it.
    pub order: Order,
    /// When the proof ends.
    pub expires_at: Instant,
}

/// Why an order is not carried out.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Refusal {
    /// A later order stands.
    #[display("order {offered} is older than {latest}; read orders/<target> and order again")]
    Stale {
        /// Token of the order.
        offered: FencingToken,
        /// Token of the latest order known here.
        latest: FencingToken,
    },
    /// It was carried out already.
    #[display("order {offered} was carried out already; nothing to do")]
    Done {
        /// Token of the order.
        offered: FencingToken,
    },
    /// The service does not know such an order.
    #[display("order {offered} is not in the key-value service; issue it there first")]
    NotIssued {
        /// Token of the order.
        offered: FencingToken,
    },
    /// It cannot be proved that this is the latest order.
    #[display("cannot prove that the order is the latest ({_0}); send it again later")]
    Unproved(#[error(not(source))] OrderError),
    /// The proof ended before the order was carried out.
    #[display("the proof ended before the order was carried out; send it again")]
    Expired,
}

/// Gate of one target.
///
/// An order passes only if a read of the service that began after it arrived shows it to be the
/// latest; tokens that pass never fall, and what is carried out is the order in the record, not the
/// one in the message. The memory may be lost: the read is made each time. Orders are few, so the
/// read costs nothing that counts.
#[derive(Clone, Debug)]
pub struct FencingGate {
    target: String,
    highest: FencingToken,
    done: FencingToken,
}

impl FencingGate {
    /// Creates the gate of a target, with nothing known.
    pub fn new(target: impl Into<String>) -> Self {
        Self {
            target: target.into(),
            highest: FencingToken::default(),
            done: FencingToken::default(),
        }
    }

    /// Returns the highest token seen.
    pub fn highest_token(&self) -> FencingToken {
        self.highest
    }

    /// Decides on an order that arrived, with a read of the service that begins at `now`.
    ///
    /// # Errors
    ///
    /// [`Refusal`] names why the order is not carried out.
    pub fn admit(
        &mut self,
        store: &dyn Store,
        offered: FencingToken,
        now: Instant,
    ) -> Result<Permit, Refusal> {
        self.refuse_stale(offered)?;
        let read = read_order(store, &self.target).map_err(Refusal::Unproved)?;
        self.admit_read(offered, read, now)
    }

    /// Decides on an order by what a read that began at `read_at` found.
    ///
    /// # Errors
    ///
    /// [`Refusal`] names why the order is not carried out.
    pub fn admit_read(
        &mut self,
        offered: FencingToken,
        read: Option<OrderRecord>,
        read_at: Instant,
    ) -> Result<Permit, Refusal> {
        let Some(record) = read.filter(|r| r.token >= offered) else {
            return Err(Refusal::NotIssued { offered });
        };
        self.highest = self.highest.max(record.token);
        self.refuse_stale(offered)?;
        if offered <= self.done {
            return Err(Refusal::Done { offered });
        }
        Ok(Permit {
            token: record.token,
            order: record.order,
            expires_at: read_at + PERMIT_TERM,
        })
    }

    /// Takes a permit right before its order goes to the target.
    ///
    /// # Errors
    ///
    /// [`Refusal::Expired`] if the process paused meanwhile, [`Refusal::Stale`] if another passed.
    pub fn redeem(&mut self, permit: &Permit, now: Instant) -> Result<(), Refusal> {
        if now >= permit.expires_at {
            return Err(Refusal::Expired);
        }
        self.refuse_stale(permit.token)?;
        self.done = self.done.max(permit.token);
        Ok(())
    }

    fn refuse_stale(&self, offered: FencingToken) -> Result<(), Refusal> {
        let latest = self.highest;
        if offered < latest {
            return Err(Refusal::Stale { offered, latest });
        }
        Ok(())
    }
}
