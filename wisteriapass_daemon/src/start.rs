//! Starting a daemon: settings, log, services, listeners; then waiting for the stop.

use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::thread::sleep;

use derive_more::{Display, Error, From};
use flume::{Receiver, RecvTimeoutError};
use jsonrpsee::RpcModule;
use tiny_http::{Request, Response};
use twox_hash::XxHash64;
use wisteriapass_config::{ConfigError, Document, Role, Settings};
use wisteriapass_coord::budget::Origin;
use wisteriapass_coord::membership::Incarnation;
use wisteriapass_coord::store::HttpStore;

use crate::control::ControlService;
use crate::counters::CountersService;
use crate::fleet::{self, Fleet, Orders};
use crate::http::Listener;
use crate::kernel::KernelError;
use crate::logging::{self, LogError};
use crate::metrics::MetricsError;
use crate::prelude::*;
use crate::router::{
    self, InForce, Incarnations, Locator, Money, Peers, RouterControlService, RouterIdentity,
    Scheduling, Unsettled,
};
use crate::rpc::{
    self, Caller, ControlServer, ControlServerHandle, CountersServer, RouterControlServer,
    SideControlServer,
};
use crate::side::{self, Index, Runs, SideControlService, SideIdentity, SideMoney};
use crate::stop::Stop;

/// Result of starting a daemon.
type Result<T, E = StartError> = std::result::Result<T, E>;

/// Exit code when the settings are refused.
const BAD_SETTINGS: u8 = 2;

/// Time between two looks at which targets are leaving, in milliseconds.
const LEAVING_MS: u64 = 100;

/// Shortest time that a stopping process goes on refusing, in milliseconds: the balancer takes a
/// look at readiness in between, and requests on their way get an answer.
const LINGER_MS: u64 = 1_500;

/// Time between two sweeps of a side process's runs, in milliseconds.
const SWEEP_MS: u64 = 500;

/// Longest wait of a stopping router for bills that need a claim, in milliseconds.
const SETTLE_MS: u64 = 5_000;

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
    match start(settings) {
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
    let stop = kernel.register(Stop::new());
    stop.on_signals()?;
    kernel.register(Metrics::new()?);
    kernel.register(InForce::new());
    let admin = bind("admin", settings.admin)?;
    let listener = bind("listen", settings.listen)?;
    kernel.register(Caller::new()?);
    let incarnation = Incarnation::fresh();
    let fleet = kernel.register(Fleet::new(&kernel, &settings, incarnation)?);
    let incarnation = format!("{}.{incarnation}", settings.name);
    match settings.role {
        Role::Router => start_router(&settings, &kernel, &listener, &incarnation)?,
        Role::Side => start_side(&settings, &kernel, &listener, &incarnation)?,
    }
    serve_admin(&admin, &kernel)?;
    let control = start_control(&settings, &kernel, &incarnation)?;
    fleet::follow(&settings, &kernel)?;
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
    log::info!(target: "start", "Stopped. cut={}", stop.working());
    if settings.role == Role::Router {
        let deadline = Instant::now() + Duration::from_millis(SETTLE_MS);
        kernel.find::<Unsettled>()?.settle_until(deadline);
        kernel.find::<Money>()?.leave();
    }
    Ok(())
}

fn bind(key: &'static str, address: SocketAddr) -> Result<Listener> {
    Listener::bind(address).map_err(|cause| StartError::Listen {
        key,
        address,
        cause,
    })
}

fn start_router(
    settings: &Settings,
    kernel: &Kernel,
    listener: &Listener,
    incarnation: &str,
) -> Result<()> {
    let store = HttpStore::new(settings.store.to_string());
    let peers = Peers::new(&settings.name, kernel.find()?, kernel.find()?);
    let origin = Origin(XxHash64::oneshot(0, incarnation.as_bytes()));
    let money = kernel.register(Money::new(origin, Box::new(store), peers));
    let stop = kernel.find::<Stop>()?;
    let registered = money.clone();
    spawn("money", {
        let stop = stop.clone();
        move || money.keep(&stop)
    })?;
    spawn("lease", move || registered.stay_registered(&stop))?;
    let scheduling = kernel.register(Scheduling::new());
    scheduling.start()?;
    kernel.register(RouterIdentity {
        name: settings.name.clone(),
        incarnation: incarnation.into(),
        failure_domain: settings.failure_domain.clone(),
    });
    kernel.register(Incarnations::new(kernel)?);
    let claims = HttpStore::new(settings.store.to_string());
    kernel.register(Locator::new(kernel, Box::new(claims))?);
    let unsettled = kernel.register(Unsettled::new(kernel)?);
    spawn("unsettled", move || unsettled.ask_forever())?;
    let documents = kernel.find::<InForce>()?.follow();
    let fleet = kernel.find::<Fleet>()?;
    let failure_domain = settings.failure_domain.clone();
    spawn("targets", move || {
        keep_targets(&documents, &fleet, &scheduling, &failure_domain);
    })?;
    router::serve(listener, kernel, settings.limits.clone())?;
    Ok(())
}

/// Keeps the scheduler's targets in step with the configuration and with who is leaving.
fn keep_targets(
    documents: &Receiver<Arc<Document>>,
    fleet: &Fleet,
    scheduling: &Scheduling,
    failure_domain: &str,
) {
    let mut document = Arc::new(Document::default());
    let mut leaving = Vec::new();
    loop {
        let news = match documents.recv_timeout(Duration::from_millis(LEAVING_MS)) {
            Ok(news) => Some(news),
            Err(RecvTimeoutError::Timeout) => None,
            Err(RecvTimeoutError::Disconnected) => return,
        };
        let is_news = news.is_some();
        document = news.unwrap_or(document);
        fleet.plan();
        let now_leaving = fleet.without_work(&document, Instant::now());
        if is_news || now_leaving != leaving {
            log::info!(target: "fleet", "Targets without new work. names={now_leaving:?}");
            scheduling.set_document(&document, failure_domain, &now_leaving);
            leaving = now_leaving;
        }
    }
}

/// Tells everybody who may send work that this process takes none.
fn announce_leaving(fleet: &Arc<Fleet>, kernel: &Kernel) -> Result<()> {
    let (caller, config) = (kernel.find::<Caller>()?, kernel.find::<InForce>()?);
    fleet::beat(fleet, &caller, &config, &fleet.listeners());
    Ok(())
}

/// Starts a named thread.
fn spawn(name: &str, work: impl FnOnce() + Send + 'static) -> std::io::Result<()> {
    std::thread::Builder::new().name(name.into()).spawn(work)?;
    Ok(())
}

fn start_side(
    settings: &Settings,
    kernel: &Kernel,
    listener: &Listener,
    incarnation: &str,
) -> Result<()> {
    let Some(target) = settings.target else {
        return Err(StartError::NoTarget);
    };
    let runs = kernel.register(Runs::new());
    spawn("sweep", move || {
        loop {
            sleep(Duration::from_millis(SWEEP_MS));
            runs.sweep(Instant::now());
        }
    })?;
    kernel.register(Orders::new(&settings.name, target, settings.store));
    let side = kernel.register(SideIdentity {
        name: settings.name.clone(),
        incarnation: incarnation.into(),
        target,
    });
    let money = kernel.register(SideMoney::new(side));
    money.register(&HttpStore::new(settings.store.to_string()));
    let index = kernel.register(Index::new(kernel)?);
    spawn("index", move || index.fill_forever())?;
    side::serve(listener, kernel)?;
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

fn serve_admin(listener: &Listener, kernel: &Kernel) -> Result<()> {
    let metrics = kernel.find::<Metrics>()?;
    let config = kernel.find::<InForce>()?;
    let stop = kernel.find::<Stop>()?;
    // Only side processes have an index.
    let index = kernel.find::<Index>().ok();
    crate::http::serve(listener, "admin", move |req| {
        let indexed = index.as_ref().is_none_or(|i| i.is_ready());
        let ready = indexed && config.is_ready() && !stop.is_raised();
        answer_admin(req, &metrics, ready);
    });
    Ok(())
}

fn answer_admin(req: Request, metrics: &Metrics, ready: bool) {
    let response = match req.url() {
        "/metrics" => Response::from_string(metrics.text()),
        "/livez" => Response::from_string("live\n"),
        "/readyz" if ready => Response::from_string("ready\n"),
        "/readyz" => Response::from_string("not ready\n").with_status_code(503),
        _ => Response::from_string("unknown path\n").with_status_code(404),
    };
    let _ = req.respond(response);
}

fn wait_for_stop(stop: &Stop) {
    while !stop.is_raised() {
        sleep(Duration::from_millis(LOOK_MS));
    }
}

/// Lets work end, up to a bound; goes on refusing until nothing came for a while.
fn finish_work(stop: &Stop, deadline: Instant) {
    log::info!(target: "start", "Stopping. working={}", stop.working());
    let linger_until = deadline.min(Instant::now() + Duration::from_millis(LINGER_MS));
    while stop.working() > 0 || Instant::now() < linger_until {
        if Instant::now() >= deadline {
            return;
        }
        sleep(Duration::from_millis(LOOK_MS));
    }
}

/// Lets the requests end that came just before the listener closed.
fn finish_closed(stop: &Stop, deadline: Instant) {
    sleep(Duration::from_millis(CLOSE_MS));
    while stop.working() > 0 && Instant::now() < deadline {
        sleep(Duration::from_millis(LOOK_MS));
    }
}
