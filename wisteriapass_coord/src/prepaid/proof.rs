//! Evidence on which a router takes over the shares of a dead predecessor.

use derive_more::Display;

/// Evidence of how much of its shares a dead predecessor can have spent.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum SuccessionProof {
    /// The seals are intact: the predecessor's last write was recent enough.
    #[display("seal")]
    Seal,
    /// The answer of a witness that the predecessor had named.
    #[display("witness")]
    Witness,
    /// The seals may be intact by the time of day, if that is confirmed.
    #[display("time_of_day")]
    TimeOfDay,
    /// No evidence: everything that the predecessor held counts as lost.
    #[display("none")]
    Nothing,
}
