//! The path on the users' platform: real routers against stand-ins of its store and targets.

mod answers;
mod changes;
mod cold;
mod evacuations;
mod money;
mod quarantine;
mod regions;
mod relays;
mod slow_links;
mod stops;
mod support;
