//! Message by which a router tells another one which streams it began.

use serde::{Deserialize, Serialize};

use super::{Software, StreamId};

/// A stream as sent between processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedStream {
    /// The stream.
    pub id: StreamId,
    /// Index of its software in the report.
    pub software: u16,
    /// Time until its client gives up, in milliseconds.
    pub remaining_ms: u64,
}

/// Streams that began at a router, and the software that began them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginReport {
    /// Sequence number of the last stream in the report.
    pub seq: u64,
    /// Software of the streams.
    pub software: Vec<Software>,
    /// The streams.
    pub streams: Vec<ReportedStream>,
}
