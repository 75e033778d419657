//! One router or side process as a child process.

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

/// Time between two looks at a process, in milliseconds.
const LOOK_MS: u64 = 20;

/// Lines of a log shown in an error.
const LOG_LINES: usize = 15;

/// Longest time for an answer of the admin address, in seconds.
const ADMIN_TIMEOUT_S: u64 = 2;

/// Signal that a test sends.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Signal {
    /// Asks for a graceful stop.
    #[display("TERM")]
    Terminate,
    /// Halts the process where it is.
    #[display("STOP")]
    Pause,
    /// Lets a halted process go on.
    #[display("CONT")]
    Resume,
}

/// Longest wait for all threads of a process to halt, in milliseconds.
const HALT_MS: u64 = 2_000;

/// Waits until all threads of a process have halted: the signal is sent before they have.
fn wait_until_halted(pid: u32) {
    let until = Instant::now() + Duration::from_millis(HALT_MS);
    while !is_halted(pid) && Instant::now() < until {
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// Returns whether all threads of a process are halted, by the state behind their name.
fn is_halted(pid: u32) -> bool {
    let Ok(threads) = fs::read_dir(format!("/proc/{pid}/task")) else {
        return true;
    };
    threads.flatten().all(|thread| {
        let stat = fs::read_to_string(thread.path().join("stat")).unwrap_or_default();
        stat.rsplit(')')
            .next()
            .is_some_and(|rest| rest.starts_with(" T"))
    })
}

/// Links through which others reach a daemon.
#[derive(Clone, Copy, Debug)]
pub(super) struct Front {
    /// Address of the link to its `listen`.
    pub listen: SocketAddr,
    /// Address of the link to its `control`.
    pub control: SocketAddr,
}

/// A router or side process; it is killed and reaped when dropped.
pub struct Daemon {
    settings: Settings,
    program: Program,
    file: PathBuf,
    log: PathBuf,
    network: Arc<Network>,
    front: Option<Front>,
    child: Option<Child>,
}

impl Daemon {
    /// Prepares a daemon whose settings and log go to `dir`.
    pub(super) fn new(
        settings: Settings,
        program: Program,
        dir: &Path,
        network: Arc<Network>,
    ) -> Self {
        Self {
            file: dir.join(format!("{}.toml", settings.name)),
            log: dir.join(format!("{}.log", settings.name)),
            settings,
            program,
            network,
            front: None,
            child: None,
        }
    }

    /// Sets the links through which others reach it; it then takes fresh ports at each start, as
    /// another process may have taken the old ones meanwhile.
    pub(super) fn with_front(mut self, front: Option<Front>) -> Self {
        self.front = front;
        self
    }

    /// Returns its settings.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Starts it, unless it runs.
    ///
    /// # Errors
    ///
    /// [`FleetError::Io`] if the system refuses.
    pub fn start(&mut self) -> Result<()> {
        if self.is_running() {
            return Ok(());
        }
        self.take_ports()?;
        let text = toml::to_string(&self.settings).map_err(std::io::Error::other)?;
        fs::write(&self.file, text)?;
        let log = File::options().create(true).append(true).open(&self.log)?;
        let mut command = self.program.command(&self.file);
        command.stdin(Stdio::null());
        command.stdout(log.try_clone()?).stderr(log);
        let child = command.spawn()?;
        let callers = self.network.callers();
        callers.insert(child.id(), &self.settings.name);
        self.child = Some(child);
        Ok(())
    }

    /// Returns the process id, if it runs.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Returns whether the process runs; a paused one does.
    pub fn is_running(&mut self) -> bool {
        self.reap().is_none() && self.child.is_some()
    }

    /// Kills it without warning.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().ok();
            child.wait().ok();
            self.network.callers().remove(child.id());
        }
    }

    /// Sends a signal.
    ///
    /// # Errors
    ///
    /// [`FleetError::NotRunning`] or [`FleetError::Io`].
    pub fn signal(&self, signal: Signal) -> Result<()> {
        let not_running = || FleetError::NotRunning {
            name: self.settings.name.clone(),
        };
        let pid = self.pid().ok_or_else(not_running)?;
        // The shell's own kill needs neither unsafe code nor another crate.
        let script = format!("kill -s {signal} {pid}");
        let sent = Command::new("sh").arg("-c").arg(script).status()?;
        if !sent.success() {
            return Err(not_running());
        }
        if signal == Signal::Pause {
            wait_until_halted(pid);
        }
        Ok(())
    }

    /// Waits until the process has ended by itself.
    pub fn wait_exit(&mut self, deadline: Instant) -> Option<ExitStatus> {
        loop {
            if let Some(status) = self.reap() {
                return Some(status);
            }
            if self.child.is_none() || Instant::now() >= deadline {
                return None;
            }
            std::thread::sleep(Duration::from_millis(LOOK_MS));
        }
    }

    /// Waits until the process says that it is ready.
    ///
    /// # Errors
    ///
    /// [`FleetError::Ended`] or [`FleetError::NotReady`], with the end of its log.
    pub fn wait_ready(&mut self, deadline: Instant) -> Result<()> {
        loop {
            if !self.is_running() {
                return Err(FleetError::Ended {
                    name: self.settings.name.clone(),
                    log: self.log_end(),
                });
            }
            if self.admin("/readyz").is_some() {
                return Ok(());
            }
            if Instant::now() >= deadline {
                return Err(FleetError::NotReady {
                    name: self.settings.name.clone(),
                    log: self.log_end(),
                });
            }
            std::thread::sleep(Duration::from_millis(LOOK_MS));
        }
    }

    /// Returns what the admin address answers, if it answers well.
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
    pub fn log_end(&self) -> String {
        let text = fs::read_to_string(&self.log).unwrap_or_default();
        let lines: Vec<&str> = text.lines().collect();
        lines[lines.len().saturating_sub(LOG_LINES)..].join("\n")
    }

    /// Returns its whole log.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Returns its resident memory, in bytes, if it runs.
    pub fn resident_bytes(&self) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid()?)).ok()?;
        let line = status.lines().find(|l| l.starts_with("VmRSS:"))?;
        let kib: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
        Some(kib << 10)
    }

    /// Takes fresh ports, if links hide them from everyone else.
    fn take_ports(&mut self) -> Result<()> {
        let Some(front) = self.front else {
            return Ok(());
        };
        self.settings.listen = free_addr();
        self.settings.control = free_addr();
        self.settings.admin = free_addr();
        self.network.set_server(front.listen, self.settings.listen);
        self.network
            .set_server(front.control, self.settings.control);
        Ok(())
    }

    /// Takes note of an ended process.
    fn reap(&mut self) -> Option<ExitStatus> {
        let child = self.child.as_mut()?;
        let status = child.try_wait().ok()??;
        self.network.callers().remove(child.id());
        self.child = None;
        Some(status)
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

/// First port given out.
const FIRST_PORT: u32 = 10_000;

/// Number of ports given out before the first is used again.
const PORTS: u32 = 50_000;

/// Number of values of an address's last three bytes.
const HOSTS: u32 = 250;

/// Returns a loopback address with a free port.
///
/// A port that the system chooses may be taken by another connection before the daemon binds it,
/// and one that is bound to see whether it is free may be kept open for a moment by a child
/// process that another thread starts. So each process of the tool has a loopback address of its
/// own, and hands its ports out in turn.
pub(super) fn free_addr() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let port = FIRST_PORT + NEXT.fetch_add(1, Ordering::Relaxed) % PORTS;
    SocketAddr::new(own_host().into(), port as u16)
}

/// Returns the loopback address of this process, other than 127.0.0.1.
fn own_host() -> Ipv4Addr {
    let pid = std::process::id();
    let part = |n: u32| (1 + n % HOSTS) as u8;
    Ipv4Addr::new(
        127,
        part(pid / HOSTS / HOSTS + 1),
        part(pid / HOSTS),
        part(pid),
    )
}
