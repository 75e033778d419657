//! Stand-in for the platform: key-value service, VM list and weight store at one address.

mod calls;
mod counts;
mod faults;
mod vms;
mod weights;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wisteriapass_coord::store::{MemoryStore, StoreError};

use crate::standin::http::{Call, Handler, HttpServer};

pub use counts::CallCounts;
pub use faults::{Outage, PlatformFaults};
pub use vms::{Vm, VmState};

use calls::CallKind;
use counts::Counters;
use vms::VmList;
use weights::WeightStore;

/// Interval at which a waiting watch checks whether an outage has started.
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Settings of a simulated platform.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// Address to listen on; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Delay before a change is visible in the VM list, in milliseconds.
    pub vm_lag_ms: u64,
    /// Size of each model's weights, in bytes.
    pub weight_bytes: u64,
    /// Total download rate of the weight store, in bytes per second.
    pub weight_rate: u64,
    /// Seed of the random choice of lost answers.
    pub seed: u64,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            vm_lag_ms: 1_000,
            weight_bytes: 1 << 20,
            weight_rate: 16 << 20,
            seed: 1,
        }
    }
}

/// A running simulated platform, which stops when dropped.
pub struct Platform {
    server: HttpServer,
    state: Arc<State>,
}

/// State shared by the request handlers of a platform.
struct State {
    store: MemoryStore,
    counters: Counters,
    faults: Mutex<PlatformFaults>,
    rng: Mutex<ChaCha8Rng>,
    vms: VmList,
    weights: WeightStore,
}

impl Platform {
    /// Starts a platform.
    ///
    /// # Errors
    ///
    /// Returns the system's error if the address cannot be bound.
    pub fn start(settings: &PlatformSettings) -> io::Result<Self> {
        let state = Arc::new(State {
            store: MemoryStore::new(),
            counters: Counters::default(),
            faults: Mutex::default(),
            rng: Mutex::new(ChaCha8Rng::seed_from_u64(settings.seed)),
            vms: VmList::new(Duration::from_millis(settings.vm_lag_ms)),
            weights: WeightStore::new(settings.weight_bytes, settings.weight_rate),
        });
        let server = HttpServer::start(settings.listen, Arc::clone(&state))?;
        Ok(Self { server, state })
    }

    /// Returns the address that all three services listen on.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Returns the store behind the HTTP server; direct calls to it are not counted.
    pub fn store(&self) -> &MemoryStore {
        &self.state.store
    }

    /// Returns the number of calls of each kind so far.
    pub fn call_counts(&self) -> CallCounts {
        self.state.counters.snapshot()
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: PlatformFaults) {
        *self.state.faults.lock() = faults;
    }

    /// Sets the state of a VM, which the VM list shows after its delay.
    pub fn set_vm(&self, vm: &str, state: VmState) {
        self.state.vms.set(vm, state);
    }

    /// Blocks the calling thread forever.
    pub fn wait(&mut self) {
        self.server.wait();
    }
}

impl Handler for State {
    fn handle(self: Arc<Self>, call: Call) {
        let method = call.method();
        let path = call.path().to_owned();
        match (method.as_str(), path.as_str()) {
            ("GET", "/counts") => call.answer(200, &self.counters.snapshot()),
            ("GET", "/faults") => call.answer(200, &*self.faults.lock()),
            ("POST", "/faults") => self.replace_faults(call),
            ("GET", "/vms") => call.answer(200, &self.vms.visible(Instant::now())),
            ("POST", "/vms") => self.change_vm_state(call),
            ("GET", path) if path.starts_with("/weights/") => self.weights.serve(call),
            ("POST", path) => match CallKind::from_path(path) {
                Some(kind) => self.serve_kv_call(kind, call),
                None => call.answer_error(404, "no such call of the key-value service"),
            },
            _ => call.answer_error(404, "no such path"),
        }
    }
}

impl State {
    fn replace_faults(&self, call: Call) {
        match call.json() {
            Ok(faults) => {
                *self.faults.lock() = faults;
                call.answer(200, &*self.faults.lock());
            }
            Err(e) => call.answer_error(400, e.to_string()),
        }
    }

    fn change_vm_state(&self, call: Call) {
        match call.json::<Vm>() {
            Ok(vm) => {
                self.vms.set(&vm.vm, vm.state);
                call.answer(200, &vm);
            }
            Err(e) => call.answer_error(400, e.to_string()),
        }
    }

    /// Serves one call of the key-value service, subject to the active faults.
    fn serve_kv_call(&self, kind: CallKind, call: Call) {
        self.counters.count(kind);
        let faults = self.faults.lock().clone();
        std::thread::sleep(Duration::from_millis(faults.slow_ms));
        if !self.is_up() {
            return self.fail_call(call);
        }
        let answer = calls::run(self, kind, &call);
        if kind.is_write() && self.loses_answer() {
            return call.close();
        }
        match answer {
            Ok(_) if !self.is_up() => self.fail_call(call),
            Ok(answer) => call.answer(200, &answer),
            Err(StoreError::Refused { cause }) => call.answer_error(400, cause),
            Err(e) => call.answer_error(503, e.to_string()),
        }
    }

    fn is_up(&self) -> bool {
        self.faults.lock().outage == Outage::None
    }

    fn loses_answer(&self) -> bool {
        let share = self.faults.lock().lost_answers;
        share > 0.0 && self.rng.lock().random::<f64>() < share
    }

    /// Ends a call as the active outage requires.
    fn fail_call(&self, call: Call) {
        let outage = self.faults.lock().outage;
        match outage {
            Outage::Silent => call.leave_open(),
            Outage::Closing => call.close(),
            Outage::None | Outage::Refusing => {
                call.answer_error(503, "the key-value service is down");
            }
        }
    }
}
