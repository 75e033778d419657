//! A service that loses answers, daemons that may be silent, and commands run against them.

#![allow(dead_code)]

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use gumdrop::{Options, ParsingStyle};
use parking_lot::Mutex;
use serde_json::Value;
use wisteriapass::args::Args;
use wisteriapass::control::{Control, Counter};
use wisteriapass::fleet::{self, Process};
use wisteriapass::{Context, Exit, Output};
use wisteriapass_config::Document;
use wisteriapass_coord::store::{
    Entry, LeaseId, MemoryStore, Result, Revision, Store, StoreError, Swap,
};
use wisteriapass_daemon::rpc::{CallError, ReasonCount, Status};

/// What happens to the next writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The write takes effect and its answer is lost.
    LostAnswer,
    /// The write is lost on its way.
    LostRequest,
    /// The service refuses connections.
    Down,
}

/// A service in memory whose next calls fail.
#[derive(Default)]
pub struct FaultyStore {
    pub inner: MemoryStore,
    faults: Mutex<Vec<(String, Fault)>>,
}

impl FaultyStore {
    pub fn new() -> Self {
        Self::default()
    }

    /// Lets the next writes to a key fail, one for each fault.
    pub fn inject_faults(&self, key: &str, faults: &[Fault]) {
        let faults = faults.iter().map(|f| (key.to_owned(), *f));
        self.faults.lock().extend(faults);
    }

    fn next_fault(&self, key: &str) -> Option<Fault> {
        let mut faults = self.faults.lock();
        let at = faults.iter().position(|(k, _)| key.starts_with(k))?;
        Some(faults.remove(at).1)
    }

    fn is_down(&self) -> bool {
        self.faults.lock().iter().any(|(_, f)| *f == Fault::Down)
    }
}

fn outcome_unknown<T>() -> Result<T> {
    Err(StoreError::Unknown {
        cause: "lost".into(),
    })
}

fn unreachable<T>() -> Result<T> {
    Err(StoreError::Unreachable {
        cause: "down".into(),
    })
}

impl Store for FaultyStore {
    fn get(&self, key: &str) -> Result<Option<Entry>> {
        if self.is_down() {
            return unreachable();
        }
        self.inner.get(key)
    }

    fn list(&self, prefix: &str) -> Result<Vec<Entry>> {
        if self.is_down() {
            return unreachable();
        }
        self.inner.list(prefix)
    }

    fn swap(&self, key: &str, at: Revision, value: &str, lease: Option<LeaseId>) -> Result<Swap> {
        if self.is_down() {
            return unreachable();
        }
        match self.next_fault(key) {
            None => self.inner.swap(key, at, value, lease),
            Some(Fault::LostAnswer) => {
                self.inner.swap(key, at, value, lease)?;
                outcome_unknown()
            }
            Some(Fault::LostRequest | Fault::Down) => outcome_unknown(),
        }
    }

    fn delete(&self, key: &str, expected: Revision) -> Result<Swap> {
        self.inner.delete(key, expected)
    }

    fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<(Revision, Vec<Entry>)> {
        self.inner.watch(prefix, after, wait)
    }

    fn grant_lease(&self, ttl: Duration) -> Result<LeaseId> {
        self.inner.grant_lease(ttl)
    }

    fn renew_lease(&self, lease: LeaseId) -> Result<bool> {
        self.inner.renew_lease(lease)
    }
}

/// Daemons of the Pizarra example; each has a revision or is silent.
pub struct FakeDaemons {
    processes: Vec<Process>,
    revisions: HashMap<String, u64>,
}

impl FakeDaemons {
    /// Lets all daemons have a revision.
    pub fn at_revision(revision: u64) -> Self {
        let processes = fleet::processes(&example_document().inventory);
        let names = processes.iter().map(|p| (p.name.clone(), revision));
        let revisions = names.collect();
        Self {
            processes,
            revisions,
        }
    }

    /// Gives one daemon another revision.
    pub fn with_revision(mut self, name: &str, revision: u64) -> Self {
        self.revisions.insert(name.into(), revision);
        self
    }

    /// Silences one daemon.
    pub fn with_silent(mut self, name: &str) -> Self {
        self.revisions.remove(name);
        self
    }

    fn find(&self, address: SocketAddr) -> Result<(&Process, u64), CallError> {
        let process = self.processes.iter().find(|p| p.control == address);
        let found = process.and_then(|p| Some((p, *self.revisions.get(&p.name)?)));
        found.ok_or_else(|| CallError::NoAnswer {
            cause: "silent".into(),
        })
    }
}

impl Control for FakeDaemons {
    fn status(&self, address: SocketAddr) -> Result<Status, CallError> {
        let (process, revision) = self.find(address)?;
        Ok(Status {
            name: process.name.clone(),
            role: process.role,
            incarnation: "1".into(),
            revision,
            stopping: false,
            working: 3,
        })
    }

    fn counter(&self, address: SocketAddr, _: Counter) -> Result<Vec<ReasonCount>, CallError> {
        self.find(address)?;
        Ok(vec![ReasonCount {
            reason: "overloaded".into(),
            count: 2,
        }])
    }
}

/// Returns the path of a file of the Pizarra example.
pub fn example_file(file: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../examples/pizarra");
    path.join(file).display().to_string()
}

/// Returns the Pizarra example.
pub fn example_document() -> Document {
    let read = |file| std::fs::read_to_string(example_file(file)).unwrap();
    Document::from_toml(&read("inventory.toml"), &read("rules.toml")).unwrap()
}

/// Returns a directory of this test's own.
pub fn empty_dir(test: &str) -> PathBuf {
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(test);
    let _ = std::fs::remove_dir_all(&dir);
    std::fs::create_dir_all(&dir).unwrap();
    dir
}

/// Runs a command line with JSON output.
pub fn run_json(store: &dyn Store, args: &[&str]) -> (Exit, Value) {
    run_json_with(store, &FakeDaemons::at_revision(1), args)
}

/// Runs a command line with JSON output against some daemons.
pub fn run_json_with(store: &dyn Store, fleet: &FakeDaemons, args: &[&str]) -> (Exit, Value) {
    let (exit, text) = run_with(store, fleet, &[&["--json"], args].concat(), "");
    (exit, serde_json::from_str(&text).unwrap())
}

/// Runs a command line and returns its exit code and output.
pub fn run(store: &dyn Store, args: &[&str], input: &str) -> (Exit, String) {
    run_with(store, &FakeDaemons::at_revision(1), args, input)
}

/// Runs a command line against some daemons and returns its exit code and output.
pub fn run_with(
    store: &dyn Store,
    fleet: &FakeDaemons,
    args: &[&str],
    input: &str,
) -> (Exit, String) {
    let args = Args::parse_args(args, ParsingStyle::AllOptions).unwrap();
    let mut out = Vec::new();
    let output = Output::new(&mut out, args.json);
    let mut cx = Context::new(store, fleet, output, input.as_bytes());
    let exit = wisteriapass::run(&mut cx, &args);
    drop(cx);
    (exit, String::from_utf8(out).unwrap())
}

/// Applies the Pizarra example as revision 1.
pub fn apply_example(store: &dyn Store) {
    let files = [example_file("inventory.toml"), example_file("rules.toml")];
    let (exit, _) = run_json(store, &["apply", &files[0], &files[1], "--from", "0"]);
    assert_eq!(exit, Exit::Success);
}
