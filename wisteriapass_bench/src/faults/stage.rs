//! Bringing faults about in a fleet and ending them.

use std::time::{Duration, Instant};

use super::facts::LeavingPeriod;
use super::leave::{Leavers, Word};
use super::{Fault, PlannedFault, orders};
use crate::fleet::{Fleet, PLATFORM, Result, Signal};
use crate::standin::platform::VmState;
use crate::standin::{Outage, PlatformFaults, TargetFaults};

/// Tokens of one top-up of the nearly empty account.
pub const TOPUP_TOKENS: u64 = 2_000;

/// Longest wait for a graceful stop, in seconds.
const STOP_S: u64 = 20;

/// Time within which daemons read the VM list again, in milliseconds; they do so twice a second.
const READ_MS: u64 = 1_000;

/// A fleet with the names that faults refer to.
pub struct Stage<'a> {
    fleet: &'a Fleet,
    poor: &'a str,
    routers: Vec<String>,
    sides: Vec<String>,
    began: Instant,
    topups: Vec<u64>,
    leavers: Leavers,
}

impl<'a> Stage<'a> {
    /// Creates a stage; `poor` is the account that top-ups go to.
    pub fn new(fleet: &'a Fleet, poor: &'a str, began: Instant) -> Self {
        Self {
            fleet,
            poor,
            routers: fleet.router_names(),
            sides: fleet.side_names(),
            began,
            topups: Vec::new(),
            leavers: Leavers::default(),
        }
    }

    /// Returns when top-ups were made, in microseconds from the start.
    pub fn topups(&self) -> &[u64] {
        &self.topups
    }

    /// Returns when targets were drained or leaving.
    pub fn leaving(&self) -> &[LeavingPeriod] {
        self.leavers.past()
    }

    /// Plays planned faults in their time; `began` is the start of the load.
    pub fn play(&mut self, plan: &[PlannedFault], began: Instant, is_verbose: bool) -> Result<()> {
        let mut steps: Vec<(u64, bool, Fault)> = Vec::new();
        for planned in plan {
            steps.push((planned.from_ms, true, planned.fault));
            steps.push((planned.until_ms, false, planned.fault));
        }
        steps.sort_by_key(|(at, begins, _)| (*at, *begins));
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
            Fault::ServiceDown => self.platform(PlatformFaults {
                outage: Outage::Closing,
                ..PlatformFaults::default()
            }),
            Fault::ServiceSlow => self.platform(PlatformFaults {
                slow_ms: 400,
                ..PlatformFaults::default()
            }),
            Fault::ServiceLosesAnswers => self.platform(PlatformFaults {
                lost_answers: 0.3,
                ..PlatformFaults::default()
            }),
            Fault::Cut(r, s) => network.cut(&self.routers[r], &self.sides[s]),
            Fault::CutOneWay(r, s) => network.cut_one_way(&self.routers[r], &self.sides[s]),
            Fault::CutService(r) => network.cut(&self.routers[r], PLATFORM),
            Fault::Partition(r) => self.partition(r),
            Fault::SilenceConnections(s) => network.silence_open(&self.sides[s]),
            Fault::DegradeTarget(s) => self.disturb(s),
            Fault::TopUp => {
                let id = format!("topup-{}", self.topups.len());
                // An operator's second click.
                for _ in 0..2 {
                    self.fleet.top_up(self.poor, &id, TOPUP_TOKENS)?;
                }
                self.topups.push(self.now_us());
            }
            Fault::StopSide(n) => {
                let _ = self.fleet.daemon(&self.sides[n])?.signal(Signal::Terminate);
            }
            Fault::Drain(s) => {
                self.drain(s, true)?;
                let now_us = self.now_us();
                self.leavers.begin(&self.sides[s], Word::Drained, now_us);
            }
            Fault::ReplaceVm(s) => {
                self.set_vm(s, VmState::Leaving);
                // The word is given when the list shows it.
                let shown_us = self.now_us() + self.fleet.plan().platform.vm_lag_ms * 1_000;
                self.leavers
                    .begin(&self.sides[s], Word::VmLeaving, shown_us);
            }
            Fault::RaceEdits => {
                self.fleet.race_edits()?;
            }
            Fault::SupersededOrder(s) => {
                orders::overtake(self.fleet, &self.sides[s], &self.fleet.plan().models[0]);
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
                daemon.wait_exit(Instant::now() + Duration::from_secs(STOP_S));
                daemon.start()?;
            }
            Fault::PauseRouter(n) => {
                let _ = self.fleet.daemon(&self.routers[n])?.signal(Signal::Resume);
            }
            Fault::PauseSide(n) => {
                let _ = self.fleet.daemon(&self.sides[n])?.signal(Signal::Resume);
            }
            Fault::ServiceDown | Fault::ServiceSlow | Fault::ServiceLosesAnswers => {
                self.platform(PlatformFaults::default());
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
                daemon.wait_exit(Instant::now() + Duration::from_secs(STOP_S));
                daemon.start()?;
            }
            Fault::Drain(s) => {
                let now_us = self.now_us();
                if self.leavers.end(&self.sides[s], Word::Drained, now_us) {
                    self.drain(s, false)?;
                }
            }
            Fault::ReplaceVm(s) => {
                let now_us = self.now_us();
                if self.leavers.end(&self.sides[s], Word::VmLeaving, now_us) {
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

    /// Gives a target's side process a new VM of the same name: a leaving one never lives again.
    fn replace_vm(&self, side: usize) -> Result<()> {
        let mut daemon = self.fleet.daemon(&self.sides[side])?;
        let _ = daemon.signal(Signal::Resume);
        let _ = daemon.signal(Signal::Terminate);
        daemon.wait_exit(Instant::now() + Duration::from_secs(STOP_S));
        self.set_vm(side, VmState::Live);
        // A process that starts while the list still says so would be leaving too.
        let lag_ms = self.fleet.plan().platform.vm_lag_ms;
        std::thread::sleep(Duration::from_millis(lag_ms + READ_MS));
        daemon.start()
    }

    fn platform(&self, faults: PlatformFaults) {
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

    fn disturb(&self, side: usize) {
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
