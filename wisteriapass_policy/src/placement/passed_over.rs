//! Why a candidate is not chosen, whatever it costs.

use derive_more::Display;

/// Why a candidate is not chosen, whatever it costs.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum PassedOver {
    /// It failed recently or is silent, and another one did not and is not.
    #[display("unhealthy")]
    Unhealthy,
    /// It would miss the latency goal of a long prompt, and another one would not.
    #[display("late")]
    Late,
}
