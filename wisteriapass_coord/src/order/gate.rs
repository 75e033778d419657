//! Admission of orders at the side process; protects targets that ignore fencing tokens too.

use std::time::{Duration, Instant};

use derive_more::{Display, Error};

use crate::order::{FencingToken, Order, OrderError, OrderRecord, read_order};
use crate::store::Store;

/// Validity of a [`Permit`] from the start of the read that proves the order to be the latest.
///
/// It is longer than a read and a local call take, and far shorter than a lease, so that a process
/// that paused in between has to read again.
pub const PERMIT_TERM: Duration = Duration::from_secs(2);

/// Permission to execute one order before it expires.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Permit {
    /// Token to send to the target.
    pub token: FencingToken,
    /// The order as stored in the key-value service.
    pub order: Order,
    /// End of the validity.
    pub expires_at: Instant,
}

/// Why an order is not executed.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Refusal {
    /// A later order exists.
    #[display("order {offered} is older than {latest}; read orders/<target> and issue it again")]
    Stale {
        /// Token of the order.
        offered: FencingToken,
        /// Highest token seen by this gate.
        latest: FencingToken,
    },
    /// The order was executed already.
    #[display("order {offered} was executed already; nothing to do")]
    Done {
        /// Token of the order.
        offered: FencingToken,
    },
    /// The order does not exist in the key-value service.
    #[display("order {offered} is not in the key-value service; issue it there first")]
    NotIssued {
        /// Token of the order.
        offered: FencingToken,
    },
    /// The read that would prove the order to be the latest failed.
    #[display("cannot prove that the order is the latest ({_0}); send it again later")]
    Unproved(#[error(not(source))] OrderError),
    /// The permit expired before the order was executed.
    #[display("the permit expired before the order was executed; send it again")]
    Expired,
}

/// Admits the orders to one target.
///
/// An order is admitted only if a read of the key-value service that began after the order arrived
/// shows it to be the latest. Admitted tokens never decrease, and the order that is executed is the
/// one in the record, not the one in the message. Losing the state of the gate is safe because each
/// order requires a read; orders are rare, so the cost of these reads is negligible.
#[derive(Clone, Debug)]
pub struct FencingGate {
    target: String,
    highest_token: FencingToken,
    last_executed: FencingToken,
}

impl FencingGate {
    /// Creates the gate of a target; no token has been seen.
    pub fn new(target: impl Into<String>) -> Self {
        Self {
            target: target.into(),
            highest_token: FencingToken::default(),
            last_executed: FencingToken::default(),
        }
    }

    /// Returns the highest token seen.
    pub fn highest_token(&self) -> FencingToken {
        self.highest_token
    }

    /// Admits or refuses an order that arrived, with a read of the key-value service that begins at
    /// `now`.
    ///
    /// # Errors
    ///
    /// [`Refusal`] if the order must not be executed.
    pub fn admit(
        &mut self,
        store: &dyn Store,
        offered: FencingToken,
        now: Instant,
    ) -> Result<Permit, Refusal> {
        self.check_not_stale(offered)?;
        let read = read_order(store, &self.target).map_err(Refusal::Unproved)?;
        self.admit_read(offered, read, now)
    }

    /// Admits or refuses an order by the result of a read that began at `read_at`.
    ///
    /// # Errors
    ///
    /// [`Refusal`] if the order must not be executed.
    pub fn admit_read(
        &mut self,
        offered: FencingToken,
        read: Option<OrderRecord>,
        read_at: Instant,
    ) -> Result<Permit, Refusal> {
        let Some(record) = read.filter(|r| r.token >= offered) else {
            return Err(Refusal::NotIssued { offered });
        };
        self.highest_token = self.highest_token.max(record.token);
        self.check_not_stale(offered)?;
        if offered <= self.last_executed {
            return Err(Refusal::Done { offered });
        }
        Ok(Permit {
            token: record.token,
            order: record.order,
            expires_at: read_at + PERMIT_TERM,
        })
    }

    /// Redeems a permit right before its order is sent to the target.
    ///
    /// # Errors
    ///
    /// [`Refusal::Expired`] if the process paused in the meantime, [`Refusal::Stale`] if the gate
    /// has seen a later order.
    pub fn redeem(&mut self, permit: &Permit, now: Instant) -> Result<(), Refusal> {
        if now >= permit.expires_at {
            return Err(Refusal::Expired);
        }
        self.check_not_stale(permit.token)?;
        self.last_executed = self.last_executed.max(permit.token);
        Ok(())
    }

    fn check_not_stale(&self, offered: FencingToken) -> Result<(), Refusal> {
        let latest = self.highest_token;
        if offered < latest {
            return Err(Refusal::Stale { offered, latest });
        }
        Ok(())
    }
}
