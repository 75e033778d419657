//! Daemon startup (settings, log, services, listeners) and graceful shutdown.

mod admin;
mod router;
mod side;

use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::sleep;

use derive_more::{Display, Error, From};
use jsonrpsee::RpcModule;
use wisteriapass_config::{ConfigError, Role, Settings};
use wisteriapass_coord::membership::Incarnation;

use crate::control::ControlService;
use crate::counters::CountersService;
use crate::fleet::{self, ConfigInForce, Fleet};
use crate::http::{BoundAddress, Listener};
use crate::kernel::KernelError;
use crate::logging::{self, LogError};
use crate::metrics::MetricsError;
use crate::prelude::*;
use crate::router::RouterControlService;
use crate::rpc::{
    self, ControlServer, ControlServerHandle, CountersServer, RouterControlServer, RpcClient,
    SideControlServer,
};
use crate::shutdown::Shutdown;
use crate::side::SideControlService;

/// Result of starting a daemon.
type Result<T, E = StartError> = std::result::Result<T, E>;

/// Exit code when the daemon cannot start, for example because its settings are invalid.
const BAD_SETTINGS: u8 = 2;

/// Minimum time for which a stopping process keeps answering requests with a refusal, in
/// milliseconds. It gives the load balancer time to check readiness, and requests already on their
/// way get an answer.
const MIN_DRAIN_MS: u64 = 1_500;

/// Interval at which the shutdown flag and the remaining work are polled, in milliseconds.
const POLL_MS: u64 = 20;

/// Grace time for requests accepted just before the listener closed, in milliseconds.
const CLOSE_GRACE_MS: u64 = 200;

/// Reason why a daemon did not start.
#[derive(Debug, Display, Error, From)]
enum StartError {
    Config(ConfigError),
    Log(LogError),
    Metrics(MetricsError),
    Kernel(KernelError),
    #[display("settings: target: missing for role \"side\"; set the address of the target")]
    NoTarget,
    #[display(
        "settings: {key}: cannot listen on {address} ({cause}); set a free address of this VM"
    )]
    #[from(skip)]
    Listen {
        key: &'static str,
        address: SocketAddr,
        cause: std::io::Error,
    },
    #[display(
        "cannot start threads or install signal handlers ({_0}); check the resource limits of this process"
    )]
    Io(std::io::Error),
}

/// Runs a daemon until it is asked to stop.
pub fn run(settings: &Path) -> ExitCode {
    let started = start(settings);
    log::logger().flush();
    match started {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("wisteriapassd: {e}");
            ExitCode::from(BAD_SETTINGS)
        }
    }
}

fn start(path: &Path) -> Result<()> {
    let settings = Settings::from_file(path)?;
    logging::start(&settings.name, &settings.log)?;
    let kernel = Kernel::new();
    let shutdown = kernel.register(Shutdown::new());
    shutdown.request_on_signals()?;
    kernel.register(Metrics::new()?);
    kernel.register(ConfigInForce::new());
    let admin = listen("admin", settings.admin, bind("admin", settings.admin)?)?;
    let bound = bind("listen", settings.listen)?;
    kernel.register(RpcClient::new()?);
    let incarnation = Incarnation::generate();
    let fleet = kernel.register(Fleet::new(&kernel, &settings, incarnation)?);
    let incarnation = format!("{}.{incarnation}", settings.name);
    match settings.role {
        Role::Router => router::register(&settings, &kernel, &incarnation)?,
        Role::Side => side::register(&settings, &kernel, &incarnation)?,
    }
    let is_listening = Arc::new(AtomicBool::new(false));
    admin::serve(&admin, &kernel, is_listening.clone())?;
    let control = start_control(&settings, &kernel, &incarnation)?;
    fleet::follow_platform(&settings, &kernel)?;
    let listener = serve(&settings, &kernel, bound)?;
    is_listening.store(true, Ordering::Release);
    log::info!(
        target: "start",
        "Started. listen={} control={} admin={} role={:?}",
        listener.address(),
        control.address(),
        admin.address(),
        settings.role
    );
    wait_for_shutdown(&shutdown);
    announce_leaving(&fleet, &kernel)?;
    let deadline = Instant::now() + Duration::from_millis(settings.limits.stop_ms);
    drain_work(&shutdown, deadline);
    listener.close();
    drain_last_requests(&shutdown, deadline);
    listener.finish(deadline);
    log::info!(target: "start", "Stopped. cut={}", shutdown.active_work());
    match settings.role {
        Role::Router => router::settle_money(&kernel)?,
        Role::Side => side::hand_over_bills(&kernel)?,
    }
    Ok(())
}

/// Starts listening once this process may serve requests. Until then connections are refused, so
/// that the other side knows that nothing was sent.
fn serve(settings: &Settings, kernel: &Kernel, bound: BoundAddress) -> Result<Listener> {
    match settings.role {
        Role::Router => router::wait_until_ready(kernel)?,
        Role::Side => side::wait_until_ready(settings, kernel)?,
    }
    let listener = listen("listen", settings.listen, bound)?;
    match settings.role {
        Role::Router => crate::router::serve(&listener, kernel, settings.limits.clone())?,
        Role::Side => crate::side::serve(&listener, kernel)?,
    }
    Ok(listener)
}

fn bind(key: &'static str, address: SocketAddr) -> Result<BoundAddress> {
    BoundAddress::bind(address).map_err(|cause| StartError::Listen {
        key,
        address,
        cause,
    })
}

fn listen(key: &'static str, address: SocketAddr, bound: BoundAddress) -> Result<Listener> {
    bound.listen().map_err(|cause| StartError::Listen {
        key,
        address,
        cause,
    })
}

/// Announces to every process that may send work that this one accepts no more.
fn announce_leaving(fleet: &Arc<Fleet>, kernel: &Kernel) -> Result<()> {
    let client = kernel.find::<RpcClient>()?;
    fleet::exchange_heartbeats(fleet, &client, &fleet.leave_recipients());
    Ok(())
}

/// Starts a named thread.
fn spawn(name: &str, work: impl FnOnce() + Send + 'static) -> std::io::Result<()> {
    std::thread::Builder::new().name(name.into()).spawn(work)?;
    Ok(())
}

fn start_control(
    settings: &Settings,
    kernel: &Kernel,
    incarnation: &str,
) -> Result<ControlServerHandle> {
    let role = match settings.role {
        Role::Router => rpc::ProcessRole::Router,
        Role::Side => rpc::ProcessRole::Side,
    };
    let service = ControlService::new(kernel, &settings.name, role, incarnation)?;
    let mut module = RpcModule::new(());
    module
        .merge(service.into_rpc())
        .map_err(std::io::Error::other)?;
    if role == rpc::ProcessRole::Router {
        let service = RouterControlService::new(kernel)?;
        let merged = module.merge(service.into_rpc());
        merged.map_err(std::io::Error::other)?;
    }
    if role == rpc::ProcessRole::Side {
        let service = SideControlService::new(kernel)?;
        let merged = module.merge(service.into_rpc());
        merged.map_err(std::io::Error::other)?;
    }
    module
        .merge(CountersService::new(kernel)?.into_rpc())
        .map_err(std::io::Error::other)?;
    let address = settings.control;
    ControlServerHandle::start(address, module).map_err(|cause| StartError::Listen {
        key: "control",
        address,
        cause,
    })
}

fn wait_for_shutdown(shutdown: &Shutdown) {
    while !shutdown.is_requested() {
        sleep(Duration::from_millis(POLL_MS));
    }
}

/// Waits until work has ended, at least for the minimum drain time and at most until `deadline`.
fn drain_work(shutdown: &Shutdown, deadline: Instant) {
    log::info!(target: "start", "Stopping. working={}", shutdown.active_work());
    let drain_until = deadline.min(Instant::now() + Duration::from_millis(MIN_DRAIN_MS));
    while shutdown.active_work() > 0 || Instant::now() < drain_until {
        if Instant::now() >= deadline {
            return;
        }
        sleep(Duration::from_millis(POLL_MS));
    }
}

/// Waits for the requests that were accepted just before the listener closed.
fn drain_last_requests(shutdown: &Shutdown, deadline: Instant) {
    sleep(Duration::from_millis(CLOSE_GRACE_MS));
    while shutdown.active_work() > 0 && Instant::now() < deadline {
        sleep(Duration::from_millis(POLL_MS));
    }
}
