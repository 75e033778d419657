//! Stand-ins for the platform and the targets, run inside this process or as separate processes.

mod clock;
pub mod engine;
mod faults;
mod http;
pub mod platform;
pub mod service;
pub mod users_platform;

pub use clock::unix_ms;
pub use engine::{Engine, EngineSettings, expected_answer};
pub use faults::{Silence, TargetFaults};
pub use platform::{Outage, Platform, PlatformFaults, PlatformSettings};
pub use service::{Service, ServiceSettings};
