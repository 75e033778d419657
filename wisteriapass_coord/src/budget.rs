//! Escrowed budgets: money is deducted from a record of the service before anyone may spend it.
//!
//! A router holds money in a [`Wallet`] and exchanges it with the [`Record`]s of the service
//! through a [`Ledger`]. No clock decides whether a spend is safe.

mod batch;
mod entry;
mod error;
mod exchange;
mod id;
mod journal;
mod ledger;
mod lot;
mod meter;
mod payment;
mod purse;
mod record;
mod reservation;
mod shards;
mod size;
mod tokens;
mod totals;
mod transfer;
mod wallet;
mod writer;

pub use batch::{Batch, Grant, GrantRequest, OpId, Receipt, UsageReport};
pub use entry::{BudgetEntry, OriginEntry};
pub use error::{LedgerError, RecordError, Result, Shortfall};
pub use exchange::ExchangeOutcome;
pub use id::{BudgetId, Origin, TopupId};
pub use journal::Journal;
pub use ledger::Ledger;
pub use lot::Lot;
pub use meter::UsageMeter;
pub use payment::{Part, Parts, Payment, PaymentId};
pub use record::{Record, RetiredTokens, SpendingProof, Topup};
pub use reservation::{Reservation, Settlement};
pub use shards::{ShardId, Shards};
pub use size::GrantPolicy;
pub use tokens::Tokens;
pub use totals::Totals;
pub use transfer::{Transfer, TransferId, TransferRequest};
pub use wallet::Wallet;
pub use writer::WriterEntry;
