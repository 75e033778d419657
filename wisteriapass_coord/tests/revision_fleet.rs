//! State machine of a fleet whose configuration must never revert, with broken variants that do.

mod flaky_store;

use std::collections::BTreeMap;

use quickcheck::{Arbitrary, Gen, QuickCheck};

use flaky_store::FlakyStore;
use wisteriapass_coord::revision::{
    ActiveConfig, Bootstrap, ConfigDocument, ConfigRevision, Edit, EditOutcome, Readiness,
    read_current,
};

const PROCESSES: usize = 5;

/// What the fleet under test gets wrong on purpose.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Variant {
    Sound,
    /// A message's document replaces whatever is in force.
    AdoptsAny,
    /// A fresh process is content with the first peer.
    OnePeerIsEnough,
    /// A writer whose answer was lost takes its edit for refused.
    ForgetsLostEdits,
}

#[derive(Clone, Debug)]
enum Step {
    Edit {
        by: usize,
        is_lost: bool,
        race: bool,
    },
    Outage(bool),
    Watch(usize),
    SilenceWatch(usize),
    Send {
        from: usize,
        to: usize,
    },
    Deliver(usize),
    Restart(usize),
    ReadService(usize),
    Ask {
        fresh: usize,
        peer: usize,
    },
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let a = usize::arbitrary(g) % PROCESSES;
        let b = usize::arbitrary(g) % PROCESSES;
        match u8::arbitrary(g) % 16 {
            0 | 1 => Self::Edit {
                by: a,
                is_lost: bool::arbitrary(g),
                race: bool::arbitrary(g),
            },
            2 => Self::Outage(bool::arbitrary(g)),
            3 => Self::Watch(a),
            4 => Self::SilenceWatch(a),
            5..=7 => Self::Send { from: a, to: b },
            8..=10 => Self::Deliver(usize::arbitrary(g)),
            11 => Self::Restart(a),
            12 => Self::ReadService(a),
            _ => Self::Ask { fresh: a, peer: b },
        }
    }
}

/// One process: serving, or fresh with what it must reach at least.
#[derive(Default)]
struct Process {
    in_force: ActiveConfig,
    is_watch_silent: bool,
    fresh: Option<(Bootstrap, ConfigRevision)>,
}

struct Fleet {
    variant: Variant,
    store: FlakyStore,
    processes: Vec<Process>,
    in_flight: Vec<(usize, ConfigDocument)>,
    accepted: BTreeMap<ConfigRevision, String>,
    refused: Vec<String>,
    edits: u32,
    is_reverted: bool,
}

impl Fleet {
    fn new(variant: Variant) -> Self {
        Self {
            variant,
            store: FlakyStore::default(),
            processes: (0..PROCESSES).map(|_| Process::default()).collect(),
            in_flight: Vec::new(),
            accepted: BTreeMap::new(),
            refused: Vec::new(),
            edits: 0,
            is_reverted: false,
        }
    }

    fn adopt(&mut self, to: usize, held: ConfigDocument) {
        let process = &mut self.processes[to];
        let before = process.in_force.revision();
        if self.variant == Variant::AdoptsAny {
            process.in_force = ActiveConfig::new();
        }
        process.in_force.adopt(held).unwrap();
        self.is_reverted |= process.fresh.is_none() && process.in_force.revision() < before;
    }

    /// Returns the highest revision that a majority has in force.
    fn in_force_at_majority(&self) -> ConfigRevision {
        let serving = self.processes.iter().filter(|p| p.fresh.is_none());
        let mut revisions: Vec<_> = serving.map(|p| p.in_force.revision()).collect();
        revisions.sort_unstable();
        revisions.reverse();
        let at_majority = revisions.get(PROCESSES / 2).copied();
        at_majority.unwrap_or(ConfigRevision::NONE)
    }

    fn edit(&mut self, by: usize, is_lost: bool, race: bool) {
        self.edits += 1;
        let op = format!("op{}", self.edits);
        let from = self.processes[by].in_force.revision();
        if is_lost {
            self.store.lose_next_answer();
        }
        if race {
            let (from, op) = (from.next(), format!("{op}-racer"));
            let racer = Edit::new(from, op.clone(), "{}").unwrap();
            self.store.race_next(Box::new(move |inner| {
                racer.submit(inner).unwrap();
            }));
        }
        let outcome = Edit::new(from, op.clone(), "{}")
            .unwrap()
            .submit(&self.store);
        let forgets = self.variant == Variant::ForgetsLostEdits && is_lost;
        match outcome {
            Ok(EditOutcome::Accepted(_)) if forgets => self.refused.push(op),
            Ok(EditOutcome::Accepted(revision)) => {
                self.accepted.insert(revision, op);
            }
            Ok(EditOutcome::Conflict { .. }) | Err(_) => self.refused.push(op),
            Ok(EditOutcome::Unknown(_)) => {}
        }
    }

    fn ask(&mut self, fresh: usize, peer: usize) {
        if fresh == peer || self.processes[peer].fresh.is_some() {
            return;
        }
        let revision = self.processes[peer].in_force.revision();
        let held = self.processes[peer].in_force.document().cloned();
        let process = &mut self.processes[fresh];
        let Some((bootstrap, _)) = &mut process.fresh else {
            return;
        };
        bootstrap.record_peer(&peer.to_string(), revision);
        if let (Readiness::Fetch { .. }, Some(held)) =
            (bootstrap.readiness(&process.in_force), held)
        {
            self.adopt(fresh, held);
        }
        self.settle(fresh);
    }

    fn settle(&mut self, fresh: usize) {
        let process = &mut self.processes[fresh];
        let Some((bootstrap, least)) = &process.fresh else {
            return;
        };
        let readiness = bootstrap.readiness(&process.in_force);
        let is_hasty = self.variant == Variant::OnePeerIsEnough
            && matches!(readiness, Readiness::Wait { missing } if missing < 3);
        if readiness != Readiness::Ready && !is_hasty {
            return;
        }
        self.is_reverted |= process.in_force.revision() < *least;
        process.fresh = None;
    }

    fn read(&mut self, at: usize) {
        if let Ok(Some(held)) = read_current(&self.store) {
            self.adopt(at, held);
        }
    }

    fn step(&mut self, step: &Step) {
        match *step {
            Step::Edit { by, is_lost, race } => self.edit(by, is_lost, race),
            Step::Outage(is_down) => self.store.set_down(is_down),
            Step::SilenceWatch(at) => self.processes[at].is_watch_silent ^= true,
            Step::Watch(at) if !self.processes[at].is_watch_silent => self.read(at),
            Step::Watch(_) => {}
            Step::Send { from, to } => {
                let held = self.processes[from].in_force.document();
                self.in_flight.extend(held.map(|h| (to, h.clone())));
            }
            Step::Deliver(n) if !self.in_flight.is_empty() => {
                let (to, held) = self.in_flight.remove(n % self.in_flight.len());
                self.adopt(to, held);
            }
            Step::Deliver(_) => {}
            Step::Restart(at) => {
                let least = self.in_force_at_majority();
                self.processes[at] = Process::default();
                self.processes[at].fresh = Some((Bootstrap::new(PROCESSES - 1), least));
            }
            Step::ReadService(at) => {
                if read_current(&self.store).is_ok() {
                    self.read(at);
                    if let Some((bootstrap, _)) = &mut self.processes[at].fresh {
                        bootstrap.set_service_read();
                    }
                    self.settle(at);
                }
            }
            Step::Ask { fresh, peer } => self.ask(fresh, peer),
        }
    }

    /// Returns whether each accepted edit stands at its revision and no refused one took effect.
    fn is_told_truly(&self) -> bool {
        self.store.set_down(false);
        let current = read_current(&self.store).unwrap();
        let made = |op: &str| current.as_ref().and_then(|c| c.revision_of(op));
        let newest = current.as_ref().map_or(0, |c| c.revision().0);
        let remembered = |r: &ConfigRevision| r.0 + 32 >= newest;
        let mut accepted = self.accepted.iter().filter(|(r, _)| remembered(r));
        accepted.all(|(revision, op)| made(op) == Some(*revision))
            && self.refused.iter().all(|op| made(op).is_none())
    }
}

fn holds(variant: Variant, steps: &[Step]) -> bool {
    let mut fleet = Fleet::new(variant);
    for step in steps {
        fleet.step(step);
        if fleet.is_reverted {
            return false;
        }
    }
    fleet.is_told_truly()
}

fn check(variant: Variant) -> Result<u64, quickcheck::TestResult> {
    let property = match variant {
        Variant::Sound => |s: Vec<Step>| holds(Variant::Sound, &s),
        Variant::AdoptsAny => |s: Vec<Step>| holds(Variant::AdoptsAny, &s),
        Variant::OnePeerIsEnough => |s: Vec<Step>| holds(Variant::OnePeerIsEnough, &s),
        Variant::ForgetsLostEdits => |s: Vec<Step>| holds(Variant::ForgetsLostEdits, &s),
    };
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(120, 23))
        .tests(3_000)
        .quicktest(property as fn(Vec<Step>) -> bool)
}

#[test]
fn the_configuration_never_reverts() {
    assert!(check(Variant::Sound).is_ok());
}

#[test]
fn adopting_any_document_is_caught() {
    assert!(check(Variant::AdoptsAny).is_err_and(|r| r.is_failure() && !r.is_error()));
}

#[test]
fn starting_on_one_peer_is_caught() {
    assert!(check(Variant::OnePeerIsEnough).is_err_and(|r| r.is_failure() && !r.is_error()));
}

#[test]
fn forgetting_a_lost_edit_is_caught() {
    assert!(check(Variant::ForgetsLostEdits).is_err_and(|r| r.is_failure() && !r.is_error()));
}
