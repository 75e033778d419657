//! Test harness: a platform and targets in this process, routers and side processes as child
//! processes.

mod budgets;
mod daemon;
mod daemon_settings;
mod error;
mod plan;
mod program;
mod race;
mod scratch;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::{Mutex, MutexGuard};
use wisteriapass_config::{CURRENT_KEY, Document, Settings, TargetKind};
use wisteriapass_coord::store::{Revision, Store, Swap};

use crate::link::Network;
use crate::standin::platform::VmState;
use crate::standin::{Engine, EngineSettings, Platform, Service};

pub use daemon::{Daemon, Signal};
pub use error::{FleetError, Result};
pub use plan::{AccountPlan, BUDGET, FleetPlan, SERVICE, key_digest};
pub use program::Program;

use daemon::DaemonLinks;
use daemon_settings::{router_settings, side_settings};
use scratch::ScratchDir;

/// Name of the platform in the [`Network`].
pub const PLATFORM: &str = "platform";

/// ID of the initial top-up of each account.
pub const INITIAL_TOPUP: &str = "before-start";

/// Maximum time for all daemons to become ready, in seconds.
const READY_TIMEOUT_S: u64 = 20;

/// A running fleet; its child processes are killed when it is dropped.
pub struct Fleet {
    // Fields are dropped in this order: the daemons before the servers that they connect to.
    daemons: BTreeMap<String, Mutex<Daemon>>,
    engines: BTreeMap<String, Engine>,
    services: BTreeMap<String, Service>,
    network: Arc<Network>,
    platform: Platform,
    document: Mutex<Document>,
    plan: FleetPlan,
    scratch: ScratchDir,
}

impl Fleet {
    /// Starts a fleet and waits until every daemon is ready.
    ///
    /// # Errors
    ///
    /// [`FleetError`] if something does not start.
    pub fn start(plan: FleetPlan) -> Result<Self> {
        let fleet = Self::start_without_waiting(plan)?;
        fleet.wait_ready()?;
        Ok(fleet)
    }

    /// Starts a fleet without waiting until its daemons are ready.
    ///
    /// # Errors
    ///
    /// [`FleetError`] if something does not start.
    pub fn start_without_waiting(plan: FleetPlan) -> Result<Self> {
        let platform = Platform::start(&plan.platform)?;
        let network = Arc::new(Network::new());
        let store = network.add_link(PLATFORM, platform.addr())?;
        let mut fleet = Self {
            daemons: BTreeMap::new(),
            engines: BTreeMap::new(),
            services: BTreeMap::new(),
            network,
            platform,
            document: Mutex::new(plan.document()),
            scratch: ScratchDir::new()?,
            plan,
        };
        fleet.start_targets()?;
        fleet.create_daemons(store)?;
        let document = fleet.document();
        fleet.apply(document)?;
        for account in fleet.plan.accounts.iter().filter(|a| a.prepaid > 0) {
            fleet.top_up(&account.name, INITIAL_TOPUP, account.prepaid)?;
        }
        for daemon in fleet.daemons.values() {
            daemon.lock().start()?;
        }
        Ok(fleet)
    }

    /// Waits until every daemon is ready.
    ///
    /// # Errors
    ///
    /// [`FleetError`] with the end of its log if a daemon ends or is not ready in time.
    pub fn wait_ready(&self) -> Result<()> {
        let deadline = Instant::now() + Duration::from_secs(READY_TIMEOUT_S);
        for daemon in self.daemons.values() {
            daemon.lock().wait_ready(deadline)?;
        }
        Ok(())
    }

    /// Returns the plan that the fleet was started with.
    pub fn plan(&self) -> &FleetPlan {
        &self.plan
    }

    /// Returns the stand-in of the platform.
    pub fn platform(&self) -> &Platform {
        &self.platform
    }

    /// Returns the links between the processes. Their names in it are [`PLATFORM`], those of the
    /// daemons, those of the side processes with `/target` appended for the targets, and
    /// [`crate::link::UNNAMED_PROCESS`].
    pub fn network(&self) -> &Network {
        &self.network
    }

    /// Returns the stand-ins of the engines, by name.
    pub fn engines(&self) -> &BTreeMap<String, Engine> {
        &self.engines
    }

    /// Returns the stand-ins of the plain services, by name.
    pub fn services(&self) -> &BTreeMap<String, Service> {
        &self.services
    }

    /// Returns the names of the routers.
    pub fn router_names(&self) -> Vec<String> {
        let document = self.document.lock();
        let routers = document.inventory.router.iter();
        routers.map(|r| r.name.clone()).collect()
    }

    /// Returns the names of the side processes, which are also those of their targets.
    pub fn side_names(&self) -> Vec<String> {
        let document = self.document.lock();
        let targets = document.inventory.target.iter();
        targets.map(|t| t.name.clone()).collect()
    }

    /// Returns the addresses of the routers for callers.
    pub fn router_addrs(&self) -> Vec<SocketAddr> {
        let document = self.document.lock();
        let routers = document.inventory.router.iter();
        routers.map(|r| r.listen).collect()
    }

    /// Locks and returns the daemon of this name; the lock blocks other users of this daemon.
    ///
    /// # Errors
    ///
    /// [`FleetError::NoSuchDaemon`] if no daemon has this name.
    pub fn daemon(&self, name: &str) -> Result<MutexGuard<'_, Daemon>> {
        let daemon = self.daemons.get(name);
        daemon
            .map(Mutex::lock)
            .ok_or_else(|| FleetError::NoSuchDaemon { name: name.into() })
    }

    /// Returns the configuration that was applied last.
    pub fn document(&self) -> Document {
        self.document.lock().clone()
    }

    /// Applies a configuration under the next revision.
    ///
    /// # Errors
    ///
    /// [`FleetError::Store`] if the key-value service fails, [`FleetError::Conflict`] if another
    /// writer changed the configuration meanwhile.
    pub fn apply(&self, mut document: Document) -> Result<u64> {
        let mut current = self.document.lock();
        document.revision = current.revision + 1;
        document.op = format!("bench-{}", document.revision);
        let store = self.platform.store();
        let at = store
            .get(CURRENT_KEY)?
            .map_or(Revision::ABSENT, |e| e.revision);
        match store.swap(CURRENT_KEY, at, &document.to_json(), None)? {
            Swap::Done(_) => {
                *current = document;
                Ok(current.revision)
            }
            Swap::Conflict(_) => Err(FleetError::Conflict),
        }
    }

    /// Starts the targets and writes their addresses into the inventory.
    fn start_targets(&mut self) -> Result<()> {
        let mut document = self.document.lock();
        for target in &mut document.inventory.target {
            let addr = match target.kind {
                TargetKind::Engine => {
                    let engine = Engine::start(EngineSettings {
                        models: target.model.iter().map(|m| m.name.clone()).collect(),
                        checks_fencing: target.checks_fencing,
                        weight_store: Some(self.platform.addr()),
                        ..self.plan.engine.clone()
                    })?;
                    let addr = engine.addr();
                    self.engines.insert(target.name.clone(), engine);
                    addr
                }
                TargetKind::Service => {
                    let service = Service::start(&self.plan.service)?;
                    let addr = service.addr();
                    self.services.insert(target.name.clone(), service);
                    addr
                }
            };
            target.address = match self.plan.linked {
                true => self
                    .network
                    .add_link(&format!("{}/target", target.name), addr)?,
                false => addr,
            };
            self.platform.set_vm(&target.vm, VmState::Live);
        }
        Ok(())
    }

    /// Creates the daemons with their settings and writes their addresses into the inventory.
    fn create_daemons(&mut self, store: SocketAddr) -> Result<()> {
        let mut document = self.document();
        let mut pending = Vec::new();
        for router in &mut document.inventory.router {
            let settings = router_settings(router);
            router.listen = self.public_addr(&router.name, settings.listen)?;
            router.control = self.public_addr(&router.name, settings.control)?;
            self.platform.set_vm(&router.vm, VmState::Live);
            pending.push((settings, self.links(router.listen, router.control)));
        }
        for target in &mut document.inventory.target {
            let settings = side_settings(target);
            target.side = self.public_addr(&target.name, settings.listen)?;
            target.side_control = self.public_addr(&target.name, settings.control)?;
            pending.push((settings, self.links(target.side, target.side_control)));
        }
        let store = match self.plan.linked {
            true => store,
            false => self.platform.addr(),
        };
        let peers: Vec<SocketAddr> = document
            .inventory
            .router
            .iter()
            .map(|r| r.control)
            .collect();
        for (settings, links) in pending {
            let settings = Settings {
                store,
                vm_list: Some(store),
                peers: peers.clone(),
                log: self.plan.log.clone(),
                limits: self.plan.limits.clone(),
                ..settings
            };
            let name = settings.name.clone();
            let program = self.plan.program.clone();
            let network = Arc::clone(&self.network);
            let daemon = Daemon::new(settings, program, self.scratch.path(), network);
            let daemon = daemon.with_links(links);
            self.daemons.insert(name, Mutex::new(daemon));
        }
        *self.document.lock() = document;
        Ok(())
    }

    /// Returns the addresses of the links in front of a daemon, if the fleet has links.
    fn links(&self, listen: SocketAddr, control: SocketAddr) -> Option<DaemonLinks> {
        self.plan.linked.then_some(DaemonLinks { listen, control })
    }

    /// Returns the address by which others reach a daemon: that of a new link if the fleet has
    /// links, its own otherwise.
    fn public_addr(&self, owner: &str, addr: SocketAddr) -> Result<SocketAddr> {
        if !self.plan.linked {
            return Ok(addr);
        }
        Ok(self.network.add_link(owner, addr)?)
    }
}
