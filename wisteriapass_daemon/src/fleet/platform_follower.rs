//! Following the platform: the configuration in the key-value service and the VM list; starting.

use std::io;
use std::net::SocketAddr;
use std::thread::sleep;

use wisteriapass_config::Settings;
use wisteriapass_coord::membership::ListedVm;
use wisteriapass_coord::revision::{Bootstrap, CONFIG_KEY, ConfigRevision, Readiness};
use wisteriapass_coord::store::{HttpStore, Revision, Store, StoreError};

use crate::fleet::document_sync::fetch;
use crate::fleet::heartbeat::{exchange_heartbeats, run_heartbeats};
use crate::fleet::{ConfigInForce, DocumentSync, Fleet};
use crate::prelude::*;
use crate::rpc::{HeartbeatAnswer, RpcClient};

/// Longest wait of one watch call, in seconds. A watch that went silent is noticed one call later,
/// which keeps an edit within 10 s also where all watches went silent.
const WATCH_S: u64 = 5;

/// Time between reads of a process that does not watch, in seconds: a safety net below the word of
/// its partners, at 2,500 processes some 40 calls a second.
const READ_S: u64 = 60;

/// Time between two looks at the VM list, in milliseconds; the word has to be everywhere 3 s after
/// the list has it. Only routers that watch look.
const VM_LIST_MS: u64 = 500;

/// Longest wait for the VM list, in seconds.
const VM_LIST_TIMEOUT_S: u64 = 2;

/// Pause after a failed call to the platform, in milliseconds.
const PAUSE_MS: u64 = 250;

/// How a fresh process came to serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartRule {
    /// It read the key-value service.
    ServiceRead,
    /// A majority of its peers answered in an outage.
    MajorityOfPeers,
}

/// What following needs.
#[derive(Clone)]
struct Follower {
    settings: Arc<Settings>,
    fleet: Arc<Fleet>,
    caller: Arc<RpcClient>,
    config: Arc<ConfigInForce>,
}

/// Starts the threads that follow the platform and the partners.
///
/// # Errors
///
/// [`crate::kernel::KernelError`] if a service it needs is missing.
pub fn follow_platform(settings: &Settings, kernel: &Kernel) -> crate::kernel::Result<()> {
    let follower = Follower {
        settings: Arc::new(settings.clone()),
        fleet: kernel.find()?,
        caller: kernel.find()?,
        config: kernel.find()?,
    };
    spawn("config", follower.clone(), |f| f.keep_config());
    if let Some(address) = settings.vm_list {
        spawn("vm-list", follower, move |f| f.keep_vm_list(address));
    }
    Ok(())
}

fn spawn(name: &str, follower: Follower, work: impl FnOnce(Follower) + Send + 'static) {
    let builder = std::thread::Builder::new().name(name.into());
    if let Err(e) = builder.spawn(move || work(follower)) {
        log::error!(target: "fleet", "Cannot start a thread. name={name} cause={e:?}");
    }
}

impl Follower {
    fn keep_config(&self) {
        let store = HttpStore::new(self.settings.store.to_string());
        let (mut seen, rule) = self.start(&store);
        // Learn of a predecessor with a faster clock before serving.
        self.fleet.apply_config();
        let partners = self.fleet.partners().addresses();
        self.beat_and_fetch(&partners);
        self.config.set_ready();
        log::info!(target: "fleet", "Ready. rule={rule:?} revision={}", self.config.revision());
        if let Err(e) = self.start_beating() {
            log::error!(target: "fleet", "Cannot start a thread. cause={e:?}");
        }
        loop {
            let watches = self.fleet.partners().is_watcher() || self.config.revision() == 0;
            let read = match watches {
                true => self.watch(&store, seen),
                false => self.read_later(&store),
            };
            match read {
                Ok(revision) => seen = seen.max(revision),
                Err(e) => {
                    log::warn!(target: "fleet", "Cannot follow the configuration. cause={e:?}");
                    sleep(Duration::from_millis(PAUSE_MS));
                }
            }
        }
    }

    /// Starts the threads of heartbeats and of what they lead to.
    fn start_beating(&self) -> io::Result<()> {
        let (fleet, caller) = (self.fleet.clone(), self.caller.clone());
        let catch_up = DocumentSync::start(fleet.clone(), caller.clone(), self.config.clone())?;
        let beats = std::thread::Builder::new().name("heartbeat".into());
        beats.spawn(move || run_heartbeats(&fleet, &caller, &catch_up))?;
        Ok(())
    }

    /// Exchanges heartbeats and fetches what is newer, before this process serves.
    fn beat_and_fetch(&self, addresses: &[SocketAddr]) -> Vec<(SocketAddr, HeartbeatAnswer)> {
        let answers = exchange_heartbeats(&self.fleet, &self.caller, addresses);
        for (address, answer) in &answers {
            if answer.from.revision <= ConfigRevision(self.config.revision()) {
                continue;
            }
            if let Err(e) = fetch(&self.caller, &self.config, *address) {
                log::warn!(target: "fleet", "Cannot catch up. address={address} cause={e:?}");
            }
        }
        answers
    }

    /// Waits until this process may serve; returns the revision of the key that it read.
    fn start(&self, store: &dyn Store) -> (Revision, StartRule) {
        loop {
            match self.read(store) {
                Ok(seen) => return (seen, StartRule::ServiceRead),
                Err(e) => {
                    log::warn!(target: "fleet", "Cannot read the configuration. cause={e:?}");
                }
            }
            if self.ask_peers() {
                return (Revision::ABSENT, StartRule::MajorityOfPeers);
            }
            sleep(Duration::from_millis(PAUSE_MS));
        }
    }

    /// Asks the routers of the newest document known, or the peers of the settings; returns whether
    /// a majority of them answered and what is known is the highest revision among them.
    fn ask_peers(&self) -> bool {
        let peers = self.known_peers();
        let revision = self.config.revision();
        let answers = self.beat_and_fetch(&peers);
        // A newer document may name other routers: ask those.
        if self.config.revision() != revision {
            return self.ask_peers();
        }
        let mut bootstrap = Bootstrap::new(peers.len());
        for (address, answer) in answers.iter().filter(|(_, a)| a.is_ready) {
            bootstrap.hear(&address.to_string(), answer.from.revision);
        }
        let known = ConfigRevision(revision);
        let readiness = bootstrap.readiness_at(known);
        log::info!(target: "fleet", "Asked peers. known={} readiness={readiness:?}", peers.len());
        readiness == Readiness::Ready
    }

    fn known_peers(&self) -> Vec<SocketAddr> {
        let document = self.config.document();
        let routers = document.inventory.router.iter();
        let others = routers.filter(|r| r.name != self.settings.name);
        let named: Vec<SocketAddr> = others.map(|r| r.control).collect();
        if document.revision == 0 {
            return self.settings.peers.clone();
        }
        named
    }

    fn read(&self, store: &dyn Store) -> Result<Revision, StoreError> {
        let entry = store.get(CONFIG_KEY)?;
        let revision = entry.as_ref().map_or(Revision::ABSENT, |e| e.revision);
        if let Some(entry) = entry {
            self.offer(&entry.value);
        }
        Ok(revision)
    }

    fn watch(&self, store: &dyn Store, seen: Revision) -> Result<Revision, StoreError> {
        let (_, entries) = store.watch(CONFIG_KEY, seen, Duration::from_secs(WATCH_S))?;
        let mut newest = seen;
        for entry in entries {
            newest = newest.max(entry.revision);
            self.offer(&entry.value);
        }
        Ok(newest)
    }

    fn read_later(&self, store: &dyn Store) -> Result<Revision, StoreError> {
        sleep(Duration::from_secs(READ_S));
        self.read(store)
    }

    /// Offers a document to this process; partners hear of it at once if it is news.
    fn offer(&self, text: &str) {
        if self.config.offer(text) {
            self.fleet.request_heartbeats();
        }
    }

    fn keep_vm_list(&self, address: SocketAddr) {
        loop {
            sleep(Duration::from_millis(VM_LIST_MS));
            let is_due = self.fleet.partners().is_watcher() || !self.config.is_ready();
            if !is_due {
                continue;
            }
            match vm_list(address) {
                Ok(list) => self.fleet.read_vm_list(&list, Instant::now()),
                Err(e) => log::warn!(target: "fleet", "Cannot read the VM list. cause={e:?}"),
            }
        }
    }
}

fn vm_list(address: SocketAddr) -> Result<Vec<ListedVm>, String> {
    let answer = minreq::get(format!("http://{address}/vms"))
        .with_timeout(VM_LIST_TIMEOUT_S)
        .send()
        .map_err(|e| e.to_string())?;
    serde_json::from_slice(answer.as_bytes()).map_err(|e| e.to_string())
}
