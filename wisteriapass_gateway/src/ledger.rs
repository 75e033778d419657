//! Prepaid tokens of this router: reserves and settles in memory, and exchanges shares with the
//! key-value store or gets credit from a relay.

mod account_group;
mod combined_write;
mod credit;
mod grants;
mod incarnation;
mod live_writers;
mod loans;
mod money_check;
mod rationing;
mod receipt_wait;
mod reserve_share;
mod role;
mod share_exchange;
mod share_sizes;
mod token_source;
mod witness_reports;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use smallvec::SmallVec;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};
use wisteriapass_coord::prepaid::{
    Credit, DomainId, HolderId, Rationing, ShareRecord, TokenRequest, Totals,
};
use wisteriapass_coord::relay::{RelayInfo, RelayRetirement, Roster};
use wisteriapass_policy::placement::hash_name;

use self::incarnation::Incarnation;
use self::live_writers::LiveWriters;
use crate::catalogue::{Account, Catalogue};
use crate::clock::Clock;
use crate::gateway::Gateway;
use crate::metadata::RequestMetadata;
use crate::refusal::Refusal;
use crate::reservation::Reservation;
use crate::rpc::RpcClient;
use crate::settings::GatewaySettings;

pub use combined_write::{COMPOSE_PATH, OUTCOME_PATH};
pub use credit::GRANT_PATH;
pub use loans::LEND_PATH;
pub(crate) use money_check::MoneyCheck;
pub use role::Role;
pub use share_exchange::KnownRecord;
pub use token_source::TokenSource;
pub use witness_reports::{INQUIRY_PATH, REPORT_PATH};

/// Longest time, counted from the start of the process, that a request waits for the first share,
/// in milliseconds. The first share arrives within this time, with the second exchange if the first
/// one ran before a configuration was known, unless the router is cut off from the store.
const FIRST_SHARE_MS: u64 = 1_000;

/// Prepaid tokens of one router process.
pub struct TokenLedger {
    clock: Clock,
    role: Cell<Role>,
    /// The incarnation in force.
    incarnation: RefCell<Rc<Incarnation>>,
    /// End of the time for which requests wait for the first exchange.
    first_share_until: Instant,
    /// Number of relays with a recent write, including this router if it is a relay.
    live_relays: Cell<usize>,
    /// Number of routers in the fleet.
    router_count: Cell<usize>,
    /// Prepaid totals of the configuration in force.
    totals: RefCell<Rc<Totals>>,
    /// Whether this process takes no new requests.
    is_stopping: Cell<bool>,
    /// Relays that wrote of late.
    live_writers: RefCell<LiveWriters>,
    /// Refuses less urgent requests of accounts that lost tokens.
    rationing: RefCell<Rationing>,
    /// Tokens that relays granted to this router.
    credit: RefCell<Credit>,
    /// Relays that this router knows.
    pub(crate) roster: RefCell<Roster>,
    rpc: Rc<RpcClient>,
}

/// Interval at which shares are polled for open reservations, in milliseconds.
const POLL_MS: u64 = 50;

impl TokenLedger {
    /// Creates a ledger without shares.
    pub fn new(clock: Clock, settings: &GatewaySettings, rpc: Rc<RpcClient>) -> Self {
        let id = HolderId(settings.name.clone());
        let domain = DomainId::new(&settings.failure_domain);
        let totals = Rc::default();
        let incarnation = Incarnation::new(clock, settings, &totals);
        Self {
            clock,
            role: Cell::new(Role::Follower),
            incarnation: RefCell::new(Rc::new(incarnation)),
            first_share_until: Instant::now() + Duration::from_millis(FIRST_SHARE_MS),
            live_relays: Cell::new(1),
            router_count: Cell::new(1),
            totals: RefCell::new(totals),
            is_stopping: Cell::new(false),
            live_writers: RefCell::default(),
            rationing: RefCell::default(),
            credit: RefCell::new(Credit::new(id.clone())),
            roster: RefCell::new(Roster::new(id, domain)),
            rpc,
        }
    }

    /// Notes that this process listens at the addresses of its VM, so that its predecessor is dead.
    /// Until then the predecessor may have spent, and what it can have spent grows with time.
    pub fn note_listening(&self) {
        let stamp = self.clock.stamp();
        for group in &self.incarnation().groups {
            group.holder.borrow_mut().set_started(stamp);
        }
    }

    /// Starts the background tasks of a relay; `known` holds the known state of each record.
    pub fn start_relay(gw: &Rc<Gateway>, tasks: &mut JoinSet<()>, known: Vec<KnownRecord>) {
        for (index, known) in (0..).zip(known) {
            tasks.spawn_local(gw.ledger.clone().exchange_shares(gw.clone(), index, known));
            tasks.spawn_local(gw.ledger.clone().run_witness_reports(index));
            tasks.spawn_local(gw.ledger.clone().run_witness_search(index));
        }
        tasks.spawn_local(gw.ledger.clone().run_grant_expiry());
    }

    /// Returns this router's role.
    pub fn role(&self) -> Role {
        self.role.get()
    }

    /// Sets this router's role.
    pub fn set_role(&self, role: Role) {
        log::info!(target: "relay", "Role. role={role}");
        self.role.set(role);
    }

    /// Returns the holder id of this router.
    pub fn id(&self) -> HolderId {
        self.incarnation().groups[0].holder.borrow().id().clone()
    }

    /// Applies the prepaid totals of a configuration.
    pub fn set_totals(&self, catalogue: &Catalogue) {
        let prepaid = catalogue.accounts().filter_map(|account| {
            let total = account.prepaid?;
            Some((account.name.as_str(), total))
        });
        let next = Rc::new(self.totals.borrow().updated(catalogue.version, prepaid));
        self.totals.replace(next.clone());
        let incarnation = self.incarnation();
        for group in &incarnation.groups {
            group.holder.borrow_mut().set_totals(next.clone());
        }
        incarnation.request_exchanges();
    }

    /// Returns the incarnation in force.
    fn incarnation(&self) -> Rc<Incarnation> {
        self.incarnation.borrow().clone()
    }

    /// Begins an incarnation without shares, after those of the one before were returned.
    pub(crate) fn begin_incarnation(&self, settings: &GatewaySettings) {
        let next = Incarnation::new(self.clock, settings, &self.totals.borrow());
        if self.is_stopping.get() {
            next.set_stopping();
        }
        self.incarnation.replace(Rc::new(next));
    }

    /// Returns the number of routers in the fleet, including this one.
    pub fn router_count(&self) -> usize {
        self.router_count.get()
    }

    /// Sets the number of routers in the fleet, as reported by a relay.
    pub fn set_router_count(&self, routers: usize) {
        self.router_count.set(routers.max(1));
    }

    /// Reserves the maximum cost of a request.
    ///
    /// # Errors
    ///
    /// [`Refusal::BudgetExhausted`], [`Refusal::ShareShort`] or [`Refusal::Saved`].
    pub async fn reserve(
        self: &Rc<Self>,
        account: &Account,
        request: &RequestMetadata,
        rank: u8,
        tokens_per_event: u64,
        deadline: Instant,
    ) -> Result<Option<Reservation>, Refusal> {
        let (Some(_), Some(work)) = (account.prepaid, request.work) else {
            return Ok(None);
        };
        let max_cost = work.max_total();
        let token_request = TokenRequest {
            account: &account.name,
            rank,
            max_cost,
        };
        let reserved = self.reserve_tokens(token_request, Some(deadline)).await;
        match reserved {
            Ok(source) => {
                let me = self.clone();
                let name = account.name.clone();
                Ok(Some(Reservation::new(
                    me,
                    request.id_text().to_owned(),
                    name,
                    work,
                    tokens_per_event,
                    source,
                )))
            }
            Err(refusal) => {
                self.log_shortfall(request, &account.name, max_cost, refusal);
                Err(refusal)
            }
        }
    }

    async fn reserve_tokens(
        self: &Rc<Self>,
        request: TokenRequest<'_>,
        deadline: Option<Instant>,
    ) -> Result<TokenSource, Refusal> {
        match self.role.get() {
            Role::Relay if self.is_rationed(request) => Err(Refusal::Saved),
            Role::Relay => {
                let incarnation = self.incarnation();
                self.reserve_share(&incarnation, request.account, request.max_cost, deadline)
                    .await
                    .map(|()| TokenSource::Share(incarnation))
            }
            Role::Follower | Role::Retiring => {
                let until = deadline.unwrap_or(self.first_share_until);
                self.reserve_credit(request, until)
                    .await
                    .map(TokenSource::Credit)
            }
        }
    }

    fn log_shortfall(
        &self,
        request: &RequestMetadata,
        account: &str,
        max_cost: u64,
        refusal: Refusal,
    ) {
        let (id, role) = (request.id_text(), self.role.get());
        if role != Role::Relay {
            let at_hand = self.credit.borrow().available(account);
            log::info!(
                target: "money",
                "Credit short. request={id} account={account} most={max_cost} at_hand={at_hand} \
                 reason={refusal}"
            );
            return;
        }
        let incarnation = self.incarnation();
        let group = incarnation.group(account);
        log::info!(
            target: "money",
            "Share short. request={id} account={account} most={max_cost} {} in_touch={}",
            group.account_status(account),
            group.in_contact.get()
        );
    }

    /// Replaces a reservation by the actual cost.
    pub fn settle(&self, source: &TokenSource, account: &str, max_cost: u64, used: u64) {
        match source {
            TokenSource::Share(incarnation) => incarnation.settle(account, max_cost, used),
            TokenSource::Credit(line) => {
                let mut credit = self.credit.borrow_mut();
                credit.settle(*line, account, max_cost, used);
            }
        }
    }

    /// Counts the relays with a recent write, and the routers of the fleet.
    fn count_live_routers(&self, record: &ShareRecord) {
        self.live_writers.borrow_mut().record(record);
        let live = || record.holder_entries().filter(|(id, _)| self.is_live(id));
        self.live_relays.set(live().count().max(1));
        let routers: usize = live().map(|(_, entry)| 1 + entry.followers as usize).sum();
        self.router_count.set(routers.max(1));
    }

    /// Returns whether a relay has a recent write.
    fn is_live(&self, id: &HolderId) -> bool {
        self.live_writers.borrow().contains(id)
    }

    /// Returns the relays in a record.
    pub(crate) fn relays_in(&self, record: &ShareRecord) -> Vec<RelayInfo> {
        let relays = record.holder_entries().filter_map(|(id, entry)| {
            Some(RelayInfo {
                id: id.clone(),
                address: entry.lends_at?,
                domain: entry.domain,
                is_live: self.is_live(id),
            })
        });
        relays.collect()
    }

    /// Returns the relays in the record of the last exchange.
    pub(crate) fn relays(&self) -> Vec<RelayInfo> {
        self.relays_in(&self.incarnation().groups[0].record.borrow())
    }

    /// Returns whether a relay is on a strong VM, according to the record of the last exchange.
    pub(crate) fn is_strong_relay(&self, id: &HolderId) -> bool {
        let incarnation = self.incarnation();
        let entry = incarnation.groups[0].record.borrow().holder_entry(id);
        entry.is_some_and(|entry| entry.is_strong)
    }

    /// Returns the hashes of the names of all relays in the record of the last exchange. Empty
    /// unless this router is a relay, because only a relay keeps the record up to date.
    pub(crate) fn relay_hashes(&self) -> SmallVec<[u64; 8]> {
        if self.role.get() != Role::Relay {
            return SmallVec::new();
        }
        let incarnation = self.incarnation();
        let record = incarnation.groups[0].record.borrow();
        let relays = record
            .holder_entries()
            .filter(|(_, entry)| entry.lends_at.is_some());
        relays.map(|(id, _)| hash_name(&id.0)).collect()
    }

    /// Updates the roster with the relays in the record of the last exchange.
    pub(crate) fn update_roster(&self) {
        let relays = self.relays();
        let now_ms = self.clock.now_ms();
        self.roster.borrow_mut().update(now_ms, relays);
    }

    /// Waits until no reservation or grant uses this router's own shares, at most until a deadline.
    pub(crate) async fn wait_until_idle(&self, until: Instant) {
        self.wait_for_grants(until).await;
        while !self.incarnation().is_idle() && Instant::now() < until {
            sleep(Duration::from_millis(POLL_MS)).await;
        }
    }

    /// Returns whether this relay is surplus and has to retire, according to the record of the last
    /// exchange.
    pub(crate) fn is_surplus(&self, retirement: &mut RelayRetirement) -> bool {
        let incarnation = self.incarnation();
        let group = &incarnation.groups[0];
        let record = group.record.borrow();
        let me = self.id();
        let Some(mine) = record.holder_entry(&me).filter(|_| group.in_contact.get()) else {
            return false;
        };
        let live = record.holder_entries().filter(|(id, _)| self.is_live(id));
        retirement.is_due(self.clock.now_ms(), &me, mine.domain, live)
    }
}

impl std::fmt::Debug for TokenLedger {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("TokenLedger")
            .field("routers", &self.router_count)
            .finish_non_exhaustive()
    }
}
