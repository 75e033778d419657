//! Orders to targets with fencing tokens, and the shared rate limit of the weight store.

mod bucket;
mod error;
mod gate;
mod issue;
mod record;

pub use bucket::{BUCKET_KEY, ReadReservation, WeightBucket};
pub use error::{OrderError, Result};
pub use gate::{FencingGate, PERMIT_TERM, Permit, Refusal};
pub use issue::{IssueOutcome, issue, order_key, read_order};
pub use record::{FencingToken, Order, OrderRecord};
