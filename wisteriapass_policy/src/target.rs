use smallvec::SmallVec;
use twox_hash::XxHash64;

use crate::health::Health;
use crate::load_view::LoadView;
use crate::names::Names;
use crate::{
    HostedResource, Locality, PolicyConfig, RequiredResource, TargetInfo, TargetRole, Time,
};

/// A target with its load and health, as the scheduler sees it.
#[derive(Debug)]
pub(crate) struct Target {
    pub(crate) info: TargetInfo,
    hosted: SmallVec<[RequiredResource; 4]>,
    slots: f64,
    nominal_slot_rate: f64,
    pub(crate) name_hash: u64,
    pub(crate) load: LoadView,
    pub(crate) health: Health,
}

impl Target {
    /// Creates a target without known load or failures.
    pub(crate) fn new(
        info: TargetInfo,
        hosted: SmallVec<[RequiredResource; 4]>,
        cfg: &PolicyConfig,
    ) -> Self {
        Self {
            name_hash: XxHash64::oneshot(0, info.name.as_bytes()),
            load: LoadView::default(),
            health: Health::new(cfg),
            hosted,
            slots: slots_of(&info),
            nominal_slot_rate: nominal_slot_rate_of(&info),
            info,
        }
    }

    pub(crate) fn set_info(&mut self, info: TargetInfo, hosted: SmallVec<[RequiredResource; 4]>) {
        self.slots = slots_of(&info);
        self.nominal_slot_rate = nominal_slot_rate_of(&info);
        self.info = info;
        self.hosted = hosted;
    }

    /// Returns the resources that a target hosts as interned names: each model alone and with each
    /// adapter.
    pub(crate) fn intern_hosted(
        info: &TargetInfo,
        names: &mut Names,
    ) -> SmallVec<[RequiredResource; 4]> {
        let mut hosted = SmallVec::new();
        for resource in &info.resources {
            match resource {
                HostedResource::Service { name } => hosted.push(RequiredResource::Service {
                    service: names.intern(name),
                }),
                HostedResource::Model {
                    name,
                    version,
                    adapters,
                } => {
                    let model = names.intern(name);
                    let version = Some(names.intern(version));
                    hosted.push(RequiredResource::Model {
                        model,
                        version,
                        adapter: None,
                    });
                    for adapter in adapters {
                        let adapter = Some(names.intern(adapter));
                        hosted.push(RequiredResource::Model {
                            model,
                            version,
                            adapter,
                        });
                    }
                }
            }
        }
        hosted
    }

    /// Returns whether it hosts a resource; a requirement without a version matches any version.
    pub(crate) fn hosts(&self, required: RequiredResource) -> bool {
        self.hosted
            .iter()
            .any(|&resource| match (resource, required) {
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
                _ => resource == required,
            })
    }

    /// Returns whether it accepts new requests.
    pub(crate) fn accepts_requests(&self) -> bool {
        !self.info.leaving && self.info.role == TargetRole::General && self.info.slots > 0
    }

    pub(crate) fn slots(&self) -> f64 {
        self.slots
    }

    /// Returns the nominal rate of one slot, in tokens per second.
    pub(crate) fn nominal_slot_rate(&self) -> f64 {
        self.nominal_slot_rate
    }

    /// Returns the observed rate of one slot, in tokens per second.
    pub(crate) fn observed_slot_rate(&self) -> f64 {
        self.nominal_slot_rate() * self.health.speed.clamp(0.01, 1.5)
    }

    /// Returns when it counts as silent without further activity; `None` while it has no requests.
    pub(crate) fn silence_deadline(&self, cfg: &PolicyConfig) -> Option<Time> {
        if self.load.own_requests == 0 {
            return None;
        }
        let only_queued = self.load.own_responding == 0;
        let timeout_s = if only_queued {
            cfg.silent_queued_s
        } else {
            cfg.silent_after_s
        };
        let deadline = self.health.last_activity.plus_secs(timeout_s);
        Some(deadline.max(self.health.avoided_until()))
    }

    /// Returns whether it counts towards the capacity of its pools now.
    pub(crate) fn is_usable(&self, now: Time, cfg: &PolicyConfig) -> bool {
        self.accepts_requests() && (!cfg.parts.health || self.health.limit(now) > 1)
    }

    /// Returns the factor by which its requests take longer than nominal.
    pub(crate) fn slowdown(&self, cfg: &PolicyConfig) -> f64 {
        if !cfg.parts.health {
            return 1.0;
        }
        1.0 / self.health.speed.clamp(0.05, 1.0)
    }

    /// Returns the load added for its locality, as a share of its slots.
    pub(crate) fn locality_penalty(&self, cfg: &PolicyConfig) -> f64 {
        match self.info.locality {
            Locality::SameDomain => 0.0,
            Locality::SameRegion => cfg.other_domain_load,
            Locality::OtherRegion => cfg.other_region_load,
        }
    }
}

fn slots_of(info: &TargetInfo) -> f64 {
    f64::from(info.slots)
}

/// Returns the nominal rate of one slot of a target, in tokens per second.
fn nominal_slot_rate_of(info: &TargetInfo) -> f64 {
    f64::from(info.tokens_per_s.max(1)) / slots_of(info).max(1.0)
}
