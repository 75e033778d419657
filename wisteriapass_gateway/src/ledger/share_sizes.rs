//! How large this router's shares are, and when their sealed parts open.

use std::rc::Rc;

use wisteriapass_coord::prepaid::{DomainId, HolderId, Opening, ShareConfig, ShareHolder, Totals};

use crate::clock::Clock;
use crate::settings::GatewaySettings;

/// Demand that the open part of a share covers, in milliseconds. It is spent without the receipts of
/// witnesses, and lost with its router; it covers the wait for receipts that take long.
const FREE_DEMAND_MS: u64 = 300;

/// Demand that may be spent at any age of the last write while no witness binds the router, in
/// milliseconds: longer than [`OPENING_START_MS`] plus the time between two exchanges. What exceeds
/// [`FREE_DEMAND_MS`] is the part of the sealed part that is open at any age.
const OPEN_DEMAND_MS: u64 = 2_900;

/// Demand that the rest of a share covers, in milliseconds: the rest of a network partition of about
/// ten seconds.
const SEALED_DEMAND_MS: u64 = 9_000;

/// Time after the last write at which the rest begins to open, in milliseconds. A router that is
/// killed and restarted at once can still prove within this time that its predecessor spent nothing
/// of it.
const OPENING_START_MS: u64 = 2_200;

/// Time over which the rest then opens, in milliseconds: shorter than [`SEALED_DEMAND_MS`], so that a
/// demand that grows while the router is cut off, or moves between routers, is met.
const OPENING_DURATION_MS: u64 = 4_000;

/// Demand beyond what is spent that witnesses acknowledge while the store answers, in milliseconds:
/// two reports. A request that does not fit waits for a round trip.
const HEADROOM_MS: u64 = 500;

/// The same while the store is unreachable, in milliseconds. Links may be slow then, and a request
/// that waits has nothing else to wait for.
const PARTITION_HEADROOM_MS: u64 = 2_000;

/// Largest fraction of a total that should be spendable at one router and lost with it. Callers of
/// an account that lost more than a few hundredths of its total never reach it.
const MAX_UNPROVED_FRACTION: f64 = 0.01;

/// Multiple of the largest recent request that a share holds besides the demand. Six relays that each
/// hold two of the largest requests hold up to a third of a small total, and all of it is lost if
/// they die; without any, fewer large requests are served while the store is unreachable.
const LARGEST_REQUEST_FACTOR: f64 = 1.0;

/// Time since the last write after which the store counts as unreachable, in milliseconds: two
/// exchanges.
const OUT_OF_CONTACT_MS: u64 = 1_100;

/// Time since the last report to a witness after which the witness no longer limits spending, in
/// milliseconds: slightly longer than VMs are usually down.
const WITNESS_TIMEOUT_MS: u64 = 5_000;

/// Fraction of an account's remaining total that all routers together may hold unspent. It is the
/// most that is lost when all routers are killed, and the most that can be served when all are cut
/// off from the store.
const MAX_UNSPENT_FRACTION: f64 = 0.8;

/// Fraction of an account's remaining total that the routers without demand hold together. It
/// covers a first request of the usual size and strands little.
const IDLE_FRACTION: f64 = 0.05;

/// Demand that may be spent at any age, but only with receipts while a witness binds the router, in
/// milliseconds.
const WITNESSED_DEMAND_MS: u64 = OPEN_DEMAND_MS.saturating_sub(FREE_DEMAND_MS);

/// Thousandths of a sealed part that are open at any age of the last write.
const INITIAL_PERMILLE: u32 =
    (1_000 * WITNESSED_DEMAND_MS / (WITNESSED_DEMAND_MS + SEALED_DEMAND_MS)) as u32;

/// Creates the holder of a process without shares of these totals.
pub(super) fn new_holder(
    clock: Clock,
    settings: &GatewaySettings,
    process: u64,
    totals: Rc<Totals>,
) -> ShareHolder {
    let config = ShareConfig {
        open_demand_ms: FREE_DEMAND_MS,
        sealed_demand_ms: WITNESSED_DEMAND_MS + SEALED_DEMAND_MS,
        opening: Opening {
            start_ms: OPENING_START_MS,
            duration_ms: OPENING_DURATION_MS,
            initial_permille: INITIAL_PERMILLE,
        },
        out_of_contact_ms: OUT_OF_CONTACT_MS,
        headroom_ms: HEADROOM_MS,
        partition_headroom_ms: PARTITION_HEADROOM_MS,
        max_unproved_fraction: MAX_UNPROVED_FRACTION,
        largest_request_factor: LARGEST_REQUEST_FACTOR,
        witness_timeout_ms: WITNESS_TIMEOUT_MS,
        max_unspent_fraction: MAX_UNSPENT_FRACTION,
        idle_fraction: IDLE_FRACTION,
    };
    let id = HolderId(settings.name.clone());
    ShareHolder::new(id, process, clock.stamp(), config, totals)
        .with_lending_address(settings.peer_listen)
        .with_placement(
            DomainId::new(&settings.failure_domain),
            settings.vm_size.is_strong(),
        )
}
