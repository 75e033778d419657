//! What a succession to a dead router rests on.

use derive_more::Display;

/// What says how far a dead predecessor can have spent its shares.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Proof {
    /// Its seals are whole: its last write was young enough.
    #[display("seal")]
    Seal,
    /// A witness that it named.
    #[display("witness")]
    Witness,
    /// Its seals may be whole by the time of day, if that is confirmed.
    #[display("time_of_day")]
    TimeOfDay,
    /// Nothing: all that it held is lost.
    #[display("none")]
    Nothing,
}
