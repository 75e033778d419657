//! At-most-once execution of requests: request ids, homes, the directory, claims, run tables and
//! bills.
//!
//! A run is owned by the side process beside its target. The [`Directory`], held in the memory of
//! two side processes, lets a repeated request find its run. A [`Claim`] in the key-value service
//! ensures that a non-idempotent request runs at most once.

mod attempt;
mod bill;
mod bill_ledger;
mod claim;
mod claims;
mod directory;
mod dispatch;
mod error;
mod homes;
mod origin_usage;
mod pending_bills;
mod place;
mod retention;
mod run_id;
mod run_table;
mod verdict;

pub use attempt::Attempt;
pub use bill::Bill;
pub use bill_ledger::BillLedger;
pub use claim::{Claim, ClaimOpId};
pub use claims::{ClaimOutcome, Claims};
pub use directory::{Directory, HomeAnswer, RunLocation};
pub use dispatch::{DispatchError, RunDispatch};
pub use error::{OnceError, Result};
pub use homes::{HomeCandidate, Homes, choose_homes};
pub use origin_usage::{FenceAck, OriginUsage};
pub use pending_bills::PendingBills;
pub use place::Place;
pub use retention::Retention;
pub use run_id::RunId;
pub use run_table::{BeginOutcome, RunTable, WithdrawalOutcome};
pub use verdict::{HeldClaimAction, HolderAnswer, HomesVerdict};
