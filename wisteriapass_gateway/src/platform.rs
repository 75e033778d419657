//! The edge to the users' platform: headers of callers and targets, and the key-value service.

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

/// A future of this thread.
pub type LocalFuture<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;

/// Result of a call to the key-value service.
pub type Result<T, E = StoreError> = std::result::Result<T, E>;

/// Why a call to the key-value service gave nothing.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum StoreError {
    /// Nothing was done.
    #[display("the service refused the call; it is tried again")]
    Refused,
    /// No answer; a write may have taken effect, or may yet.
    #[display("no answer of the service; the state is read again")]
    NoAnswer,
    /// The answer is larger than asked for.
    #[display("the answer is larger than asked for; the whole state is read")]
    TooLarge,
    /// Changes since that revision are no longer there.
    #[display("the history is gone; the whole state is read again")]
    Compacted,
    /// The answer cannot be read.
    #[display("the service's answer cannot be read; look at its version")]
    Malformed,
}

/// What a router follows.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Topic {
    /// The configuration, and which failure domains are evacuated.
    #[display("configuration")]
    Configuration,
    /// The targets.
    #[display("targets")]
    Targets,
}

/// One change of what is followed.
#[derive(Clone, Debug)]
pub enum Change {
    /// A configuration.
    Configuration(Rc<Catalogue>),
    /// A target's entry, new or changed.
    Target(TargetEntry),
    /// An entry that is not there any more.
    Removed(TargetId),
    /// An entry that cannot be read, or names a state that is not known.
    Invalid(TargetId),
    /// An entry that is not there and may come back until then.
    Missing(TargetId, Instant),
    /// A failure domain to whose targets nothing new goes.
    Evacuated(String),
    /// A failure domain that is not evacuated any more.
    Restored(String),
}

impl Change {
    /// Returns the target that it is about.
    pub fn target(&self) -> Option<&TargetId> {
        match self {
            Self::Target(entry) => Some(&entry.id),
            Self::Removed(id) | Self::Invalid(id) | Self::Missing(id, _) => Some(id),
            Self::Configuration(_) | Self::Evacuated(_) | Self::Restored(_) => None,
        }
    }
}

/// Which changes of a topic are waited for.
#[derive(Clone, Copy, Debug)]
pub struct WatchRequest {
    /// Revision after which they came.
    pub after: u64,
    /// Longest time that the service waits for one.
    pub max_wait: Duration,
    /// Largest answer that is taken, in bytes.
    pub max_bytes: usize,
}

/// A change and the revision of the service at which it was made.
#[derive(Clone, Debug)]
pub struct RevisedChange {
    /// Revision.
    pub revision: u64,
    /// The change.
    pub change: Change,
}

/// Changes up to a revision.
#[derive(Clone, Debug, Default)]
pub struct ChangeBatch {
    /// Revision from which to go on.
    pub at: u64,
    /// Bytes of the answers that brought them.
    pub bytes: usize,
    /// The changes in order.
    pub changes: Vec<RevisedChange>,
}

impl ChangeBatch {
    /// Returns from where to go on behind it, where the whole state has so many bytes.
    pub fn cursor(&self, bytes: usize) -> Cursor {
        Cursor {
            revision: self.at,
            snapshot_bytes: bytes,
        }
    }
}

/// A record and its revision; 0 is none.
#[derive(Clone, Debug, Default)]
pub struct VersionedRecord {
    /// Revision of the last change.
    pub revision: u64,
    /// The record's bytes.
    pub value: Vec<u8>,
}

/// Names one of the records that routers write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordKey {
    /// Shares of a group of accounts.
    Shares(u32),
}

/// Outcome of a compare-and-swap that was answered.
#[derive(Clone, Debug)]
pub enum SwapOutcome {
    /// It took effect at this revision.
    Done(u64),
    /// The record is at another revision: this.
    Conflict(VersionedRecord),
}

/// Names, formats and calls of a platform; decides nothing.
pub trait Platform {
    /// Decodes a caller's headers.
    fn request_metadata(&self, headers: &HeaderMap) -> RequestMetadata;

    /// Returns the headers to send to a target: the caller's, less what only the system may set.
    fn dispatch_headers(&self, headers: &HeaderMap, metadata: &DispatchMetadata<'_>) -> HeaderMap;

    /// Decodes a target's headers.
    fn response_metadata(&self, headers: &HeaderMap) -> ResponseMetadata;

    /// Returns the headers of an answer that the router itself gives.
    fn refusal_headers(&self, request: &RequestMetadata) -> HeaderMap;

    /// Returns whether a request asks if this router takes callers.
    fn is_readiness_probe(&self, method: &Method, path: &str) -> bool;

    /// Reads all of a topic.
    fn read(&self, topic: Topic) -> LocalFuture<'_, Result<ChangeBatch>>;

    /// Waits for changes of a topic.
    fn watch(&self, topic: Topic, watch: WatchRequest) -> LocalFuture<'_, Result<ChangeBatch>>;

    /// Reads a record.
    fn load(&self, name: RecordKey) -> LocalFuture<'_, Result<VersionedRecord>>;

    /// Replaces a record if it is at a revision; 0 is none.
    fn compare_and_swap(
        &self,
        name: RecordKey,
        expected: u64,
        value: Vec<u8>,
    ) -> LocalFuture<'_, Result<SwapOutcome>>;
}
