//! Calls of the key-value service: decodes each call, runs it on the store and encodes its answer.

use std::time::{Duration, Instant};

use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use wisteriapass_coord::store::{Result, Revision, Store, StoreError, Swap, wire};

use super::{State, WATCH_POLL_INTERVAL};
use crate::standin::http::Call;

/// Kind of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallKind {
    Get,
    List,
    Swap,
    Watch,
    GrantLease,
    KeepLease,
}

impl CallKind {
    /// Returns the kind of call that is made at `path`.
    pub fn from_path(path: &str) -> Option<Self> {
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

    /// Returns whether the call may change the store.
    pub fn is_write(self) -> bool {
        match self {
            Self::Swap | Self::GrantLease | Self::KeepLease => true,
            Self::Get | Self::List | Self::Watch => false,
        }
    }
}

/// Runs a call on the store and returns its answer as JSON.
pub(super) fn run(state: &State, kind: CallKind, call: &Call) -> Result<Value> {
    match kind {
        CallKind::Get => get(state, &parse(call)?),
        CallKind::List => list(state, &parse(call)?),
        CallKind::Swap => swap(state, parse(call)?),
        CallKind::Watch => watch(state, &parse(call)?),
        CallKind::GrantLease => grant_lease(state, &parse(call)?),
        CallKind::KeepLease => keep_lease(state, &parse(call)?),
    }
}

fn get(state: &State, req: &wire::GetRequest) -> Result<Value> {
    let entry = state.store.get(&req.key)?;
    to_json(&wire::GetResponse { entry })
}

fn list(state: &State, req: &wire::ListRequest) -> Result<Value> {
    let entries = state.store.list(&req.prefix)?;
    let revision = state.store.revision();
    to_json(&wire::EntriesResponse { revision, entries })
}

fn swap(state: &State, req: wire::SwapRequest) -> Result<Value> {
    let swapped = match req.value {
        Some(field_value) => state
            .store
            .swap(&req.key, req.expected, &field_value, req.lease)?,
        None => state.store.delete(&req.key, req.expected)?,
    };
    to_json(&match swapped {
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

/// Waits in short intervals, so that the watch ends when an outage starts.
fn watch(state: &State, req: &wire::WatchRequest) -> Result<Value> {
    let deadline = Instant::now() + Duration::from_millis(req.wait_ms);
    loop {
        let remaining = deadline.saturating_duration_since(Instant::now());
        let timeout = remaining.min(WATCH_POLL_INTERVAL);
        let (revision, entries) = state.store.watch(&req.prefix, req.after, timeout)?;
        if !entries.is_empty() || remaining.is_zero() || !state.is_up() {
            return to_json(&wire::EntriesResponse { revision, entries });
        }
    }
}

fn grant_lease(state: &State, req: &wire::GrantLeaseRequest) -> Result<Value> {
    let lease = state.store.grant_lease(Duration::from_millis(req.ttl_ms))?;
    to_json(&wire::GrantLeaseResponse { lease })
}

fn keep_lease(state: &State, req: &wire::RenewLeaseRequest) -> Result<Value> {
    let kept = state.store.renew_lease(req.lease)?;
    to_json(&wire::RenewLeaseResponse { kept })
}

fn parse<T: DeserializeOwned>(call: &Call) -> Result<T> {
    call.json().map_err(refused)
}

fn to_json<T: Serialize>(answer: &T) -> Result<Value> {
    serde_json::to_value(answer).map_err(refused)
}

fn refused(e: serde_json::Error) -> StoreError {
    StoreError::Refused {
        cause: e.to_string(),
    }
}
