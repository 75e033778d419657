//! Where a request runs: the least busy target that offers what it needs.

use std::collections::HashMap;

use parking_lot::Mutex;
use wisteriapass_config::{Document, Target};

use crate::prelude::*;
use crate::run_wire::RunRequest;

/// Work of this router at each target.
#[derive(Default)]
pub struct Placement {
    outstanding: Mutex<HashMap<String, usize>>,
}

impl Service for Placement {
    const NAME: &'static str = "placement";
}

/// A chosen target; its work is counted until this is dropped.
pub struct Place {
    placement: Arc<Placement>,
    /// The target.
    pub target: Target,
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut outstanding = self.placement.outstanding.lock();
        if let Some(n) = outstanding.get_mut(&self.target.name) {
            *n = n.saturating_sub(1);
        }
    }
}

impl Placement {
    /// Creates a placement without work.
    pub fn new() -> Self {
        Self::default()
    }

    /// Chooses a target, not one of `avoid`; none if there is none.
    pub fn choose(
        self: &Arc<Self>,
        document: &Document,
        request: &RunRequest,
        avoid: &[String],
    ) -> Option<Place> {
        let mut outstanding = self.outstanding.lock();
        let target = document
            .inventory
            .target
            .iter()
            .filter(|t| !t.draining && offers(t, request))
            .filter(|t| !avoid.contains(&t.name))
            .min_by_key(|t| outstanding.get(&t.name).copied().unwrap_or(0))?;
        *outstanding.entry(target.name.clone()).or_insert(0) += 1;
        Some(Place {
            placement: self.clone(),
            target: target.clone(),
        })
    }
}

/// Returns whether a target offers what a request needs.
pub fn offers(target: &Target, request: &RunRequest) -> bool {
    match request {
        RunRequest::Chat(chat) => target.model.iter().any(|m| m.name == chat.model),
        RunRequest::Call(call) => target
            .services
            .iter()
            .any(|s| service_of(&call.path) == Some(s.as_str())),
    }
}

/// Returns the service that a path names: its first segment.
pub fn service_of(path: &str) -> Option<&str> {
    let first = path.trim_start_matches('/').split(['/', '?']).next()?;
    if first.is_empty() { None } else { Some(first) }
}
