//! Small `Copy` keys into the scheduler's arenas.

use slotmap::new_key_type;

new_key_type! {
    /// One offered request, until its final decision or end.
    pub struct Ticket;
    /// A target that the scheduler was told of.
    pub struct TargetKey;
    /// A client account that the scheduler was told of.
    pub struct AccountKey;
    /// The targets that can serve one kind of request.
    pub(crate) struct PoolKey;
}
