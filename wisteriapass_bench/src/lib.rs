//! Stand-ins for platform and targets, load and experiments; not part of what ships to VMs.

pub mod link;
pub mod loads;
pub mod standin;
