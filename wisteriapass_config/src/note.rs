//! Things in a configuration that are allowed and probably not meant.

use derive_more::Display;
use serde::Serialize;

/// Something that an operator should look at; it does not stop an edit.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case", tag = "note")]
pub enum Note {
    /// Requests for the model end in `no_budget`.
    #[display("account {account} may use model {model}, for which none of its budgets pays")]
    Unpaid {
        /// The account.
        account: String,
        /// The model.
        model: String,
    },
    /// Requests end in `no_target` while all targets that offer it drain.
    #[display("all targets that offer {offer} are draining")]
    AllDraining {
        /// Model or service.
        offer: String,
    },
    /// One failure domain that goes takes it along.
    #[display("{offer} is offered in failure domain {failure_domain} only")]
    OneDomain {
        /// Model or service.
        offer: String,
        /// The failure domain.
        failure_domain: String,
    },
    /// A VM has a slot for one process of the system.
    #[display("VM {vm} is to run {processes} processes of the system")]
    SharedVm {
        /// The VM.
        vm: String,
        /// Routers and side processes on it.
        processes: usize,
    },
}
