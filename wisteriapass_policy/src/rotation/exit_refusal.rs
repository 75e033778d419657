//! Reasons to refuse that another failure domain leaves rotation.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Why a failure domain refuses that another one leaves rotation.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum ExitRefusal {
    /// It is out itself.
    #[display("out")]
    Out,
    /// It asked for the same, and its name comes first.
    #[display("asked")]
    Asked,
    /// It consented that a third domain leaves.
    #[display("promised")]
    Promised,
    /// Too few of its strong routers serve.
    #[display("few_strong")]
    FewStrong,
    /// One of its routers is live but does not report.
    #[display("unreported")]
    Unreported,
}
