//! Being a follower: asking a relay for news, and becoming one where none is left.

use tokio::time::sleep;
use wisteriapass_coord::prepaid::ShareRecord;
use wisteriapass_coord::relay::{Attempt, Candidacy, Sight, Word};

use super::messages::{NEWS, NewsAnswer, NewsCall};
use crate::call::within;
use crate::change_log::{TargetChange, TargetChangeSet};
use crate::follow::catch_up;
use crate::ledger::KnownRecord;
use crate::platform::{Change, Revised, Topic};
use crate::prelude::*;

/// Time between two questions for news, in milliseconds: a target that leaves is known that soon
/// behind the relay, well within the time that it has.
const ASK_MS: u64 = 150;

/// The same while no relay with fresh news is known, in milliseconds: each is tried in turn.
const SEARCH_MS: u64 = 30;

/// Time between two looks at the service itself while it answers and no relay does, in milliseconds.
const CATCH_UP_MS: u64 = 400;

/// Longest wait for an answer to begin, in milliseconds: many round trips within a region, also of a
/// relay on a busy VM.
const PATIENCE_MS: u64 = 250;

/// Time between two tries to read who is a relay at the start, in milliseconds.
const START_MS: u64 = 200;

/// Longest time between them.
const MOST_START_MS: u64 = 1_000;

/// Finds out who is a relay; returns whether this router's VM held shares, so that it is one.
pub async fn find_relays(gw: &Gateway) -> bool {
    let mut pause = START_MS;
    loop {
        if let Some(record) = gw.ledger.read_relays(gw).await {
            return learn(gw, &record);
        }
        sleep(Duration::from_millis(pause)).await;
        pause = (pause * 2).min(MOST_START_MS);
    }
}

/// Takes over who is a relay by a record; returns whether this router's VM is.
fn learn(gw: &Gateway, record: &ShareRecord) -> bool {
    let now_ms = gw.clock.now_ms();
    let listed = gw.ledger.listed(record);
    gw.ledger.roster.borrow_mut().learn_record(now_ms, listed);
    let mine = record.tenure(&gw.ledger.id());
    mine.is_some_and(|tenure| tenure.lends_at.is_some())
}

/// Follows relays until this router has become one; returns what is known of the records then.
pub async fn follow_relays(gw: &Rc<Gateway>) -> Vec<KnownRecord> {
    let mut candidacy = Candidacy::new(gw.settings.size.is_strong());
    let mut catch_up_at = Instant::now();
    loop {
        let is_fresh = ask(gw).await;
        if candidacy.is_answered() && Instant::now() >= catch_up_at {
            catch_up_at = within(CATCH_UP_MS);
            catch_up(gw, Topic::Targets).await;
            catch_up(gw, Topic::Configuration).await;
        }
        if let Some(known) = try_to_join(gw, &mut candidacy).await {
            return known;
        }
        let pause = if is_fresh { ASK_MS } else { SEARCH_MS };
        sleep(Duration::from_millis(pause)).await;
    }
}

/// Asks the relay that is followed for news; returns whether they are fresh.
async fn ask(gw: &Gateway) -> bool {
    let relay = gw.ledger.roster.borrow_mut().choose(gw.clock.now_ms());
    let Some(relay) = relay else {
        return false;
    };
    let call = NewsCall {
        follower: gw.ledger.id(),
        version: gw.catalogue().map_or(0, |c| c.version),
        targets_at: gw.target_log.borrow().cursor().revision,
        quarantine: gw.quarantine.call_for(relay.at, false),
    };
    let until = within(PATIENCE_MS);
    let asked_ms = gw.clock.now_ms();
    let answer: Option<NewsAnswer> = gw.caller.call_measured(relay.at, NEWS, &call, until).await;
    match answer {
        Some(answer) => {
            let (told, news) = (&call.quarantine, &answer.quarantine);
            gw.quarantine.take(relay.at, told, news);
            take(gw, &relay, asked_ms, answer);
        }
        None => {
            log::info!(target: "relay", "No answer of a relay. relay={} at={}", relay.id, relay.at);
            let mut roster = gw.ledger.roster.borrow_mut();
            roster.silent(&relay.id, gw.clock.now_ms());
        }
    }
    gw.ledger.roster.borrow().is_fresh(gw.clock.now_ms())
}

/// Takes a relay's answer in.
fn take(gw: &Gateway, relay: &Sight, asked_ms: u64, answer: NewsAnswer) {
    // News are as old as they were when they were asked for, however long the answer took.
    let word = Word {
        heard_ms: asked_ms,
        age_ms: answer.age_ms,
        is_leaving: answer.is_leaving,
    };
    let now_ms = gw.clock.now_ms();
    let relays = answer.relays.into_iter().map(Into::into);
    let mut roster = gw.ledger.roster.borrow_mut();
    if !answer.is_leaving {
        roster.learn(now_ms, relays);
    }
    roster.heard(&relay.id, word);
    drop(roster);
    gw.ledger.set_routers(answer.routers as usize);
    for change in &answer.configuration {
        gw.change_catalogue(change);
    }
    let mut log = gw.configurations.borrow_mut();
    log.advance_cursor(answer.configuration_cursor);
    drop(log);
    gw.set_evacuations(answer.evacuations);
    if let Some(news) = answer.targets {
        take_targets(gw, news);
    }
}

/// Takes changes of targets in, unless what is known is newer.
fn take_targets(gw: &Gateway, news: TargetChangeSet) {
    let at = gw.target_log.borrow().cursor().revision;
    if news.cursor.revision < at || news.since.is_some_and(|since| since > at) {
        return;
    }
    let now = Instant::now();
    let changes: Vec<Revised> = news
        .changes
        .into_iter()
        .map(|(revision, news)| Revised {
            revision,
            change: change(news, now),
        })
        .collect();
    gw.take_targets(news.cursor, &changes, news.since.is_none());
}

fn change(news: TargetChange, now: Instant) -> Change {
    match news {
        TargetChange::Entry(entry) => Change::Target(entry),
        TargetChange::Gone(id) => Change::Gone(id),
        TargetChange::Missing { id, left_ms } => {
            Change::Missing(id, now + Duration::from_millis(left_ms))
        }
    }
}

/// Becomes a relay if there are too few and it is this router's turn.
async fn try_to_join(gw: &Rc<Gateway>, candidacy: &mut Candidacy) -> Option<Vec<KnownRecord>> {
    let now_ms = gw.clock.now_ms();
    let need = gw.ledger.roster.borrow().need(now_ms);
    let routers = gw.ledger.router_count();
    match candidacy.next(now_ms, need, routers, rand::random()) {
        Attempt::None => None,
        Attempt::Ask => {
            let record = gw.ledger.read_relays(gw).await;
            match record {
                Some(record) => {
                    learn(gw, &record);
                    candidacy.answered(gw.clock.now_ms());
                }
                None => candidacy.failed(),
            }
            None
        }
        Attempt::Join => {
            log::info!(target: "relay", "Joining the relays. need={need:?}");
            let joined = gw.ledger.join(gw, |record| is_wanted(gw, record)).await;
            if joined.is_none() {
                candidacy.withdraw();
            }
            joined
        }
    }
}

/// Returns whether the record that this router would write over leaves it wanted.
fn is_wanted(gw: &Gateway, record: &ShareRecord) -> bool {
    learn(gw, record) || gw.ledger.roster.borrow().wants_me(gw.clock.now_ms())
}
