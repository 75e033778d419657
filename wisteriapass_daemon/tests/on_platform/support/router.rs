//! A router process.

use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use wisteriapass_bench::standin::users::UsersStore;
use wisteriapass_coord::prepaid::{HolderId, ShareRecord};

use super::{Answer, Request, exchange, exchange_within, wait_for};

/// Longest wait for the answer to one probe; a router is asked again, and looked at whether it ended.
const PROBE: Duration = Duration::from_secs(1);

/// A router process.
pub struct Router {
    name: String,
    store: SocketAddr,
    ports: [u16; 3],
    settings: PathBuf,
    child: Option<Child>,
}

impl Router {
    /// Starts a router and waits until it takes callers and has a share of the account's total.
    pub fn start(name: &str, store: &UsersStore) -> Self {
        let router = Self::ready_at(name, store.addr());
        // The write behind the one that holds the share shows that the router learnt of it.
        let mut first = None;
        wait_for("a share", || {
            let write = write_with_share(store, name);
            first = first.or(write);
            write > first
        });
        router
    }

    /// Starts a router whose store is at an address, and waits until it takes callers.
    pub fn ready_at(name: &str, store: SocketAddr) -> Self {
        loop {
            let mut router = Self::prepared_at(name, store);
            router.spawn();
            if router.comes_up() {
                return router;
            }
        }
    }

    /// Sets a router up without starting it.
    pub fn prepared(name: &str, store: &UsersStore) -> Self {
        Self::prepared_at(name, store.addr())
    }

    /// Sets a router up whose store is at an address.
    fn prepared_at(name: &str, store: SocketAddr) -> Self {
        let settings = std::env::temp_dir().join(format!(
            "wisteriapass-{}-{name}-{}.toml",
            std::process::id(),
            rand_suffix()
        ));
        Self {
            name: name.into(),
            store,
            ports: free_ports(),
            settings,
            child: None,
        }
    }

    /// Starts the process, at the addresses that it had before.
    pub fn spawn(&mut self) {
        let [front, ready, inner] = self.ports;
        let text = format!(
            "node_name = \"{}\"\nzone = \"z\"\nip = \"127.0.0.1\"\n\
             internal_port_range = [{inner}, {inner}]\nnew_field = true\n\
             [listen]\nfrontend = \"127.0.0.1:{front}\"\nready = \"127.0.0.1:{ready}\"\n\
             [zones]\nz = \"here\"\nnorth = \"here\"\nfar = \"there\"\n\
             [bounds]\ngrace_period_s = 8\nretry_budget_ratio = 0.2\nretry_budget_slack = 100\n\
             cold_overshoot = 1.5\ncold_slack = 5\n\
             [platform]\naddress = \"{}\"\n",
            self.name, self.store
        );
        fs::write(&self.settings, text).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_wisteriapassd"))
            .arg("--on-platform")
            .env("WISTERIAPASS_CONFIG", &self.settings)
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        self.child = Some(child);
    }

    /// Takes the port at which this router would say whether it is ready, and answers nobody.
    pub fn take_ready_port(&self) -> TcpListener {
        TcpListener::bind(("127.0.0.1", self.ports[1])).unwrap()
    }

    /// Waits until the balancer would send callers here; `false` if the process ended, which it
    /// does at once when another test took one of its ports.
    pub fn comes_up(&mut self) -> bool {
        let mut ended = false;
        wait_for("readiness", || {
            let child = self.child.as_mut().unwrap();
            ended = child.try_wait().unwrap().is_some();
            ended || self.is_ready()
        });
        !ended
    }

    /// Waits until the balancer would send callers here.
    pub fn wait_until_ready(&self) {
        wait_for("readiness", || self.is_ready());
    }

    /// Returns whether the balancer would send callers here.
    pub fn is_ready(&self) -> bool {
        let request = "GET /-/readiness HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n";
        let answer = exchange_within(self.ports[1], request, PROBE);
        answer.is_some_and(|a| a.status == 200)
    }

    /// Returns the router's metrics as text.
    pub fn metrics(&self) -> String {
        let request = "GET /metrics HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n";
        exchange(self.ports[1], request).map_or(String::new(), |a| a.body)
    }

    /// Returns how many calls of a kind the store answered, by the metrics.
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

    /// Returns the port for callers.
    pub fn port(&self) -> u16 {
        self.ports[0]
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        let child = self.child.as_ref().unwrap();
        kill(Pid::from_raw(child.id() as i32), signal).unwrap();
    }

    /// Waits for the end of the process.
    pub fn wait(&mut self) {
        let mut child = self.child.take().unwrap();
        wait_for("end of the process", || child.try_wait().unwrap().is_some());
    }

    /// Kills the process and starts another in its place.
    pub fn replace(&mut self) {
        self.signal(Signal::SIGKILL);
        self.wait();
        self.spawn();
        self.wait_until_ready();
    }

    /// Sends a request and returns the answer; `None` if there was no whole one.
    pub fn send(&self, request: &Request) -> Option<Answer> {
        exchange(self.port(), &request.text())
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().ok();
            child.wait().ok();
        }
        fs::remove_file(&self.settings).ok();
    }
}

fn record(store: &UsersStore) -> Option<ShareRecord> {
    ShareRecord::from_bytes(&store.get("wisteriapass/shares/0")?).ok()
}

/// Returns whether a router holds shares for itself and others.
pub fn is_relay(store: &UsersStore, name: &str) -> bool {
    let tenure = record(store).and_then(|r| r.holder_entry(&HolderId(name.to_owned())));
    tenure.is_some_and(|t| t.lends_at.is_some())
}

/// Returns whether a router's last write names a witness.
pub fn has_witness(store: &UsersStore, name: &str) -> bool {
    let tenure = record(store).and_then(|r| r.holder_entry(&HolderId(name.to_owned())));
    tenure.is_some_and(|t| t.witnesses.iter().any(Option::is_some))
}

/// Returns how often a router has composed its share, in writes of its own or of others.
pub fn writes_of(store: &UsersStore, name: &str) -> u64 {
    let tenure = record(store).and_then(|r| r.holder_entry(&HolderId(name.to_owned())));
    tenure.map_or(0, |t| t.write)
}

/// Returns the number of a router's last write, if that holds a share.
fn write_with_share(store: &UsersStore, name: &str) -> Option<u64> {
    let record = record(store)?;
    let holder = HolderId(name.to_owned());
    let write = record.holder_entry(&holder)?.write;
    (record.share("acme", &holder).granted > 0).then_some(write)
}

fn free_ports() -> [u16; 3] {
    let listeners = [0; 3].map(|_| TcpListener::bind(("127.0.0.1", 0)).unwrap());
    listeners.map(|l| l.local_addr().unwrap().port())
}

/// Keeps the settings of routers apart that a test starts under one name.
fn rand_suffix() -> u16 {
    free_ports()[0]
}
