//! Members of the fleet with their state, location, incarnation and configuration revision.
//!
//! Apart from [`Incarnation::generate`] the module is pure; callers pass the time as an argument.

mod announcement;
mod announcement_outcome;
mod incarnation;
mod leaving_mark;
mod mark_digest;
mod member;
mod peer_subset;
mod planned_member;
mod table;
mod timeouts;
mod transition;
mod vm;

pub use announcement::{Announcement, MemberRole};
pub use announcement_outcome::AnnouncementOutcome;
pub use incarnation::{Incarnation, ParseIncarnationError};
pub use leaving_mark::{LeavingCause, LeavingMark};
pub use mark_digest::{MAX_DIGEST_MARKS, MarkDigest};
pub use member::{Member, MemberId, MemberState};
pub use peer_subset::{PeerSubset, heartbeat_period};
pub use planned_member::PlannedMember;
pub use table::Membership;
pub use timeouts::Timeouts;
pub use transition::Transition;
pub use vm::{ListedVm, VmState};
