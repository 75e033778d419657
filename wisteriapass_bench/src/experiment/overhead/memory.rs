//! Resident memory of the daemons while streams are open.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use super::MemoryPerStream;
use crate::fleet::{Fleet, Result};

/// Time between two looks, in milliseconds.
const LOOK_MS: u64 = 20;

/// Measures how much the daemons grow at most while `play` keeps streams open.
pub(super) fn per_stream(
    fleet: &Fleet,
    streams: usize,
    play: impl FnOnce(),
) -> Result<MemoryPerStream> {
    let idle = resident(fleet)?;
    let is_over = AtomicBool::new(false);
    let peak = std::thread::scope(|scope| {
        let watcher = scope.spawn(|| watch(fleet, &is_over));
        play();
        is_over.store(true, Ordering::Relaxed);
        watcher.join().expect("the watcher does not panic")
    })?;
    let grown = |names: &[String]| -> u64 {
        let grown = |name: &String| {
            let before = idle.get(name).copied().unwrap_or_default();
            let after = peak.get(name).copied().unwrap_or_default();
            after.saturating_sub(before)
        };
        names.iter().map(grown).sum::<u64>() / (streams.max(1) as u64)
    };
    Ok(MemoryPerStream {
        router_bytes: grown(&fleet.router_names()),
        side_bytes: grown(&fleet.side_names()),
        idle_router_bytes: mean(&idle, &fleet.router_names()),
        idle_side_bytes: mean(&idle, &fleet.side_names()),
    })
}

/// Returns the largest resident memory of each daemon until `is_over`.
fn watch(fleet: &Fleet, is_over: &AtomicBool) -> Result<BTreeMap<String, u64>> {
    let mut peak = resident(fleet)?;
    while !is_over.load(Ordering::Relaxed) {
        for (name, bytes) in resident(fleet)? {
            let most = peak.entry(name).or_default();
            *most = bytes.max(*most);
        }
        std::thread::sleep(Duration::from_millis(LOOK_MS));
    }
    Ok(peak)
}

fn resident(fleet: &Fleet) -> Result<BTreeMap<String, u64>> {
    let mut resident = BTreeMap::new();
    for name in fleet.router_names().into_iter().chain(fleet.side_names()) {
        let bytes = fleet.daemon(&name)?.resident_bytes().unwrap_or_default();
        resident.insert(name, bytes);
    }
    Ok(resident)
}

fn mean(bytes: &BTreeMap<String, u64>, names: &[String]) -> u64 {
    let sum: u64 = names.iter().filter_map(|name| bytes.get(name)).sum();
    sum / (names.len().max(1) as u64)
}
