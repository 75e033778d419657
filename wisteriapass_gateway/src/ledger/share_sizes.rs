//! How large this router's shares are, and when their sealed parts open.

use wisteriapass_coord::prepaid::{DomainId, HolderId, Opening, ShareConfig, ShareHolder};

use crate::clock::Clock;
use crate::settings::GatewaySettings;

/// Time after the last write at which the sealed part of a share begins to open, in milliseconds. A
/// router that is killed and restarted at once can still prove within this time that its predecessor
/// spent nothing of the sealed part.
const SEAL_MS: u64 = 2_200;

/// Time over which the sealed part then opens, in milliseconds: shorter than [`SEALED_DEMAND_MS`], so
/// that a demand that grows while the router is cut off is met, but not much: what is open and unspent
/// is lost if all routers are killed.
const UNSEAL_MS: u64 = 8_000;

/// Time since the last write after which the store counts as unreachable, in milliseconds: two
/// exchanges.
const OUT_OF_CONTACT_MS: u64 = 1_100;

/// Time since the last report to a witness after which the witness no longer limits spending, in
/// milliseconds: slightly longer than VMs are usually down.
const WITNESS_TIMEOUT_MS: u64 = 5_000;

/// Demand that the open part of a share covers, in milliseconds: longer than [`SEAL_MS`] plus the
/// time between two exchanges.
const OPEN_DEMAND_MS: u64 = 2_900;

/// Demand that the sealed part of a share covers, in milliseconds: the rest of a network partition
/// of about ten seconds.
const SEALED_DEMAND_MS: u64 = 9_000;

/// Fraction of an account's remaining total that all routers together may hold unspent. It is the
/// most that is lost when all routers are killed, and the most that can be served when all are cut
/// off from the store.
const MAX_UNSPENT_FRACTION: f64 = 0.8;

/// Fraction of an account's remaining total that the routers without demand hold together. It
/// covers a first request of the usual size and strands little.
const IDLE_FRACTION: f64 = 0.05;

/// Creates the holder of a process without shares.
pub(super) fn new_holder(clock: Clock, settings: &GatewaySettings, process: u64) -> ShareHolder {
    let config = ShareConfig {
        open_demand_ms: OPEN_DEMAND_MS,
        sealed_demand_ms: SEALED_DEMAND_MS,
        opening: Opening {
            start_ms: SEAL_MS,
            duration_ms: UNSEAL_MS,
            initial_permille: 0,
        },
        out_of_contact_ms: OUT_OF_CONTACT_MS,
        witness_timeout_ms: WITNESS_TIMEOUT_MS,
        max_unspent_fraction: MAX_UNSPENT_FRACTION,
        idle_fraction: IDLE_FRACTION,
    };
    let id = HolderId(settings.name.clone());
    ShareHolder::new(id, process, clock.stamp(), config)
        .with_lending_address(settings.peer_listen)
        .with_placement(
            DomainId::new(&settings.failure_domain),
            settings.vm_size.is_strong(),
        )
}
