//! The decision at which version a stream goes on.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use super::Software;

/// What a router knows of a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Knowledge {
    /// The software that began it, if the router remembers the stream.
    pub origin: Option<Software>,
    /// The software that may have begun it, as far as the router knows.
    pub possible: BTreeSet<Software>,
    /// Whether the router knows what served before it started.
    pub is_complete: bool,
    /// Whether its list of targets is recent. For the router that decides: whether the service
    /// confirmed the list after the stream was asked for.
    pub is_fresh: bool,
}

/// Returns the software at which a stream goes on; `None` if it is not known.
///
/// `asked` is the number of routers that were asked, and `answers` are those of the ones that
/// answered. A router that remembers the stream decides. Without one, the stream began while its
/// router knew a single version, or its router died before it could report it. It goes on if all
/// routers know of the same single version. If some do not answer, the others may have missed a
/// version that joined a moment ago, however recent their lists are, unless the service confirmed
/// the own list since. A router that knows no other one is not informed by its own list either.
pub fn resolve(own: &Knowledge, asked: usize, answers: &[Knowledge]) -> Option<Software> {
    let all = || answers.iter().chain([own]);
    let origins: BTreeSet<&Software> = all().filter_map(|k| k.origin.as_ref()).collect();
    if !origins.is_empty() {
        return single(&origins);
    }
    let is_informed = own.is_fresh || asked > 0 && answers.len() >= asked;
    if !is_informed || !all().any(|k| k.is_complete) {
        return None;
    }
    let possible: BTreeSet<&Software> = all().flat_map(|k| &k.possible).collect();
    single(&possible)
}

fn single(software: &BTreeSet<&Software>) -> Option<Software> {
    let first = software.first().filter(|_| software.len() == 1)?;
    Some((*first).clone())
}
