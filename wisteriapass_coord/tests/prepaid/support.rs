//! Share holders, and their exchanges with the record.

use std::rc::Rc;

use wisteriapass_coord::prepaid::{
    HolderId, Opening, ShareConfig, ShareHolder, ShareRecord, ShareShortfall, Stamp, Totals,
};

/// Configuration of all shares.
pub const SHARE_CONFIG: ShareConfig = ShareConfig {
    open_demand_ms: 4_000,
    sealed_demand_ms: 6_000,
    opening: Opening {
        start_ms: 2_000,
        duration_ms: 4_000,
        initial_permille: 0,
    },
    out_of_contact_ms: 1_000,
    headroom_ms: 500,
    partition_headroom_ms: 2_000,
    max_unproved_fraction: 0.01,
    largest_request_factor: 2.0,
    witness_timeout_ms: 4_000,
    max_unspent_fraction: 0.6,
    idle_fraction: 0.05,
};

/// Configurations of processes that follow each other on one VM: the schedules of two releases
/// differ, and a successor has to compute with that of its predecessor.
pub const CONFIGS: [ShareConfig; 4] = [
    SHARE_CONFIG,
    with_opening(1_000, 2_000, 300),
    with_opening(0, 8_000, 120),
    with_opening(2_500, 0, 700),
];

/// Returns a configuration with another schedule, and with an open part of its own.
const fn with_opening(start_ms: u64, duration_ms: u64, initial_permille: u32) -> ShareConfig {
    ShareConfig {
        open_demand_ms: 300,
        sealed_demand_ms: 9_700,
        opening: Opening {
            start_ms,
            duration_ms,
            initial_permille,
        },
        ..SHARE_CONFIG
    }
}

/// Account that all tests use.
pub const ACCOUNT: &str = "firm";

/// Age of the last write at which sealed parts are fully open, in milliseconds.
pub const FULLY_OPEN_MS: u64 = SHARE_CONFIG.opening.start_ms + SHARE_CONFIG.opening.duration_ms;

/// Returns the readings of both clocks at a time of the test.
pub fn at(ms: u64) -> Stamp {
    Stamp {
        since_boot: 50_000 + ms,
        time_of_day: 1_000_000 + ms,
    }
}

/// Creates a holder with a total for the account.
pub fn holder(name: &str, process: u64, total: u64) -> ShareHolder {
    holder_at(name, process, total, at(0))
}

/// Creates a holder whose process started at `started`.
pub fn holder_at(name: &str, process: u64, total: u64, started: Stamp) -> ShareHolder {
    holder_with(SHARE_CONFIG, name, process, total, started)
}

/// Creates a holder whose process started at `started`, with one of [`CONFIGS`].
pub fn varied_holder(name: &str, process: u64, total: u64, started: Stamp) -> ShareHolder {
    let config = CONFIGS[process as usize % CONFIGS.len()];
    holder_with(config, name, process, total, started)
}

/// Creates a holder with a configuration.
pub fn holder_with(
    config: ShareConfig,
    name: &str,
    process: u64,
    total: u64,
    started: Stamp,
) -> ShareHolder {
    let id = HolderId(name.into());
    ShareHolder::new(id, process, started, config, totals(total))
}

/// Returns totals with one for the account.
pub fn totals(total: u64) -> Rc<Totals> {
    Rc::new(Totals::new(1, [(ACCOUNT, total)]))
}

/// Returns totals before a configuration is known.
pub fn no_totals() -> Rc<Totals> {
    Rc::default()
}

/// Writes the holder's next state, and tells the holder that the write took effect.
pub fn exchange(h: &mut ShareHolder, now_ms: u64, record: &mut ShareRecord) {
    let next = h.compose(now_ms, at(now_ms), record);
    h.note_sent(at(now_ms));
    *record = next;
    assert!(h.adopt(record));
}

/// Reserves, with one exchange if the share is too small.
pub fn reserve_with_exchange(
    h: &mut ShareHolder,
    now: u64,
    max_cost: u64,
    r: &mut ShareRecord,
) -> Result<(), ShareShortfall> {
    if h.reserve(now, ACCOUNT, max_cost).is_ok() {
        return Ok(());
    }
    exchange(h, now, r);
    h.reserve(now, ACCOUNT, max_cost)
}
