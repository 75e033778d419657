//! The money of this router: reserve and settle in memory, exchange with the service or a relay.

mod carrying;
mod crediting;
mod exchange;
mod granting;
mod group;
mod lending;
mod reporting;
mod saving;
mod source;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use derive_more::Display;
use smallvec::SmallVec;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout_at};
use twox_hash::XxHash64;
use wisteriapass_coord::prepaid::{
    Asked, Credit, DomainId, GrantBook, HolderId, Savings, ShareHolder, ShareRecord, ShareSizes,
    Shortfall, WitnessBook,
};
use wisteriapass_coord::relay::{Listed, Retirement, Roster};
use wisteriapass_policy::placement::hash;

use self::group::Group;
use crate::call::Caller;
use crate::catalogue::{Account, Catalogue};
use crate::clock::Clock;
use crate::facts::RequestFacts;
use crate::gateway::Gateway;
use crate::refusal::Refusal;
use crate::reservation::Reservation;
use crate::settings::GatewaySettings;

pub use carrying::{CARRIED, CARRY};
pub use crediting::GRANT;
pub use exchange::KnownRecord;
pub use lending::LEND;
pub use reporting::{INQUIRY, REPORT};
pub use source::TokenSource;

/// Records over which accounts are spread: one costs one call for each exchange, and holds some
/// hundred accounts of some tens of routers.
const GROUPS: u32 = 1;

/// Time after the last write at which the sealed part opens, in milliseconds: a router that is
/// killed and restarted at once proves within it that the seal was whole.
const SEAL_MS: u64 = 2_200;

/// Time since the last report to a witness after which it binds no more, in milliseconds: some
/// more than VMs are down for.
const SILENCE_MS: u64 = 5_000;

/// Draw that the open part covers, in milliseconds: lasts over the seal and the time between two
/// exchanges.
const OPEN_MS: u64 = 2_900;

/// Draw that the sealed part covers, in milliseconds: what is left of a cut of some ten seconds.
const SEALED_MS: u64 = 9_000;

/// Part of what is left of a total that all routers together hold unspent: a kill of all loses at
/// most that, and a cut of all leaves as much to be served.
const HELD: f64 = 0.8;

/// Part of what is left that routers without draw hold together: covers a first request of the
/// usual size, and strands little.
const FLOOR: f64 = 0.05;

/// Longest time that a request waits for a share, in milliseconds: some exchanges of a service
/// that answers in milliseconds.
const WAIT_MS: u64 = 250;

/// The same in a process that had no share yet, in milliseconds from its start: its first share
/// comes within that, with the second exchange if the first knew no configuration, or there is a
/// cut.
const FRESH_MS: u64 = 1_000;

/// Who carries this router's shares.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Role {
    /// A relay.
    #[display("follower")]
    Follower,
    /// The router itself, and those of its followers.
    #[display("relay")]
    Relay,
    /// A relay, for what comes; what it granted is still its own.
    #[display("retiring")]
    Retiring,
}

/// Money of one router process.
pub struct TokenLedger {
    clock: Clock,
    role: Cell<Role>,
    groups: Vec<Group>,
    /// Until when a first exchange is waited for.
    fresh_until: Instant,
    /// Relays that wrote of late, this router included if it is one.
    writers: Cell<usize>,
    /// All routers of the fleet.
    routers: Cell<usize>,
    /// Version of the configuration that totals are known by.
    version: Cell<u64>,
    seen: RefCell<HashMap<HolderId, Seen>>,
    /// What other relays reported to this one.
    book: RefCell<WitnessBook>,
    /// What this relay granted.
    grants: RefCell<GrantBook>,
    /// What this relay saves of accounts that lost money.
    savings: RefCell<Savings>,
    /// What relays granted to this router.
    credit: RefCell<Credit>,
    /// The relays that this router knows of.
    pub(crate) roster: RefCell<Roster>,
    caller: Rc<Caller>,
}

/// A router's last write and when it was seen.
struct Seen {
    process: u64,
    write: u64,
    at: Instant,
}

/// Time between two looks whether shares are idle, in milliseconds.
const LOOK_MS: u64 = 50;

/// Time without a write after which a router counts as gone, in milliseconds: six exchanges.
const GONE_MS: u64 = 6_000;

impl TokenLedger {
    /// Creates a bank without shares.
    pub fn new(clock: Clock, settings: &GatewaySettings, caller: Rc<Caller>) -> Self {
        let process = rand::random();
        let id = HolderId(settings.name.clone());
        let domain = DomainId::new(&settings.domain);
        let holder = || new_holder(clock, settings, process);
        Self {
            clock,
            role: Cell::new(Role::Follower),
            groups: (0..GROUPS).map(|_| Group::new(holder())).collect(),
            fresh_until: Instant::now() + Duration::from_millis(FRESH_MS),
            writers: Cell::new(1),
            routers: Cell::new(1),
            version: Cell::new(0),
            seen: RefCell::default(),
            book: RefCell::new(WitnessBook::new(process)),
            grants: RefCell::new(GrantBook::new(process)),
            savings: RefCell::default(),
            credit: RefCell::new(Credit::new(id.clone())),
            roster: RefCell::new(Roster::new(id, domain)),
            caller,
        }
    }

    /// Starts the tasks that keep a relay's shares, which goes on from these states of the records.
    pub fn start(gw: &Rc<Gateway>, tasks: &mut JoinSet<()>, known: Vec<KnownRecord>) {
        for (index, known) in (0..).zip(known) {
            tasks.spawn_local(gw.ledger.clone().keep(gw.clone(), index, known));
            tasks.spawn_local(gw.ledger.clone().keep_witnesses(index));
        }
        tasks.spawn_local(gw.ledger.clone().keep_grants());
    }

    /// Returns who carries this router's shares.
    pub fn role(&self) -> Role {
        self.role.get()
    }

    /// Sets who carries this router's shares from now on.
    pub fn set_role(&self, role: Role) {
        log::info!(target: "relay", "Role. role={role}");
        self.role.set(role);
    }

    /// Returns this router's name among holders.
    pub fn id(&self) -> HolderId {
        self.groups[0].holder.borrow().id().clone()
    }

    /// Takes the totals of a configuration over.
    pub fn set_totals(&self, catalogue: &Catalogue) {
        for account in catalogue.accounts() {
            let Some(total) = account.prepaid else {
                continue;
            };
            let group = self.group(&account.name);
            group.holder.borrow_mut().set_total(&account.name, total);
        }
        self.version.set(catalogue.version);
        self.groups.iter().for_each(|g| g.needed.notify_one());
    }

    /// Returns how many routers the fleet has, this one included.
    pub fn router_count(&self) -> usize {
        self.routers.get()
    }

    /// Takes over how many routers the fleet has, from a relay.
    pub fn set_routers(&self, routers: usize) {
        self.routers.set(routers.max(1));
    }

    /// Sets the most that a request can cost aside.
    ///
    /// # Errors
    ///
    /// [`Refusal::Exhausted`], [`Refusal::ShareShort`] or [`Refusal::Saved`].
    pub async fn reserve(
        self: &Rc<Self>,
        account: &Account,
        request: &RequestFacts,
        rank: u8,
        per_event: u64,
        deadline: Instant,
    ) -> Result<Option<Reservation>, Refusal> {
        let (Some(_), Some(work)) = (account.prepaid, request.work) else {
            return Ok(None);
        };
        let most = work.most();
        let asked = Asked {
            account: &account.name,
            rank,
            most,
        };
        let reserved = self.reserve_any(asked, Some(deadline)).await;
        match reserved {
            Ok(source) => {
                let me = self.clone();
                let name = account.name.clone();
                Ok(Some(Reservation::new(me, name, work, per_event, source)))
            }
            Err(refusal) => {
                self.tell_short(request, &account.name, most, refusal);
                Err(refusal)
            }
        }
    }

    /// Reserves more for a request under way: another run of it.
    pub async fn reserve_more(self: &Rc<Self>, account: &str, tokens: u64) -> Option<TokenSource> {
        let until = Instant::now() + Duration::from_millis(WAIT_MS);
        let asked = Asked {
            account,
            rank: 0,
            most: tokens,
        };
        self.reserve_any(asked, Some(until)).await.ok()
    }

    async fn reserve_any(
        self: &Rc<Self>,
        asked: Asked<'_>,
        deadline: Option<Instant>,
    ) -> Result<TokenSource, Refusal> {
        match self.role.get() {
            Role::Relay if self.saves(asked) => Err(Refusal::Saved),
            Role::Relay => self
                .obtain(asked.account, asked.most, deadline)
                .await
                .map(|()| TokenSource::Share),
            Role::Follower | Role::Retiring => {
                let until = deadline.unwrap_or(self.fresh_until);
                self.draw(asked, until).await.map(TokenSource::Credit)
            }
        }
    }

    /// Reserves out of this router's own share, which may take an exchange or a loan.
    async fn obtain(
        self: &Rc<Self>,
        account: &str,
        most: u64,
        deadline: Option<Instant>,
    ) -> Result<(), Refusal> {
        let group = self.group(account);
        let wait = Instant::now() + Duration::from_millis(WAIT_MS);
        let is_first = group.is_new(account) && Instant::now() < self.fresh_until;
        let longest = if is_first { self.fresh_until } else { wait };
        let until = deadline.map_or(longest, |deadline| deadline.min(longest));
        let mut missed = false;
        loop {
            let done = group.done.notified();
            let now_ms = self.clock.now_ms();
            let reserved = group.holder.borrow_mut().reserve(now_ms, account, most);
            match reserved {
                Ok(()) => return Ok(()),
                Err(Shortfall::Exhausted) => return Err(Refusal::Exhausted),
                // In a cut the same callers come again and again; no exchange serves them sooner.
                Err(Shortfall::Short) if missed || !group.in_touch.get() => {}
                Err(Shortfall::Short) => {
                    group.holder.borrow_mut().miss(account, most);
                    missed = true;
                }
            }
            let may_come = group.is_quick() && group.holder.borrow().is_due();
            if may_come {
                group.needed.notify_one();
            }
            let level_comes = group.holder.borrow().awaits_witnesses(account, most);
            if level_comes {
                group.report_due.notify_one();
            }
            let first_comes = is_first && group.is_new(account) && Instant::now() < until;
            let comes = may_come || first_comes || level_comes;
            let comes = comes || group.loans.borrow().is_under_way(account);
            if comes && timeout_at(until, done).await.is_ok() {
                continue;
            }
            if Instant::now() >= until || !self.borrow(group, account, most).await {
                return Err(group.short(account, most));
            }
        }
    }

    fn tell_short(&self, request: &RequestFacts, account: &str, most: u64, refusal: Refusal) {
        let (id, role) = (request.id_text(), self.role.get());
        if role != Role::Relay {
            let at_hand = self.credit.borrow().at_hand(account);
            log::info!(
                target: "money",
                "Credit short. request={id} account={account} most={most} at_hand={at_hand} \
                 reason={refusal}"
            );
            return;
        }
        let group = self.group(account);
        log::info!(
            target: "money",
            "Share short. request={id} account={account} most={most} {} in_touch={}",
            group.standing(account),
            group.in_touch.get()
        );
    }

    /// Replaces a reservation by what it cost.
    pub fn settle(&self, source: TokenSource, account: &str, most: u64, used: u64) {
        match source {
            TokenSource::Share => self.settle_share(account, most, used),
            TokenSource::Credit(line) => {
                let mut credit = self.credit.borrow_mut();
                credit.settle(line, account, most, used);
            }
        }
    }

    fn settle_share(&self, account: &str, most: u64, used: u64) {
        let group = self.group(account);
        group.holder.borrow_mut().settle(account, most, used);
        if group.holder.borrow().is_due() {
            group.needed.notify_one();
        }
    }

    fn group(&self, account: &str) -> &Group {
        let hash = XxHash64::oneshot(0, account.as_bytes());
        &self.groups[(hash % u64::from(GROUPS)) as usize]
    }

    /// Counts the relays that signed a record of late, and the routers of the fleet.
    fn count_routers(&self, record: &ShareRecord) {
        let now = Instant::now();
        let mut seen = self.seen.borrow_mut();
        for (id, tenure) in record.tenures() {
            let fresh = Seen {
                process: tenure.process,
                write: tenure.write,
                at: now,
            };
            let known = seen.get(id);
            if known.is_none_or(|s| (s.process, s.write) != (fresh.process, fresh.write)) {
                seen.insert(id.clone(), fresh);
            }
        }
        drop(seen);
        let live = || record.tenures().filter(|(id, _)| self.is_live(id));
        self.writers.set(live().count().max(1));
        let routers: usize = live().map(|(_, t)| 1 + t.followers as usize).sum();
        self.routers.set(routers.max(1));
    }

    /// Returns whether a relay wrote of late.
    fn is_live(&self, id: &HolderId) -> bool {
        let gone = Duration::from_millis(GONE_MS);
        let seen = self.seen.borrow();
        seen.get(id).is_some_and(|s| s.at.elapsed() < gone)
    }

    /// Returns the relays by a record.
    pub(crate) fn listed(&self, record: &ShareRecord) -> Vec<Listed> {
        let relays = record.tenures().filter_map(|(id, tenure)| {
            Some(Listed {
                id: id.clone(),
                at: tenure.lends_at?,
                domain: tenure.domain,
                is_live: self.is_live(id),
            })
        });
        relays.collect()
    }

    /// Returns the relays by the record as of the last exchange.
    pub(crate) fn relays(&self) -> Vec<Listed> {
        self.listed(&self.groups[0].record.borrow())
    }

    /// Returns the hashes of the relays' names by the record as of the last exchange; none unless
    /// this router is one, as only then it is kept up to date.
    pub(crate) fn relay_hashes(&self) -> SmallVec<[u64; 8]> {
        if self.role.get() != Role::Relay {
            return SmallVec::new();
        }
        let record = self.groups[0].record.borrow();
        let relays = record.tenures().filter(|(_, t)| t.lends_at.is_some());
        relays.map(|(id, _)| hash(&id.0)).collect()
    }

    /// Takes over who else is a relay, by the record as of the last exchange.
    pub(crate) fn learn_relays(&self) {
        let relays = self.relays();
        let now_ms = self.clock.now_ms();
        self.roster.borrow_mut().learn(now_ms, relays);
    }

    /// Waits until nothing of this router's own shares is under way, at most until a deadline.
    pub(crate) async fn share_ends(&self, until: Instant) {
        self.grants_end(until).await;
        while !self.groups.iter().all(Group::is_idle) && Instant::now() < until {
            sleep(Duration::from_millis(LOOK_MS)).await;
        }
    }

    /// Begins anew without shares, once they were given back.
    pub(crate) fn renew_share(&self, settings: &GatewaySettings) {
        let process = rand::random();
        for group in &self.groups {
            group.renew(new_holder(self.clock, settings, process));
        }
        self.grants.replace(GrantBook::new(process));
        self.book.replace(WitnessBook::new(process));
    }

    /// Returns whether this relay is one too many, by the record as of the last exchange.
    pub(crate) fn is_surplus(&self, retirement: &mut Retirement) -> bool {
        let group = &self.groups[0];
        let record = group.record.borrow();
        let me = self.id();
        let Some(mine) = record.tenure(&me).filter(|_| group.in_touch.get()) else {
            return false;
        };
        let live = record.tenures().filter(|(id, _)| self.is_live(id));
        retirement.is_due(self.clock.now_ms(), &me, mine.domain, live)
    }
}

/// Creates the holder of a router's shares.
fn new_holder(clock: Clock, settings: &GatewaySettings, process: u64) -> ShareHolder {
    let sizes = ShareSizes {
        open_ms: OPEN_MS,
        sealed_ms: SEALED_MS,
        seal_ms: SEAL_MS,
        silence_ms: SILENCE_MS,
        held: HELD,
        floor: FLOOR,
    };
    let id = HolderId(settings.name.clone());
    ShareHolder::new(id, process, clock.stamp(), sizes)
        .with_lending(settings.inner)
        .with_place(DomainId::new(&settings.domain), settings.size.is_strong())
}

impl std::fmt::Debug for TokenLedger {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Bank")
            .field("routers", &self.routers)
            .finish_non_exhaustive()
    }
}
