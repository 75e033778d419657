//! Data path of a router that dispatches requests directly to targets.
//!
//! Start with `exchange`, which handles one request from arrival to response. [`Gateway`] holds the
//! state that requests share; [`Platform`] abstracts the header names, formats and key-value store
//! of the users' platform.

#![warn(missing_docs)]

mod cached_parts;
mod caller_stream;
mod catalogue;
mod change_log;
mod clock;
mod configuration_source;
mod dispatch;
mod evacuations;
mod events;
mod exchange;
pub mod explain;
mod framing;
mod gateway;
mod held_buffer;
mod held_memory;
mod ledger;
mod listener;
mod loop_delay;
mod metadata;
mod metrics;
mod origins;
mod overrun;
mod platform;
mod pool;
mod prelude;
mod quarantine;
mod refusal;
mod relays;
mod reservation;
mod retry_budget;
mod rotation;
mod route;
mod rpc;
mod run;
mod settings;
mod speeds;
mod stable_connection;
mod store_liveness;
mod store_watch;
mod stream;
mod target;
mod target_stream;
mod targets;
mod timeout;

pub use catalogue::{Account, Catalogue, CatalogueChange, ColdStart, Limits, Service};
pub use change_log::{ConfigurationLog, Cursor, TargetChange, TargetChangeSet, TargetLog};
pub use clock::Clock;
pub use evacuations::Evacuations;
pub use events::{Event, EventReader};
pub use framing::Framing;
pub use gateway::Gateway;
pub use metadata::{
    DispatchMetadata, PrefixPart, RequestMetadata, ResponseMetadata, TargetStatements, TokenWork,
};
pub use platform::{
    Change, ChangeBatch, LocalFuture, Platform, RecordKey, RevisedChange, StoreError, SwapOutcome,
    Topic, VersionedRecord, WatchRequest,
};
pub use quarantine::{QuarantineCall, SharedQuarantine};
pub use refusal::Refusal;
pub use retry_budget::RetryBudget;
pub use route::{RequestKind, Route, WeightedService};
pub use run::{RunError, run};
pub use settings::{Bounds, GatewaySettings, VmSize};
pub use speeds::{EventPauses, SharedSpeeds, SpeedAnswer, SpeedCall, SpeedEntry};
pub use stable_connection::stay_open;
pub use store_liveness::StoreLiveness;
pub use target::{Availability, Target, TargetEntry, TargetId, TargetKey};
pub use targets::Targets;
pub use timeout::answer_by;
