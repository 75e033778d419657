//! Stand-ins for the platform and the targets, load generators and experiments; not shipped to VMs.

pub mod budgets;
mod digest;
pub mod experiment;
pub mod faults;
pub mod fleet;
pub mod link;
pub mod load;
pub mod loads;
pub mod slopes;
pub mod standin;

pub use digest::sha256_hex;
