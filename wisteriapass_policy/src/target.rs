//! One target as the scheduler sees it.

use smallvec::SmallVec;
use twox_hash::XxHash64;

use crate::health::Health;
use crate::load_view::LoadView;
use crate::names::Names;
use crate::{
    HostedResource, Locality, PolicyConfig, RequiredResource, TargetInfo, TargetRole, Time,
};

/// One target as the scheduler sees it.
#[derive(Debug)]
pub(crate) struct Target {
    pub(crate) facts: TargetInfo,
    held: SmallVec<[RequiredResource; 4]>,
    slots: f64,
    slot_rate: f64,
    pub(crate) name_hash: u64,
    pub(crate) load: LoadView,
    pub(crate) health: Health,
}

impl Target {
    /// Creates a target of which only the facts are known.
    pub(crate) fn new(
        facts: TargetInfo,
        held: SmallVec<[RequiredResource; 4]>,
        cfg: &PolicyConfig,
    ) -> Self {
        Self {
            name_hash: XxHash64::oneshot(0, facts.name.as_bytes()),
            load: LoadView::default(),
            health: Health::new(cfg),
            held,
            slots: slots_of(&facts),
            slot_rate: slot_rate_of(&facts),
            facts,
        }
    }

    /// Replaces the facts.
    pub(crate) fn set_facts(&mut self, facts: TargetInfo, held: SmallVec<[RequiredResource; 4]>) {
        self.slots = slots_of(&facts);
        self.slot_rate = slot_rate_of(&facts);
        self.facts = facts;
        self.held = held;
    }

    /// Returns what a target holds, by name keys: each model bare and with each adapter.
    pub(crate) fn intern_held(
        facts: &TargetInfo,
        names: &mut Names,
    ) -> SmallVec<[RequiredResource; 4]> {
        let mut held = SmallVec::new();
        for h in &facts.resources {
            match h {
                HostedResource::Service { name } => held.push(RequiredResource::Service {
                    service: names.intern(name),
                }),
                HostedResource::Model {
                    name,
                    version,
                    adapters,
                } => {
                    let model = names.intern(name);
                    let version = Some(names.intern(version));
                    held.push(RequiredResource::Model {
                        model,
                        version,
                        adapter: None,
                    });
                    for adapter in adapters {
                        let adapter = Some(names.intern(adapter));
                        held.push(RequiredResource::Model {
                            model,
                            version,
                            adapter,
                        });
                    }
                }
            }
        }
        held
    }

    /// Returns whether it holds what is wanted; no version means any.
    pub(crate) fn holds(&self, wants: RequiredResource) -> bool {
        self.held.iter().any(|&h| match (h, wants) {
            (
                RequiredResource::Model {
                    model,
                    version,
                    adapter,
                },
                RequiredResource::Model {
                    model: m,
                    version: v,
                    adapter: a,
                },
            ) => model == m && adapter == a && (v.is_none() || v == version),
            _ => h == wants,
        })
    }

    /// Returns whether it may take new requests.
    pub(crate) fn open(&self) -> bool {
        !self.facts.leaving && self.facts.role == TargetRole::General && self.facts.slots > 0
    }

    /// Returns its slots.
    pub(crate) fn slots(&self) -> f64 {
        self.slots
    }

    /// Returns what one slot does nominally, in tokens a second.
    pub(crate) fn slot_rate(&self) -> f64 {
        self.slot_rate
    }

    /// Returns what one slot does by experience, in tokens a second.
    pub(crate) fn real_slot_rate(&self) -> f64 {
        self.slot_rate() * self.health.speed.clamp(0.01, 1.5)
    }

    /// Returns when it counts as silent if it gives no sign before; never while it has no work.
    pub(crate) fn silent_at(&self, cfg: &PolicyConfig) -> Option<Time> {
        if self.load.own == 0 {
            return None;
        }
        let queued = self.load.answering == 0;
        let patience = if queued {
            cfg.silent_queued_s
        } else {
            cfg.silent_after_s
        };
        let silent = self.health.last_sign.plus_secs(patience);
        Some(silent.max(self.health.avoided_until()))
    }

    /// Returns whether it counts as part of its pools' capacity now.
    pub(crate) fn works(&self, now: Time, cfg: &PolicyConfig) -> bool {
        self.open() && (!cfg.parts.health || self.health.limit(now) > 1)
    }

    /// Returns how many times longer its work takes than it should.
    pub(crate) fn slowness(&self, cfg: &PolicyConfig) -> f64 {
        if !cfg.parts.health {
            return 1.0;
        }
        1.0 / self.health.speed.clamp(0.05, 1.0)
    }

    /// Returns the load that its distance is worth, as a share of its slots.
    pub(crate) fn distance(&self, cfg: &PolicyConfig) -> f64 {
        match self.facts.locality {
            Locality::SameDomain => 0.0,
            Locality::SameRegion => cfg.other_domain_load,
            Locality::OtherRegion => cfg.other_region_load,
        }
    }
}

/// Returns a target's slots.
fn slots_of(facts: &TargetInfo) -> f64 {
    f64::from(facts.slots)
}

/// Returns what one slot of a target does nominally, in tokens a second.
fn slot_rate_of(facts: &TargetInfo) -> f64 {
    f64::from(facts.tokens_per_s.max(1)) / slots_of(facts).max(1.0)
}
