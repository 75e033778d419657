//! Escrowed budgets: tokens are deducted from a record in the store before a router may spend them.
//!
//! A router keeps its tokens in a [`Wallet`] and exchanges them with the [`Record`]s in the store
//! through a [`Ledger`]. The safety of spending does not depend on clocks.

mod balance;
mod batch;
mod entry;
mod error;
mod exchange;
mod grant_policy;
mod id;
mod journal;
mod ledger;
mod lot;
mod payment;
mod record;
mod reservation;
mod shards;
mod tokens;
mod totals;
mod transfer;
mod usage_meter;
mod wallet;
mod writer;

pub use batch::{Batch, Grant, GrantRequest, OpId, Receipt, UsageReport};
pub use entry::{BudgetEntry, OriginEntry};
pub use error::{LedgerError, RecordError, Result, Shortfall};
pub use exchange::ExchangeOutcome;
pub use grant_policy::GrantPolicy;
pub use id::{BudgetId, Origin, TopupId};
pub use journal::Journal;
pub use ledger::Ledger;
pub use lot::Lot;
pub use payment::{Part, Parts, Payment, PaymentId};
pub use record::{Record, RetiredTokens, SpendingProof, Topup};
pub use reservation::{Reservation, Settlement};
pub use shards::{ShardId, Shards};
pub use tokens::Tokens;
pub use totals::Totals;
pub use transfer::{Transfer, TransferId, TransferRequest};
pub use usage_meter::UsageMeter;
pub use wallet::Wallet;
pub use writer::WriterEntry;
