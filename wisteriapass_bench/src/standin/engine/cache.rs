//! Prefix cache with limited memory, whose events come late and with gaps.

use std::collections::VecDeque;
use std::hash::{DefaultHasher, Hash, Hasher};

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use super::settings::EngineSettings;
use crate::standin::unix_ms;

/// Bytes of a prompt that make one block of the cache.
const BLOCK: usize = 256;

/// Events kept for `GET /events`.
const EVENTS_KEPT: usize = 4_096;

/// What happened to a block.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CacheChange {
    /// It entered the cache.
    Stored,
    /// It left the cache.
    Evicted,
}

/// One event of the prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Its number; missing numbers are lost events.
    pub seq: u64,
    /// When it happened, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Hash of the model and the prompt's bytes up to the end of the block.
    pub block: u64,
    /// What happened.
    pub change: CacheChange,
}

#[derive(Default)]
struct State {
    /// Blocks held, least recently used first.
    blocks: VecDeque<u64>,
    events: VecDeque<CacheEvent>,
    seq: u64,
}

/// Prefix cache of one engine.
pub(super) struct PrefixCache {
    state: Mutex<State>,
    capacity: usize,
    event_lag_ms: u64,
    event_gap: u64,
}

impl PrefixCache {
    pub fn new(settings: &EngineSettings) -> Self {
        Self {
            state: Mutex::default(),
            capacity: settings.cache_blocks,
            event_lag_ms: settings.event_delay_ms,
            event_gap: settings.event_loss_interval,
        }
    }

    /// Stores a prompt's blocks and returns the share of it that was not cached, 0 to 1.
    ///
    /// What is past the last whole block is never cached.
    pub fn visit(&self, model: &str, prompt: &str) -> f64 {
        let mut state = self.state.lock();
        let mut cached = 0;
        let mut is_prefix = true;
        for block in blocks(model, prompt) {
            let hit = state.touch(block);
            is_prefix &= hit;
            cached += if is_prefix { BLOCK } else { 0 };
            if !hit {
                self.store(&mut state, block);
            }
        }
        let bytes = prompt.len().max(1);
        1.0 - cached as f64 / bytes as f64
    }

    /// Returns the events past `after` that are old enough to be told.
    pub fn events_after(&self, after: u64) -> Vec<CacheEvent> {
        let told_until = unix_ms().saturating_sub(self.event_lag_ms);
        let state = self.state.lock();
        state
            .events
            .iter()
            .filter(|e| e.seq > after && e.at_ms <= told_until)
            .cloned()
            .collect()
    }

    fn store(&self, state: &mut State, block: u64) {
        state.blocks.push_back(block);
        self.publish(state, block, CacheChange::Stored);
        if state.blocks.len() > self.capacity
            && let Some(oldest) = state.blocks.pop_front()
        {
            self.publish(state, oldest, CacheChange::Evicted);
        }
    }

    fn publish(&self, state: &mut State, block: u64, change: CacheChange) {
        state.seq += 1;
        if self.event_gap > 0 && state.seq.is_multiple_of(self.event_gap) {
            return;
        }
        state.events.push_back(CacheEvent {
            seq: state.seq,
            at_ms: unix_ms(),
            block,
            change,
        });
        if state.events.len() > EVENTS_KEPT {
            state.events.pop_front();
        }
    }
}

impl State {
    /// Marks a block as used now; returns whether it was held.
    fn touch(&mut self, block: u64) -> bool {
        let Some(at) = self.blocks.iter().position(|b| *b == block) else {
            return false;
        };
        self.blocks.remove(at);
        self.blocks.push_back(block);
        true
    }
}

/// Returns the hashes of a prompt's whole blocks, each over everything up to its end.
fn blocks(model: &str, prompt: &str) -> Vec<u64> {
    let mut hasher = DefaultHasher::new();
    model.hash(&mut hasher);
    prompt
        .as_bytes()
        .chunks_exact(BLOCK)
        .map(|block| {
            block.hash(&mut hasher);
            hasher.finish()
        })
        .collect()
}
