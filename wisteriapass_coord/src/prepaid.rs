//! Prepaid totals shared out among routers: a share is taken from a record before it is spent.
//!
//! The total of an account comes from the configuration and only grows. A [`ShareRecord`] of the
//! service says how much of it each router may have spent; a router's [`ShareHolder`] spends
//! within its share, also while it is cut off. Clocks decide one thing only: a part of each share
//! is sealed until its holder is out of touch for a while, and by the [`Stamp`] of the last write
//! a successor knows whether the seal can have been broken. It believes boot time and time of day
//! where they agree; after a loss of power, the time of day, if that of all other routers agreed
//! with it at the last write and again at the successor's.

mod account_share;
mod clock_check;
mod credit;
mod grant_book;
mod grant_call;
mod holder;
mod lenders;
mod loans;
mod meter;
mod pace;
mod packed;
mod proof;
mod record;
mod report;
mod savings;
mod share;
mod sizes;
mod stamp;
mod standing;
mod tenure;
mod testimony;
mod witness_book;
mod witness_id;
mod witnesses;

pub use credit::{Credit, CreditLineKey};
pub use grant_book::{GrantLedger, Settlement};
pub use grant_call::{AccountGrant, AccountUsage, CreditLineId, GrantAnswer, GrantCall};
pub use holder::{ShareHolder, Shortfall};
pub use lenders::Lenders;
pub use loans::LoanRequests;
pub use meter::DemandMeter;
pub use pace::Pace;
pub use packed::UnpackError;
pub use proof::Proof;
pub use record::ShareRecord;
pub use report::{Receipt, WitnessReport};
pub use savings::{Rationing, Scarcity, TokenRequest};
pub use share::Share;
pub use sizes::ShareConfig;
pub use stamp::Stamp;
pub use standing::AccountStatus;
pub use tenure::{DomainId, HolderEntry, HolderId};
pub use testimony::{Inquiry, InquiryAnswer};
pub use witness_book::WitnessMemory;
pub use witness_id::WitnessId;
pub use witnesses::{NamedWitnesses, WITNESS_COUNT, WitnessSet};
