//! Settings of a simulated engine.

use std::net::SocketAddr;
use std::time::Duration;

/// Settings of a simulated engine.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Address to listen on; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Time from the start of a run to its first token if nothing of its prompt is cached.
    pub time_to_first_token: Duration,
    /// Time between two tokens of a run that has no other runs beside it.
    pub time_per_token: Duration,
    /// Maximum number of concurrent runs.
    pub slots: usize,
    /// Relative increase of the time per token when all slots are busy; 1.0 doubles it.
    pub batch_slowdown: f64,
    /// Models loaded at the start; if empty, the engine serves any model.
    pub models: Vec<String>,
    /// Whether orders with an outdated fencing token are refused.
    pub checks_fencing: bool,
    /// Weight store to download models from; without one, models load immediately.
    pub weight_store: Option<SocketAddr>,
    /// Age at which the load report is refreshed, in milliseconds.
    pub load_report_interval_ms: u64,
    /// Capacity of the prefix cache, in prompt blocks.
    pub cache_blocks: usize,
    /// Delay before cache events are published, in milliseconds.
    pub event_delay_ms: u64,
    /// One in this many cache events is lost; 0 means that none is.
    pub event_loss_interval: u64,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            time_to_first_token: Duration::from_millis(20),
            time_per_token: Duration::from_millis(5),
            slots: 16,
            batch_slowdown: 1.0,
            models: Vec::new(),
            checks_fencing: true,
            weight_store: None,
            load_report_interval_ms: 500,
            cache_blocks: 4_096,
            event_delay_ms: 300,
            event_loss_interval: 10,
        }
    }
}
