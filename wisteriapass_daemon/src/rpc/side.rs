//! Control calls of side processes.

use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;
use serde::{Deserialize, Serialize};

use crate::run_wire::RunBill;

/// What became of a run that was to be withdrawn.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Withdrawn {
    /// It never began here and never will.
    NeverRuns,
    /// It goes on.
    Running,
    /// It ended and costs this.
    Ended {
        /// The bill.
        bill: RunBill,
    },
    /// It ended, and whether it took effect at the target is not known.
    Unknown,
}

/// Answer to a withdrawal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Withdrawal {
    /// Incarnation of the side process that answers.
    pub incarnation: String,
    /// What became of the run.
    pub withdrawn: Withdrawn,
}

/// Control calls of a side process.
#[rpc(server, client, namespace = "side")]
pub trait SideControl {
    /// Makes sure that attempts of a run up to this one never begin, unless one has.
    #[method(name = "withdraw")]
    fn withdraw(&self, run: String, attempt: u32) -> RpcResult<Withdrawal>;

    /// Asks a run to stop; its bill counts what was generated. Returns whether it was running.
    #[method(name = "cancel")]
    fn cancel(&self, run: String) -> RpcResult<bool>;
}
