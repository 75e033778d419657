//! What is decided about a request before it goes anywhere: route, account, deadline, rank.

use hyper::Uri;
use hyper::header::HOST;
use hyper::http::request::Parts;

use crate::catalogue::{Account, Catalogue, ColdStart, Limits};
use crate::prelude::*;
use crate::target::{Target, TargetKey};

/// Longest time for a caller's body, as a multiple of the limit on its headers: a body has more
/// bytes.
const BODY_TIMEOUT_FACTOR: u32 = 2;

/// What is decided about a request.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Route that fits.
    pub route: Rc<Route>,
    /// Service, drawn by the route's weights.
    pub service: String,
    /// Account that pays, if the route asks for one.
    pub account: Option<Rc<Account>>,
    /// Limits on the caller.
    pub limits: Limits,
    /// When the request arrived.
    pub arrived: Instant,
    /// When the answer has to be final.
    pub deadline: Instant,
    /// When the body has to be there.
    pub body_by: Instant,
    /// Rank, 0 first.
    pub priority: u8,
    /// Tokens in an event of the service's streams.
    pub tokens_per_event: u64,
    /// What the service's targets bear while they are cold.
    pub cold: Option<ColdStart>,
}

impl Plan {
    /// Decides about a request that arrived just now.
    ///
    /// # Errors
    ///
    /// [`Refusal`] if there is no configuration, no route or no account for it.
    pub fn new(
        gw: &Gateway,
        parts: &Parts,
        metadata: &RequestMetadata,
        arrived: Instant,
    ) -> Result<Self, Refusal> {
        let catalogue = gw.catalogue().ok_or(Refusal::NotConfigured)?;
        let host = host(&parts.headers, &parts.uri);
        let route = catalogue.route(&host, parts.uri.path());
        let route = route.ok_or(Refusal::NoRoute)?;
        let account = account(&catalogue, &route, metadata)?;
        let service = route
            .pick_service(rand::random())
            .unwrap_or_default()
            .to_owned();
        let wait = metadata
            .remaining_ms
            .unwrap_or(route.timeout_ms)
            .min(route.timeout_ms);
        let known = catalogue.service(&service);
        let of_account = account.as_ref().and_then(|a| a.priority);
        let body_ms = Duration::from_millis(catalogue.limits.header_ms) * BODY_TIMEOUT_FACTOR;
        Ok(Self {
            priority: of_account.unwrap_or(route.priority),
            // One that is not stated is taken for one token.
            tokens_per_event: known.tokens_per_event.unwrap_or(1),
            cold: known.cold_start,
            limits: catalogue.limits,
            arrived,
            // What waited on its way here counts: its caller does not wait longer for it.
            deadline: arrived + Duration::from_millis(wait).saturating_sub(gw.queueing_delay()),
            body_by: arrived + body_ms,
            account,
            service,
            route,
        })
    }

    /// Returns the account's name.
    pub fn account_name(&self) -> Option<&str> {
        self.account.as_ref().map(|a| a.name.as_str())
    }

    /// Returns whether route and account let it run in a target's region.
    pub fn allows(&self, gw: &Gateway, target: &Target) -> bool {
        let domain = &target.entry.failure_domain;
        let is_within = |regions: &[String]| gw.settings.is_in_regions(domain, regions);
        let of_account = self
            .account
            .as_ref()
            .map_or(&[][..], |a| &a.allowed_regions);
        is_within(&self.route.allowed_regions) && is_within(of_account)
    }

    /// Refuses it where no target may serve it, whatever becomes of it.
    ///
    /// # Errors
    ///
    /// [`Refusal::NoTarget`] or [`Refusal::NoRegion`].
    pub fn check_targets(&self, gw: &Gateway) -> Result<(), Refusal> {
        let targets = gw.targets.borrow();
        let open = targets.available(&self.service, Instant::now());
        if open.is_empty() {
            return Err(Refusal::NoTarget);
        }
        let is_allowed = open.iter().any(|(_, t)| self.allows(gw, t));
        is_allowed.then_some(()).ok_or(Refusal::NoRegion)
    }

    /// Returns the milliseconds that a target has for it.
    pub fn remaining_ms(&self, gw: &Gateway) -> u64 {
        let left = self.deadline.saturating_duration_since(Instant::now());
        let left_ms = left.as_millis() as u64;
        let drain_ms = gw
            .drain
            .get()
            .map(|drain| drain.target_time_left_ms(gw.time()));
        left_ms.min(drain_ms.unwrap_or(left_ms))
    }

    /// Returns whether it ends before this router does if it is sent to a target now, going by what
    /// requests took there of late.
    pub fn ends_in_time(&self, gw: &Gateway, metadata: &RequestMetadata, target: &Target) -> bool {
        let Some(drain) = gw.drain.get() else {
            return true;
        };
        let most = metadata.work.map_or(0, |w| w.max_output);
        let expected_ms = gw.expected_ms(target, &self.route, most);
        drain.accepts_work(gw.time(), expected_ms)
    }

    /// Returns whether that holds for any target besides those that were tried; where there is none,
    /// this router's end is not what it fails for.
    pub fn ends_in_time_somewhere(
        &self,
        gw: &Gateway,
        metadata: &RequestMetadata,
        tried: &[TargetKey],
    ) -> bool {
        if !gw.is_stopping() {
            return true;
        }
        let targets = gw.targets.borrow();
        let mut open = targets.available(&self.service, Instant::now());
        open.retain(|(key, t)| !tried.contains(key) && self.allows(gw, t));
        let mut ends = open.iter().map(|(_, t)| self.ends_in_time(gw, metadata, t));
        open.is_empty() || ends.any(|in_time| in_time)
    }
}

/// Returns the account that holds the caller's key.
fn account(
    catalogue: &Catalogue,
    route: &Route,
    metadata: &RequestMetadata,
) -> Result<Option<Rc<Account>>, Refusal> {
    if route.public || !catalogue.has_accounts() {
        return Ok(None);
    }
    let key = metadata.key.as_ref().ok_or(Refusal::UnknownKey)?;
    let account = catalogue.account(key).ok_or(Refusal::UnknownKey)?;
    Ok(Some(account))
}

/// Returns the host that a request names, in lower case and without a port.
pub fn host(headers: &HeaderMap, uri: &Uri) -> String {
    let named = headers.get(HOST).and_then(|h| h.to_str().ok());
    let host = named.or_else(|| uri.host()).unwrap_or_default();
    let bare = host.split(':').next().unwrap_or_default();
    bare.to_ascii_lowercase()
}
