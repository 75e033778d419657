//! Stand-in for the platform: key-value service, VM list and weight store on one address.

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

use calls::Kind;
use counts::Counters;
use vms::VmList;
use weights::WeightStore;

/// Longest stretch of a watch before the faults in force are looked at again.
const WATCH_SLICE: Duration = Duration::from_millis(100);

/// What a platform's stand-in is like.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// Address to listen on; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Time after which a change shows in the VM list, in milliseconds.
    pub vm_lag_ms: u64,
    /// Size of a model's weights, in bytes.
    pub weight_bytes: u64,
    /// Rate of the weight store over all downloads, in bytes a second.
    pub weight_rate: u64,
    /// Seed of the share of lost answers.
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

/// A running stand-in for the platform; it stops when dropped.
pub struct Platform {
    server: HttpServer,
    state: Arc<State>,
}

/// What the handlers of a platform share.
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
    /// The system's error if the address cannot be bound.
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

    /// Returns the address of all three services.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Returns the key-value service behind the HTTP server; calls on it are not counted.
    pub fn store(&self) -> &MemoryStore {
        &self.state.store
    }

    /// Returns how often each kind of call was made so far.
    pub fn call_counts(&self) -> CallCounts {
        self.state.counters.read()
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: PlatformFaults) {
        *self.state.faults.lock() = faults;
    }

    /// Changes what the VM list will say of a VM, after its lag.
    pub fn set_vm(&self, vm: &str, state: VmState) {
        self.state.vms.set(vm, state);
    }

    /// Waits for ever.
    pub fn wait(&mut self) {
        self.server.wait();
    }
}

impl Handler for State {
    fn handle(self: Arc<Self>, call: Call) {
        let method = call.method();
        let path = call.path().to_owned();
        match (method.as_str(), path.as_str()) {
            ("GET", "/counts") => call.answer(200, &self.counters.read()),
            ("GET", "/faults") => call.answer(200, &*self.faults.lock()),
            ("POST", "/faults") => self.switch(call),
            ("GET", "/vms") => call.answer(200, &self.vms.visible(Instant::now())),
            ("POST", "/vms") => self.change_vm(call),
            ("GET", path) if path.starts_with("/weights/") => self.weights.serve(call),
            ("POST", path) => match Kind::of(path) {
                Some(kind) => self.serve_store(kind, call),
                None => call.refuse(404, "no such call of the key-value service"),
            },
            _ => call.refuse(404, "no such path"),
        }
    }
}

impl State {
    fn switch(&self, call: Call) {
        match call.json() {
            Ok(faults) => {
                *self.faults.lock() = faults;
                call.answer(200, &*self.faults.lock());
            }
            Err(e) => call.refuse(400, e.to_string()),
        }
    }

    fn change_vm(&self, call: Call) {
        match call.json::<Vm>() {
            Ok(vm) => {
                self.vms.set(&vm.vm, vm.state);
                call.answer(200, &vm);
            }
            Err(e) => call.refuse(400, e.to_string()),
        }
    }

    /// Serves one call of the key-value service under the faults in force.
    fn serve_store(&self, kind: Kind, call: Call) {
        self.counters.count(kind);
        let faults = self.faults.lock().clone();
        std::thread::sleep(Duration::from_millis(faults.slow_ms));
        if !self.is_up() {
            return self.fail(call);
        }
        let answer = calls::run(self, kind, &call);
        if kind.is_write() && self.loses_answer() {
            return call.close();
        }
        match answer {
            Ok(_) if !self.is_up() => self.fail(call),
            Ok(answer) => call.answer(200, &answer),
            Err(StoreError::Refused { cause }) => call.refuse(400, cause),
            Err(e) => call.refuse(503, e.to_string()),
        }
    }

    fn is_up(&self) -> bool {
        self.faults.lock().outage == Outage::None
    }

    fn loses_answer(&self) -> bool {
        let share = self.faults.lock().lost_answers;
        share > 0.0 && self.rng.lock().random::<f64>() < share
    }

    /// Ends a call the way the outage in force does.
    fn fail(&self, call: Call) {
        let outage = self.faults.lock().outage;
        match outage {
            Outage::Silent => call.hold(),
            Outage::Closing => call.close(),
            Outage::None | Outage::Refusing => call.refuse(503, "the key-value service is down"),
        }
    }
}
