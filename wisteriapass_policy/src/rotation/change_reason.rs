//! Reasons for changes of a router's standing.

use derive_more::Display;

/// Why the standing of a router changes.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum ChangeReason {
    /// It was crowded.
    #[display("crowded")]
    Crowded,
    /// Strong routers are to receive more of the callers, as a router of the domain is marked or
    /// another domain is out.
    #[display("strong_first")]
    StrongFirst,
    /// It was crowded, but keeps serving because no unmarked router is left to replace it.
    #[display("no_replacement")]
    NoReplacement,
    /// It serves instead of a router that is marked or missing.
    #[display("replacement")]
    Replacement,
    /// No router is marked any more.
    #[display("marks_ended")]
    MarksEnded,
    /// Its failure domain leaves rotation.
    #[display("domain_out")]
    DomainOut,
    /// Its failure domain returns to rotation.
    #[display("domain_back")]
    DomainBack,
}
