//! Starting a daemon: settings, log, services, listeners; then waiting for the stop.

use std::path::Path;
use std::process::ExitCode;
use std::thread::sleep;
use std::time::{SystemTime, UNIX_EPOCH};

use derive_more::{Display, Error, From};
use jsonrpsee::RpcModule;
use tiny_http::{Request, Response};
use twox_hash::XxHash64;
use wisteriapass_config::{ConfigError, Document, Role, Settings};
use wisteriapass_coord::budget::Origin;
use wisteriapass_coord::store::{HttpStore, Revision, Store};

use crate::control::ControlService;
use crate::counters::CountersService;
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

/// Key of the configuration in the key-value service.
pub const CONFIG_KEY: &str = "config/current";

/// Longest wait of one watch call, in seconds.
const WATCH_S: u64 = 20;

/// Pause after a failed call to the key-value service, in milliseconds.
const STORE_PAUSE_MS: u64 = 250;

/// Time between two sweeps of a side process's runs, in milliseconds.
const SWEEP_MS: u64 = 500;

/// Time between two looks at the stop flag, in milliseconds.
const LOOK_MS: u64 = 20;

/// Why a daemon did not start.
#[derive(Debug, Display, Error, From)]
enum StartError {
    Config(ConfigError),
    Log(LogError),
    Metrics(MetricsError),
    Kernel(KernelError),
    #[display("settings: target: is missing for role \"side\"; give the address of the target")]
    NoTarget,
    #[display("cannot listen or handle signals ({_0}); check the addresses in the settings")]
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
    let config = kernel.register(InForce::new());
    follow_config(&settings, config);
    let admin = Listener::bind(settings.admin)?;
    let listener = Listener::bind(settings.listen)?;
    kernel.register(Caller::new()?);
    let incarnation = new_incarnation(&settings.name);
    match settings.role {
        Role::Router => start_router(&settings, &kernel, &listener, &incarnation)?,
        Role::Side => start_side(&settings, &kernel, &listener, &incarnation)?,
    }
    serve_admin(&admin, &kernel)?;
    let control = start_control(&settings, &kernel, &incarnation)?;
    log::info!(
        target: "start",
        "Started. listen={} control={} admin={} role={:?}",
        listener.address(),
        control.address(),
        admin.address(),
        settings.role
    );
    wait_for_stop(&stop);
    finish_work(&stop, Duration::from_millis(settings.limits.stop_ms));
    if settings.role == Role::Router {
        kernel.find::<Money>()?.leave();
    }
    Ok(())
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
    let failure_domain = settings.failure_domain.clone();
    spawn("targets", move || {
        for document in documents {
            scheduling.set_document(&document, &failure_domain, &[]);
        }
    })?;
    router::serve(listener, kernel, settings.limits.clone())?;
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
    Ok(ControlServerHandle::start(settings.control, module)?)
}

/// Makes the incarnation of this process: name, start time and a random part.
fn new_incarnation(name: &str) -> String {
    let started = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    format!(
        "{name}.{}.{:08x}",
        started.as_millis(),
        rand::random::<u32>()
    )
}

/// Keeps the configuration in step with the key-value service.
fn follow_config(settings: &Settings, config: Arc<InForce>) {
    let store = HttpStore::new(settings.store.to_string());
    std::thread::spawn(move || {
        let mut seen = Revision::ABSENT;
        loop {
            match store.watch(CONFIG_KEY, seen, Duration::from_secs(WATCH_S)) {
                Ok((_, entries)) => {
                    for entry in entries {
                        seen = seen.max(entry.revision);
                        adopt(&config, &entry.value);
                    }
                }
                Err(e) => {
                    log::warn!(target: "fleet", "Cannot watch the configuration. cause={e:?}");
                    sleep(Duration::from_millis(STORE_PAUSE_MS));
                }
            }
        }
    });
}

fn adopt(config: &InForce, text: &str) {
    match serde_json::from_str::<Document>(text) {
        Ok(document) => {
            config.adopt(document);
        }
        Err(e) => log::error!(target: "fleet", "Cannot read the configuration. cause={e:?}"),
    }
}

fn serve_admin(listener: &Listener, kernel: &Kernel) -> Result<()> {
    let metrics = kernel.find::<Metrics>()?;
    let config = kernel.find::<InForce>()?;
    let stop = kernel.find::<Stop>()?;
    // Only side processes have an index.
    let index = kernel.find::<Index>().ok();
    crate::http::serve(listener, "admin", move |req| {
        let indexed = index.as_ref().is_none_or(|i| i.is_ready());
        let ready = indexed && config.revision() > 0 && !stop.is_raised();
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

/// Lets work end, up to a bound.
fn finish_work(stop: &Stop, most: Duration) {
    log::info!(target: "start", "Stopping. working={}", stop.working());
    let deadline = Instant::now() + most;
    while stop.working() > 0 && Instant::now() < deadline {
        sleep(Duration::from_millis(LOOK_MS));
    }
    log::info!(target: "start", "Stopped. cut={}", stop.working());
}
