//! Prepaid totals shared out among routers: a share is taken from a record before it is spent.
//!
//! The total of an account comes from the configuration and only grows. A [`ShareRecord`] of the
//! service says how much of it each router may have spent; a router's [`ShareHolder`] spends
//! within its share, also while it is cut off. No clock decides whether a spend is safe, but one:
//! a part of each share is sealed, and the [`Stamp`] of a record tells a successor whether the
//! seal can have been broken.

mod holder;
mod meter;
mod record;
mod share;
mod stamp;
mod tenure;

pub use holder::{ShareHolder, ShareSizes, Shortfall, Standing};
pub use meter::DrawMeter;
pub use record::ShareRecord;
pub use share::Share;
pub use stamp::Stamp;
pub use tenure::{HolderId, Tenure};
