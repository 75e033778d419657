//! Load management policy: which requests are admitted, queued or refused, and where they run.
//!
//! The crate does no I/O and reads no clock. A [`Scheduler`] receives events with the time as an
//! argument and returns [`Decision`]s. Start reading at [`Scheduler`], then follow the path of a
//! request: [`PolicyConfig`] (settings), `pool` (targets that can serve it), `admission` (whether
//! it can be served in time), `fair_queue` (order), `reserve` (slots reserved for interactive
//! work), `load_view` (load of a target), `target_selection` (choice of the target), `health`
//! (targets to avoid), `retry_budget` (retries and hedges), [`rotation`] (routers that accept callers) and [`OrderPlanner`] (which target loads
//! which model).

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
mod link_meter;
mod load_report;
mod load_view;
pub mod loop_delay;
pub mod memory_account;
mod names;
mod no_capacity_cache;
mod orders;
pub mod overload;
pub mod placement;
mod pool;
mod priority;
mod queued_request;
mod refusal;
pub mod rendezvous;
mod request_info;
mod required_resource;
mod reserve;
pub mod rest;
mod retry_budget;
pub mod rotation;
mod scheduler;
mod send_log;
mod target;
mod target_info;
pub mod target_limit;
mod target_selection;
pub mod target_speed;
mod time;
mod wait_correction;

pub use account_info::AccountInfo;
pub use config::PolicyConfig;
pub use decision::{Decision, TicketDecision};
pub use failure::{FailureKind, Outcome};
pub use features::Features;
pub use keys::{AccountKey, TargetKey, Ticket};
pub use latency_history::{LatencyHistory, PlannedRequest};
pub use link_meter::LinkMeter;
pub use load_report::LoadReport;
pub use names::NameKey;
pub use orders::{ModelDemand, Order, OrderKind, OrderPlanner, OrdersConfig};
pub use priority::Priority;
pub use refusal::Refusal;
pub use request_info::RequestInfo;
pub use required_resource::RequiredResource;
pub use scheduler::Scheduler;
pub use send_log::SendLog;
pub use target_info::{HostedResource, Locality, TargetInfo, TargetRole};
pub use time::Time;
