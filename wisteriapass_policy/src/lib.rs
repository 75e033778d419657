//! Decisions under load: what is let in, what waits, what is refused and where work goes.
//!
//! No I/O and no clock: a [`Scheduler`] is fed facts with the time as an argument and answers with
//! [`Decision`]s. Read [`Scheduler`] first, then the parts it asks, in the order of a request's
//! way: [`PolicyConfig`] (thresholds), `pool` (who may serve it), `admission` (can it be done in
//! time), `lanes` (fair order), `reserve` (slots kept for urgent work), `load_view` (how full a
//! target is), `choice` (which target), `health` (whom to avoid), `try_budget` (retries, hedges) and
//! [`Orders`] (which target holds which model).

#![warn(missing_docs)]

mod account_facts;
mod admission;
mod affinity;
pub mod backlog;
mod caution;
mod choice;
pub mod cold;
mod config;
mod decision;
pub mod drain;
mod failure;
mod health;
mod job;
mod keys;
mod lane;
mod lanes;
mod load_report;
mod load_view;
mod names;
mod orders;
mod parts;
pub mod placement;
mod pool;
mod priority;
mod refusal;
mod request_facts;
mod reserve;
mod room;
mod scheduler;
mod service_times;
mod stuck;
mod target;
mod target_facts;
mod time;
mod try_budget;
mod waiting;
mod wants;

pub use account_facts::AccountFacts;
pub use config::PolicyConfig;
pub use decision::{Decided, Decision};
pub use failure::{FailureKind, Outcome};
pub use keys::{AccountKey, TargetKey, Ticket};
pub use load_report::LoadReport;
pub use names::NameKey;
pub use orders::{ModelDemand, Order, OrderKind, Orders, OrdersConfig};
pub use parts::Parts;
pub use priority::Priority;
pub use refusal::Refusal;
pub use request_facts::RequestFacts;
pub use scheduler::Scheduler;
pub use service_times::{ServiceTimes, Work};
pub use target_facts::{Held, Nearness, TargetFacts, TargetRole};
pub use time::Time;
pub use wants::Wants;
