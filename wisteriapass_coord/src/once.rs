//! Once-only runs: identities, homes, the directory, claims, the table of runs, and bills.
//!
//! A run is owned by the side process beside its target. The [`Directory`] in the memory of two
//! side processes lets a repeat find it; a [`Claim`] in the service lets a request that may not be
//! repeated run at most once.

mod attempt;
mod bill;
mod bill_book;
mod bill_ledger;
mod claim;
mod claims;
mod directory;
mod error;
mod homes;
mod order;
mod place;
mod retention;
mod run_id;
mod run_table;
mod usage;
mod verdict;

pub use attempt::Attempt;
pub use bill::Bill;
pub use bill_book::PendingBills;
pub use bill_ledger::BillLedger;
pub use claim::{Claim, ClaimOpId};
pub use claims::{ClaimOutcome, Claims};
pub use directory::{Directory, HomeAnswer, RunLocation};
pub use error::{OnceError, Result};
pub use homes::{HomeCandidate, Homes, homes};
pub use order::{DispatchError, RunDispatch};
pub use place::Place;
pub use retention::Retention;
pub use run_id::RunId;
pub use run_table::{BeginOutcome, RunTable, WithdrawalOutcome};
pub use usage::{FenceAck, OriginUsage};
pub use verdict::{HeldClaimAction, HolderAnswer, HomesVerdict};
