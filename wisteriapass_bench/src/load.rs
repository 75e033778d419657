//! Callers of the real path, and the history of what they asked and were told.
//!
//! [`crate::loads`] plays patterns against a model of a target pool; this here talks HTTP.

mod answer;
mod call;
mod caller;
mod events;
mod history;
mod tally;

pub use answer::{Answered, Lost, Outcome, Refused};
pub use call::{Call, ChatWork, ServiceWork, Work};
pub use caller::Caller;
pub use history::{CallId, Event, History, Record};
pub use tally::{Latency, Tally};
