//! A failure domain's routers, their coordinator, the balancer and the client accounts.

use std::collections::BTreeMap;

use wisteriapass_policy::rotation::{
    Change, Crowding, ExitAnswer, HeldStanding, MarkAge, Phase, RotationPlanner, RouterReport,
    Standing,
};
use wisteriapass_policy::{LinkMeter, Time};

/// Length of a step, in milliseconds.
const STEP_MS: u64 = 50;

/// Interval between two reports of a router, in milliseconds.
pub const REPORT_MS: u64 = 200;

/// Interval between two checks of the balancer, in milliseconds.
const CHECK_MS: u64 = 1_000;

/// Time for which a standing is valid, in milliseconds.
const VALID_MS: u64 = 1_500;

/// Bandwidths, in Mbit/s.
pub const STRONG: f64 = 200.0;
pub const WEAK: f64 = 10.0;

/// A router with its view of the coordinator's decision, and the balancer's view of it.
#[derive(Clone)]
pub struct Router {
    pub mbps: f64,
    /// Load above which its processor is too slow, in Mbit/s.
    pub processor_mbps: f64,
    is_overloaded: bool,
    pub phase: Phase,
    pub is_alive: bool,
    pub is_in_rotation: bool,
    meter: LinkMeter,
    held: Option<(Standing, Time)>,
    mark: Option<MarkAge>,
    is_domain_out: bool,
    domain_size: u32,
    misses: u32,
    /// Number of times that it stopped or began to answer checks.
    pub flips: usize,
    was_ready: bool,
}

impl Router {
    pub fn new(mbps: f64) -> Self {
        Self {
            mbps,
            processor_mbps: f64::MAX,
            is_overloaded: false,
            phase: Phase::Running,
            is_alive: true,
            is_in_rotation: true,
            meter: LinkMeter::new(mbps),
            held: None,
            mark: None,
            is_domain_out: false,
            domain_size: 0,
            misses: 0,
            flips: 0,
            was_ready: true,
        }
    }

    fn is_ready(&self, now: Time) -> bool {
        let held = self.held.filter(|(_, until)| now < *until);
        let is_standby = held.is_some_and(|(standing, _)| standing == Standing::Standby);
        self.is_alive && self.phase == Phase::Running && !is_standby
    }

    fn report(&self, now: Time, name: &str) -> RouterReport {
        let held = self.held.map(|(standing, until)| HeldStanding {
            standing,
            valid_ms: until.millis_since(now),
        });
        let utilization = self.meter.utilization(now);
        RouterReport {
            router: name.to_owned(),
            process: 1,
            link_mbps: self.mbps,
            cores: None,
            utilization,
            crowding: Crowding::of(utilization, self.is_overloaded),
            phase: self.phase,
            held,
            mark: self.mark,
            is_domain_out: self.is_domain_out,
            domain_size: self.domain_size,
            next_ms: REPORT_MS,
        }
    }

    fn check(&mut self, now: Time) {
        let is_ready = self.is_ready(now);
        self.misses = if is_ready { 0 } else { self.misses + 1 };
        if is_ready {
            self.is_in_rotation = true;
        } else if self.misses >= 2 {
            self.is_in_rotation = false;
        }
    }
}

/// A failure domain with one coordinator.
pub struct Domain {
    pub planner: RotationPlanner,
    pub routers: BTreeMap<String, Router>,
    pub changes: Vec<Change>,
}

impl Domain {
    /// Creates a domain with strong routers `s1`, `s2` … and weak routers `w1`, `w2` ….
    pub fn new(name: &str, strong: usize, weak: usize) -> Self {
        let strong = (1..=strong).map(|n| (format!("s{n}"), Router::new(STRONG)));
        let weak = (1..=weak).map(|n| (format!("w{n}"), Router::new(WEAK)));
        Self {
            planner: RotationPlanner::new(name, Time::default()),
            routers: strong.chain(weak).collect(),
            changes: Vec::new(),
        }
    }

    /// Returns the names of routers that match.
    pub fn names(&self, matches: impl Fn(&Router) -> bool) -> Vec<&str> {
        let matching = self.routers.iter().filter(|(_, r)| matches(r));
        matching.map(|(name, _)| name.as_str()).collect()
    }

    /// Returns the routers that the balancer uses: all if fewer than half are in rotation, and none
    /// if none is.
    pub fn used(&self) -> Vec<&str> {
        let used = self.names(|r| r.is_in_rotation);
        if used.is_empty() || 2 * used.len() >= self.routers.len() {
            return used;
        }
        self.names(|_| true)
    }

    /// Returns the total number of times that routers stopped or began to answer checks.
    pub fn flips(&self) -> usize {
        self.routers.values().map(|r| r.flips).sum()
    }

    fn step(&mut self, now: Time) {
        for (index, (name, router)) in self.routers.iter_mut().enumerate() {
            let offset = index as u64 * STEP_MS;
            let elapsed = now.millis_since(Time::default()) + offset;
            if elapsed.is_multiple_of(REPORT_MS) && router.is_alive {
                self.planner.record(now, router.report(now, name));
                self.changes.extend(self.planner.plan(now));
                let decision = self.planner.decision(now, name).unwrap();
                let until = now.plus_millis(VALID_MS);
                router.held = decision.standing.map(|standing| (standing, until));
                router.mark = decision.mark;
                router.is_domain_out = decision.is_domain_out;
                router.domain_size = decision.domain_size;
            }
            let is_ready = router.is_ready(now);
            router.flips += usize::from(is_ready != router.was_ready);
            router.was_ready = is_ready;
            if elapsed.is_multiple_of(CHECK_MS) {
                router.check(now);
            }
        }
    }
}

/// A client account whose callers are in one domain.
pub struct Account {
    pub domain: usize,
    /// Routers in the order in which the balancer selects them for the account; others follow.
    pub preference: &'static [&'static str],
    /// Load at a time in milliseconds, in Mbit/s.
    pub load: fn(u64) -> f64,
}

/// All domains and accounts.
pub struct World {
    pub domains: Vec<Domain>,
    pub accounts: Vec<Account>,
    /// Whether each domain's coordinator reaches the others.
    pub is_connected: bool,
    pub now_ms: u64,
    /// When each account was last at a router that is too weak for it, in milliseconds.
    pub late_at: Vec<Option<u64>>,
    /// Total time of that, in milliseconds.
    pub late_ms: u64,
    /// Whether the number of routers that a balancer uses has ever been below half, apart from
    /// domains that are out.
    pub was_below_half: bool,
}

impl World {
    pub fn new(domains: Vec<Domain>, accounts: Vec<Account>) -> Self {
        Self {
            late_at: vec![None; accounts.len()],
            domains,
            accounts,
            is_connected: true,
            now_ms: 0,
            late_ms: 0,
            was_below_half: false,
        }
    }

    pub fn now(&self) -> Time {
        Time::from_millis(self.now_ms)
    }

    /// Runs until a time.
    pub fn run_until(&mut self, until_ms: u64) {
        while self.now_ms < until_ms {
            self.now_ms += STEP_MS;
            self.step();
        }
    }

    /// Returns the domain and router at which an account's callers arrive.
    pub fn router_of(&self, account: usize) -> (usize, String) {
        let account = &self.accounts[account];
        let count = self.domains.len();
        let nearest = (0..count).map(|n| (account.domain + n) % count);
        let mut usable = nearest.filter(|d| !self.domains[*d].used().is_empty());
        let domain = usable.next().unwrap();
        let used = self.domains[domain].used();
        let mut order: Vec<&str> = account.preference.to_vec();
        // The hashes of other routers give another order.
        if domain != account.domain {
            order.reverse();
        }
        let preferred = order.iter().find(|name| used.contains(name));
        (domain, (*preferred.unwrap_or(&used[0])).to_owned())
    }

    fn step(&mut self) {
        let now = self.now();
        let all = self.domains.iter_mut().flat_map(|d| d.routers.values_mut());
        all.for_each(|r| r.is_overloaded = false);
        for index in 0..self.accounts.len() {
            let load_mbps = (self.accounts[index].load)(self.now_ms);
            let (domain, name) = self.router_of(index);
            let router = self.domains[domain].routers.get_mut(&name).unwrap();
            let capacity = router.mbps.min(router.processor_mbps);
            let carried = load_mbps.min(capacity) * 125.0 * STEP_MS as f64;
            router.meter.record(now, carried as u64, carried as u64);
            router.is_overloaded |= load_mbps > router.processor_mbps;
            if load_mbps > capacity || !router.is_alive {
                self.late_at[index] = Some(self.now_ms);
                self.late_ms += STEP_MS;
            }
        }
        for domain in &mut self.domains {
            domain.step(now);
            let used = domain.names(|r| r.is_in_rotation).len();
            self.was_below_half |= used > 0 && 2 * used < domain.routers.len();
        }
        self.ask_for_consents();
    }

    /// Passes requests for consents on, in the order of the domains.
    fn ask_for_consents(&mut self) {
        let now = self.now();
        let calls: Vec<_> = self
            .domains
            .iter_mut()
            .map(|d| d.planner.begin_asking(now))
            .collect();
        let answers: Vec<Option<Vec<_>>> = calls
            .iter()
            .enumerate()
            .map(|(asking, call)| {
                let call = call.as_ref()?;
                let others = self.domains.iter_mut().enumerate();
                let others = others.filter(|(index, _)| *index != asking);
                let answer = |d: &mut Domain| d.planner.answer_exit(now, call, &[]);
                Some(
                    others
                        .map(|(_, d)| answer(d).filter(|_| self.is_connected))
                        .collect(),
                )
            })
            .collect();
        for (domain, answers) in self.domains.iter_mut().zip(answers) {
            let answers: Option<Vec<Option<ExitAnswer>>> = answers;
            if let Some(answers) = answers {
                domain.planner.record_answers(now, &answers);
            }
        }
    }
}
