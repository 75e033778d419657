//! The users' platform's key-value service: reads, range reads, watches and transactions.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use parking_lot::Mutex;
use serde::Deserialize;
use serde_json::{Value, json};

use crate::standin::http::{Call, Handler, HttpServer};

/// Interval at which a waiting watch checks for new changes.
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Maximum number of items in a page of a range read.
const MAX_PAGE_ITEMS: usize = 500;

/// Delay of a slow write.
const SLOW_WRITE_DELAY: Duration = Duration::from_millis(150);

/// Delay of an answer with history, longer than clients wait for its first byte.
const SLOW_HISTORY_DELAY: Duration = Duration::from_secs(4);

/// Fault of the key-value service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreFault {
    /// The service works.
    #[default]
    None,
    /// The service refuses all calls with status 503, without effect.
    Refusing,
    /// The service never answers, and calls have no effect.
    Silent,
    /// Writes take effect but are never answered.
    WriteAnswersLost,
    /// Writes are delayed.
    SlowWrites,
    /// Watches that return changes are delayed; reads are not.
    SlowHistory,
}

/// A change of a key; without a value, the key was removed.
#[derive(Clone, Debug)]
struct Change {
    revision: u64,
    key: String,
    value: Option<Vec<u8>>,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, (u64, Vec<u8>)>,
    history: Vec<Change>,
    /// Revision up to which the history was dropped.
    compacted_revision: u64,
    fault: StoreFault,
    /// Earlier state that range reads return; `None` for the current one.
    stale: Option<Snapshot>,
}

/// The items at a revision.
#[derive(Debug)]
struct Snapshot {
    revision: u64,
    items: BTreeMap<String, (u64, Vec<u8>)>,
}

/// A running simulated key-value service, which stops when dropped.
pub struct SimulatedStore {
    state: Arc<Mutex<State>>,
    server: HttpServer,
}

impl SimulatedStore {
    /// Starts a service on a free port.
    ///
    /// # Errors
    ///
    /// Returns the system's error if no port can be bound.
    pub fn start() -> io::Result<Self> {
        let state = Arc::new(Mutex::new(State::default()));
        let handler = Arc::new(StoreHandler {
            state: Arc::clone(&state),
        });
        let server = HttpServer::start(SocketAddr::from(([127, 0, 0, 1], 0)), handler)?;
        Ok(Self { state, server })
    }

    /// Returns the address that the service listens on.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Writes a key, as operators and targets do, without the HTTP server.
    pub fn put(&self, key: &str, value: impl Into<Vec<u8>>) {
        self.state.lock().set(key, Some(value.into()));
    }

    /// Removes a key.
    pub fn remove(&self, key: &str) {
        self.state.lock().set(key, None);
    }

    /// Returns the value of a key.
    pub fn get(&self, key: &str) -> Option<Vec<u8>> {
        let state = self.state.lock();
        state.items.get(key).map(|(_, value)| value.clone())
    }

    /// Sets the active fault.
    pub fn set_fault(&self, fault: StoreFault) {
        self.state.lock().fault = fault;
    }

    /// From now on, range reads return the present state, as a node does that gets no updates.
    pub fn freeze_range_reads(&self) {
        let mut state = self.state.lock();
        state.stale = Some(Snapshot {
            revision: state.revision,
            items: state.items.clone(),
        });
    }

    /// Drops the history; a watch from an earlier revision is refused with status 410.
    pub fn compact(&self) {
        let mut state = self.state.lock();
        state.compacted_revision = state.revision;
        state.history.clear();
    }
}

impl State {
    fn set(&mut self, key: &str, value: Option<Vec<u8>>) {
        self.revision += 1;
        let revision = self.revision;
        match &value {
            Some(value) => {
                self.items.insert(key.into(), (revision, value.clone()));
            }
            None => {
                self.items.remove(key);
            }
        }
        self.history.push(Change {
            revision,
            key: key.into(),
            value,
        });
    }

    fn item(&self, key: &str) -> Value {
        match self.items.get(key) {
            Some(item) => present_item(key, item),
            None => json!({"key": key, "revision": 0}),
        }
    }

    /// Returns the items that range reads show, and their revision.
    fn readable(&self) -> (&BTreeMap<String, (u64, Vec<u8>)>, u64) {
        match &self.stale {
            Some(snapshot) => (&snapshot.items, snapshot.revision),
            None => (&self.items, self.revision),
        }
    }

    fn changes(&self, prefix: &str, after: u64) -> Vec<Value> {
        let is_included = |c: &&Change| c.revision > after && c.key.starts_with(prefix);
        let event = |c: &Change| match &c.value {
            Some(value) => {
                json!({"key": c.key, "value": STANDARD.encode(value), "revision": c.revision})
            }
            None => json!({"key": c.key, "revision": c.revision, "deleted": true}),
        };
        self.history.iter().filter(is_included).map(event).collect()
    }
}

fn present_item(key: &str, (revision, value): &(u64, Vec<u8>)) -> Value {
    json!({"key": key, "value": STANDARD.encode(value), "revision": revision})
}

struct StoreHandler {
    state: Arc<Mutex<State>>,
}

/// A transaction, which is applied if all expected revisions match.
#[derive(Deserialize)]
struct Txn {
    #[serde(default)]
    expect: Vec<Expected>,
    #[serde(default)]
    write: Vec<Write>,
    #[serde(default)]
    remove: Vec<String>,
}

#[derive(Deserialize)]
struct Expected {
    key: String,
    revision: u64,
}

#[derive(Deserialize)]
struct Write {
    key: String,
    value: String,
}

impl Handler for StoreHandler {
    fn handle(self: Arc<Self>, call: Call) {
        let fault = self.state.lock().fault;
        match (fault, call.path()) {
            (StoreFault::Refusing, _) => call.answer_error(503, "down"),
            (StoreFault::Silent, _) => call.leave_open(),
            (_, "/-/kv-key") => self.key(call),
            (_, "/-/kv-range") => self.range(call),
            (_, "/-/kv-watch") => self.watch(call, fault),
            (_, "/-/kv-txn") => self.txn(call, fault),
            _ => call.answer_error(404, "no such call"),
        }
    }
}

impl StoreHandler {
    fn key(&self, call: Call) {
        let key = call.query("key").unwrap_or_default().to_owned();
        let state = self.state.lock();
        let status = if state.items.contains_key(&key) {
            200
        } else {
            404
        };
        let item = state.item(&key);
        drop(state);
        call.answer(status, &item);
    }

    fn range(&self, call: Call) {
        let prefix = call.query("prefix").unwrap_or_default().to_owned();
        let after = call.decoded_query("after").unwrap_or_default();
        let state = self.state.lock();
        let (items, revision) = state.readable();
        let mut included = items
            .iter()
            .filter(|(k, _)| k.starts_with(&prefix) && **k > after);
        let page = included.by_ref().take(MAX_PAGE_ITEMS);
        let entries: Vec<Value> = page.map(|(k, item)| present_item(k, item)).collect();
        let has_more = included.next().is_some();
        let page = json!({"entries": entries, "has_more": has_more, "at": revision});
        drop(state);
        call.answer(200, &page);
    }

    fn watch(&self, call: Call, fault: StoreFault) {
        let prefix = call.query("prefix").unwrap_or_default().to_owned();
        let parameter = |name| call.query(name).and_then(|n| n.parse().ok()).unwrap_or(0);
        let (after, wait_ms) = (parameter("after"), parameter("wait_ms"));
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        loop {
            let state = self.state.lock();
            if after < state.compacted_revision {
                drop(state);
                return call.answer_error(410, "history is gone");
            }
            let events = state.changes(&prefix, after);
            if !events.is_empty() || Instant::now() >= deadline {
                let changes = json!({"events": events, "at": state.revision});
                drop(state);
                if fault == StoreFault::SlowHistory && !events.is_empty() {
                    sleep(SLOW_HISTORY_DELAY);
                }
                return call.answer(200, &changes);
            }
            drop(state);
            sleep(WATCH_POLL_INTERVAL);
        }
    }

    fn txn(&self, call: Call, fault: StoreFault) {
        if fault == StoreFault::SlowWrites {
            sleep(SLOW_WRITE_DELAY);
        }
        let Ok(txn) = call.json::<Txn>() else {
            return call.answer_error(400, "malformed transaction");
        };
        let mut state = self.state.lock();
        let revision_of =
            |e: &Expected| state.items.get(&e.key).map_or(0, |(revision, _)| *revision);
        if txn.expect.iter().any(|e| revision_of(e) != e.revision) {
            let entries: Vec<Value> = txn.expect.iter().map(|e| state.item(&e.key)).collect();
            drop(state);
            return call.answer(412, &json!({"entries": entries}));
        }
        for write in &txn.write {
            let value = STANDARD.decode(&write.value).unwrap_or_default();
            state.set(&write.key, Some(value));
        }
        for key in &txn.remove {
            state.set(key, None);
        }
        let revision = state.revision;
        drop(state);
        match fault {
            StoreFault::WriteAnswersLost => call.leave_open(),
            _ => call.answer(200, &json!({"revision": revision})),
        }
    }
}
