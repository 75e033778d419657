//! The software at which a stream goes on, and where that is known from.

use wisteriapass_coord::origin::{Knowledge, Software, resolve};

use crate::metrics::OriginSource;

/// The software at which a stream goes on, and where that is known from.
#[derive(Clone, Debug)]
pub struct FoundOrigin {
    /// The software; `None` if it is not known.
    pub software: Option<Software>,
    /// Where it is known from.
    pub source: OriginSource,
    /// Number of routers that were asked.
    pub asked: usize,
    /// Number of routers that answered before it was known.
    pub answered: usize,
    /// Whether a router is among them, or this one, that knows what served before it started.
    pub is_complete: bool,
}

impl FoundOrigin {
    /// Returns the result for a stream that no router remembered a moment ago.
    pub fn unknown() -> Self {
        Self {
            software: None,
            source: OriginSource::Unknown,
            asked: 0,
            answered: 0,
            is_complete: true,
        }
    }

    /// Returns the result for a stream of which the client names no attempt: the only software that this
    /// router knows of. What served before this router started is not asked for, as clients that
    /// resume streams of several versions do name one.
    pub fn without_attempt(own: Knowledge) -> Self {
        let known = Knowledge {
            is_complete: true,
            is_fresh: true,
            ..own
        };
        Self::new(&known, 0, &[])
    }

    /// Returns the result of asking other routers.
    pub fn new(own: &Knowledge, asked: usize, answers: &[Knowledge]) -> Self {
        let software = resolve(own, asked, answers);
        let source = match &software {
            None => OriginSource::Unknown,
            Some(_) if own.origin.is_some() => OriginSource::Own,
            Some(_) if answers.iter().any(|k| k.origin.is_some()) => OriginSource::Peer,
            Some(_) => OriginSource::OnlyVersion,
        };
        Self {
            software,
            source,
            asked,
            answered: answers.len(),
            is_complete: own.is_complete || answers.iter().any(|k| k.is_complete),
        }
    }
}
