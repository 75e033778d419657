//! Whether this router accepts new callers, as decided for its whole failure domain.
//!
//! Each router reports its load to the coordinator of its failure domain, which is one of the
//! domain's relays, and gets its standing in the answer. `wisteriapass_policy::rotation` decides;
//! this module measures, sends, logs and counts.

mod coordinator;
mod exits;
mod held_decision;
mod messages;
mod relays;
mod reporter;
mod state;

pub use coordinator::answer_report;
pub use exits::{answer_exit, ask_for_consents};
pub use messages::{EXIT_PATH, ROTATION_PATH};
pub use reporter::report_load;
pub use state::RotationState;

/// Allowance for the head of a request or answer, in bytes.
pub const HEAD_BYTES: usize = 500;
