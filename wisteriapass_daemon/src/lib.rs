//! The wisteriapass router and side process.

#![warn(missing_docs)]

pub mod api;
mod clock;
mod control;
mod counters;
pub mod explain;
pub mod fleet;
pub mod http;
pub mod kernel;
mod logging;
pub mod metrics;
mod on_platform;
mod prelude;
pub mod router;
pub mod rpc;
pub mod run_wire;
mod shutdown;
pub mod side;
mod start;

pub use on_platform::run_on_platform;
pub use start::run;
