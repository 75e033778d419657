//! Types that most modules of the daemon use.

pub use std::sync::Arc;
pub use std::time::{Duration, Instant};

pub use crate::api::{Reason, Refusal};
pub use crate::kernel::{Kernel, Service};
pub use crate::metrics::Metrics;
