//! What the side processes' answers prove of a fenced origin's spending.

use std::collections::BTreeMap;

use crate::budget::{BudgetId, SpendingProof, Tokens};
use crate::fence::{Registration, SideAck};
use crate::store::Revision;

/// What can be done with a fenced origin's money.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RetirementDecision {
    /// Nothing yet: this side process has not refused the origin, or still runs work paid by it.
    Wait {
        /// Name of the side process.
        side: String,
    },
    /// Retire it with this proof.
    Retire(SpendingProof),
}

/// Judges the answers of all side processes in force to the fence of an origin registered at
/// `since`; `sides` are all that ever registered.
///
/// A side process that registered later than the origin has forgotten what its predecessor ran, and
/// one that left the inventory can't be asked: then what was spent there is not provable.
pub fn decide_retirement(
    since: Revision,
    sides: &BTreeMap<String, Registration>,
    in_force: &[&str],
    acks: &BTreeMap<String, SideAck>,
) -> RetirementDecision {
    let mut spent = BTreeMap::<BudgetId, Tokens>::new();
    let mut is_complete = true;
    for (side, registered) in sides {
        if !in_force.contains(&side.as_str()) {
            is_complete = false;
            continue;
        }
        let ack = acks.get(side);
        let ack = ack.filter(|a| a.incarnation == registered.incarnation && a.ack.running == 0);
        let Some(ack) = ack else {
            return RetirementDecision::Wait { side: side.clone() };
        };
        is_complete &= registered.revision < since;
        for (budget, amount) in &ack.ack.spent {
            *spent.entry(budget.clone()).or_default() += *amount;
        }
    }
    if is_complete {
        return RetirementDecision::Retire(SpendingProof::Complete(spent));
    }
    RetirementDecision::Retire(SpendingProof::Partial)
}
