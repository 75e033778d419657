//! Injects faults into a fleet and ends them.

use std::time::{Duration, Instant};

use super::leaving::{LeaveReason, LeavingTracker};
use super::observations::LeavingPeriod;
use super::{Fault, PlannedFault, orders};
use crate::fleet::{Fleet, PLATFORM, Result, Signal};
use crate::standin::platform::VmState;
use crate::standin::{Outage, PlatformFaults, TargetFaults};

/// Tokens of each top-up.
pub const TOPUP_TOKENS: u64 = 2_000;

/// Maximum duration of a graceful stop, in seconds.
const STOP_TIMEOUT_S: u64 = 20;

/// Time within which daemons have read the VM list again, in milliseconds; they read it twice per
/// second.
const VM_LIST_READ_MS: u64 = 1_000;

/// Injects faults into a fleet by the indices of its daemons.
pub struct FaultInjector<'a> {
    fleet: &'a Fleet,
    topup_account: &'a str,
    routers: Vec<String>,
    sides: Vec<String>,
    began: Instant,
    topups: Vec<u64>,
    leaving: LeavingTracker,
}

impl<'a> FaultInjector<'a> {
    /// Creates an injector; top-ups go to `topup_account`.
    pub fn new(fleet: &'a Fleet, topup_account: &'a str, began: Instant) -> Self {
        Self {
            fleet,
            topup_account,
            routers: fleet.router_names(),
            sides: fleet.side_names(),
            began,
            topups: Vec::new(),
            leaving: LeavingTracker::default(),
        }
    }

    /// Returns the times of the top-ups, in microseconds after the start.
    pub fn topups(&self) -> &[u64] {
        &self.topups
    }

    /// Returns the periods in which targets were draining or leaving.
    pub fn leaving(&self) -> &[LeavingPeriod] {
        self.leaving.past()
    }

    /// Begins and ends each planned fault at its time; `began` is the start of the load.
    pub fn run_plan(
        &mut self,
        plan: &[PlannedFault],
        began: Instant,
        is_verbose: bool,
    ) -> Result<()> {
        let mut steps: Vec<(u64, bool, Fault)> = Vec::new();
        for planned in plan {
            steps.push((planned.from_ms, true, planned.fault));
            steps.push((planned.until_ms, false, planned.fault));
        }
        steps.sort_by_key(|(at_ms, begins, _)| (*at_ms, *begins));
        for (at_ms, begins, fault) in steps {
            let at = began + Duration::from_millis(at_ms);
            std::thread::sleep(at.saturating_duration_since(Instant::now()));
            if is_verbose {
                eprintln!(
                    "{at_ms} ms: {} {fault}",
                    if begins { "begin" } else { "end" }
                );
            }
            if begins {
                self.begin(fault)?;
            } else {
                self.end(fault)?;
            }
        }
        Ok(())
    }

    /// Ends all faults.
    pub fn end_all(&mut self) -> Result<()> {
        self.fleet.network().heal_all();
        self.fleet.platform().set_faults(PlatformFaults::default());
        for engine in self.fleet.engines().values() {
            engine.set_faults(TargetFaults::default());
        }
        for name in self.routers.iter().chain(&self.sides) {
            let mut daemon = self.fleet.daemon(name)?;
            let _ = daemon.signal(Signal::Resume);
            daemon.start()?;
        }
        Ok(())
    }

    fn begin(&mut self, fault: Fault) -> Result<()> {
        let network = self.fleet.network();
        match fault {
            Fault::KillRouter(n) => self.fleet.daemon(&self.routers[n])?.kill(),
            Fault::KillSide(n) => self.fleet.daemon(&self.sides[n])?.kill(),
            Fault::ReplaceRouter(n) => {
                let _ = self
                    .fleet
                    .daemon(&self.routers[n])?
                    .signal(Signal::Terminate);
            }
            Fault::PauseRouter(n) => {
                let _ = self.fleet.daemon(&self.routers[n])?.signal(Signal::Pause);
            }
            Fault::PauseSide(n) => {
                let _ = self.fleet.daemon(&self.sides[n])?.signal(Signal::Pause);
            }
            Fault::ServiceDown => self.set_platform_faults(PlatformFaults {
                outage: Outage::Closing,
                ..PlatformFaults::default()
            }),
            Fault::ServiceSlow => self.set_platform_faults(PlatformFaults {
                slow_ms: 400,
                ..PlatformFaults::default()
            }),
            Fault::ServiceLosesAnswers => self.set_platform_faults(PlatformFaults {
                lost_answers: 0.3,
                ..PlatformFaults::default()
            }),
            Fault::Cut(r, s) => network.cut(&self.routers[r], &self.sides[s]),
            Fault::CutOneWay(r, s) => network.cut_one_way(&self.routers[r], &self.sides[s]),
            Fault::CutService(r) => network.cut(&self.routers[r], PLATFORM),
            Fault::Partition(r) => self.partition(r),
            Fault::SilenceConnections(s) => network.blackhole_open_connections(&self.sides[s]),
            Fault::DegradeTarget(s) => self.degrade_target(s),
            Fault::TopUp => {
                let id = format!("topup-{}", self.topups.len());
                // Sent twice under one id, as by an operator who repeats the command.
                for _ in 0..2 {
                    self.fleet.top_up(self.topup_account, &id, TOPUP_TOKENS)?;
                }
                self.topups.push(self.now_us());
            }
            Fault::StopSide(n) => {
                let _ = self.fleet.daemon(&self.sides[n])?.signal(Signal::Terminate);
            }
            Fault::Drain(s) => {
                self.drain(s, true)?;
                let now_us = self.now_us();
                self.leaving
                    .begin(&self.sides[s], LeaveReason::Drained, now_us);
            }
            Fault::ReplaceVm(s) => {
                self.set_vm(s, VmState::Leaving);
                // Daemons see the change only after the list's lag.
                let shown_us = self.now_us() + self.fleet.plan().platform.vm_lag_ms * 1_000;
                self.leaving
                    .begin(&self.sides[s], LeaveReason::VmLeaving, shown_us);
            }
            Fault::RaceEdits => {
                self.fleet.race_edits()?;
            }
            Fault::SupersededOrder(s) => {
                orders::send_superseded(self.fleet, &self.sides[s], &self.fleet.plan().models[0]);
            }
        }
        Ok(())
    }

    fn end(&mut self, fault: Fault) -> Result<()> {
        let network = self.fleet.network();
        match fault {
            Fault::KillRouter(n) => self.fleet.daemon(&self.routers[n])?.start()?,
            Fault::KillSide(n) => self.fleet.daemon(&self.sides[n])?.start()?,
            Fault::ReplaceRouter(n) => {
                let mut daemon = self.fleet.daemon(&self.routers[n])?;
                let _ = daemon.signal(Signal::Resume);
                daemon.wait_exit(Instant::now() + Duration::from_secs(STOP_TIMEOUT_S));
                daemon.start()?;
            }
            Fault::PauseRouter(n) => {
                let _ = self.fleet.daemon(&self.routers[n])?.signal(Signal::Resume);
            }
            Fault::PauseSide(n) => {
                let _ = self.fleet.daemon(&self.sides[n])?.signal(Signal::Resume);
            }
            Fault::ServiceDown | Fault::ServiceSlow | Fault::ServiceLosesAnswers => {
                self.set_platform_faults(PlatformFaults::default());
            }
            Fault::Cut(r, s) | Fault::CutOneWay(r, s) => {
                network.heal(&self.routers[r], &self.sides[s]);
            }
            Fault::CutService(r) => network.heal(&self.routers[r], PLATFORM),
            Fault::Partition(_) => network.heal_all(),
            Fault::DegradeTarget(s) => {
                if let Some(engine) = self.fleet.engines().get(&self.sides[s]) {
                    engine.set_faults(TargetFaults::default());
                }
            }
            Fault::StopSide(n) => {
                let mut daemon = self.fleet.daemon(&self.sides[n])?;
                let _ = daemon.signal(Signal::Resume);
                daemon.wait_exit(Instant::now() + Duration::from_secs(STOP_TIMEOUT_S));
                daemon.start()?;
            }
            Fault::Drain(s) => {
                let now_us = self.now_us();
                if self
                    .leaving
                    .end(&self.sides[s], LeaveReason::Drained, now_us)
                {
                    self.drain(s, false)?;
                }
            }
            Fault::ReplaceVm(s) => {
                let now_us = self.now_us();
                if self
                    .leaving
                    .end(&self.sides[s], LeaveReason::VmLeaving, now_us)
                {
                    self.replace_vm(s)?;
                }
            }
            Fault::SilenceConnections(_)
            | Fault::TopUp
            | Fault::RaceEdits
            | Fault::SupersededOrder(_) => {}
        }
        Ok(())
    }

    fn now_us(&self) -> u64 {
        u64::try_from(self.began.elapsed().as_micros()).unwrap_or(u64::MAX)
    }

    fn drain(&self, side: usize, draining: bool) -> Result<()> {
        let mut document = self.fleet.document();
        document.inventory.target[side].draining = draining;
        self.fleet.apply(document)?;
        Ok(())
    }

    fn set_vm(&self, side: usize, state: VmState) {
        let vm = &self.fleet.document().inventory.target[side].vm;
        self.fleet.platform().set_vm(vm, state);
    }

    /// Restarts a target's side process on a new VM of the same name; a leaving VM never becomes
    /// live again.
    fn replace_vm(&self, side: usize) -> Result<()> {
        let mut daemon = self.fleet.daemon(&self.sides[side])?;
        let _ = daemon.signal(Signal::Resume);
        let _ = daemon.signal(Signal::Terminate);
        daemon.wait_exit(Instant::now() + Duration::from_secs(STOP_TIMEOUT_S));
        self.set_vm(side, VmState::Live);
        // A process that starts while the list still marks the VM as leaving would leave as well.
        let lag_ms = self.fleet.plan().platform.vm_lag_ms;
        std::thread::sleep(Duration::from_millis(lag_ms + VM_LIST_READ_MS));
        daemon.start()
    }

    fn set_platform_faults(&self, faults: PlatformFaults) {
        self.fleet.platform().set_faults(faults);
    }

    fn partition(&self, router: usize) {
        let network = self.fleet.network();
        let own = &self.routers[router];
        for other in self.routers.iter().filter(|r| *r != own) {
            network.cut(own, other);
        }
        for side in self.sides.iter().step_by(2) {
            network.cut(own, side);
        }
    }

    fn degrade_target(&self, side: usize) {
        if let Some(engine) = self.fleet.engines().get(&self.sides[side]) {
            engine.set_faults(TargetFaults {
                late_ms: 100,
                crossed: 2,
                errors: 1,
                resets: 1,
                cuts: 1,
                ..TargetFaults::default()
            });
        }
    }
}
