//! Stand-ins for platform and targets, load and experiments; not part of what ships to VMs.

mod digest;
pub mod experiment;
pub mod faults;
pub mod fleet;
pub mod link;
pub mod load;
pub mod loads;
pub mod standin;

pub use digest::sha256_hex;
