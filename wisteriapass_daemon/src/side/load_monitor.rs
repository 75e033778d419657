//! How full the target beside this process is, for the routers that ask.

use std::collections::HashMap;

use parking_lot::Mutex;
use serde::Deserialize;
use wisteriapass_config::TargetKind;

use crate::fleet::ConfigInForce;
use crate::prelude::*;
use crate::rpc::TargetLoad;
use crate::run_wire::RunRequest;
use crate::side::{Run, Runs, SideIdentity};

/// Time between two looks at the load, in milliseconds: the age at which routers begin to doubt it.
const LOOK_MS: u64 = 1_000;

/// Longest wait for the target's word, in seconds.
const TIMEOUT_S: u64 = 1;

/// Priority of interactive runs.
const INTERACTIVE: u8 = 0;

/// What an engine says of its load; its other fields are not needed.
#[derive(Clone, Copy, Debug, Deserialize)]
struct EngineLoad {
    running: u32,
    queued: u32,
}

/// The load at one time.
struct Seen {
    at: Instant,
    total: EngineLoad,
    interactive: u32,
    by_router: HashMap<String, u32>,
}

/// Looks at the target's load again and again.
pub struct LoadMonitor {
    side: Arc<SideIdentity>,
    runs: Arc<Runs>,
    config: Arc<ConfigInForce>,
    seen: Mutex<Option<Seen>>,
}

impl Service for LoadMonitor {
    const NAME: &'static str = "load";
}

impl LoadMonitor {
    /// Creates a watch that has seen nothing yet.
    ///
    /// # Errors
    ///
    /// [`crate::kernel::KernelError`] if a service it needs is missing.
    pub fn new(kernel: &Kernel) -> crate::kernel::Result<Self> {
        Ok(Self {
            side: kernel.find()?,
            runs: kernel.find()?,
            config: kernel.find()?,
            seen: Mutex::default(),
        })
    }

    /// Looks again and again.
    pub fn poll_forever(&self) {
        loop {
            let seen = self.look();
            *self.seen.lock() = Some(seen);
            std::thread::sleep(Duration::from_millis(LOOK_MS));
        }
    }

    /// Returns the load as a router of this name is to know it, once it was looked at.
    ///
    /// Runs count for a router by its name: those of its predecessor end soon, while a router that
    /// stepped past its predecessor's incarnation goes on under two of them.
    pub fn load_for(&self, router: &str, now: Instant) -> Option<TargetLoad> {
        let seen = self.seen.lock();
        let seen = seen.as_ref()?;
        let age = now.saturating_duration_since(seen.at).as_millis();
        Some(TargetLoad {
            running: seen.total.running,
            queued: seen.total.queued,
            interactive: seen.interactive,
            of_receiver: seen.by_router.get(router).copied().unwrap_or_default(),
            age_ms: u32::try_from(age).unwrap_or(u32::MAX),
        })
    }

    /// Looks once. Own runs are counted together with the engine's word, as parts of one whole.
    fn look(&self) -> Seen {
        let at = Instant::now();
        let told = self.ask_engine();
        let runs = self.runs.active();
        let mut by_router = HashMap::new();
        for run in &runs {
            *by_router.entry(router_of(run).to_owned()).or_default() += 1;
        }
        let own = EngineLoad {
            running: count(runs.len()),
            queued: 0,
        };
        Seen {
            at,
            total: told.unwrap_or(own),
            interactive: count(runs.iter().filter(|r| is_interactive(r)).count()),
            by_router,
        }
    }

    /// Asks an engine; plain services have no word on it.
    fn ask_engine(&self) -> Option<EngineLoad> {
        let document = self.config.document();
        let target = document.inventory.target_named(&self.side.name)?;
        if target.kind != TargetKind::Engine {
            return None;
        }
        let answer = minreq::get(format!("http://{}/load", self.side.target))
            .with_timeout(TIMEOUT_S)
            .send()
            .ok()?;
        serde_json::from_slice(answer.as_bytes()).ok()
    }
}

/// Returns the name of the router that sent a run: its incarnation without the number.
fn router_of(run: &Run) -> &str {
    let router = run.dispatch().router.as_str();
    router.rsplit_once('.').map_or(router, |(name, _)| name)
}

fn is_interactive(run: &Run) -> bool {
    match &run.dispatch().request {
        RunRequest::Chat(chat) => chat.priority == INTERACTIVE,
        RunRequest::Call(_) => false,
    }
}

fn count(n: usize) -> u32 {
    u32::try_from(n).unwrap_or(u32::MAX)
}
