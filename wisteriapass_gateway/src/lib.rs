//! The data path of a router that dispatches straight to targets.
//!
//! Read `exchange` first: the way of one request from top to bottom. [`Gateway`] holds what it
//! asks; [`Platform`] is the edge to names and formats of the users' platform.

#![warn(missing_docs)]

mod call;
mod catalogue;
mod change_log;
mod clock;
mod dispatch;
mod evacuations;
mod events;
mod exchange;
mod facts;
mod follow;
mod gateway;
mod kept_parts;
mod ledger;
mod listener;
mod metrics;
mod platform;
mod pool;
mod prelude;
mod quarantine;
mod refusal;
mod relays;
mod reservation;
mod retries;
mod route;
mod run;
mod settings;
mod stream;
mod target;
mod targets;
mod touch;

pub use catalogue::{Account, Catalogue, CatalogueChange, ColdStart, Limits, Service};
pub use change_log::{ConfigurationLog, Cursor, TargetChange, TargetChangeSet, TargetLog};
pub use clock::Clock;
pub use evacuations::Evacuations;
pub use events::{Event, EventReader};
pub use facts::{DispatchMetadata, PrefixPart, RequestMetadata, ResponseMetadata, TokenWork};
pub use gateway::Gateway;
pub use platform::{
    Change, ChangeBatch, LocalFuture, Platform, RecordKey, RevisedChange, StoreError, SwapOutcome,
    Topic, VersionedRecord, WatchRequest,
};
pub use quarantine::{QuarantineCall, SharedQuarantine};
pub use refusal::Refusal;
pub use retries::Retries;
pub use route::{RequestKind, Route, WeightedService};
pub use run::{RunError, run};
pub use settings::{Bounds, GatewaySettings, VmSize};
pub use target::{Standing, Target, TargetEntry, TargetId, TargetKey};
pub use targets::Targets;
pub use touch::StoreLiveness;
