//! Callers that send HTTP requests to a real fleet, and the history of their calls.
//!
//! [`crate::loads`] runs load patterns against a model of a target pool instead.

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
