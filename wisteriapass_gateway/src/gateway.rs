//! State that the tasks of one router share.

mod exclusion;
mod memory;
mod statements;

use std::collections::HashMap;
use std::future::Future;

use tokio::sync::{Mutex, watch};
use tokio::time::sleep_until;
use wisteriapass_policy::drain::Drain;
use wisteriapass_policy::loop_delay::LoopDelay;
use wisteriapass_policy::rotation::Standing;
use wisteriapass_policy::target_speed::{FirstEvent, OutputPause};
use wisteriapass_policy::{LatencyHistory, PlannedRequest, Time};

use crate::catalogue::{Catalogue, CatalogueChange};
use crate::change_log::{ConfigurationLog, Cursor, TargetLog};
use crate::configuration_source::ConfigurationSource;
use crate::evacuations::Evacuations;
use crate::held_memory::SharedMemory;
use crate::ledger::{Role, TokenLedger};
use crate::metrics::Metrics;
use crate::origins::SharedOrigins;
use crate::platform::{Platform, RevisedChange, Topic};
use crate::prelude::*;
use crate::quarantine::{Probes, SharedQuarantine, SharedTrials};
use crate::retry_budget::RetryBudget;
use crate::rotation::RotationState;
use crate::rpc::RpcClient;
use crate::settings::GatewaySettings;
use crate::speeds::{FirstEventSample, SharedSpeeds};
use crate::store_liveness::StoreLiveness;
use crate::target::{Target, TargetKey};
use crate::targets::Targets;

pub(crate) use exclusion::{Exclusion, Requirements};

/// Phases of a shutdown: which client connections close once they are idle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ShutdownPhase {
    /// No connection closes.
    Running,
    /// Connections that were accepted before the shutdown close.
    CloseExisting,
    /// All connections close, and no more are accepted.
    CloseAll,
    /// All connections close, and running requests are aborted.
    Abort,
}

/// Why a wait ended without a result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WaitError {
    /// The deadline passed.
    Deadline,
    /// This router is shutting down.
    Stopping,
}

/// Age of the store's last answer up to which the list of targets is recent, in milliseconds: a relay
/// gets one each second.
const MAX_STALENESS_MS: u64 = 1_300;

/// A router.
pub struct Gateway {
    /// Settings of this process.
    pub settings: GatewaySettings,
    /// Interface to the platform.
    pub platform: Rc<dyn Platform>,
    pub(crate) clock: Clock,
    pub(crate) rpc: Rc<RpcClient>,
    pub(crate) ledger: Rc<TokenLedger>,
    pub(crate) targets: RefCell<Targets>,
    pub(crate) store_liveness: StoreLiveness,
    pub(crate) metrics: Metrics,
    pub(crate) probes: Probes,
    /// Requests that crash targets.
    pub(crate) quarantine: SharedQuarantine,
    /// Trials of suspects.
    pub(crate) trials: SharedTrials,
    /// Software versions that began streams.
    pub(crate) origins: SharedOrigins,
    /// How slow targets are.
    pub(crate) speeds: SharedSpeeds,
    /// Memory that is held for callers, targets and other routers.
    pub(crate) memory: SharedMemory,
    /// When it was last logged that memory is short.
    pub(crate) memory_logged_at: Cell<Option<Instant>>,
    /// Shutdown schedule, once this router was told to stop.
    pub(crate) drain: Cell<Option<Drain>>,
    /// When the last client connection was accepted.
    pub(crate) last_accepted_at: Cell<Time>,
    /// Recent durations of requests, by service.
    latencies: RefCell<HashMap<String, LatencyHistory>>,
    /// Current phase of the shutdown.
    pub(crate) shutdown_phase: watch::Sender<ShutdownPhase>,
    /// Recent configurations.
    pub(crate) configuration_log: RefCell<ConfigurationLog>,
    /// Targets' entries and when each of them changed.
    pub(crate) target_log: RefCell<TargetLog>,
    /// Whether this router accepts new callers.
    pub(crate) rotation: RotationState,
    /// Failure domains that are evacuated.
    pub(crate) evacuations: RefCell<Evacuations>,
    /// How late the tasks of this router run.
    pub(crate) loop_delay: Cell<LoopDelay>,
    catalogue: RefCell<Option<Rc<Catalogue>>>,
    /// When the configuration was last known to be the newest.
    configuration_confirmed_at: Cell<Option<Instant>>,
    retry_budgets: RefCell<HashMap<String, RetryBudget>>,
    targets_known: Cell<bool>,
    /// When the list of targets was last asked to be confirmed, and whether it was.
    pub(crate) last_confirmation: Mutex<Option<(Instant, bool)>>,
    /// Whether the streams of some route are distributed to several services.
    has_split_streams: Cell<bool>,
}

impl Gateway {
    /// Creates a router without configuration and targets.
    pub fn new(settings: GatewaySettings, platform: Rc<dyn Platform>, metrics: Metrics) -> Self {
        let clock = Clock::new();
        let rpc = Rc::new(RpcClient::new(clock));
        let ledger = Rc::new(TokenLedger::new(clock, &settings, rpc.clone()));
        let rotation = RotationState::new(clock, &settings);
        let memory = SharedMemory::new(&settings.vm_size);
        Self {
            settings,
            platform,
            clock,
            rpc,
            ledger,
            targets: RefCell::default(),
            store_liveness: StoreLiveness::default(),
            metrics,
            probes: Probes::default(),
            quarantine: SharedQuarantine::new(clock),
            trials: SharedTrials::new(clock),
            origins: SharedOrigins::new(clock),
            speeds: SharedSpeeds::default(),
            memory,
            memory_logged_at: Cell::new(None),
            drain: Cell::new(None),
            last_accepted_at: Cell::default(),
            latencies: RefCell::default(),
            shutdown_phase: watch::Sender::new(ShutdownPhase::Running),
            configuration_log: RefCell::default(),
            target_log: RefCell::default(),
            rotation,
            evacuations: RefCell::default(),
            loop_delay: Cell::default(),
            catalogue: RefCell::default(),
            configuration_confirmed_at: Cell::new(None),
            retry_budgets: RefCell::default(),
            targets_known: Cell::new(false),
            last_confirmation: Mutex::default(),
            has_split_streams: Cell::new(false),
        }
    }

    /// Returns the configuration in force.
    pub fn catalogue(&self) -> Option<Rc<Catalogue>> {
        self.catalogue.borrow().clone()
    }

    /// Puts a configuration in force, unless its version is not newer.
    pub(crate) fn set_catalogue(&self, next: Rc<Catalogue>, source: &ConfigurationSource) {
        let now = self.catalogue.borrow().as_ref().map_or(0, |c| c.version);
        if next.version <= now {
            return;
        }
        self.record_configuration_delay(&next, source);
        self.ledger.set_totals(&next);
        self.has_split_streams.set(next.has_split_streams());
        self.configuration_log.borrow_mut().push(next.clone());
        *self.catalogue.borrow_mut() = Some(next);
    }

    /// Applies a change to the configuration in force, or a change from version 0, which is a
    /// complete configuration. Ignores changes to other versions.
    pub(crate) fn apply_catalogue_change(
        &self,
        change: &CatalogueChange,
        source: &ConfigurationSource,
    ) {
        let whole = || Catalogue::default().with_change(change);
        let next = self.catalogue().and_then(|now| now.with_change(change));
        if let Some(next) = next.or_else(whole) {
            self.set_catalogue(Rc::new(next), source);
        }
    }

    /// Records that the configuration in force was the newest at a time.
    pub(crate) fn confirm_configuration(&self, at: Instant) {
        let known = self.configuration_confirmed_at.get();
        self.configuration_confirmed_at.set(known.max(Some(at)));
    }

    /// Records the longest time for which a configuration can have been accepted before it came
    /// into force here.
    fn record_configuration_delay(&self, next: &Catalogue, source: &ConfigurationSource) {
        let confirmed_at = self.configuration_confirmed_at.get();
        let delay = confirmed_at.map(|at| at.elapsed());
        if let Some(delay) = delay {
            self.metrics.record_configuration_delay(source, delay);
        }
        log::info!(
            target: "config",
            "Configuration in force. version={} routes={} source={source} relay={} \
             unconfirmed_ms={} loop_delay_ms={}",
            next.version,
            next.routes_len(),
            source.relay(),
            delay.map_or(0, |delay| delay.as_millis()),
            self.loop_delay.get().delay_ms()
        );
    }

    /// Returns the position up to which a topic is known.
    pub(crate) fn cursor(&self, topic: Topic) -> Cursor {
        match topic {
            Topic::Configuration => self.configuration_log.borrow().cursor(),
            Topic::Targets => self.target_log.borrow().cursor(),
        }
    }

    /// Applies changes of targets and advances the cursor; `is_snapshot` if they are the
    /// complete state.
    pub(crate) fn apply_target_changes(
        &self,
        cursor: Cursor,
        changes: &[RevisedChange],
        is_snapshot: bool,
    ) {
        let now = Instant::now();
        let recovered_at = self.store_liveness.recovered_at();
        let mut log = self.target_log.borrow_mut();
        log.apply(cursor, changes, is_snapshot);
        let mut targets = self.targets.borrow_mut();
        if is_snapshot {
            targets.replace_all(changes.iter().map(|c| &c.change), now, recovered_at);
            self.targets_known.set(true);
        } else {
            for revised in changes {
                targets.apply(&revised.change, now, recovered_at);
            }
        }
        targets.sweep(now);
        self.origins.observe_targets(&targets);
    }

    /// Returns whether this router's list of targets is recent.
    pub(crate) fn has_recent_targets(&self) -> bool {
        match self.ledger.role() {
            Role::Follower => self.ledger.roster.borrow().is_fresh(self.clock.now_ms()),
            Role::Relay | Role::Retiring => {
                self.store_liveness.staleness_ms(Instant::now()) < MAX_STALENESS_MS
            }
        }
    }

    /// Returns whether streams of one route may have been begun by different software.
    pub(crate) fn has_several_origins(&self) -> bool {
        self.has_split_streams.get() || self.origins.has_several_versions()
    }

    /// Replaces the set of evacuated failure domains, unless the known one is later.
    pub(crate) fn set_evacuations(&self, next: Evacuations) {
        let mut known = self.evacuations.borrow_mut();
        if !next.is_newer_than(&known) {
            return;
        }
        let (before, after) = (known.domains(), next.domains());
        for domain in after.difference(before) {
            self.metrics.count_evacuation();
            log::warn!(target: "targets", "Failure domain evacuated. domain={domain}");
        }
        for domain in before.difference(after) {
            log::info!(target: "targets", "Failure domain back. domain={domain}");
        }
        let mut targets = self.targets.borrow_mut();
        targets.set_evacuated(after, Instant::now());
        *known = next;
    }

    /// Returns whether clients may be sent to this router.
    pub fn is_ready(&self) -> bool {
        let now = self.time();
        let accepts_callers = match self.rotation.standing(now) {
            Some(standing) => standing == Standing::Serving,
            None => !self.is_overloaded() && !self.rotation.awaits_first_answer(now),
        };
        let has_memory = !self.memory.account().is_short();
        self.is_initialized() && !self.is_stopping() && accepts_callers && has_memory
    }

    /// Returns whether this router knows its configuration and targets.
    pub(crate) fn is_initialized(&self) -> bool {
        self.targets_known.get() && self.catalogue.borrow().is_some()
    }

    /// Returns whether client connections close after their next answer. Clients whose connection
    /// is closed reconnect through another router, if the balancer knows that this one is not ready.
    pub(crate) fn closes_connections(&self) -> bool {
        let now = self.time();
        let leaves_rotation = match self.rotation.standing(now) {
            Some(_) => self.rotation.closes_connections(now),
            None => self.is_overloaded(),
        };
        self.is_stopping() || leaves_rotation || self.memory.account().is_short()
    }

    /// Records bytes of callers' requests and answers that crossed this router's link.
    pub(crate) fn record_bytes(&self, bytes_in: usize, bytes_out: usize) {
        self.rotation
            .record_bytes(self.time(), bytes_in as u64, bytes_out as u64);
    }

    /// Returns whether more requests arrive than this router can handle.
    pub(crate) fn is_overloaded(&self) -> bool {
        self.rpc.overload().is_overloaded(self.time())
    }

    /// Returns the estimated time that arriving requests have waited before they are read.
    pub(crate) fn queueing_delay(&self) -> Duration {
        Duration::from_millis(self.rpc.overload().queueing_delay_ms(self.time()))
    }

    /// Returns whether this router was told to stop.
    pub(crate) fn is_stopping(&self) -> bool {
        self.drain.get().is_some()
    }

    /// Runs a future until a deadline, or until a shutdown aborts running requests.
    pub(crate) async fn run_until<T>(
        &self,
        deadline: Instant,
        work: impl Future<Output = T>,
    ) -> Result<T, WaitError> {
        let mut phase = self.shutdown_phase.subscribe();
        tokio::select! {
            biased;
            done = work => Ok(done),
            () = sleep_until(deadline) => Err(WaitError::Deadline),
            () = wait_for_phase(&mut phase, ShutdownPhase::Abort) => Err(WaitError::Stopping),
        }
    }

    /// Runs a future, unless a shutdown aborts running requests first.
    pub(crate) async fn run_unless_aborted<T>(&self, work: impl Future<Output = T>) -> Option<T> {
        let mut phase = self.shutdown_phase.subscribe();
        tokio::select! {
            biased;
            done = work => Some(done),
            () = wait_for_phase(&mut phase, ShutdownPhase::Abort) => None,
        }
    }

    /// Returns whether streams that arrive now are delivered once they are whole, as this router may
    /// stop before they end.
    pub(crate) fn delivers_whole_streams(&self) -> bool {
        let now = self.time();
        let drain = self.drain.get();
        drain.is_some_and(|drain| drain.delivers_whole_streams(now))
    }

    /// Returns whether the deadline has passed that targets were given because of the shutdown.
    pub(crate) fn targets_stopped(&self) -> bool {
        let now = self.time();
        self.drain
            .get()
            .is_some_and(|drain| drain.target_time_left_ms(now) == 0)
    }

    /// Records durations of a service's request at a target.
    pub(crate) fn record_latency(
        &self,
        service: &str,
        target: TargetKey,
        learn: impl Fn(&mut LatencyHistory, Time),
    ) {
        let now = self.time();
        if let Some(target) = self.targets.borrow().get(target) {
            learn(&mut target.latencies.borrow_mut(), now);
        }
        let mut times = self.latencies.borrow_mut();
        match times.get_mut(service) {
            Some(known) => learn(known, now),
            None => learn(times.entry(service.to_owned()).or_default(), now),
        }
    }

    /// Records the time to the first event of a service's request at a target.
    pub(crate) fn record_first_event(
        &self,
        service: &str,
        target: TargetKey,
        event: FirstEvent,
        sample: FirstEventSample,
    ) {
        let targets = self.targets.borrow();
        if let Some(target) = targets.get(target) {
            let speed = &mut target.speed.borrow_mut();
            let now = self.time();
            self.speeds
                .record_first_event(service, speed, now, event, sample);
        }
    }

    /// Records a pause of a stream, made of the prompt tokens pending at the target and the number of
    /// requests running there.
    pub(crate) fn record_pause(
        &self,
        service: &str,
        target: TargetKey,
        pause: impl Fn(u64, u32) -> OutputPause,
    ) {
        let targets = self.targets.borrow();
        if let Some(target) = targets.get(target) {
            let pause = pause(target.pending_prompt_tokens.get(), target.running.get());
            let speed = &mut target.speed.borrow_mut();
            self.speeds.record_pause(service, speed, self.time(), pause);
        }
    }

    /// Returns the expected duration of a request at a target, in milliseconds, for an output of at
    /// most `most` tokens.
    pub(crate) fn expected_ms(&self, target: &Target, route: &Route, most: u64) -> u64 {
        let times = self.latencies.borrow();
        let no_latencies = LatencyHistory::default();
        let all = times.get(&target.entry.service).unwrap_or(&no_latencies);
        let at_target = target.latencies.borrow();
        let work = PlannedRequest {
            latency_goal_ms: route.latency_goal_ms,
            max_output_tokens: most,
            in_flight: target.running.get(),
            silent_ms: target.silent_ms(),
        };
        at_target.expected_ms(all, self.time(), work)
    }

    /// Returns the silence after which a service's target is suspected to be stuck, as seen by
    /// requests of a route, in milliseconds.
    pub(crate) fn silence_ms(&self, service: &str, route: &Route) -> u64 {
        let times = self.latencies.borrow();
        let no_latencies = LatencyHistory::default();
        let all = times.get(service).unwrap_or(&no_latencies);
        all.silence_threshold_ms(route.latency_goal_ms) + self.queueing_delay().as_millis() as u64
    }

    /// Returns the monotonic time in the type that the policies use.
    pub(crate) fn time(&self) -> Time {
        Time::from_millis(self.clock.now_ms())
    }

    /// Credits a request to the retry budget of its service.
    pub(crate) fn credit_retry(&self, service: &str) {
        let routers = self.ledger.router_count();
        let mut retries = self.retry_budgets.borrow_mut();
        match retries.get_mut(service) {
            Some(bucket) => bucket.record_request(routers),
            None => {
                let bucket = RetryBudget::new(&self.settings.bounds, Instant::now());
                retries.insert(service.to_owned(), bucket);
            }
        }
    }

    /// Takes one retry from the budget of a service, if available.
    pub(crate) fn take_retry(&self, service: &str) -> bool {
        let routers = self.ledger.router_count();
        let mut retries = self.retry_budgets.borrow_mut();
        let bucket = retries.get_mut(service);
        bucket.is_some_and(|b| b.try_take(Instant::now(), routers))
    }
}

/// Waits until the shutdown has reached a phase.
///
/// Drops the borrow of the watched value that `wait_for` returns: holding it would block the next
/// sender forever.
pub(crate) async fn wait_for_phase(phase: &mut watch::Receiver<ShutdownPhase>, at: ShutdownPhase) {
    // An error means that the router is shutting down.
    let _ = phase.wait_for(|phase| *phase >= at).await;
}

impl std::fmt::Debug for Gateway {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Gateway").finish_non_exhaustive()
    }
}
