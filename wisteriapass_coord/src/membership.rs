//! Who lives, where, with which incarnation and revision; pure, time is an argument.

mod announcement;
mod digest;
mod heard;
mod incarnation;
mod mark;
mod member;
mod planned;
mod subset;
mod table;
mod timeouts;
mod transition;
mod vm;

pub use announcement::{Announcement, MemberRole};
pub use digest::{MAX_DIGEST_MARKS, MarkDigest};
pub use heard::AnnouncementOutcome;
pub use incarnation::{Incarnation, ParseIncarnationError};
pub use mark::{LeavingCause, LeavingMark};
pub use member::{Member, MemberId, MemberState};
pub use planned::PlannedMember;
pub use subset::{PeerSubset, heartbeat_period};
pub use table::Membership;
pub use timeouts::Timeouts;
pub use transition::Transition;
pub use vm::{ListedVm, VmState};
