//! Decisions under load: what is let in, what waits, what is refused and where work goes.
//!
//! No I/O and no clock: a [`Scheduler`] is fed facts with the time as an argument and answers with
//! [`Decision`]s. Read [`Scheduler`] first, then the parts it asks, in the order of a request's
//! way: [`PolicyConfig`] (thresholds), `pool` (who may serve it), `admission` (can it be done in
//! time), `lanes` (fair order), `reserve` (slots kept for urgent work), `load_view` (how full a
//! target is), `choice` (which target), `health` (whom to avoid), `try_budget` (retries, hedges) and
//! [`Orders`] (which target holds which model).

#![warn(missing_docs)]

mod account_info;
mod account_queue;
mod admission;
mod affinity;
pub mod cold_start;
mod config;
mod decision;
pub mod drain;
mod failure;
mod fair_queue;
mod features;
mod headroom;
mod health;
mod job;
mod keys;
mod latency_history;
mod load_report;
mod load_view;
mod names;
mod no_capacity_cache;
mod orders;
pub mod overload;
pub mod placement;
mod pool;
mod priority;
mod queued_request;
mod refusal;
mod request_info;
mod required_resource;
mod reserve;
mod retry_budget;
mod scheduler;
mod target;
mod target_info;
mod target_selection;
mod time;
mod wait_correction;

pub use account_info::AccountInfo;
pub use config::PolicyConfig;
pub use decision::{Decision, TicketDecision};
pub use failure::{FailureKind, Outcome};
pub use features::Features;
pub use keys::{AccountKey, TargetKey, Ticket};
pub use latency_history::{LatencyHistory, PlannedRequest};
pub use load_report::LoadReport;
pub use names::NameKey;
pub use orders::{ModelDemand, Order, OrderKind, OrderPlanner, OrdersConfig};
pub use priority::Priority;
pub use refusal::Refusal;
pub use request_info::RequestInfo;
pub use required_resource::RequiredResource;
pub use scheduler::Scheduler;
pub use target_info::{HostedResource, Locality, TargetInfo, TargetRole};
pub use time::Time;
