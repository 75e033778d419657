//! Requests and answers of the key-value service over HTTP: `POST /v1/<call>` with JSON.

use serde::{Deserialize, Serialize};

use crate::store::{Entry, LeaseId, Revision};

/// Body of `POST /v1/get`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GetRequest {
    /// Key to read.
    pub key: String,
}

/// Answer of `/v1/get`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GetResponse {
    /// The key, if it exists.
    pub entry: Option<Entry>,
}

/// Body of `POST /v1/list`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ListRequest {
    /// Prefix of the keys to read.
    pub prefix: String,
}

/// Answer of `/v1/list` and `/v1/watch`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EntriesResponse {
    /// Revision of the service when it answered.
    pub revision: Revision,
    /// Keys, in order.
    pub entries: Vec<Entry>,
}

/// Body of `POST /v1/swap`; without `value` the key is deleted.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SwapRequest {
    /// Key to write.
    pub key: String,
    /// Revision the key must be at, 0 for a key that must not exist.
    pub expected: Revision,
    /// New value, or none to delete.
    pub value: Option<String>,
    /// Lease that carries the key.
    pub lease: Option<LeaseId>,
}

/// Answer of `/v1/swap`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SwapResponse {
    /// Whether the write took effect.
    pub done: bool,
    /// Revision of the write, if it took effect.
    pub revision: Revision,
    /// What the key holds, if the write did not take effect.
    pub current: Option<Entry>,
}

/// Body of `POST /v1/watch`, answered when something changed or after `wait_ms`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WatchRequest {
    /// Prefix of the watched keys.
    pub prefix: String,
    /// Only changes past this revision are of interest.
    pub after: Revision,
    /// Longest wait, in milliseconds.
    pub wait_ms: u64,
}

/// Body of `POST /v1/lease/grant`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GrantLeaseRequest {
    /// Term of the lease, in milliseconds.
    pub ttl_ms: u64,
}

/// Answer of `/v1/lease/grant`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GrantLeaseResponse {
    /// The lease.
    pub lease: LeaseId,
}

/// Body of `POST /v1/lease/keep`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RenewLeaseRequest {
    /// The lease.
    pub lease: LeaseId,
}

/// Answer of `/v1/lease/keep`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RenewLeaseResponse {
    /// Whether the lease still stood.
    pub kept: bool,
}
