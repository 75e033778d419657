//! Shares of prepaid totals: a router allocates part of an account's total before it spends it.
//!
//! The total of an account comes from the configuration and only grows. A [`ShareRecord`] in the
//! key-value store holds how much of it each router may have spent. A router's [`ShareHolder`]
//! spends within its share, also while the store is unreachable.
//!
//! Correctness depends on clocks in one place only. Part of each share is sealed: it may be spent
//! only as far as its [`Opening`] allows by the age of the holder's last write, and as far as
//! witnesses acknowledge while any of them binds the holder. From the [`Stamp`] of that write, a
//! successor computes how much can have been open. It trusts the boot
//! clock and the time of day where they agree. After a power loss, it trusts the time of day if
//! that agreed with the time of day of all other routers at the last write, and agrees again at the
//! successor's.

mod account_share;
mod account_status;
mod allocation_limits;
mod clock_check;
mod credit;
mod demand_meter;
mod grant_call;
mod grant_ledger;
mod holder;
mod holder_entry;
mod inquiry;
mod lenders;
mod loan_requests;
mod opening;
mod outstanding;
mod pace;
mod packed;
mod proof;
mod rationing;
mod record;
mod share;
mod share_config;
mod stamp;
mod totals;
mod unserved_requests;
mod witness_id;
mod witness_memory;
mod witness_report;
mod witness_set;

pub use account_status::AccountStatus;
pub use credit::{Credit, CreditLineKey};
pub use demand_meter::DemandMeter;
pub use grant_call::{AccountGrant, AccountUsage, CreditLineId, GrantAnswer, GrantCall};
pub use grant_ledger::{GrantLedger, Settlement};
pub use holder::{ShareHolder, ShareShortfall};
pub use holder_entry::{DomainId, HolderEntry, HolderId};
pub use inquiry::{Inquiry, InquiryAnswer};
pub use lenders::Lenders;
pub use loan_requests::LoanRequests;
pub use opening::Opening;
pub use outstanding::Outstanding;
pub use pace::Pace;
pub use packed::UnpackError;
pub use proof::SuccessionProof;
pub use rationing::{Rationing, Scarcity, TokenRequest};
pub use record::ShareRecord;
pub use share::Share;
pub use share_config::ShareConfig;
pub use stamp::Stamp;
pub use totals::Totals;
pub use witness_id::WitnessId;
pub use witness_memory::WitnessMemory;
pub use witness_report::{WitnessReceipt, WitnessReport};
pub use witness_set::{NamedWitnesses, WITNESS_COUNT, WitnessSet};
