//! What an engine's stand-in is like.

use std::net::SocketAddr;
use std::time::Duration;

/// Settings of an engine's stand-in.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Address to listen on; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Time from the start of a run to its first token, with nothing cached.
    pub time_to_first_token: Duration,
    /// Time from one token to the next, with one run.
    pub time_per_token: Duration,
    /// Runs at once.
    pub slots: usize,
    /// By what share tokens come later when all slots are busy: 1.0 doubles their time.
    pub batch_slowdown: f64,
    /// Models loaded at the start; with none, any model is served.
    pub models: Vec<String>,
    /// Whether orders with an old fencing token are refused.
    pub checks_fencing: bool,
    /// Weight store that loads models; with none, they load at once.
    pub weight_store: Option<SocketAddr>,
    /// Age at which the load report is made anew, in milliseconds.
    pub load_report_interval_ms: u64,
    /// Prompt blocks that the prefix cache holds.
    pub cache_blocks: usize,
    /// Time by which cache events are late, in milliseconds.
    pub event_delay_ms: u64,
    /// Every so many cache events one is lost; 0 loses none.
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
