//! Starting a daemon: settings, log, services, listeners; then waiting for the stop.

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
use crate::fleet::{self, Fleet, InForce};
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

/// Exit code when the settings are refused.
const BAD_SETTINGS: u8 = 2;

/// Shortest time that a stopping process goes on refusing, in milliseconds: the balancer takes a
/// look at readiness in between, and requests on their way get an answer.
const LINGER_MS: u64 = 1_500;

/// Time between two looks at the stop flag, in milliseconds.
const LOOK_MS: u64 = 20;

/// Time for requests that came just before the listener closed, in milliseconds.
const CLOSE_MS: u64 = 200;

/// Why a daemon did not start.
#[derive(Debug, Display, Error, From)]
enum StartError {
    Config(ConfigError),
    Log(LogError),
    Metrics(MetricsError),
    Kernel(KernelError),
    #[display("settings: target: is missing for role \"side\"; give the address of the target")]
    NoTarget,
    #[display(
        "settings: {key}: cannot listen on {address} ({cause}); give an address of this VM that is free"
    )]
    #[from(skip)]
    Listen {
        key: &'static str,
        address: SocketAddr,
        cause: std::io::Error,
    },
    #[display("cannot start threads or handle signals ({_0}); look at the limits of this process")]
    Io(std::io::Error),
}

/// Runs a daemon until it is told to stop.
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
    let stop = kernel.register(Shutdown::new());
    stop.request_on_signals()?;
    kernel.register(Metrics::new()?);
    kernel.register(InForce::new());
    let admin = listen("admin", settings.admin, reserve("admin", settings.admin)?)?;
    let reserved = reserve("listen", settings.listen)?;
    kernel.register(RpcClient::new()?);
    let incarnation = Incarnation::fresh();
    let fleet = kernel.register(Fleet::new(&kernel, &settings, incarnation)?);
    let incarnation = format!("{}.{incarnation}", settings.name);
    match settings.role {
        Role::Router => router::register(&settings, &kernel, &incarnation)?,
        Role::Side => side::register(&settings, &kernel, &incarnation)?,
    }
    let open = Arc::new(AtomicBool::new(false));
    admin::serve(&admin, &kernel, open.clone())?;
    let control = start_control(&settings, &kernel, &incarnation)?;
    fleet::follow(&settings, &kernel)?;
    let listener = serve(&settings, &kernel, reserved)?;
    open.store(true, Ordering::Release);
    log::info!(
        target: "start",
        "Started. listen={} control={} admin={} role={:?}",
        listener.address(),
        control.address(),
        admin.address(),
        settings.role
    );
    wait_for_stop(&stop);
    announce_leaving(&fleet, &kernel)?;
    let deadline = Instant::now() + Duration::from_millis(settings.limits.stop_ms);
    finish_work(&stop, deadline);
    listener.close();
    finish_closed(&stop, deadline);
    listener.finish(deadline);
    log::info!(target: "start", "Stopped. cut={}", stop.active_work());
    match settings.role {
        Role::Router => router::settle(&kernel)?,
        Role::Side => side::hand_bills_over(&kernel)?,
    }
    Ok(())
}

/// Listens as soon as this process may serve; until then connections are refused, which tells
/// whoever connects that nothing was sent.
fn serve(settings: &Settings, kernel: &Kernel, reserved: BoundAddress) -> Result<Listener> {
    match settings.role {
        Role::Router => router::wait_until_ready(kernel)?,
        Role::Side => side::wait_until_ready(settings, kernel)?,
    }
    let listener = listen("listen", settings.listen, reserved)?;
    match settings.role {
        Role::Router => crate::router::serve(&listener, kernel, settings.limits.clone())?,
        Role::Side => crate::side::serve(&listener, kernel)?,
    }
    Ok(listener)
}

fn reserve(key: &'static str, address: SocketAddr) -> Result<BoundAddress> {
    BoundAddress::bind(address).map_err(|cause| StartError::Listen {
        key,
        address,
        cause,
    })
}

fn listen(key: &'static str, address: SocketAddr, reserved: BoundAddress) -> Result<Listener> {
    reserved.listen().map_err(|cause| StartError::Listen {
        key,
        address,
        cause,
    })
}

/// Tells everybody who may send work that this process takes none.
fn announce_leaving(fleet: &Arc<Fleet>, kernel: &Kernel) -> Result<()> {
    let caller = kernel.find::<RpcClient>()?;
    fleet::beat(fleet, &caller, &fleet.listeners());
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
        Role::Router => rpc::Role::Router,
        Role::Side => rpc::Role::Side,
    };
    let service = ControlService::new(kernel, &settings.name, role, incarnation)?;
    let mut module = RpcModule::new(());
    module
        .merge(service.into_rpc())
        .map_err(std::io::Error::other)?;
    if role == rpc::Role::Router {
        let service = RouterControlService::new(kernel)?;
        let merged = module.merge(service.into_rpc());
        merged.map_err(std::io::Error::other)?;
    }
    if role == rpc::Role::Side {
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

fn wait_for_stop(stop: &Shutdown) {
    while !stop.is_requested() {
        sleep(Duration::from_millis(LOOK_MS));
    }
}

/// Lets work end, up to a bound; goes on refusing until nothing came for a while.
fn finish_work(stop: &Shutdown, deadline: Instant) {
    log::info!(target: "start", "Stopping. working={}", stop.active_work());
    let linger_until = deadline.min(Instant::now() + Duration::from_millis(LINGER_MS));
    while stop.active_work() > 0 || Instant::now() < linger_until {
        if Instant::now() >= deadline {
            return;
        }
        sleep(Duration::from_millis(LOOK_MS));
    }
}

/// Lets the requests end that came just before the listener closed.
fn finish_closed(stop: &Shutdown, deadline: Instant) {
    sleep(Duration::from_millis(CLOSE_MS));
    while stop.active_work() > 0 && Instant::now() < deadline {
        sleep(Duration::from_millis(LOOK_MS));
    }
}
