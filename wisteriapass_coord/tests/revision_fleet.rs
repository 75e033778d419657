//! State machine test: the configuration of a fleet never reverts. Broken variants check that the
//! test detects a reversion.

mod flaky_store;

use std::collections::BTreeMap;

use quickcheck::{Arbitrary, Gen, QuickCheck};

use flaky_store::FlakyStore;
use wisteriapass_coord::revision::{
    ActiveConfig, Bootstrap, ConfigDocument, ConfigRevision, Edit, EditOutcome, Readiness,
    read_current,
};

const PROCESSES: usize = 5;

/// Fault injected into the fleet under test.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Variant {
    Correct,
    /// A document from a message replaces the active one regardless of its revision.
    AdoptsAny,
    /// A starting process serves after the report of one peer.
    StartsWithOnePeer,
    /// A writer whose response was lost treats its edit as refused.
    ForgetsLostEdits,
}

#[derive(Clone, Debug)]
enum Step {
    Edit {
        by: usize,
        loses_response: bool,
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
    AskPeer {
        starting: usize,
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
                loses_response: bool::arbitrary(g),
                race: bool::arbitrary(g),
            },
            2 => Self::Outage(bool::arbitrary(g)),
            3 => Self::Watch(a),
            4 => Self::SilenceWatch(a),
            5..=7 => Self::Send { from: a, to: b },
            8..=10 => Self::Deliver(usize::arbitrary(g)),
            11 => Self::Restart(a),
            12 => Self::ReadService(a),
            _ => Self::AskPeer {
                starting: a,
                peer: b,
            },
        }
    }
}

/// Process that serves, or that is starting and must reach at least the given revision.
#[derive(Default)]
struct Process {
    config: ActiveConfig,
    is_watch_silent: bool,
    starting: Option<(Bootstrap, ConfigRevision)>,
}

struct Fleet {
    variant: Variant,
    store: FlakyStore,
    processes: Vec<Process>,
    in_flight: Vec<(usize, ConfigDocument)>,
    accepted: BTreeMap<ConfigRevision, String>,
    refused: Vec<String>,
    edits: u32,
    has_reverted: bool,
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
            has_reverted: false,
        }
    }

    fn adopt(&mut self, to: usize, document: ConfigDocument) {
        let process = &mut self.processes[to];
        let before = process.config.revision();
        if self.variant == Variant::AdoptsAny {
            process.config = ActiveConfig::new();
        }
        process.config.adopt(document).unwrap();
        self.has_reverted |= process.starting.is_none() && process.config.revision() < before;
    }

    /// Returns the highest revision that is active at a majority.
    fn majority_revision(&self) -> ConfigRevision {
        let serving = self.processes.iter().filter(|p| p.starting.is_none());
        let mut revisions: Vec<_> = serving.map(|p| p.config.revision()).collect();
        revisions.sort_unstable();
        revisions.reverse();
        let majority_revision = revisions.get(PROCESSES / 2).copied();
        majority_revision.unwrap_or(ConfigRevision::NONE)
    }

    fn edit(&mut self, by: usize, loses_response: bool, race: bool) {
        self.edits += 1;
        let op = format!("op{}", self.edits);
        let from = self.processes[by].config.revision();
        if loses_response {
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
        let forgets_edit = self.variant == Variant::ForgetsLostEdits && loses_response;
        match outcome {
            Ok(EditOutcome::Accepted(_)) if forgets_edit => self.refused.push(op),
            Ok(EditOutcome::Accepted(revision)) => {
                self.accepted.insert(revision, op);
            }
            Ok(EditOutcome::Conflict { .. }) | Err(_) => self.refused.push(op),
            Ok(EditOutcome::Unknown(_)) => {}
        }
    }

    fn ask_peer(&mut self, starting: usize, peer: usize) {
        if starting == peer || self.processes[peer].starting.is_some() {
            return;
        }
        let revision = self.processes[peer].config.revision();
        let document = self.processes[peer].config.document().cloned();
        let process = &mut self.processes[starting];
        let Some((bootstrap, _)) = &mut process.starting else {
            return;
        };
        bootstrap.record_peer(&peer.to_string(), revision);
        if let (Readiness::Fetch { .. }, Some(document)) =
            (bootstrap.readiness(&process.config), document)
        {
            self.adopt(starting, document);
        }
        self.start_serving_if_ready(starting);
    }

    fn start_serving_if_ready(&mut self, starting: usize) {
        let process = &mut self.processes[starting];
        let Some((bootstrap, least)) = &process.starting else {
            return;
        };
        let readiness = bootstrap.readiness(&process.config);
        let starts_early = self.variant == Variant::StartsWithOnePeer
            && matches!(readiness, Readiness::Wait { missing } if missing < 3);
        if readiness != Readiness::Ready && !starts_early {
            return;
        }
        self.has_reverted |= process.config.revision() < *least;
        process.starting = None;
    }

    fn read(&mut self, at: usize) {
        if let Ok(Some(document)) = read_current(&self.store) {
            self.adopt(at, document);
        }
    }

    fn step(&mut self, step: &Step) {
        match *step {
            Step::Edit {
                by,
                loses_response,
                race,
            } => self.edit(by, loses_response, race),
            Step::Outage(is_down) => self.store.set_down(is_down),
            Step::SilenceWatch(at) => self.processes[at].is_watch_silent ^= true,
            Step::Watch(at) if !self.processes[at].is_watch_silent => self.read(at),
            Step::Watch(_) => {}
            Step::Send { from, to } => {
                let document = self.processes[from].config.document();
                self.in_flight.extend(document.map(|d| (to, d.clone())));
            }
            Step::Deliver(n) if !self.in_flight.is_empty() => {
                let (to, document) = self.in_flight.remove(n % self.in_flight.len());
                self.adopt(to, document);
            }
            Step::Deliver(_) => {}
            Step::Restart(at) => {
                let least = self.majority_revision();
                self.processes[at] = Process::default();
                self.processes[at].starting = Some((Bootstrap::new(PROCESSES - 1), least));
            }
            Step::ReadService(at) => {
                if read_current(&self.store).is_ok() {
                    self.read(at);
                    if let Some((bootstrap, _)) = &mut self.processes[at].starting {
                        bootstrap.set_service_read();
                    }
                    self.start_serving_if_ready(at);
                }
            }
            Step::AskPeer { starting, peer } => self.ask_peer(starting, peer),
        }
    }

    /// Returns whether each accepted edit has its revision and no refused edit took effect.
    fn outcomes_are_correct(&self) -> bool {
        self.store.set_down(false);
        let current = read_current(&self.store).unwrap();
        let revision_of = |op: &str| current.as_ref().and_then(|c| c.revision_of(op));
        let newest = current.as_ref().map_or(0, |c| c.revision().0);
        let is_recorded = |r: &ConfigRevision| r.0 + 32 >= newest;
        let mut accepted = self.accepted.iter().filter(|(r, _)| is_recorded(r));
        accepted.all(|(revision, op)| revision_of(op) == Some(*revision))
            && self.refused.iter().all(|op| revision_of(op).is_none())
    }
}

fn never_reverts(variant: Variant, steps: &[Step]) -> bool {
    let mut fleet = Fleet::new(variant);
    for step in steps {
        fleet.step(step);
        if fleet.has_reverted {
            return false;
        }
    }
    fleet.outcomes_are_correct()
}

fn check(variant: Variant) -> Result<u64, quickcheck::TestResult> {
    let property = match variant {
        Variant::Correct => |s: Vec<Step>| never_reverts(Variant::Correct, &s),
        Variant::AdoptsAny => |s: Vec<Step>| never_reverts(Variant::AdoptsAny, &s),
        Variant::StartsWithOnePeer => |s: Vec<Step>| never_reverts(Variant::StartsWithOnePeer, &s),
        Variant::ForgetsLostEdits => |s: Vec<Step>| never_reverts(Variant::ForgetsLostEdits, &s),
    };
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(120, 23))
        .tests(3_000)
        .quicktest(property as fn(Vec<Step>) -> bool)
}

#[test]
fn the_configuration_never_reverts() {
    assert!(check(Variant::Correct).is_ok());
}

#[test]
fn adopting_any_document_is_detected() {
    assert!(check(Variant::AdoptsAny).is_err_and(|r| r.is_failure() && !r.is_error()));
}

#[test]
fn starting_with_one_peer_is_detected() {
    assert!(check(Variant::StartsWithOnePeer).is_err_and(|r| r.is_failure() && !r.is_error()));
}

#[test]
fn forgetting_an_edit_whose_response_was_lost_is_detected() {
    assert!(check(Variant::ForgetsLostEdits).is_err_and(|r| r.is_failure() && !r.is_error()));
}
