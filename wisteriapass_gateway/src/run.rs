//! Running a router: start, serve, stop in good order.

use derive_more::{Display, Error, From};
use tokio::runtime;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{sleep, timeout_at};
use wisteriapass_policy::drain::Drain;

use crate::gateway::ShutdownPhase;
use crate::listener::{listen, serve_clients, serve_readiness};
use crate::metrics::{Metrics, MetricsError};
use crate::platform::Platform;
use crate::prelude::*;
use crate::relays::{poll_evacuations, run_role, serve_peers, sync_quarantine};
use crate::settings::GatewaySettings;

/// Time before the kill at which the process ends in any case, in milliseconds.
const EXIT_MARGIN_MS: u64 = 50;

/// Time that is left for the last write of shares.
const SHARE_WRITE_TIME: Duration = Duration::from_millis(350);

/// Time between two looks at what is still under way, in milliseconds.
const POLL_MS: u64 = 20;

/// Why a router did not start.
#[derive(Debug, Display, Error, From)]
pub enum RunError {
    /// Counters.
    Metrics(MetricsError),
    /// The system.
    #[display("cannot listen or handle signals ({_0}); give addresses of this VM that are free")]
    Io(std::io::Error),
}

/// Runs a router until it is told to stop.
///
/// # Errors
///
/// [`RunError`] if it cannot start.
pub fn run(settings: GatewaySettings, platform: Rc<dyn Platform>) -> Result<(), RunError> {
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let local = LocalSet::new();
    local.block_on(&runtime, async move {
        let gw = Rc::new(Gateway::new(settings, platform, Metrics::new()?));
        serve(gw).await
    })
}

async fn serve(gw: Rc<Gateway>) -> Result<(), RunError> {
    let mut stop = signal(SignalKind::terminate())?;
    spawn_local(ignore_signal(signal(SignalKind::hangup())?));
    let callers = listen(gw.settings.listen)?;
    let ready = listen(gw.settings.readiness_listen)?;
    let inner = listen(gw.settings.peer_listen)?;
    let open = Rc::new(Cell::new(0));
    spawn_local(serve_peers(gw.clone(), inner));
    spawn_local(serve_readiness(gw.clone(), ready));
    spawn_local(serve_clients(gw.clone(), callers, open.clone()));
    spawn_local(gw.ledger.clone().run_credit_reports());
    spawn_local(sync_quarantine(gw.clone()));
    spawn_local(poll_evacuations(gw.clone()));
    let role = spawn_local(run_role(gw.clone()));
    let stamp = gw.clock.stamp();
    log::info!(
        target: "start",
        "Started. listen={} domain={} since_boot_ms={} time_of_day_ms={}",
        gw.settings.listen, gw.settings.failure_domain, stamp.since_boot, stamp.time_of_day
    );
    stop.recv().await;
    let grace_ms = gw.settings.bounds.grace_ms;
    let last = Instant::now() + Duration::from_millis(grace_ms.saturating_sub(EXIT_MARGIN_MS));
    let drain = Drain::new(gw.time(), grace_ms);
    drain_connections(&gw, &open, drain).await;
    role.abort();
    let giving_back = timeout_at(last, gw.ledger.return_unspent(&gw, last - SHARE_WRITE_TIME));
    let (done, cut) = tokio::join!(giving_back, finish_requests(&gw, &open, drain, last));
    log::info!(target: "start", "Stopped. cut={cut} given_back={}", done.is_ok());
    Ok(())
}

/// Lets callers go elsewhere and what is under way end.
async fn drain_connections(gw: &Gateway, open: &Cell<usize>, drain: Drain) {
    log::info!(target: "start", "Stopping. connections={}", open.get());
    gw.drain.set(Some(drain));
    let poll = Duration::from_millis(POLL_MS);
    while !drain.refuses_connections(gw.time(), gw.last_accepted_at.get(), open.get() == 0) {
        let ends_idle = drain.closes_idle_connections(gw.time());
        gw.shutdown_phase.send_if_modified(|c| {
            ends_idle && std::mem::replace(c, ShutdownPhase::CloseExisting) != *c
        });
        sleep(poll).await;
    }
    log::info!(target: "start", "Taking no more callers. connections={}", open.get());
    gw.shutdown_phase.send_replace(ShutdownPhase::CloseAll);
    while open.get() > 0 && gw.time() < drain.expected_end() {
        sleep(poll).await;
    }
}

/// Lets work that took longer than expected end, and gives up what is left in time to say so;
/// returns on how many connections that was.
async fn finish_requests(gw: &Gateway, open: &Cell<usize>, drain: Drain, last: Instant) -> usize {
    let poll = Duration::from_millis(POLL_MS);
    while open.get() > 0 && gw.time() < drain.abort_time() {
        sleep(poll).await;
    }
    let cut = open.get();
    gw.shutdown_phase.send_replace(ShutdownPhase::Abort);
    while open.get() > 0 && Instant::now() < last {
        sleep(poll).await;
    }
    cut
}

/// Keeps a signal from ending the process: settings that change here need no action.
async fn ignore_signal(mut signal: Signal) {
    while signal.recv().await.is_some() {
        log::info!(target: "start", "Signal to read settings again; none of ours can change.");
    }
}
