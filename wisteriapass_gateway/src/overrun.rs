//! Answers that exceed a limit, and may have no end.

use std::error::Error;
use std::io;

use derive_more::Display;

use crate::prelude::*;
use crate::target::TargetKey;
use crate::target_stream::Unparsable;

/// Part of an answer that exceeds its limit.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Overrun {
    /// The head.
    #[display("head")]
    Head,
    /// Bytes that are neither a head nor data, such as the size of a chunk.
    #[display("framing")]
    Framing,
    /// An event of a stream.
    #[display("event")]
    Event,
    /// The body.
    #[display("body")]
    Body,
}

impl Overrun {
    /// Returns the part whose limit an error is due to, if it is due to one.
    pub fn of(e: &hyper::Error) -> Option<Self> {
        if e.is_parse_too_large() {
            return Some(Self::Head);
        }
        let cause = e
            .source()
            .and_then(|cause| cause.downcast_ref::<io::Error>());
        let is_unparsable = cause
            .and_then(io::Error::get_ref)
            .is_some_and(|inner| inner.is::<Unparsable>());
        is_unparsable.then_some(Self::Framing)
    }

    /// Logs and counts the answer of a target.
    pub fn record(self, gw: &Gateway, target: TargetKey) {
        gw.metrics.count_overrun(self);
        let targets = gw.targets.borrow();
        let id = targets.get(target).map_or("-", |t| &t.entry.id.0);
        log::info!(target: "exchange", "Answer too large. target={id} part={self}");
    }
}
