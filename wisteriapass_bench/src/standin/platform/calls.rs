//! Calls of the key-value service, from their JSON to the store and back.

use std::time::{Duration, Instant};

use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use wisteriapass_coord::store::{Result, Revision, Store, StoreError, Swap, wire};

use super::{State, WATCH_SLICE};
use crate::standin::http::Call;

/// Kind of call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Kind {
    Get,
    List,
    Swap,
    Watch,
    GrantLease,
    KeepLease,
}

impl Kind {
    /// Returns the kind of call that a path names.
    pub fn of(path: &str) -> Option<Self> {
        match path {
            "/v1/get" => Some(Self::Get),
            "/v1/list" => Some(Self::List),
            "/v1/swap" => Some(Self::Swap),
            "/v1/watch" => Some(Self::Watch),
            "/v1/lease/grant" => Some(Self::GrantLease),
            "/v1/lease/keep" => Some(Self::KeepLease),
            _ => None,
        }
    }

    /// Returns whether the call may change something.
    pub fn is_write(self) -> bool {
        match self {
            Self::Swap | Self::GrantLease | Self::KeepLease => true,
            Self::Get | Self::List | Self::Watch => false,
        }
    }
}

/// Runs a call against the store and returns the JSON of its answer.
pub(super) fn run(state: &State, kind: Kind, call: &Call) -> Result<Value> {
    match kind {
        Kind::Get => get(state, &read(call)?),
        Kind::List => list(state, &read(call)?),
        Kind::Swap => swap(state, read(call)?),
        Kind::Watch => watch(state, &read(call)?),
        Kind::GrantLease => grant_lease(state, &read(call)?),
        Kind::KeepLease => keep_lease(state, &read(call)?),
    }
}

fn get(state: &State, req: &wire::GetRequest) -> Result<Value> {
    let entry = state.store.get(&req.key)?;
    write(&wire::GetResponse { entry })
}

fn list(state: &State, req: &wire::ListRequest) -> Result<Value> {
    let entries = state.store.list(&req.prefix)?;
    let revision = state.store.revision();
    write(&wire::EntriesResponse { revision, entries })
}

fn swap(state: &State, req: wire::SwapRequest) -> Result<Value> {
    let swapped = match req.value {
        Some(value) => state
            .store
            .swap(&req.key, req.expected, &value, req.lease)?,
        None => state.store.delete(&req.key, req.expected)?,
    };
    write(&match swapped {
        Swap::Done(revision) => wire::SwapResponse {
            done: true,
            revision,
            current: None,
        },
        Swap::Conflict(current) => wire::SwapResponse {
            done: false,
            revision: Revision::ABSENT,
            current,
        },
    })
}

/// Waits in slices, so that a watch ends when an outage begins.
fn watch(state: &State, req: &wire::WatchRequest) -> Result<Value> {
    let ends_at = Instant::now() + Duration::from_millis(req.wait_ms);
    loop {
        let left = ends_at.saturating_duration_since(Instant::now());
        let slice = left.min(WATCH_SLICE);
        let (revision, entries) = state.store.watch(&req.prefix, req.after, slice)?;
        if !entries.is_empty() || left.is_zero() || !state.is_up() {
            return write(&wire::EntriesResponse { revision, entries });
        }
    }
}

fn grant_lease(state: &State, req: &wire::GrantLeaseRequest) -> Result<Value> {
    let lease = state.store.grant_lease(Duration::from_millis(req.ttl_ms))?;
    write(&wire::GrantLeaseResponse { lease })
}

fn keep_lease(state: &State, req: &wire::RenewLeaseRequest) -> Result<Value> {
    let kept = state.store.renew_lease(req.lease)?;
    write(&wire::RenewLeaseResponse { kept })
}

fn read<T: DeserializeOwned>(call: &Call) -> Result<T> {
    call.json().map_err(refused)
}

fn write<T: Serialize>(answer: &T) -> Result<Value> {
    serde_json::to_value(answer).map_err(refused)
}

fn refused(e: serde_json::Error) -> StoreError {
    StoreError::Refused {
        cause: e.to_string(),
    }
}
