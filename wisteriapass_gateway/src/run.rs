//! Lifecycle of a router process: start, serve and graceful shutdown.

use derive_more::{Display, Error, From};
use tokio::runtime;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::{JoinHandle, LocalSet, spawn_local};
use tokio::time::{sleep, timeout_at};
use wisteriapass_policy::drain::Drain;

use crate::gateway::ShutdownPhase;
use crate::listener::{listen_when_free, serve_clients, serve_readiness};
use crate::loop_delay::measure_loop_delay;
use crate::metrics::{Metrics, MetricsError};
use crate::platform::Platform;
use crate::prelude::*;
use crate::relays::{
    poll_other_relays, report_origins, return_trials, run_role, serve_peers, sync_quarantine,
    sync_speeds,
};
use crate::rotation::{ask_for_consents, report_load};
use crate::settings::GatewaySettings;

/// Margin before the kill at which the process exits in any case, in milliseconds.
const EXIT_MARGIN_MS: u64 = 50;

/// Time reserved for the last write of shares.
const SHARE_WRITE_TIME: Duration = Duration::from_millis(350);

/// Interval at which open connections are checked during a shutdown, in milliseconds.
const POLL_MS: u64 = 20;

/// Why a router could not start.
#[derive(Debug, Display, Error, From)]
pub enum RunError {
    /// The metrics could not be set up.
    Metrics(MetricsError),
    /// An operating system call failed.
    #[display(
        "cannot listen or install signal handlers ({_0}); configure free addresses of this VM"
    )]
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
    let opening = async {
        let clients = listen_when_free(gw.settings.listen).await?;
        let ready = listen_when_free(gw.settings.readiness_listen).await?;
        let peers = listen_when_free(gw.settings.peer_listen).await?;
        std::io::Result::Ok((clients, ready, peers))
    };
    let (clients, ready, peers) = tokio::select! {
        opened = opening => opened?,
        _ = stop.recv() => return Ok(()),
    };
    gw.ledger.note_listening();
    let open = Rc::new(Cell::new(0));
    spawn_local(serve_peers(gw.clone(), peers));
    spawn_local(serve_readiness(gw.clone(), ready));
    spawn_local(serve_clients(gw.clone(), clients, open.clone()));
    spawn_local(gw.ledger.clone().run_credit_reports());
    spawn_local(sync_quarantine(gw.clone()));
    spawn_local(return_trials(gw.clone()));
    spawn_local(report_origins(gw.clone()));
    spawn_local(poll_other_relays(gw.clone()));
    spawn_local(report_load(gw.clone()));
    spawn_local(ask_for_consents(gw.clone()));
    spawn_local(sync_speeds(gw.clone()));
    spawn_local(measure_loop_delay(gw.clone()));
    let role = spawn_local(run_role(gw.clone()));
    let stamp = gw.clock.stamp();
    log::info!(
        target: "start",
        "Started. listen={} domain={} since_boot_ms={} time_of_day_ms={}",
        gw.settings.listen, gw.settings.failure_domain, stamp.since_boot, stamp.time_of_day
    );
    stop.recv().await;
    let grace_ms = gw.settings.bounds.grace_ms;
    let exit_by = Instant::now() + Duration::from_millis(grace_ms.saturating_sub(EXIT_MARGIN_MS));
    let drain = Drain::new(gw.time(), grace_ms);
    gw.ledger.write_soon();
    drain_connections(&gw, &open, drain).await;
    let returning_shares = timeout_at(exit_by, return_unspent(&gw, role, exit_by));
    let (done, cut) = tokio::join!(
        returning_shares,
        finish_requests(&gw, &open, drain, exit_by)
    );
    log::info!(target: "start", "Stopped. cut={cut} given_back={}", done.is_ok());
    Ok(())
}

/// Returns the unspent tokens of this router. Its role goes on while requests end, as each exchange
/// writes what they cost and returns what they leave.
async fn return_unspent(gw: &Gateway, role: JoinHandle<()>, exit_by: Instant) {
    gw.ledger.release_unspent(exit_by - SHARE_WRITE_TIME).await;
    role.abort();
    gw.ledger.return_shares(gw).await;
}

/// First phases of a shutdown: clients move to other routers while running requests end.
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
    log::info!(target: "start", "Closing all client connections. connections={}", open.get());
    gw.shutdown_phase.send_replace(ShutdownPhase::CloseAll);
    while open.get() > 0 && gw.time() < drain.expected_end() {
        sleep(poll).await;
    }
}

/// Gives requests that take longer than expected more time, then aborts the remaining ones early
/// enough to respond to their clients; returns the number of connections affected.
async fn finish_requests(
    gw: &Gateway,
    open: &Cell<usize>,
    drain: Drain,
    exit_by: Instant,
) -> usize {
    let poll = Duration::from_millis(POLL_MS);
    while open.get() > 0 && gw.time() < drain.abort_time() {
        sleep(poll).await;
    }
    let cut = open.get();
    gw.shutdown_phase.send_replace(ShutdownPhase::Abort);
    while open.get() > 0 {
        // A router that wakes up late lets the requests run once before it exits.
        sleep(poll).await;
        if Instant::now() >= exit_by {
            break;
        }
    }
    cut
}

/// Keeps a signal from ending the process; no settings can change while it runs.
async fn ignore_signal(mut signal: Signal) {
    while signal.recv().await.is_some() {
        log::info!(target: "start", "SIGHUP ignored: no setting can change while the router runs.");
    }
}
