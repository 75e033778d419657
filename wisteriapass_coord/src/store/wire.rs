//! JSON requests and responses of the key-value service, sent as `POST /v1/<call>`.

use serde::{Deserialize, Serialize};

use crate::store::{Entry, LeaseId, Revision};

/// Body of `POST /v1/get`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GetRequest {
    /// Key to read.
    pub key: String,
}

/// Response of `/v1/get`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GetResponse {
    /// Entry of the key, if it exists.
    pub entry: Option<Entry>,
}

/// Body of `POST /v1/list`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ListRequest {
    /// Prefix of the keys to read.
    pub prefix: String,
}

/// Response of `/v1/list` and `/v1/watch`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EntriesResponse {
    /// Revision of the service at the time of the response.
    pub revision: Revision,
    /// Entries, sorted by key.
    pub entries: Vec<Entry>,
}

/// Body of `POST /v1/swap`; without `value` the key is deleted.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SwapRequest {
    /// Key to write.
    pub key: String,
    /// Revision the key must be at, 0 for a key that must not exist.
    pub expected: Revision,
    /// New value, or `None` to delete the key.
    pub value: Option<String>,
    /// Lease that the key is attached to.
    pub lease: Option<LeaseId>,
}

/// Response of `/v1/swap`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SwapResponse {
    /// Whether the write took effect.
    pub done: bool,
    /// Revision of the write, if it took effect.
    pub revision: Revision,
    /// Current entry of the key, if the write did not take effect.
    pub current: Option<Entry>,
}

/// Body of `POST /v1/watch`; the response is sent after a change or after `wait_ms`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WatchRequest {
    /// Prefix of the watched keys.
    pub prefix: String,
    /// Only changes after this revision are returned.
    pub after: Revision,
    /// Maximum wait, in milliseconds.
    pub wait_ms: u64,
}

/// Body of `POST /v1/lease/grant`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GrantLeaseRequest {
    /// Term of the lease, in milliseconds.
    pub ttl_ms: u64,
}

/// Response of `/v1/lease/grant`.
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

/// Response of `/v1/lease/keep`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RenewLeaseResponse {
    /// Whether the lease had not expired and was renewed.
    pub kept: bool,
}
