//! Routes: which service handles a request, and under which guarantees.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

/// Kind of a request, which decides whether it may be retried.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestKind {
    /// May run more than once.
    #[display("idempotent")]
    Idempotent,
    /// Runs at most once.
    #[display("non_idempotent")]
    NonIdempotent,
    /// A stream of events.
    #[display("stream")]
    Stream {
        /// Whether the stream may continue at another target.
        resumable: bool,
    },
}

impl RequestKind {
    /// Returns whether its responses are streams of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }

    /// Returns whether a request that may have run can be sent again.
    pub fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }
}

/// A service and its weight in a route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedService {
    /// Name of the service.
    pub service: String,
    /// Relative fraction of the requests.
    pub weight: u32,
}

/// A route of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name, for logs.
    pub name: String,
    /// Host, in lower case.
    pub host: String,
    /// Path prefix; begins and ends with a slash.
    pub prefix: String,
    /// Services that requests are distributed to.
    pub services: SmallVec<[WeightedService; 2]>,
    /// Kind of its requests.
    pub kind: RequestKind,
    /// Maximum time that a request is kept, in milliseconds.
    pub timeout_ms: u64,
    /// Latency within which a response, or the first event of a stream, is on time, in
    /// milliseconds.
    pub latency_goal_ms: u64,
    /// Longest gap between events that is on time, in milliseconds.
    pub gap_goal_ms: Option<u64>,
    /// Maximum number of targets to which one attempt of a client is sent.
    pub max_attempts: u32,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Whether it serves clients without an account.
    pub public: bool,
    /// Regions in which its requests may run; any region if empty.
    pub regions: Vec<String>,
}

impl Route {
    /// Returns whether requests may go to a service.
    pub fn permits(&self, service: &str) -> bool {
        self.services.iter().any(|s| s.service == service)
    }

    /// Returns the service for a request; `draw` is uniform over `u32`.
    pub fn pick_service(&self, draw: u32) -> Option<&str> {
        let total: u64 = self.services.iter().map(|s| u64::from(s.weight)).sum();
        let mut position = (u64::from(draw) * total.max(1)) >> 32;
        for service in &self.services {
            if position < u64::from(service.weight) {
                return Some(&service.service);
            }
            position -= u64::from(service.weight);
        }
        None
    }
}
