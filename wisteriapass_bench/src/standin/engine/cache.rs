//! Prefix cache of limited capacity, whose events are delayed and partly lost.

use std::collections::VecDeque;
use std::hash::{DefaultHasher, Hash, Hasher};

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use super::settings::EngineSettings;
use crate::standin::unix_ms;

/// Size of a cache block, in bytes of the prompt.
const BLOCK_BYTES: usize = 256;

/// Maximum number of events kept for `GET /events`.
const MAX_EVENTS: usize = 4_096;

/// What happened to a block.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CacheChange {
    /// The block entered the cache.
    Stored,
    /// The block left the cache.
    Evicted,
}

/// One event of the prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number; missing numbers belong to lost events.
    pub seq: u64,
    /// Time of the change, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Hash of the model and the prompt's bytes up to the end of the block.
    pub block: u64,
    /// What happened to the block.
    pub change: CacheChange,
}

#[derive(Default)]
struct State {
    /// Cached blocks, the least recently used first.
    blocks: VecDeque<u64>,
    events: VecDeque<CacheEvent>,
    seq: u64,
}

/// Prefix cache of an engine.
pub(super) struct PrefixCache {
    state: Mutex<State>,
    capacity: usize,
    event_delay_ms: u64,
    event_loss_interval: u64,
}

impl PrefixCache {
    pub fn new(settings: &EngineSettings) -> Self {
        Self {
            state: Mutex::default(),
            capacity: settings.cache_blocks,
            event_delay_ms: settings.event_delay_ms,
            event_loss_interval: settings.event_loss_interval,
        }
    }

    /// Caches a prompt's blocks and returns the share of the prompt that was not cached, from 0 to
    /// 1.
    ///
    /// An incomplete last block is never cached.
    pub fn insert_prompt(&self, model: &str, prompt: &str) -> f64 {
        let mut state = self.state.lock();
        let mut cached_bytes = 0;
        let mut is_cached_prefix = true;
        for block in blocks(model, prompt) {
            let hit = state.mark_used(block);
            is_cached_prefix &= hit;
            cached_bytes += if is_cached_prefix { BLOCK_BYTES } else { 0 };
            if !hit {
                self.store(&mut state, block);
            }
        }
        let bytes = prompt.len().max(1);
        1.0 - cached_bytes as f64 / bytes as f64
    }

    /// Returns the events after sequence number `after` whose delay has passed.
    pub fn events_after(&self, after: u64) -> Vec<CacheEvent> {
        let published_until = unix_ms().saturating_sub(self.event_delay_ms);
        let state = self.state.lock();
        state
            .events
            .iter()
            .filter(|e| e.seq > after && e.at_ms <= published_until)
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
        if self.event_loss_interval > 0 && state.seq.is_multiple_of(self.event_loss_interval) {
            return;
        }
        state.events.push_back(CacheEvent {
            seq: state.seq,
            at_ms: unix_ms(),
            block,
            change,
        });
        if state.events.len() > MAX_EVENTS {
            state.events.pop_front();
        }
    }
}

impl State {
    /// Marks a block as most recently used; returns whether it was cached.
    fn mark_used(&mut self, block: u64) -> bool {
        let Some(index) = self.blocks.iter().position(|b| *b == block) else {
            return false;
        };
        self.blocks.remove(index);
        self.blocks.push_back(block);
        true
    }
}

/// Returns a hash for each whole block of a prompt, over the model and the prompt up to the block's
/// end.
fn blocks(model: &str, prompt: &str) -> Vec<u64> {
    let mut hasher = DefaultHasher::new();
    model.hash(&mut hasher);
    prompt
        .as_bytes()
        .chunks_exact(BLOCK_BYTES)
        .map(|block| {
            block.hash(&mut hasher);
            hasher.finish()
        })
        .collect()
}
