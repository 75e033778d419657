//! Decides which routers of a failure domain accept new callers.
//!
//! Handles a client account whose connections all reach one router, because the balancer selects
//! the router by a hash of the account over the routers in rotation. If the link or processor of
//! that router is too weak for the account, its callers are late although other routers are idle.
//! A router that only takes itself out of rotation while it is overloaded gets the same callers
//! back as soon as it has recovered, and they may go to another weak router in between.
//!
//! One router of the domain, the *coordinator*, decides for all of them. Start with
//! [`RotationPlanner`], which turns the reports of the routers into a standing for each. A crowded
//! weak router is marked and stands by, together with further weak routers, so that the strong
//! ones are as large a part of the rotation as the balancer permits: with fewer than half of the
//! domain's routers in rotation it would use all of them. If an account prefers weak routers to
//! such an extent that none of these choices helps, the domain leaves rotation as a whole; see
//! [`DomainExit`]. [`CoordinatorChoice`] selects the router that decides.

mod change;
mod change_reason;
mod coordinator_choice;
mod crowding;
mod decision;
mod domain_exit;
mod domain_routers;
mod exit_answer;
mod exit_call;
mod exit_refusal;
mod held_standing;
mod known_router;
mod mark;
mod mark_age;
mod phase;
mod planner;
mod relay_candidate;
mod router_report;
mod standing;

pub use change::Change;
pub use change_reason::ChangeReason;
pub use coordinator_choice::CoordinatorChoice;
pub use crowding::Crowding;
pub use decision::RotationDecision;
pub use domain_exit::{DomainExit, DomainStrength};
pub use exit_answer::ExitAnswer;
pub use exit_call::ExitCall;
pub use exit_refusal::ExitRefusal;
pub use held_standing::HeldStanding;
pub use mark_age::MarkAge;
pub use phase::Phase;
pub use planner::RotationPlanner;
pub use relay_candidate::RelayCandidate;
pub use router_report::RouterReport;
pub use standing::Standing;

/// Multiple of a router's bandwidth that another one must have to take over its callers. Below it,
/// an account that fills the weaker link also fills a large part of the stronger one.
const STRONGER_FACTOR: f64 = 4.0;
