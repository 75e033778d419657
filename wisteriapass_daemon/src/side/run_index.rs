//! The index of runs that have this side process for a home.
//!
//! The index is made of what owners say and what routers claim. A process that starts anew asks
//! every side process for the runs it should know; until all have answered, it says so with each
//! answer, and routers then treat a bill as provisional.

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

/// Time an entry is kept, in milliseconds: longer than any run and the keeping of its answer.
const KEEP_MS: u64 = 3_600_000;

/// Time between two rounds of asking those that have not answered, in milliseconds.
const ASK_MS: u64 = 1_000;

/// The same while this process is not ready.
const FIRST_ASK_MS: u64 = 50;

/// Longest time for which an incomplete index keeps this process from being ready, in
/// milliseconds; a side process that is gone for long must not keep others out.
const READY_MS: u64 = 2_000;

struct State {
    directory: Directory,
    asked: Vec<String>,
    targets: Vec<String>,
}

/// Index of runs at one home.
pub struct RunIndex {
    ready_at: Instant,
    side: Arc<SideIdentity>,
    config: Arc<ConfigInForce>,
    caller: Arc<RpcClient>,
    state: Mutex<State>,
}

impl Service for RunIndex {
    const NAME: &'static str = "index";
}

impl RunIndex {
    /// Creates an index that may miss runs.
    ///
    /// # Errors
    ///
    /// [`crate::kernel::KernelError`] if a service it needs is missing.
    pub fn new(kernel: &Kernel) -> crate::kernel::Result<Self> {
        let directory = Directory::new();
        let state = State {
            directory,
            asked: Vec::new(),
            targets: Vec::new(),
        };
        Ok(Self {
            ready_at: Instant::now() + Duration::from_millis(READY_MS),
            side: kernel.find()?,
            config: kernel.find()?,
            caller: kernel.find()?,
            state: Mutex::new(state),
        })
    }

    /// Returns whether the index knows all runs, or was waited for long enough.
    pub fn is_ready(&self) -> bool {
        self.is_complete() || Instant::now() >= self.ready_at
    }

    fn is_complete(&self) -> bool {
        let document = self.config.document();
        let members = document.inventory.target.iter().map(|t| t.name.as_str());
        document.revision > 0 && self.state.lock().directory.is_complete(members)
    }

    /// Claims a run for a place, or tells where it is.
    pub fn claim(&self, claim: &HomeClaim) -> HomeAnswer {
        let now = clock::now();
        let until = now.plus(KEEP_MS);
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

    /// Takes a claim back whose run never began and never will.
    pub fn release(&self, run: &RunId, by: &ClaimOpId) {
        self.state.lock().directory.release(run, by);
    }

    /// Tells where a run is, as far as this home knows.
    pub fn lookup(&self, run: &RunId) -> LookupAnswer {
        let document = self.config.document();
        let members = document.inventory.target.iter().map(|t| t.name.as_str());
        let directory = &self.state.lock().directory;
        LookupAnswer {
            held: directory.find(run, clock::now()).cloned(),
            is_complete: directory.is_complete(members),
        }
    }

    /// Asks the side processes for their runs, again and again until all have answered, and anew
    /// when the inventory moves homes.
    pub fn fill_forever(&self) {
        loop {
            let document = self.config.document();
            self.start_anew_if_moved(&document);
            for target in &document.inventory.target {
                self.ask(target);
            }
            self.state.lock().directory.expire(clock::now());
            let pause = if self.is_ready() {
                ASK_MS
            } else {
                FIRST_ASK_MS
            };
            std::thread::sleep(Duration::from_millis(pause));
        }
    }

    fn start_anew_if_moved(&self, document: &Document) {
        let targets: Vec<String> = document
            .inventory
            .target
            .iter()
            .map(|t| t.name.clone())
            .collect();
        let mut state = self.state.lock();
        if state.targets != targets {
            state.targets = targets;
            state.asked.clear();
        }
    }

    fn ask(&self, target: &Target) {
        if self.state.lock().asked.contains(&target.name) {
            return;
        }
        let home = self.side.name.clone();
        let owned = self
            .caller
            .call(target.side_control, |c| async move { c.owned(home).await });
        match owned {
            Ok(owned) => self.publish(&target.name, owned),
            Err(e) => {
                log::debug!(target: "side", "No list of runs. of={} cause={e:?}", target.name);
            }
        }
    }

    fn publish(&self, side: &str, owned: OwnedRuns) {
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
        state.asked.push(side.into());
    }
}

/// Returns the names of a run's homes among the side processes of a configuration.
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

/// Returns how long an entry is kept.
pub fn entry_lifetime() -> Millis {
    Millis(KEEP_MS)
}
