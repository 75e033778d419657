//! The money of this router: reserve and settle in memory, exchange with the service.

mod exchange;
mod group;
mod lending;
mod reporting;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{Instant, timeout_at};
use twox_hash::XxHash64;
use wisteriapass_coord::prepaid::{
    HolderId, ShareHolder, ShareRecord, ShareSizes, Shortfall, WitnessBook,
};

use self::group::Group;
use crate::catalogue::{Account, Catalogue};
use crate::clock::Clock;
use crate::facts::RequestFacts;
use crate::gateway::Gateway;
use crate::refusal::Refusal;
use crate::reservation::Reservation;

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

/// Money of one router process.
pub struct Bank {
    clock: Clock,
    groups: Vec<Group>,
    /// Until when a first exchange is waited for.
    fresh_until: Instant,
    /// Routers that wrote of late, this one included.
    routers: Cell<usize>,
    seen: RefCell<HashMap<HolderId, Seen>>,
    /// What other routers reported to this one.
    book: RefCell<WitnessBook>,
}

/// A router's last write and when it was seen.
struct Seen {
    process: u64,
    write: u64,
    at: Instant,
}

/// Time without a write after which a router counts as gone, in milliseconds: six exchanges.
const GONE_MS: u64 = 6_000;

impl Bank {
    /// Creates a bank without shares.
    pub fn new(clock: Clock, name: &str, lends_at: SocketAddr) -> Self {
        let sizes = ShareSizes {
            open_ms: OPEN_MS,
            sealed_ms: SEALED_MS,
            seal_ms: SEAL_MS,
            silence_ms: SILENCE_MS,
            held: HELD,
            floor: FLOOR,
        };
        let process = rand::random();
        let started = clock.stamp();
        let holder = || {
            ShareHolder::new(HolderId(name.to_owned()), process, started, sizes)
                .with_lending(lends_at)
        };
        Self {
            clock,
            groups: (0..GROUPS).map(|_| Group::new(holder())).collect(),
            fresh_until: Instant::now() + Duration::from_millis(FRESH_MS),
            routers: Cell::new(1),
            seen: RefCell::default(),
            book: RefCell::new(WitnessBook::new(process)),
        }
    }

    /// Starts a task for each record that keeps this router's shares.
    pub fn start(gw: &Rc<Gateway>) -> Vec<JoinHandle<()>> {
        let keep = |index| spawn_local(gw.bank.clone().keep(gw.clone(), index));
        let report = |index| spawn_local(gw.bank.clone().keep_witnesses(index));
        (0..GROUPS)
            .flat_map(|index| [keep(index), report(index)])
            .collect()
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
        self.groups.iter().for_each(|g| g.needed.notify_one());
    }

    /// Returns how many routers wrote of late, this one included.
    pub fn routers(&self) -> usize {
        self.routers.get()
    }

    /// Sets the most that a request can cost aside.
    ///
    /// # Errors
    ///
    /// [`Refusal::Exhausted`] or [`Refusal::ShareShort`].
    pub async fn reserve(
        self: &Rc<Self>,
        account: &Account,
        request: &RequestFacts,
        per_event: u64,
        deadline: Instant,
    ) -> Result<Option<Reservation>, Refusal> {
        let (Some(_), Some(work)) = (account.prepaid, request.work) else {
            return Ok(None);
        };
        let most = work.most();
        let group = self.group(&account.name);
        let wait = Instant::now() + Duration::from_millis(WAIT_MS);
        let is_first = group.is_new(&account.name) && Instant::now() < self.fresh_until;
        let until = deadline.min(if is_first { self.fresh_until } else { wait });
        let mut missed = false;
        loop {
            let done = group.done.notified();
            let name = &account.name;
            let now_ms = self.clock.now_ms();
            let reserved = group.holder.borrow_mut().reserve(now_ms, name, most);
            match reserved {
                Ok(()) => break,
                Err(Shortfall::Exhausted) => return Err(Refusal::Exhausted),
                // In a cut the same callers come again and again; no exchange serves them sooner.
                Err(Shortfall::Short) if missed || !group.in_touch.get() => {}
                Err(Shortfall::Short) => {
                    group.holder.borrow_mut().miss(name, most);
                    missed = true;
                }
            }
            let may_come = group.is_quick() && group.holder.borrow().is_due();
            if may_come {
                group.needed.notify_one();
            }
            let level_comes = group.holder.borrow().awaits_witnesses(name, most);
            if level_comes {
                group.report_due.notify_one();
            }
            let first_comes = is_first && group.is_new(name) && Instant::now() < until;
            let comes = may_come || first_comes || level_comes;
            let comes = comes || group.loans.borrow().is_under_way(name);
            if comes && timeout_at(until, done).await.is_ok() {
                continue;
            }
            if Instant::now() >= until || !self.borrow(group, name, most).await {
                return Err(group.short(request, account, most));
            }
        }
        let me = self.clone();
        let name = account.name.clone();
        Ok(Some(Reservation::new(me, name, work, per_event)))
    }

    /// Sets more aside for a request under way, if there is as much at hand.
    pub fn reserve_more(&self, account: &str, tokens: u64) -> bool {
        let mut holder = self.group(account).holder.borrow_mut();
        holder.reserve(self.clock.now_ms(), account, tokens).is_ok()
    }

    /// Replaces a reservation by what it cost.
    pub fn settle(&self, account: &str, most: u64, used: u64) {
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

    /// Counts the routers that signed a record of late.
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
        let gone = Duration::from_millis(GONE_MS);
        let live = seen.values().filter(|s| now - s.at < gone).count();
        self.routers.set(live.max(1));
    }
}

impl std::fmt::Debug for Bank {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Bank")
            .field("routers", &self.routers)
            .finish_non_exhaustive()
    }
}
