//! Operation ids, which show whether a write whose response was lost took effect.

use rand::random;

/// Returns a random operation id, unique to this run of the tool.
pub(crate) fn new_op_id() -> String {
    format!("{:032x}", random::<u128>())
}
