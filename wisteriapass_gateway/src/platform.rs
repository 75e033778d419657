//! Interface to the users' platform: headers of clients and targets, and the key-value store.

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use derive_more::{Display, Error};
use hyper::{HeaderMap, Method};
use tokio::time::Instant;

use crate::catalogue::Catalogue;
use crate::change_log::Cursor;
use crate::metadata::{DispatchMetadata, RequestMetadata, ResponseMetadata};
use crate::target::{TargetEntry, TargetId};

/// A boxed future that is not `Send`.
pub type LocalFuture<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;

/// Result of a call to the key-value store.
pub type Result<T, E = StoreError> = std::result::Result<T, E>;

/// Error of a call to the key-value store.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum StoreError {
    /// The call was not executed.
    #[display("the store refused the call; it will be retried")]
    Refused,
    /// No answer; a write may have taken effect, or may do so later.
    #[display("no answer from the store; the state will be read again")]
    NoAnswer,
    /// The answer is larger than requested.
    #[display("the answer is larger than requested; the complete state will be read")]
    TooLarge,
    /// Changes since the requested revision are no longer available.
    #[display("the history was compacted; the complete state will be read again")]
    Compacted,
    /// The answer cannot be parsed.
    #[display("the store's answer cannot be parsed; check the version of the store")]
    Malformed,
}

/// A set of store entries that a router watches.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Topic {
    /// The configuration, and which failure domains are evacuated.
    #[display("configuration")]
    Configuration,
    /// The targets.
    #[display("targets")]
    Targets,
}

/// A change of a watched entry.
#[derive(Clone, Debug)]
pub enum Change {
    /// A new configuration.
    Configuration(Rc<Catalogue>),
    /// A target's entry was added or changed.
    Target(TargetEntry),
    /// A target's entry was removed.
    Removed(TargetId),
    /// A target's entry cannot be parsed or has an unknown state.
    Invalid(TargetId),
    /// A target's entry is missing but may reappear until the given time.
    Missing(TargetId, Instant),
    /// A failure domain was evacuated: its targets get no new requests.
    Evacuated(String),
    /// A failure domain is no longer evacuated.
    Restored(String),
}

impl Change {
    /// Returns the id of the affected target.
    pub fn target(&self) -> Option<&TargetId> {
        match self {
            Self::Target(entry) => Some(&entry.id),
            Self::Removed(id) | Self::Invalid(id) | Self::Missing(id, _) => Some(id),
            Self::Configuration(_) | Self::Evacuated(_) | Self::Restored(_) => None,
        }
    }
}

/// Parameters of a watch.
#[derive(Clone, Copy, Debug)]
pub struct WatchRequest {
    /// Revision after which changes are returned.
    pub after: u64,
    /// Maximum time that the store waits for a change.
    pub max_wait: Duration,
    /// Maximum size of the answer, in bytes.
    pub max_bytes: usize,
}

/// A change and the store revision at which it was made.
#[derive(Clone, Debug)]
pub struct RevisedChange {
    /// Store revision.
    pub revision: u64,
    /// The change.
    pub change: Change,
}

/// Changes up to a revision.
#[derive(Clone, Debug, Default)]
pub struct ChangeBatch {
    /// Revision to continue from.
    pub at: u64,
    /// Size of the answers that carried the changes, in bytes.
    pub bytes: usize,
    /// Changes in order.
    pub changes: Vec<RevisedChange>,
}

impl ChangeBatch {
    /// Returns the cursor after this batch, where the complete state has the given size in bytes.
    pub fn cursor(&self, bytes: usize) -> Cursor {
        Cursor {
            revision: self.at,
            snapshot_bytes: bytes,
        }
    }
}

/// A record and its revision; revision 0 means that it does not exist.
#[derive(Clone, Debug, Default)]
pub struct VersionedRecord {
    /// Revision of the last change.
    pub revision: u64,
    /// Content of the record.
    pub value: Vec<u8>,
}

/// Identifies a record that routers write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordKey {
    /// Shares of a group of accounts.
    Shares(u32),
    /// Software versions that may have begun streams.
    Versions,
}

/// Outcome of an answered compare-and-swap.
#[derive(Clone, Debug)]
pub enum SwapOutcome {
    /// The record was written at this revision.
    Done(u64),
    /// The record is at another revision, which is given.
    Conflict(VersionedRecord),
}

/// Names, formats and calls of a platform; contains no decisions.
pub trait Platform {
    /// Decodes the headers of a client's request.
    fn request_metadata(&self, headers: &HeaderMap) -> RequestMetadata;

    /// Returns the headers to send to a target: those of the client, except for headers that only
    /// the system may set.
    fn dispatch_headers(&self, headers: &HeaderMap, metadata: &DispatchMetadata<'_>) -> HeaderMap;

    /// Decodes the headers of a target's response.
    fn response_metadata(&self, headers: &HeaderMap) -> ResponseMetadata;

    /// Returns the headers of a response that the router itself gives.
    fn refusal_headers(&self, request: &RequestMetadata) -> HeaderMap;

    /// Returns whether a request probes the readiness of this router.
    fn is_readiness_probe(&self, method: &Method, path: &str) -> bool;

    /// Reads the complete state of a topic.
    fn read(&self, topic: Topic) -> LocalFuture<'_, Result<ChangeBatch>>;

    /// Waits for changes of a topic.
    fn watch(&self, topic: Topic, watch: WatchRequest) -> LocalFuture<'_, Result<ChangeBatch>>;

    /// Reads a record.
    fn load(&self, name: RecordKey) -> LocalFuture<'_, Result<VersionedRecord>>;

    /// Replaces a record if it is at the expected revision; 0 expects that it does not exist.
    fn compare_and_swap(
        &self,
        name: RecordKey,
        expected: u64,
        value: Vec<u8>,
    ) -> LocalFuture<'_, Result<SwapOutcome>>;
}
