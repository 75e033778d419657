//! A store with injected faults, fake daemons, and functions that run commands against them.

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
use wisteriapass_daemon::rpc::{CallError, ProcessStatus, ReasonCount};

/// Fault of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The next write takes effect, but its response is lost.
    LostAnswer,
    /// The next write is lost before it takes effect.
    LostRequest,
    /// Reads and writes fail because the store is unreachable.
    Down,
}

/// An in-memory store with injected faults.
#[derive(Default)]
pub struct FaultyStore {
    pub inner: MemoryStore,
    faults: Mutex<Vec<(String, Fault)>>,
}

impl FaultyStore {
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds faults for the next writes to keys with a prefix, one per write.
    ///
    /// [`Fault::Down`] affects all keys at once and stays.
    pub fn inject_faults(&self, prefix: &str, faults: &[Fault]) {
        let faults = faults.iter().map(|f| (prefix.to_owned(), *f));
        self.faults.lock().extend(faults);
    }

    fn take_fault(&self, key: &str) -> Option<Fault> {
        let mut faults = self.faults.lock();
        let at = faults
            .iter()
            .position(|(prefix, _)| key.starts_with(prefix))?;
        Some(faults.remove(at).1)
    }

    fn is_down(&self) -> bool {
        self.faults.lock().iter().any(|(_, f)| *f == Fault::Down)
    }
}

fn unknown_error<T>() -> Result<T> {
    Err(StoreError::Unknown {
        cause: "lost".into(),
    })
}

fn unreachable_error<T>() -> Result<T> {
    Err(StoreError::Unreachable {
        cause: "down".into(),
    })
}

impl Store for FaultyStore {
    fn get(&self, key: &str) -> Result<Option<Entry>> {
        if self.is_down() {
            return unreachable_error();
        }
        self.inner.get(key)
    }

    fn list(&self, prefix: &str) -> Result<Vec<Entry>> {
        if self.is_down() {
            return unreachable_error();
        }
        self.inner.list(prefix)
    }

    fn swap(
        &self,
        key: &str,
        expected: Revision,
        value: &str,
        lease: Option<LeaseId>,
    ) -> Result<Swap> {
        if self.is_down() {
            return unreachable_error();
        }
        match self.take_fault(key) {
            None => self.inner.swap(key, expected, value, lease),
            Some(Fault::LostAnswer) => {
                self.inner.swap(key, expected, value, lease)?;
                unknown_error()
            }
            Some(Fault::LostRequest | Fault::Down) => unknown_error(),
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

/// Daemons of the Pizarra example. Each has a revision or does not answer.
pub struct FakeDaemons {
    processes: Vec<Process>,
    revisions: HashMap<String, u64>,
}

impl FakeDaemons {
    /// Creates daemons that all have the given revision.
    pub fn at_revision(revision: u64) -> Self {
        let processes = fleet::processes(&example_document().inventory);
        let names = processes.iter().map(|p| (p.name.clone(), revision));
        let revisions = names.collect();
        Self {
            processes,
            revisions,
        }
    }

    /// Sets the revision of one daemon.
    pub fn with_revision(mut self, name: &str, revision: u64) -> Self {
        self.revisions.insert(name.into(), revision);
        self
    }

    /// Makes one daemon leave calls unanswered.
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
    fn status(&self, address: SocketAddr) -> Result<ProcessStatus, CallError> {
        let (process, revision) = self.find(address)?;
        Ok(ProcessStatus {
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

/// Returns the configuration of the Pizarra example.
pub fn example_document() -> Document {
    let read = |file| std::fs::read_to_string(example_file(file)).unwrap();
    Document::from_toml(&read("inventory.toml"), &read("rules.toml")).unwrap()
}

/// Creates an empty directory for one test.
pub fn empty_dir(test: &str) -> PathBuf {
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(test);
    let _ = std::fs::remove_dir_all(&dir);
    std::fs::create_dir_all(&dir).unwrap();
    dir
}

/// Runs a command with JSON output against daemons at revision 1.
pub fn run_json(store: &dyn Store, args: &[&str]) -> (Exit, Value) {
    run_json_with(store, &FakeDaemons::at_revision(1), args)
}

/// Runs a command with JSON output against the given daemons.
pub fn run_json_with(store: &dyn Store, daemons: &FakeDaemons, args: &[&str]) -> (Exit, Value) {
    let (exit, text) = run_with(store, daemons, &[&["--json"], args].concat(), "");
    (exit, serde_json::from_str(&text).unwrap())
}

/// Runs a command against daemons at revision 1 and returns its exit code and output.
pub fn run(store: &dyn Store, args: &[&str], input: &str) -> (Exit, String) {
    run_with(store, &FakeDaemons::at_revision(1), args, input)
}

/// Runs a command against the given daemons and returns its exit code and output.
pub fn run_with(
    store: &dyn Store,
    daemons: &FakeDaemons,
    args: &[&str],
    input: &str,
) -> (Exit, String) {
    let args = Args::parse_args(args, ParsingStyle::AllOptions).unwrap();
    let mut out = Vec::new();
    let output = Output::new(&mut out, args.json);
    let mut cx = Context::new(store, daemons, output, input.as_bytes());
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
