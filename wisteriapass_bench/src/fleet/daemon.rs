//! A router or side process as a child process.

use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use derive_more::Display;
use wisteriapass_config::Settings;

use super::{FleetError, Program, Result};
use crate::link::Network;

/// Interval at which a process is polled, in milliseconds.
const POLL_INTERVAL_MS: u64 = 20;

/// Number of log lines shown in an error.
const LOG_TAIL_LINES: usize = 15;

/// Timeout of a request to the admin address, in seconds.
const ADMIN_TIMEOUT_S: u64 = 2;

/// Signal to a daemon.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Signal {
    /// Requests a graceful stop.
    #[display("TERM")]
    Terminate,
    /// Suspends the process.
    #[display("STOP")]
    Pause,
    /// Resumes a suspended process.
    #[display("CONT")]
    Resume,
}

/// Maximum time for all threads of a process to stop after `SIGSTOP`, in milliseconds.
const SUSPEND_TIMEOUT_MS: u64 = 2_000;

/// Waits until all threads of a process have stopped; `kill` returns before they have.
fn wait_until_suspended(pid: u32) {
    let deadline = Instant::now() + Duration::from_millis(SUSPEND_TIMEOUT_MS);
    while !is_suspended(pid) && Instant::now() < deadline {
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// Returns whether all threads of a process are stopped, by the state that follows the name of
/// each in its `stat` file.
fn is_suspended(pid: u32) -> bool {
    let Ok(threads) = fs::read_dir(format!("/proc/{pid}/task")) else {
        return true;
    };
    threads.flatten().all(|thread| {
        let stat = fs::read_to_string(thread.path().join("stat")).unwrap_or_default();
        stat.rsplit(')')
            .next()
            .is_some_and(|state| state.starts_with(" T"))
    })
}

/// Addresses of the links in front of a daemon.
#[derive(Clone, Copy, Debug)]
pub(super) struct DaemonLinks {
    /// Address of the link to its `listen`.
    pub listen: SocketAddr,
    /// Address of the link to its `control`.
    pub control: SocketAddr,
}

/// A router or side process; it is killed and reaped when dropped.
pub struct Daemon {
    settings: Settings,
    program: Program,
    settings_file: PathBuf,
    log: PathBuf,
    network: Arc<Network>,
    links: Option<DaemonLinks>,
    child: Option<Child>,
}

impl Daemon {
    /// Creates a daemon that is not started; its settings and log files go to `dir`.
    pub(super) fn new(
        settings: Settings,
        program: Program,
        dir: &Path,
        network: Arc<Network>,
    ) -> Self {
        Self {
            settings_file: dir.join(format!("{}.toml", settings.name)),
            log: dir.join(format!("{}.log", settings.name)),
            settings,
            program,
            network,
            links: None,
            child: None,
        }
    }

    /// Sets the links in front of it. With links, it takes fresh ports at each start, because
    /// another process may have taken the old ones meanwhile.
    pub(super) fn with_links(mut self, links: Option<DaemonLinks>) -> Self {
        self.links = links;
        self
    }

    /// Returns its settings.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Starts the process, unless it is running.
    ///
    /// # Errors
    ///
    /// [`FleetError::Io`] if its files cannot be written or the process cannot be spawned.
    pub fn start(&mut self) -> Result<()> {
        if self.is_running() {
            return Ok(());
        }
        self.assign_ports()?;
        let text = toml::to_string(&self.settings).map_err(std::io::Error::other)?;
        fs::write(&self.settings_file, text)?;
        let log = File::options().create(true).append(true).open(&self.log)?;
        let mut command = self.program.command(&self.settings_file);
        command.stdin(Stdio::null());
        command.stdout(log.try_clone()?).stderr(log);
        let child = command.spawn()?;
        let callers = self.network.process_names();
        callers.insert(child.id(), &self.settings.name);
        self.child = Some(child);
        Ok(())
    }

    /// Returns the process ID, if the process was started and has not been reaped.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Returns whether the process is running or paused.
    pub fn is_running(&mut self) -> bool {
        self.reap().is_none() && self.child.is_some()
    }

    /// Kills the process with `SIGKILL` and reaps it.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().ok();
            child.wait().ok();
            self.network.process_names().remove(child.id());
        }
    }

    /// Sends a signal.
    ///
    /// # Errors
    ///
    /// [`FleetError::NotRunning`] if there is no such process, [`FleetError::Io`] if no shell can
    /// be run.
    pub fn signal(&self, signal: Signal) -> Result<()> {
        let not_running = || FleetError::NotRunning {
            name: self.settings.name.clone(),
        };
        let pid = self.pid().ok_or_else(not_running)?;
        // The `kill` of the shell needs neither unsafe code nor another crate.
        let script = format!("kill -s {signal} {pid}");
        let sent = Command::new("sh").arg("-c").arg(script).status()?;
        if !sent.success() {
            return Err(not_running());
        }
        if signal == Signal::Pause {
            wait_until_suspended(pid);
        }
        Ok(())
    }

    /// Waits until the process exits, and returns its status if it does so before the deadline.
    pub fn wait_exit(&mut self, deadline: Instant) -> Option<ExitStatus> {
        loop {
            if let Some(status) = self.reap() {
                return Some(status);
            }
            if self.child.is_none() || Instant::now() >= deadline {
                return None;
            }
            std::thread::sleep(Duration::from_millis(POLL_INTERVAL_MS));
        }
    }

    /// Waits until the process reports that it is ready.
    ///
    /// # Errors
    ///
    /// [`FleetError::Ended`] if it exits, [`FleetError::NotReady`] at the deadline; both with the
    /// end of its log.
    pub fn wait_ready(&mut self, deadline: Instant) -> Result<()> {
        loop {
            if !self.is_running() {
                return Err(FleetError::Ended {
                    name: self.settings.name.clone(),
                    log: self.log_tail(),
                });
            }
            if self.admin("/readyz").is_some() {
                return Ok(());
            }
            if Instant::now() >= deadline {
                return Err(FleetError::NotReady {
                    name: self.settings.name.clone(),
                    log: self.log_tail(),
                });
            }
            std::thread::sleep(Duration::from_millis(POLL_INTERVAL_MS));
        }
    }

    /// Returns the answer of the admin address, if it has status 200.
    pub fn admin(&self, path: &str) -> Option<String> {
        let answer = minreq::get(format!("http://{}{path}", self.settings.admin))
            .with_header("connection", "close")
            .with_timeout(ADMIN_TIMEOUT_S)
            .send()
            .ok()?;
        if answer.status_code != 200 {
            return None;
        }
        answer.as_str().ok().map(str::to_owned)
    }

    /// Returns the last lines of its log.
    pub fn log_tail(&self) -> String {
        let text = fs::read_to_string(&self.log).unwrap_or_default();
        let lines: Vec<&str> = text.lines().collect();
        lines[lines.len().saturating_sub(LOG_TAIL_LINES)..].join("\n")
    }

    /// Returns its whole log.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Returns its resident memory in bytes, if it is running.
    pub fn resident_bytes(&self) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid()?)).ok()?;
        let line = status.lines().find(|l| l.starts_with("VmRSS:"))?;
        let kib: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
        Some(kib << 10)
    }

    /// Assigns fresh ports if there are links, which hide them from other processes.
    fn assign_ports(&mut self) -> Result<()> {
        let Some(links) = self.links else {
            return Ok(());
        };
        self.settings.listen = free_addr();
        self.settings.control = free_addr();
        self.settings.admin = free_addr();
        self.network.set_server(links.listen, self.settings.listen);
        self.network
            .set_server(links.control, self.settings.control);
        Ok(())
    }

    /// Returns the status of the process if it has exited, and forgets the process.
    fn reap(&mut self) -> Option<ExitStatus> {
        let child = self.child.as_mut()?;
        let status = child.try_wait().ok()??;
        self.network.process_names().remove(child.id());
        self.child = None;
        Some(status)
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

/// First port to assign.
const FIRST_PORT: u32 = 10_000;

/// Number of ports to assign before the first is reused.
const PORT_COUNT: u32 = 50_000;

/// Number of values of each of the last three bytes of a loopback address.
const BYTE_VALUES: u32 = 250;

/// Returns a loopback address with a free port.
///
/// A port that the system chooses may be taken by another connection before the daemon binds it,
/// and a port bound to test whether it is free may be kept open for a moment by a child process
/// that another thread spawns. Therefore each process of the tool uses a loopback address of its
/// own, and assigns the ports in sequence.
pub(super) fn free_addr() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let port = FIRST_PORT + NEXT.fetch_add(1, Ordering::Relaxed) % PORT_COUNT;
    SocketAddr::new(process_host().into(), port as u16)
}

/// Returns the loopback address of this process, other than 127.0.0.1.
fn process_host() -> Ipv4Addr {
    let pid = std::process::id();
    let byte = |n: u32| (1 + n % BYTE_VALUES) as u8;
    Ipv4Addr::new(
        127,
        byte(pid / BYTE_VALUES / BYTE_VALUES + 1),
        byte(pid / BYTE_VALUES),
        byte(pid),
    )
}
