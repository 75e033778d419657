//! Decides from the acknowledgements of the side processes how to retire a fenced origin.

use std::collections::BTreeMap;

use crate::budget::{BudgetId, SpendingProof, Tokens};
use crate::fence::{Registration, SideAck};
use crate::store::Revision;

/// Decision on a fenced origin.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RetirementDecision {
    /// Wait: this side process has not acknowledged the fence, or still runs work paid by the
    /// origin.
    Wait {
        /// Name of the side process.
        side: String,
    },
    /// Retire the origin with this proof.
    Retire(SpendingProof),
}

/// Decides how to retire a fenced origin that was registered at revision `since`. `sides` are all
/// side processes that were ever registered, `in_force` those in the current inventory.
///
/// A side process that registered later than the origin does not know what its predecessor ran, and
/// one that left the inventory cannot be asked. In both cases the spending there cannot be proved.
pub fn decide_retirement(
    since: Revision,
    sides: &BTreeMap<String, Registration>,
    in_force: &[&str],
    acks: &BTreeMap<String, SideAck>,
) -> RetirementDecision {
    let mut spent = BTreeMap::<BudgetId, Tokens>::new();
    let mut is_complete = true;
    for (side, registration) in sides {
        if !in_force.contains(&side.as_str()) {
            is_complete = false;
            continue;
        }
        let ack = acks.get(side);
        let ack = ack.filter(|a| a.incarnation == registration.incarnation && a.ack.running == 0);
        let Some(ack) = ack else {
            return RetirementDecision::Wait { side: side.clone() };
        };
        is_complete &= registration.revision < since;
        for (budget, amount) in &ack.ack.spent {
            *spent.entry(budget.clone()).or_default() += *amount;
        }
    }
    if is_complete {
        return RetirementDecision::Retire(SpendingProof::Complete(spent));
    }
    RetirementDecision::Retire(SpendingProof::Partial)
}
