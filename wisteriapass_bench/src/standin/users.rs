//! Stand-ins for the users' platform: its key-value service and its targets, by its protocol.

mod store;
mod target;

pub use store::{StoreFault, UsersStore};
pub use target::{Behaviour, Poison, SeenRequest, UsersTarget};
