//! Load of the target, as reported to routers in heartbeat answers.

use std::collections::HashMap;

use parking_lot::Mutex;
use serde::Deserialize;
use wisteriapass_config::TargetKind;

use crate::fleet::ConfigInForce;
use crate::http::send_limited;
use crate::prelude::*;
use crate::rpc::TargetLoad;
use crate::run_wire::RunRequest;
use crate::side::{Run, Runs, SideIdentity};

/// Interval at which the load is measured, in milliseconds: the age at which routers begin to trust
/// a measurement less.
const POLL_INTERVAL_MS: u64 = 1_000;

/// Timeout for the target's load report, in seconds.
const TIMEOUT_S: u64 = 1;

/// Maximum size of that report, in bytes.
const MAX_ANSWER_BYTES: u64 = 64 << 10;

/// Priority of interactive runs.
const INTERACTIVE_PRIORITY: u8 = 0;

/// Load reported by an engine; other fields of the report are not needed.
#[derive(Clone, Copy, Debug, Deserialize)]
struct EngineLoad {
    running: u32,
    queued: u32,
}

/// Load measured at one time.
struct Measurement {
    measured_at: Instant,
    total: EngineLoad,
    interactive: u32,
    by_router: HashMap<String, u32>,
}

/// Measures the target's load periodically.
pub struct LoadMonitor {
    side: Arc<SideIdentity>,
    runs: Arc<Runs>,
    config: Arc<ConfigInForce>,
    latest: Mutex<Option<Measurement>>,
}

impl Service for LoadMonitor {
    const NAME: &'static str = "load";
}

impl LoadMonitor {
    /// Creates a monitor without a measurement.
    ///
    /// # Errors
    ///
    /// [`crate::kernel::KernelError`] if a required service is missing.
    pub fn new(kernel: &Kernel) -> crate::kernel::Result<Self> {
        Ok(Self {
            side: kernel.find()?,
            runs: kernel.find()?,
            config: kernel.find()?,
            latest: Mutex::default(),
        })
    }

    /// Measures the load periodically.
    pub fn poll_forever(&self) {
        loop {
            let measurement = self.measure();
            *self.latest.lock() = Some(measurement);
            std::thread::sleep(Duration::from_millis(POLL_INTERVAL_MS));
        }
    }

    /// Returns the load for the router with this name, once it has been measured.
    ///
    /// A router's runs are counted by its name, not its incarnation. The runs of its predecessor
    /// end soon, and a router that advanced past its predecessor's incarnation has runs under two
    /// incarnations.
    pub fn load_for(&self, router: &str, now: Instant) -> Option<TargetLoad> {
        let latest = self.latest.lock();
        let latest = latest.as_ref()?;
        let age = now
            .saturating_duration_since(latest.measured_at)
            .as_millis();
        Some(TargetLoad {
            running: latest.total.running,
            queued: latest.total.queued,
            interactive: latest.interactive,
            of_receiver: latest.by_router.get(router).copied().unwrap_or_default(),
            age_ms: u32::try_from(age).unwrap_or(u32::MAX),
        })
    }

    /// Measures the load once. The runs of this process are counted right after the engine reports
    /// its load, because they are parts of the engine's total.
    fn measure(&self) -> Measurement {
        let measured_at = Instant::now();
        let reported = self.ask_engine();
        let runs = self.runs.active();
        let mut by_router = HashMap::new();
        for run in &runs {
            *by_router.entry(router_name(run).to_owned()).or_default() += 1;
        }
        let own = EngineLoad {
            running: count(runs.len()),
            queued: 0,
        };
        Measurement {
            measured_at,
            total: reported.unwrap_or(own),
            interactive: count(runs.iter().filter(|r| is_interactive(r)).count()),
            by_router,
        }
    }

    /// Asks an engine for its load; plain services do not report one.
    fn ask_engine(&self) -> Option<EngineLoad> {
        let document = self.config.document();
        let target = document.inventory.target_named(&self.side.name)?;
        if target.kind != TargetKind::Engine {
            return None;
        }
        let request =
            minreq::get(format!("http://{}/load", self.side.target)).with_timeout(TIMEOUT_S);
        let answer = send_limited(request, MAX_ANSWER_BYTES).ok()?;
        serde_json::from_slice(&answer.body).ok()
    }
}

/// Returns the name of the router that sent a run: its incarnation without the number.
fn router_name(run: &Run) -> &str {
    let router = run.dispatch().router.as_str();
    router.rsplit_once('.').map_or(router, |(name, _)| name)
}

fn is_interactive(run: &Run) -> bool {
    match &run.dispatch().request {
        RunRequest::Chat(chat) => chat.priority == INTERACTIVE_PRIORITY,
        RunRequest::Call(_) => false,
    }
}

fn count(n: usize) -> u32 {
    u32::try_from(n).unwrap_or(u32::MAX)
}
