//! Resident memory of the daemons while streams are open.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use super::MemoryPerStream;
use crate::fleet::{Fleet, Result};

/// Interval between memory samples, in milliseconds.
const SAMPLE_INTERVAL_MS: u64 = 20;

/// Measures the peak memory growth of the daemons, per stream, while `run_load` keeps streams open.
pub(super) fn per_stream(
    fleet: &Fleet,
    streams: usize,
    run_load: impl FnOnce(),
) -> Result<MemoryPerStream> {
    let idle = resident_bytes_of_all(fleet)?;
    let is_finished = AtomicBool::new(false);
    let peak = std::thread::scope(|scope| {
        let sampler = scope.spawn(|| peak_resident_bytes(fleet, &is_finished));
        run_load();
        is_finished.store(true, Ordering::Relaxed);
        sampler.join().expect("the sampler does not panic")
    })?;
    let growth_per_stream = |names: &[String]| -> u64 {
        let growth = |name: &String| {
            let before = idle.get(name).copied().unwrap_or_default();
            let after = peak.get(name).copied().unwrap_or_default();
            after.saturating_sub(before)
        };
        names.iter().map(growth).sum::<u64>() / (streams.max(1) as u64)
    };
    Ok(MemoryPerStream {
        router_bytes: growth_per_stream(&fleet.router_names()),
        side_bytes: growth_per_stream(&fleet.side_names()),
        idle_router_bytes: mean(&idle, &fleet.router_names()),
        idle_side_bytes: mean(&idle, &fleet.side_names()),
    })
}

/// Returns the peak resident memory of each daemon until `is_finished` is set.
fn peak_resident_bytes(fleet: &Fleet, is_finished: &AtomicBool) -> Result<BTreeMap<String, u64>> {
    let mut peak = resident_bytes_of_all(fleet)?;
    while !is_finished.load(Ordering::Relaxed) {
        for (name, bytes) in resident_bytes_of_all(fleet)? {
            let peak_bytes = peak.entry(name).or_default();
            *peak_bytes = bytes.max(*peak_bytes);
        }
        std::thread::sleep(Duration::from_millis(SAMPLE_INTERVAL_MS));
    }
    Ok(peak)
}

fn resident_bytes_of_all(fleet: &Fleet) -> Result<BTreeMap<String, u64>> {
    let mut bytes_by_name = BTreeMap::new();
    for name in fleet.router_names().into_iter().chain(fleet.side_names()) {
        let bytes = fleet.daemon(&name)?.resident_bytes().unwrap_or_default();
        bytes_by_name.insert(name, bytes);
    }
    Ok(bytes_by_name)
}

fn mean(bytes: &BTreeMap<String, u64>, names: &[String]) -> u64 {
    let sum: u64 = names.iter().filter_map(|name| bytes.get(name)).sum();
    sum / (names.len().max(1) as u64)
}
