//! Tests of real routers on the users' platform, with a simulated store and simulated targets.

mod answers;
mod broken_answers;
mod changes;
mod cold;
mod cut_heads;
mod endless_answers;
mod evacuations;
mod explain_placement;
mod leaving;
mod limits;
mod memory;
mod money;
mod odd_entries;
mod quarantine;
mod regions;
mod relays;
mod rest;
mod retired_relays;
mod rotation;
mod slow_links;
mod speeds;
mod starved;
mod stops;
mod support;
mod unframed_answers;
mod versions;
