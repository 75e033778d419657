//! Index of the runs that have this side process as a home, that is, whose locations it keeps.
//!
//! Its entries come from the side processes that own the runs and from the claims of routers. After
//! a start, the process asks every side process for the runs that belong in the index. Until all
//! have answered, each answer of this process says that the index is incomplete, and routers then
//! treat a bill as provisional.

use parking_lot::Mutex;
use wisteriapass_config::{Document, Target};
use wisteriapass_coord::Millis;
use wisteriapass_coord::once::{
    ClaimOpId, Directory, HomeAnswer, HomeCandidate, Place, RunId, RunLocation, choose_homes,
};

use crate::clock;
use crate::prelude::*;
use crate::router::ConfigInForce;
use crate::rpc::{HomeClaim, LookupAnswer, OwnedRuns, RpcClient, SideControlClient};
use crate::side::SideIdentity;

/// Lifetime of an entry, in milliseconds: longer than any run and the retention of its answer.
const ENTRY_LIFETIME_MS: u64 = 3_600_000;

/// Interval at which side processes that have not answered are asked again, in milliseconds.
const ASK_INTERVAL_MS: u64 = 1_000;

/// The same interval while this process is not ready, in milliseconds.
const STARTUP_ASK_INTERVAL_MS: u64 = 50;

/// Maximum time for which an incomplete index keeps this process from being ready, in
/// milliseconds. Without it, a side process that is down would keep others from becoming ready.
const READY_TIMEOUT_MS: u64 = 2_000;

struct State {
    directory: Directory,
    /// Side processes that have answered since the inventory's targets last changed.
    answered: Vec<String>,
    /// Targets of the inventory, by which homes are chosen.
    targets: Vec<String>,
}

/// Index of the runs that have this side process as a home.
pub struct RunIndex {
    ready_at: Instant,
    side: Arc<SideIdentity>,
    config: Arc<ConfigInForce>,
    client: Arc<RpcClient>,
    state: Mutex<State>,
}

impl Service for RunIndex {
    const NAME: &'static str = "index";
}

impl RunIndex {
    /// Creates an index that is incomplete.
    ///
    /// # Errors
    ///
    /// [`crate::kernel::KernelError`] if a required service is missing.
    pub fn new(kernel: &Kernel) -> crate::kernel::Result<Self> {
        let directory = Directory::new();
        let state = State {
            directory,
            answered: Vec::new(),
            targets: Vec::new(),
        };
        Ok(Self {
            ready_at: Instant::now() + Duration::from_millis(READY_TIMEOUT_MS),
            side: kernel.find()?,
            config: kernel.find()?,
            client: kernel.find()?,
            state: Mutex::new(state),
        })
    }

    /// Returns whether the index is complete, or the wait for it has timed out.
    pub fn is_ready(&self) -> bool {
        self.is_complete() || Instant::now() >= self.ready_at
    }

    fn is_complete(&self) -> bool {
        let document = self.config.document();
        let members = document.inventory.target.iter().map(|t| t.name.as_str());
        document.revision > 0 && self.state.lock().directory.is_complete(members)
    }

    /// Claims a run for a place, or returns where it already is.
    pub fn claim(&self, claim: &HomeClaim) -> HomeAnswer {
        let now = clock::now();
        let until = now.plus(ENTRY_LIFETIME_MS);
        let document = self.config.document();
        let members = document.inventory.target.iter().map(|t| t.name.as_str());
        let directory = &mut self.state.lock().directory;
        let held = RunLocation {
            place: claim.place.clone(),
            until,
        };
        if let Some(gone) = &claim.gone {
            directory.replace_if_at(&claim.run, gone, held.clone(), &claim.by);
        }
        directory.claim(&claim.run, held, &claim.by, now, members)
    }

    /// Releases a claim for a run that has not started and never will.
    pub fn release(&self, run: &RunId, by: &ClaimOpId) {
        self.state.lock().directory.release(run, by);
    }

    /// Returns where a run is, as far as this home knows.
    pub fn lookup(&self, run: &RunId) -> LookupAnswer {
        let document = self.config.document();
        let members = document.inventory.target.iter().map(|t| t.name.as_str());
        let directory = &self.state.lock().directory;
        LookupAnswer {
            held: directory.find(run, clock::now()).cloned(),
            is_complete: directory.is_complete(members),
        }
    }

    /// Fills the index: asks each side process for its runs until it answers, and all of them again
    /// when the inventory's targets change, because that moves homes.
    pub fn fill_forever(&self) {
        loop {
            let document = self.config.document();
            self.reset_if_targets_changed(&document);
            for target in &document.inventory.target {
                self.ask(target);
            }
            self.state.lock().directory.expire(clock::now());
            let interval_ms = if self.is_ready() {
                ASK_INTERVAL_MS
            } else {
                STARTUP_ASK_INTERVAL_MS
            };
            std::thread::sleep(Duration::from_millis(interval_ms));
        }
    }

    fn reset_if_targets_changed(&self, document: &Document) {
        let targets: Vec<String> = document
            .inventory
            .target
            .iter()
            .map(|t| t.name.clone())
            .collect();
        let mut state = self.state.lock();
        if state.targets != targets {
            state.targets = targets;
            state.answered.clear();
        }
    }

    fn ask(&self, target: &Target) {
        if self.state.lock().answered.contains(&target.name) {
            return;
        }
        let home = self.side.name.clone();
        let owned = self
            .client
            .call(target.side_control, |c| async move { c.owned(home).await });
        match owned {
            Ok(owned) => self.add_runs(&target.name, owned),
            Err(e) => {
                log::debug!(target: "side", "Cannot list runs. side={} cause={e:?}", target.name);
            }
        }
    }

    fn add_runs(&self, side: &str, owned: OwnedRuns) {
        let now = clock::now();
        let mut state = self.state.lock();
        for run in owned.runs {
            let held = RunLocation {
                place: owned.place.clone(),
                until: now.plus(run.kept_ms),
            };
            state.directory.publish(run.run, held);
        }
        state.directory.mark_all_published(side);
        state.answered.push(side.into());
    }
}

/// Returns the names of a run's homes among the side processes in a configuration.
pub fn homes_in(document: &Document, run: &RunId) -> Vec<String> {
    let targets = &document.inventory.target;
    let members: Vec<HomeCandidate<'_>> = targets
        .iter()
        .map(|t| HomeCandidate {
            side: &t.name,
            failure_domain: &t.failure_domain,
        })
        .collect();
    choose_homes(run, &members)
        .iter()
        .map(|name| (*name).to_owned())
        .collect()
}

/// Returns the place of this side process.
pub fn own_place(side: &SideIdentity) -> Place {
    Place::new(&side.name, &side.incarnation)
}

/// Returns the lifetime of an entry.
pub fn entry_lifetime() -> Millis {
    Millis(ENTRY_LIFETIME_MS)
}
