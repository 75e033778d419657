//! Startup of a process, and updates from the platform: the configuration in the key-value service
//! and the VM list.

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
use crate::http::send_limited;
use crate::prelude::*;
use crate::rpc::{HeartbeatAnswer, RpcClient};

/// Duration of one watch call, in seconds. A silent watch is noticed at the next call, so an edit
/// is in force within 10 s even if all watches went silent.
const WATCH_S: u64 = 5;

/// Interval between reads of a process that does not watch, in seconds. This is a fallback in case
/// its partners do not announce an edit; with 2,500 processes it costs about 40 calls per second.
const READ_INTERVAL_S: u64 = 60;

/// Interval between two reads of the VM list, in milliseconds. A change has to be known everywhere
/// within 3 s after it is in the list. Only routers that watch, and processes that are not ready
/// yet, read the list.
const VM_LIST_INTERVAL_MS: u64 = 500;

/// Timeout for reading the VM list, in seconds.
const VM_LIST_TIMEOUT_S: u64 = 2;

/// Maximum size of the VM list, in bytes: some kilobytes for each of several thousand VMs.
const MAX_VM_LIST_BYTES: u64 = 16 << 20;

/// Delay after a failed call to the platform, in milliseconds.
const RETRY_DELAY_MS: u64 = 250;

/// Reason why a newly started process may serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartRule {
    /// It read the key-value service.
    ServiceRead,
    /// A majority of its peers answered while the key-value service was unavailable.
    MajorityOfPeers,
}

/// State of the threads that follow the platform.
#[derive(Clone)]
struct PlatformFollower {
    settings: Arc<Settings>,
    fleet: Arc<Fleet>,
    client: Arc<RpcClient>,
    config: Arc<ConfigInForce>,
}

/// Starts the threads that follow the platform and exchange heartbeats with partners.
///
/// # Errors
///
/// [`crate::kernel::KernelError`] if a required service is missing.
pub fn follow_platform(settings: &Settings, kernel: &Kernel) -> crate::kernel::Result<()> {
    let follower = PlatformFollower {
        settings: Arc::new(settings.clone()),
        fleet: kernel.find()?,
        client: kernel.find()?,
        config: kernel.find()?,
    };
    spawn("config", follower.clone(), |f| f.follow_config());
    if let Some(address) = settings.vm_list {
        spawn("vm-list", follower, move |f| f.follow_vm_list(address));
    }
    Ok(())
}

fn spawn(
    name: &str,
    follower: PlatformFollower,
    work: impl FnOnce(PlatformFollower) + Send + 'static,
) {
    let builder = std::thread::Builder::new().name(name.into());
    if let Err(e) = builder.spawn(move || work(follower)) {
        log::error!(target: "fleet", "Cannot start a thread. name={name} cause={e:?}");
    }
}

impl PlatformFollower {
    fn follow_config(&self) {
        let store = HttpStore::new(self.settings.store.to_string());
        let (mut seen, rule) = self.wait_until_ready(&store);
        // Finds out before serving whether a predecessor with a faster clock had a later
        // incarnation.
        self.fleet.apply_config();
        let partners = self.fleet.partners().addresses();
        self.exchange_and_fetch(&partners);
        self.config.set_ready();
        log::info!(target: "fleet", "Ready. rule={rule:?} revision={}", self.config.revision());
        if let Err(e) = self.start_heartbeats() {
            log::error!(target: "fleet", "Cannot start a thread. cause={e:?}");
        }
        loop {
            let is_watching = self.fleet.partners().is_watcher() || self.config.revision() == 0;
            let result = match is_watching {
                true => self.watch(&store, seen),
                false => self.read_later(&store),
            };
            match result {
                Ok(revision) => seen = seen.max(revision),
                Err(e) => {
                    log::warn!(target: "fleet", "Cannot follow the configuration. cause={e:?}");
                    sleep(Duration::from_millis(RETRY_DELAY_MS));
                }
            }
        }
    }

    /// Starts the threads for heartbeats and for the transfers of documents that they cause.
    fn start_heartbeats(&self) -> io::Result<()> {
        let (fleet, client) = (self.fleet.clone(), self.client.clone());
        let sync = DocumentSync::start(fleet.clone(), client.clone(), self.config.clone())?;
        let builder = std::thread::Builder::new().name("heartbeat".into());
        builder.spawn(move || run_heartbeats(&fleet, &client, &sync))?;
        Ok(())
    }

    /// Exchanges heartbeats and fetches newer documents, before this process serves.
    fn exchange_and_fetch(&self, addresses: &[SocketAddr]) -> Vec<(SocketAddr, HeartbeatAnswer)> {
        let answers = exchange_heartbeats(&self.fleet, &self.client, addresses);
        for (address, answer) in &answers {
            if answer.from.revision <= ConfigRevision(self.config.revision()) {
                continue;
            }
            if let Err(e) = fetch(&self.client, &self.config, *address) {
                log::warn!(
                    target: "fleet",
                    "Cannot fetch a document. address={address} cause={e:?}"
                );
            }
        }
        answers
    }

    /// Waits until this process may serve; returns the store revision of the configuration that was
    /// read, and why it may serve.
    fn wait_until_ready(&self, store: &dyn Store) -> (Revision, StartRule) {
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
            sleep(Duration::from_millis(RETRY_DELAY_MS));
        }
    }

    /// Asks the routers in the newest known document, or else the peers in the settings. Returns
    /// whether a majority of them answered and none has a higher revision than this process.
    fn ask_peers(&self) -> bool {
        let peers = self.known_peers();
        let revision = self.config.revision();
        let answers = self.exchange_and_fetch(&peers);
        // The newer document may name other routers, which are asked instead.
        if self.config.revision() != revision {
            return self.ask_peers();
        }
        let mut bootstrap = Bootstrap::new(peers.len());
        for (address, answer) in answers.iter().filter(|(_, a)| a.is_ready) {
            bootstrap.record_peer(&address.to_string(), answer.from.revision);
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
        sleep(Duration::from_secs(READ_INTERVAL_S));
        self.read(store)
    }

    /// Adopts a document if it is newer, and then announces it to partners at once.
    fn offer(&self, text: &str) {
        if self.config.offer(text) {
            self.fleet.request_heartbeats();
        }
    }

    fn follow_vm_list(&self, address: SocketAddr) {
        loop {
            sleep(Duration::from_millis(VM_LIST_INTERVAL_MS));
            let is_due = self.fleet.partners().is_watcher() || !self.config.is_ready();
            if !is_due {
                continue;
            }
            match vm_list(address) {
                Ok(list) => self.fleet.apply_vm_list(&list, Instant::now()),
                Err(e) => log::warn!(target: "fleet", "Cannot read the VM list. cause={e:?}"),
            }
        }
    }
}

fn vm_list(address: SocketAddr) -> Result<Vec<ListedVm>, String> {
    let request = minreq::get(format!("http://{address}/vms")).with_timeout(VM_LIST_TIMEOUT_S);
    let answer = send_limited(request, MAX_VM_LIST_BYTES).map_err(|e| e.to_string())?;
    serde_json::from_slice(&answer.body).map_err(|e| e.to_string())
}
