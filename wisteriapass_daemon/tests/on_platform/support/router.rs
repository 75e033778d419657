//! A router process.

use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command};
use std::thread;
use std::time::Duration;

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use socket2::{Domain, Socket, Type};
use wisteriapass_bench::standin::users_platform::SimulatedStore;
use wisteriapass_coord::prepaid::{HolderId, ShareRecord};

use super::{Answer, Received, Request, exchange, exchange_within, receive, wait_for};

/// Timeout of one readiness probe. It is short so that the probe is repeated, and the exit of the
/// router process is noticed in between.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Memory of a router's VM, in MB.
pub const VM_MEMORY_MB: u64 = 160;

/// Descriptors of a router's process.
pub const DESCRIPTORS: u64 = 1_000;

/// A router process.
pub struct Router {
    name: String,
    store: SocketAddr,
    ports: [u16; 3],
    /// Keeps the ports from being taken by others, also while the process does not run.
    _reserved: [Socket; 3],
    settings: PathBuf,
    /// Failure domain.
    domain: &'static str,
    /// Bandwidth of the VM's link in its settings, in Mbit/s.
    link_mbps: Option<f64>,
    child: Option<Child>,
}

impl Router {
    /// Starts a router and waits until it is ready and holds a share of the account's total.
    pub fn start(name: &str, store: &SimulatedStore) -> Self {
        let router = Self::start_with_store(name, store.addr());
        // The write after the one with the share shows that the router knows of its share.
        let mut first = None;
        wait_for("a share", || {
            let write = write_with_share(store, name);
            first = first.or(write);
            write > first
        });
        router
    }

    /// Starts a router with its store at an address, and waits until it is ready.
    pub fn start_with_store(name: &str, store: SocketAddr) -> Self {
        let mut router = Self::new_with_store(name, store);
        router.spawn();
        assert!(router.becomes_ready(), "router {name} ended");
        router
    }

    /// Starts a router in a failure domain with a link of this bandwidth, in Mbit/s, and waits until
    /// it is ready.
    pub fn start_with_link(
        name: &str,
        store: SocketAddr,
        domain: &'static str,
        link_mbps: f64,
    ) -> Self {
        let mut router = Self::new_with_store(name, store);
        router.domain = domain;
        router.link_mbps = Some(link_mbps);
        router.spawn();
        assert!(router.becomes_ready(), "router {name} ended");
        router
    }

    /// Starts a router in a failure domain, and waits until it is ready.
    pub fn start_in_domain(name: &str, store: SocketAddr, domain: &'static str) -> Self {
        let mut router = Self::new_with_store(name, store);
        router.domain = domain;
        router.spawn();
        assert!(router.becomes_ready(), "router {name} ended");
        router
    }

    /// Configures a router without starting it.
    pub fn new(name: &str, store: &SimulatedStore) -> Self {
        Self::new_with_store(name, store.addr())
    }

    /// Configures a router with its store at an address, without starting it.
    fn new_with_store(name: &str, store: SocketAddr) -> Self {
        let reserved = [0; 3].map(|_| reserve_port());
        let ports = reserved.each_ref().map(port_of);
        // The port distinguishes routers with the same name.
        let settings = std::env::temp_dir().join(format!(
            "wisteriapass-{}-{name}-{}.toml",
            std::process::id(),
            ports[0]
        ));
        Self {
            name: name.into(),
            store,
            ports,
            _reserved: reserved,
            settings,
            domain: "z",
            link_mbps: None,
            child: None,
        }
    }

    /// Starts the process, with the same addresses each time.
    pub fn spawn(&mut self) {
        let [frontend, ready, internal] = self.ports;
        let link = self
            .link_mbps
            .map_or(String::new(), |mbps| format!("link_mbps = {mbps:.1}\n"));
        let text = format!(
            "node_name = \"{}\"\nzone = \"{}\"\nip = \"127.0.0.1\"\n\
             internal_port_range = [{internal}, {internal}]\nnew_field = true\n\
             [listen]\nfrontend = \"127.0.0.1:{frontend}\"\nready = \"127.0.0.1:{ready}\"\n\
             [zones]\nz = \"here\"\nnorth = \"here\"\nfar = \"there\"\n\
             [bounds]\ngrace_period_s = 8\nretry_budget_ratio = 0.2\nretry_budget_slack = 100\n\
             cold_overshoot = 1.5\ncold_slack = 5\n\
             [limits]\nmemory_mb = {VM_MEMORY_MB}\n\
             file_descriptors = {DESCRIPTORS}\n{link}[platform]\naddress = \"{}\"\n",
            self.name, self.domain, self.store
        );
        fs::write(&self.settings, text).unwrap();
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.log_path());
        let log = log.unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_wisteriapassd"))
            .arg("--on-platform")
            .env("WISTERIAPASS_CONFIG", &self.settings)
            .stderr(log)
            .spawn()
            .unwrap();
        self.child = Some(child);
    }

    /// Occupies the port of this router's readiness endpoint, without answering probes.
    pub fn occupy_readiness_port(&self) -> TcpListener {
        TcpListener::bind(("127.0.0.1", self.ports[1])).unwrap()
    }

    /// Returns whether the process runs.
    pub fn is_running(&mut self) -> bool {
        let child = self.child.as_mut().unwrap();
        child.try_wait().unwrap().is_none()
    }

    /// Waits until the router is ready; returns `false` if the process ended.
    pub fn becomes_ready(&mut self) -> bool {
        let mut ended = false;
        wait_for("readiness of the router", || {
            ended = !self.is_running();
            ended || self.is_ready()
        });
        !ended
    }

    /// Waits until the router is ready.
    pub fn wait_until_ready(&self) {
        wait_for("readiness of the router", || self.is_ready());
    }

    /// Returns whether the router reports itself ready to the load balancer.
    pub fn is_ready(&self) -> bool {
        let request = "GET /-/readiness HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n";
        let answer = exchange_within(self.ports[1], request, PROBE_TIMEOUT);
        answer.is_some_and(|a| a.status == 200)
    }

    /// Returns the router's metrics as text.
    pub fn metrics(&self) -> String {
        let request = "GET /metrics HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n";
        exchange(self.ports[1], request).map_or(String::new(), |a| a.body)
    }

    /// Returns the number of store calls of a kind that were answered, from the router's metrics.
    pub fn answered_calls(&self, call: &str) -> u64 {
        let metrics = self.metrics();
        let mut lines = metrics.lines();
        let counted = lines.find(|l| {
            let is_call = l.starts_with("wisteriapass_store_calls_total") && l.contains("answered");
            is_call && l.contains(&format!("call=\"{call}\""))
        });
        let count = counted.and_then(|l| l.rsplit(' ').next());
        count.map_or(0, |n| n.parse::<f64>().unwrap() as u64)
    }

    /// Returns the largest memory that the process has used so far, in MB.
    pub fn peak_memory_mb(&self) -> u64 {
        let id = self.child.as_ref().unwrap().id();
        let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap();
        let peak = status.lines().find_map(|l| l.strip_prefix("VmHWM:"));
        let kb = peak.and_then(|peak| peak.trim().strip_suffix(" kB"));
        kb.unwrap().parse::<u64>().unwrap() / 1_000
    }

    /// Returns what the router has logged so far, over all its starts.
    pub fn log(&self) -> String {
        fs::read_to_string(self.log_path()).unwrap()
    }

    fn log_path(&self) -> PathBuf {
        self.settings.with_extension("log")
    }

    /// Returns the frontend port.
    pub fn port(&self) -> u16 {
        self.ports[0]
    }

    /// Returns the port for calls of other routers.
    pub fn peer_port(&self) -> u16 {
        self.ports[2]
    }

    /// Returns the address of readiness probes, metrics and questions.
    pub fn readiness_address(&self) -> SocketAddr {
        SocketAddr::from(([127, 0, 0, 1], self.ports[1]))
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        let child = self.child.as_ref().unwrap();
        kill(Pid::from_raw(child.id() as i32), signal).unwrap();
    }

    /// Waits until the process has ended.
    pub fn wait(&mut self) {
        let mut child = self.child.take().unwrap();
        wait_for("end of the process", || child.try_wait().unwrap().is_some());
    }

    /// Kills the process, starts it again and waits until it is ready.
    pub fn kill_and_restart(&mut self) {
        self.signal(Signal::SIGKILL);
        self.wait();
        self.spawn();
        self.wait_until_ready();
    }

    /// Sends a request; returns `None` if no complete answer arrived.
    pub fn send(&self, request: &Request) -> Option<Answer> {
        exchange(self.port(), &request.text())
    }

    /// Sends a request and returns what arrives, complete or not.
    pub fn receive(&self, request: &Request) -> Received {
        receive(self.port(), &request.text()).unwrap()
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().ok();
            child.wait().ok();
        }
        if thread::panicking() {
            let log = fs::read_to_string(self.log_path()).unwrap_or_default();
            eprintln!("log of router {}, port {}:\n{log}", self.name, self.port());
        }
        fs::remove_file(&self.settings).ok();
        fs::remove_file(self.log_path()).ok();
    }
}

fn share_record(store: &SimulatedStore) -> Option<ShareRecord> {
    ShareRecord::from_bytes(&store.get("wisteriapass/shares/0")?).ok()
}

/// Returns whether a router is a relay, which holds shares for itself and its followers.
pub fn is_relay(store: &SimulatedStore, name: &str) -> bool {
    let entry = share_record(store).and_then(|r| r.holder_entry(&HolderId(name.to_owned())));
    entry.is_some_and(|t| t.lends_at.is_some())
}

/// Returns whether a router's last write names a witness.
pub fn has_witness(store: &SimulatedStore, name: &str) -> bool {
    let entry = share_record(store).and_then(|r| r.holder_entry(&HolderId(name.to_owned())));
    entry.is_some_and(|t| t.witnesses.iter().any(Option::is_some))
}

/// Returns how often a router has composed its share, in its own writes or those of other routers.
pub fn write_count(store: &SimulatedStore, name: &str) -> u64 {
    let entry = share_record(store).and_then(|r| r.holder_entry(&HolderId(name.to_owned())));
    entry.map_or(0, |t| t.write)
}

/// Returns the number of a router's last write, if the router holds a share in it.
fn write_with_share(store: &SimulatedStore, name: &str) -> Option<u64> {
    let record = share_record(store)?;
    let holder = HolderId(name.to_owned());
    let write = record.holder_entry(&holder)?.write;
    (record.share("acme", &holder).granted > 0).then_some(write)
}

/// Binds a free port without listening. The router can listen there, and no one else gets the port.
/// If two routers had the same port, one would end and the other would answer for it.
fn reserve_port() -> Socket {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_reuse_address(true).unwrap();
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    socket.bind(&any_port.into()).unwrap();
    socket
}

fn port_of(socket: &Socket) -> u16 {
    let address = socket.local_addr().unwrap();
    address.as_socket().unwrap().port()
}
