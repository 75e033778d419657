//! Which software version began a stream, so that it goes on at that version only.
//!
//! A client whose connection broke resumes its stream at any router, and names the attempt that
//! brought the first event. Each router remembers the streams that it began and, while more than one
//! version may have begun a stream, tells two other routers. A stream that nobody remembers goes on
//! if a single version can have begun it; otherwise it is refused, because events of two versions
//! do not fit together.
//!
//! The tables do no I/O and read no clock: callers pass in the time, and messages between processes
//! carry ages only.

mod report;
mod resolution;
mod software;
mod stream_id;
mod table;
mod version_history;
mod version_record;

pub use report::{OriginReport, ReportedStream};
pub use resolution::{Knowledge, resolve};
pub use software::Software;
pub use stream_id::StreamId;
pub use table::OriginTable;
pub use version_history::VersionHistory;
pub use version_record::VersionRecord;

/// Longest time for which a stream can be resumed after it began, in milliseconds. A version may have
/// begun a stream for as long after its last target is gone.
pub const MAX_STREAM_MS: u64 = 10 * 60 * 1_000;

/// Maximum number of streams in a table: two minutes of those that a relay hears of in a fleet of
/// hundreds of routers. Streams beyond are not remembered.
pub const MAX_STREAMS: usize = 131_072;

/// Maximum number of streams in one report: about 50 KB.
pub const MAX_REPORTED: usize = 2_048;
