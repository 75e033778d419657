//! Report of an overhead measurement.

use std::fmt;

use serde::Serialize;

use crate::load::Tally;

/// Memory use of the daemons, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct MemoryPerStream {
    /// Growth of the routers per open stream.
    pub router_bytes: u64,
    /// Growth of the side processes per open stream.
    pub side_bytes: u64,
    /// Mean of a router without streams, after the warm-up.
    pub idle_router_bytes: u64,
    /// Mean of a side process without streams, after the warm-up.
    pub idle_side_bytes: u64,
}

/// Report of an overhead measurement.
#[derive(Clone, Debug, Serialize)]
pub struct OverheadReport {
    /// Number of concurrent streams.
    pub streams: usize,
    /// Results of requests sent directly to the engines.
    pub straight: Tally,
    /// Results of requests sent through the routers.
    pub routed: Tally,
    /// Increase of the median time to the first piece by the daemons, in microseconds.
    pub added_p50_us: i64,
    /// Increase of the 99th percentile of the time to the first piece, in microseconds.
    pub added_p99_us: i64,
    /// Increase of the median time to the end of an answer, in microseconds.
    pub added_whole_p50_us: i64,
    /// Memory use of the daemons.
    pub memory: MemoryPerStream,
    /// Load average of the machine before the run.
    pub load_average: Option<f64>,
}

impl OverheadReport {
    /// Compares the requests sent directly with those sent through the routers.
    pub(super) fn new(
        streams: usize,
        straight: Tally,
        routed: Tally,
        memory: MemoryPerStream,
        load_average: Option<f64>,
    ) -> Self {
        Self {
            streams,
            added_p50_us: difference_us(routed.first_piece.p50_us, straight.first_piece.p50_us),
            added_p99_us: difference_us(routed.first_piece.p99_us, straight.first_piece.p99_us),
            added_whole_p50_us: difference_us(routed.whole.p50_us, straight.whole.p50_us),
            straight,
            routed,
            memory,
            load_average,
        }
    }

    /// Returns whether every stream was answered completely, without which the report is not
    /// meaningful.
    pub fn is_complete(&self) -> bool {
        let complete = |t: &Tally| t.answered == t.sent && t.unexpected == 0;
        complete(&self.straight) && complete(&self.routed)
    }
}

fn difference_us(routed: u64, straight: u64) -> i64 {
    let signed = |us| i64::try_from(us).unwrap_or(i64::MAX);
    signed(routed).saturating_sub(signed(straight))
}

impl fmt::Display for OverheadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let load = self.load_average.unwrap_or_default();
        writeln!(
            f,
            "concurrent streams: {}; load average before the run: {load:.1}",
            self.streams
        )?;
        writeln!(
            f,
            "first piece, ms       p50      p99      max  answered / sent"
        )?;
        for (name, tally) in [("straight", &self.straight), ("routed", &self.routed)] {
            let first = &tally.first_piece;
            writeln!(
                f,
                "{name:<16} {:>8.2} {:>8.2} {:>8.2}  {} / {}",
                ms(first.p50_us),
                ms(first.p99_us),
                ms(first.max_us),
                tally.answered,
                tally.sent
            )?;
        }
        writeln!(
            f,
            "{:<16} {:>8.2} {:>8.2}",
            "added",
            self.added_p50_us as f64 / 1e3,
            self.added_p99_us as f64 / 1e3
        )?;
        writeln!(
            f,
            "whole answer, ms, p50: straight {:.2}, routed {:.2}",
            ms(self.straight.whole.p50_us),
            ms(self.routed.whole.p50_us)
        )?;
        write!(
            f,
            "memory, KiB: per open stream router {} and side process {}; idle {} and {}",
            self.memory.router_bytes >> 10,
            self.memory.side_bytes >> 10,
            self.memory.idle_router_bytes >> 10,
            self.memory.idle_side_bytes >> 10
        )
    }
}

fn ms(us: u64) -> f64 {
    us as f64 / 1e3
}
