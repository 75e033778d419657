//! Decisions about a request before it is sent: route, account, deadline and priority.

use hyper::Uri;
use hyper::header::HOST;
use hyper::http::request::Parts;
use wisteriapass_coord::origin::Software;
use wisteriapass_policy::drain::StreamGoals;

use crate::catalogue::{Account, Catalogue, ColdStart, Limits};
use crate::prelude::*;
use crate::target::{Target, TargetKey};

/// Body timeout as a multiple of the header timeout, as a body has more bytes.
const BODY_TIMEOUT_FACTOR: u32 = 2;

/// Highest priority.
const HIGHEST_PRIORITY: u8 = 0;

/// Decisions about a request.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Matching route.
    pub route: Rc<Route>,
    /// Service, drawn at random by the route's weights.
    pub service: String,
    /// Account that is charged, if the route requires one.
    pub account: Option<Rc<Account>>,
    /// Limits on the client.
    pub limits: Limits,
    /// When the request arrived.
    pub arrived: Instant,
    /// Deadline of the complete response.
    pub deadline: Instant,
    /// Deadline for the body to arrive.
    pub body_by: Instant,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Tokens per event of the service's streams.
    pub tokens_per_event: u64,
    /// Load limit of the service's cold targets.
    pub cold_start: Option<ColdStart>,
    /// Software that began the stream, if the client resumes one.
    pub origin: Option<Software>,
    /// Whether a stream is delivered once it is whole.
    pub is_delivered_whole: bool,
}

impl Plan {
    /// Plans a request that has just arrived.
    ///
    /// # Errors
    ///
    /// [`Refusal`] if there is no configuration, no matching route or no account for it.
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
        let plan = Self::of_route(gw, &catalogue, route, account, metadata, arrived);
        Ok(plan.with_service(&catalogue, &service))
    }

    /// Plans a request of a route and account, without a service.
    pub(crate) fn of_route(
        gw: &Gateway,
        catalogue: &Catalogue,
        route: Rc<Route>,
        account: Option<Rc<Account>>,
        metadata: &RequestMetadata,
        arrived: Instant,
    ) -> Self {
        let timeout_ms = metadata
            .remaining_ms
            .unwrap_or(route.timeout_ms)
            .min(route.timeout_ms);
        let account_priority = account.as_ref().and_then(|a| a.priority);
        let body_timeout = Duration::from_millis(catalogue.limits.header_ms) * BODY_TIMEOUT_FACTOR;
        Self {
            priority: account_priority.unwrap_or(route.priority),
            tokens_per_event: 1,
            cold_start: None,
            origin: None,
            is_delivered_whole: false,
            limits: catalogue.limits,
            arrived,
            // The queueing delay counts: the client's own timeout has been running since before the
            // request was read.
            deadline: arrived
                + Duration::from_millis(timeout_ms).saturating_sub(gw.queueing_delay()),
            body_by: arrived + body_timeout,
            account,
            service: String::new(),
            route,
        }
    }

    /// Refuses the request if its head alone shows that it cannot be served.
    ///
    /// # Errors
    ///
    /// [`Refusal::Overloaded`], [`Refusal::NoTarget`], [`Refusal::NoRegion`] or
    /// [`Refusal::Stopping`].
    pub fn check_head(&self, gw: &Gateway, metadata: &RequestMetadata) -> Result<(), Refusal> {
        let loop_delay = gw.loop_delay.get();
        if loop_delay.is_too_late_for(self.route.latency_goal_ms) {
            return Err(Refusal::Overloaded);
        }
        // A stream that is resumed may go on at another service of its route.
        if metadata.resumes.is_none() {
            self.check_targets(gw)?;
        }
        if !self.ends_in_time_somewhere(gw, metadata, &[], None) {
            return Err(Refusal::Stopping);
        }
        Ok(())
    }

    /// Directs the request to a service.
    pub fn with_service(mut self, catalogue: &Catalogue, name: &str) -> Self {
        let service = catalogue.service(name);
        // Services that do not state it are taken to send one token per event.
        self.tokens_per_event = service.tokens_per_event.unwrap_or(1);
        self.cold_start = service.cold_start;
        self.service = name.to_owned();
        self
    }

    /// Sets whether a stream is delivered once it is whole.
    pub fn with_whole_delivery(mut self, is_delivered_whole: bool) -> Self {
        self.is_delivered_whole = is_delivered_whole;
        self
    }

    /// Returns the account's name.
    pub fn account_name(&self) -> Option<&str> {
        self.account.as_ref().map(|a| a.name.as_str())
    }

    /// Returns the priority of the request. A request that was accepted while stopping has the
    /// highest, as it cannot wait and others can.
    pub fn current_priority(&self, gw: &Gateway) -> u8 {
        let drain = gw.drain.get();
        let is_late = drain.is_some_and(|drain| drain.closes_idle_connections(gw.time()));
        if is_late {
            HIGHEST_PRIORITY
        } else {
            self.priority
        }
    }

    /// Returns whether both route and account permit the target's region.
    pub fn allows(&self, gw: &Gateway, target: &Target) -> bool {
        let domain = &target.entry.failure_domain;
        let is_permitted = |regions: &[String]| gw.settings.is_in_regions(domain, regions);
        let account_regions = self.account.as_ref().map_or(&[][..], |a| &a.regions);
        is_permitted(&self.route.regions) && is_permitted(account_regions)
    }

    /// Refuses the request if no target may ever serve it.
    ///
    /// # Errors
    ///
    /// [`Refusal::NoTarget`] or [`Refusal::NoRegion`].
    fn check_targets(&self, gw: &Gateway) -> Result<(), Refusal> {
        let targets = gw.targets.borrow();
        let available = targets.available(&self.service, Instant::now());
        if available.is_empty() {
            return Err(Refusal::NoTarget);
        }
        let is_allowed = available.iter().any(|(_, t)| self.allows(gw, t));
        is_allowed.then_some(()).ok_or(Refusal::NoRegion)
    }

    /// Refuses a request that resumes a stream if no target of the software that began it may get
    /// requests.
    ///
    /// # Errors
    ///
    /// [`Refusal::NoSameVersion`].
    pub fn check_origin(&self, gw: &Gateway) -> Result<(), Refusal> {
        let targets = gw.targets.borrow();
        let available = targets.available(&self.service, Instant::now());
        let origin = self.origin.as_ref();
        let serves = |t: &Target| origin.is_none_or(|o| t.runs(o)) && self.allows(gw, t);
        let is_served = available.iter().any(|(_, t)| serves(t));
        is_served.then_some(()).ok_or(Refusal::NoSameVersion)
    }

    /// Returns the time that a target has for the request, in milliseconds.
    pub fn remaining_ms(&self, gw: &Gateway) -> u64 {
        let left = self.deadline.saturating_duration_since(Instant::now());
        let left_ms = left.as_millis() as u64;
        let drain_ms = gw
            .drain
            .get()
            .map(|drain| drain.target_time_left_ms(gw.time()));
        left_ms.min(drain_ms.unwrap_or(left_ms))
    }

    /// Returns whether the request would end before this router stops if it were sent to a target
    /// now, judged by recent durations there.
    pub fn ends_in_time(&self, gw: &Gateway, metadata: &RequestMetadata, target: &Target) -> bool {
        let Some(drain) = gw.drain.get() else {
            return true;
        };
        let most = metadata.work.map_or(0, |w| w.max_output);
        let expected_ms = gw.expected_ms(target, &self.route, most);
        if self.route.kind.is_stream() {
            let goals = StreamGoals {
                latency_goal_ms: self.route.latency_goal_ms,
                gap_goal_ms: self.route.gap_goal_ms,
            };
            return drain.accepts_stream(gw.time(), expected_ms, goals);
        }
        drain.accepts_work(gw.time(), expected_ms)
    }

    /// Returns whether [`Self::ends_in_time`] holds for any target that was not tried and runs the
    /// software that began the stream, if the client resumes one. Also `true`
    /// if there is no such target, as the request then does not fail because of the shutdown.
    pub fn ends_in_time_somewhere(
        &self,
        gw: &Gateway,
        metadata: &RequestMetadata,
        tried: &[TargetKey],
        origin: Option<&Software>,
    ) -> bool {
        if !gw.is_stopping() {
            return true;
        }
        let targets = gw.targets.borrow();
        let mut available = targets.available(&self.service, Instant::now());
        available.retain(|(key, t)| !tried.contains(key) && self.allows(gw, t));
        available.retain(|(_, t)| origin.is_none_or(|origin| t.runs(origin)));
        let mut ends = available
            .iter()
            .map(|(_, t)| self.ends_in_time(gw, metadata, t));
        available.is_empty() || ends.any(|in_time| in_time)
    }
}

/// Returns the account that owns the client's API key.
pub(crate) fn account(
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

/// Returns the requested host, in lower case and without its port.
pub fn host(headers: &HeaderMap, uri: &Uri) -> String {
    let named = headers.get(HOST).and_then(|h| h.to_str().ok());
    let host = named.or_else(|| uri.host()).unwrap_or_default();
    let bare = host.split(':').next().unwrap_or_default();
    bare.to_ascii_lowercase()
}
