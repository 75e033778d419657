//! Notes on valid but probably unintended parts of a configuration.

use derive_more::Display;
use serde::Serialize;

/// Hint for operators; it does not prevent an edit.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case", tag = "note")]
pub enum Note {
    /// Requests for the model are refused with `no_budget`.
    #[display("account {account} may use model {model}, for which none of its budgets pays")]
    Unpaid {
        /// Account name.
        account: String,
        /// Model name.
        model: String,
    },
    /// Requests are refused with `no_target` while all targets that offer the model or service are
    /// draining.
    #[display("all targets that offer {offer} are draining")]
    AllDraining {
        /// Name of the model or service.
        offer: String,
    },
    /// A failure of this failure domain makes the model or service unavailable.
    #[display("{offer} is offered in failure domain {failure_domain} only")]
    OneDomain {
        /// Name of the model or service.
        offer: String,
        /// Failure domain name.
        failure_domain: String,
    },
    /// A VM is meant to run one process of the system.
    #[display("VM {vm} is to run {processes} processes of the system")]
    SharedVm {
        /// VM name.
        vm: String,
        /// Number of routers and side processes on the VM.
        processes: usize,
    },
}
