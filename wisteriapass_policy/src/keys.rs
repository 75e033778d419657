//! Keys of the scheduler's slot maps.

use slotmap::new_key_type;

new_key_type! {
    /// An offered request, valid until its final decision or its end.
    pub struct Ticket;
    /// A target known to the scheduler.
    pub struct TargetKey;
    /// A client account known to the scheduler.
    pub struct AccountKey;
    /// A pool of the targets that can serve one kind of request.
    pub(crate) struct PoolKey;
}
