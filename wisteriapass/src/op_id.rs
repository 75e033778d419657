//! Operation ids, which tell whether a write with a lost answer took effect.

use rand::random;

/// Returns an operation id that no other run of the tool makes.
pub(crate) fn new_op_id() -> String {
    format!("{:032x}", random::<u128>())
}
