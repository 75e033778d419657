//! How slow targets are: what this router observes, and what other routers report.

mod event_pauses;
mod messages;
mod sender_clock;
mod shared;
mod speed_band;

pub use event_pauses::EventPauses;
pub use messages::{SpeedAnswer, SpeedCall, SpeedEntry};
pub use shared::{FirstEventSample, SharedSpeeds};
pub use speed_band::SpeedBand;
