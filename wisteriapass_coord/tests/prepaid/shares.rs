//! Shares are granted, spent, returned and taken over within the total.

use quickcheck_macros::quickcheck;
use wisteriapass_coord::prepaid::{
    HolderId, Opening, ShareHolder, ShareRecord, ShareShortfall, Stamp,
};

use crate::support::{
    ACCOUNT, CONFIGS, FULLY_OPEN_MS, SHARE_CONFIG, at, exchange, holder, holder_at, holder_with,
    no_totals, reserve_with_exchange, totals, varied_holder,
};

#[test]
fn nothing_is_spent_before_a_share_is_granted() {
    let mut h = holder("a", 1, 1_000);
    assert_eq!(h.reserve(0, ACCOUNT, 10), Err(ShareShortfall::Short));
    let mut record = ShareRecord::default();
    exchange(&mut h, 0, &mut record);
    assert_eq!(h.reserve(0, ACCOUNT, 10), Ok(()));
}

#[test]
fn a_write_without_answer_adds_nothing_to_spend() {
    let mut h = holder("a", 1, 1_000);
    assert!(h.reserve(0, ACCOUNT, 10).is_err());
    let _lost = h.compose(0, at(0), &ShareRecord::default());
    h.note_sent(at(0));
    assert_eq!(h.reserve(0, ACCOUNT, 10), Err(ShareShortfall::Short));
}

#[test]
fn what_is_lent_is_spent_once() {
    let mut record = ShareRecord::default();
    let (mut a, mut b) = (holder("a", 1, 1_000), holder("b", 2, 1_000));
    for h in [&mut a, &mut b] {
        assert_eq!(reserve_with_exchange(h, 0, 100, &mut record), Ok(()));
        exchange(h, 1, &mut record);
    }
    let lent = a.lend(ACCOUNT, 200, 50);
    assert!(lent >= 50);
    let before = a.account_status(ACCOUNT);
    assert!(before.granted - before.sealed >= before.spent);
    let short = b.account_status(ACCOUNT);
    let own = short.granted - short.sealed - short.spent;
    b.borrow(ACCOUNT, lent);
    assert_eq!(b.reserve(10, ACCOUNT, own + lent), Ok(()));
    assert!(b.reserve(10, ACCOUNT, 1).is_err());
}

#[test]
fn the_last_tokens_can_be_spent() {
    let mut record = ShareRecord::default();
    let mut h = holder("a", 1, 100);
    for i in 0..10 {
        assert_eq!(
            reserve_with_exchange(&mut h, i * 100, 10, &mut record),
            Ok(())
        );
        h.settle(ACCOUNT, 10, 10);
    }
    assert_eq!(
        reserve_with_exchange(&mut h, 1_000, 10, &mut record),
        Err(ShareShortfall::Exhausted)
    );
}

#[test]
fn a_top_up_is_spendable() {
    let mut record = ShareRecord::default();
    let mut h = holder("a", 1, 10);
    assert_eq!(reserve_with_exchange(&mut h, 0, 10, &mut record), Ok(()));
    assert!(reserve_with_exchange(&mut h, 0, 10, &mut record).is_err());
    h.set_totals(totals(20));
    assert_eq!(reserve_with_exchange(&mut h, 1, 10, &mut record), Ok(()));
}

#[test]
fn a_lost_write_that_requests_more_takes_nothing_away() {
    let mut record = ShareRecord::default();
    let mut h = holder("a", 1, 1_000_000);
    assert_eq!(reserve_with_exchange(&mut h, 0, 1_000, &mut record), Ok(()));
    exchange(&mut h, 10, &mut record);
    let before = record.share(ACCOUNT, h.id());
    assert_eq!(h.reserve(20, ACCOUNT, 1_000), Ok(()));
    let _lost = h.compose(20, at(20), &record);
    h.note_sent(at(20));
    assert_eq!(h.reserve(30, ACCOUNT, before.open() - 2_000), Ok(()));
}

#[test]
fn an_idle_router_returns_tokens_for_one_that_needs_them() {
    let mut record = ShareRecord::default();
    let (mut a, mut b) = (holder("a", 1, 10_000), holder("b", 2, 10_000));
    for i in 0..6 {
        assert_eq!(
            reserve_with_exchange(&mut a, i * 10, 400, &mut record),
            Ok(())
        );
        a.settle(ACCOUNT, 400, 400);
        exchange(&mut a, i * 10, &mut record);
    }
    let mut served = 0;
    for i in 0..30 {
        let now = 3_000 + i * 800;
        exchange(&mut a, now, &mut record);
        if reserve_with_exchange(&mut b, now, 250, &mut record).is_ok() {
            b.settle(ACCOUNT, 250, 250);
            served += 250;
        }
        exchange(&mut b, now, &mut record);
    }
    assert!(served >= 7_000, "{served} of 7600 were served");
}

#[test]
fn a_sealed_part_opens_only_without_contact_with_the_store() {
    let mut record = ShareRecord::default();
    let mut h = holder("a", 1, 1_000_000);
    for i in 0..20 {
        assert_eq!(
            reserve_with_exchange(&mut h, i * 100, 100, &mut record),
            Ok(())
        );
        h.settle(ACCOUNT, 100, 100);
        exchange(&mut h, i * 100, &mut record);
    }
    let share = record.share(ACCOUNT, h.id());
    assert!(share.sealed > 0 && share.open() > 0);
    h.unseal(at(1_900 + SHARE_CONFIG.opening.start_ms));
    assert_eq!(h.reserve(9_000, ACCOUNT, share.open()), Ok(()));
    assert!(h.reserve(9_000, ACCOUNT, 1).is_err());
    h.unseal(at(1_900
        + SHARE_CONFIG.opening.start_ms
        + SHARE_CONFIG.opening.duration_ms / 2));
    assert_eq!(h.reserve(9_000, ACCOUNT, share.sealed / 2), Ok(()));
    assert!(h.reserve(9_000, ACCOUNT, 1).is_err());
    assert!(!h.unseal(at(1_900 + FULLY_OPEN_MS - 1)));
    assert!(h.unseal(at(1_900 + FULLY_OPEN_MS)));
    assert_eq!(h.reserve(9_000, ACCOUNT, share.sealed.div_ceil(2)), Ok(()));
}

#[test]
fn the_time_until_a_sealed_part_covers_a_request_is_exact() {
    let mut record = ShareRecord::default();
    let mut h = holder("a", 1, 10_000);
    assert_eq!(reserve_with_exchange(&mut h, 0, 500, &mut record), Ok(()));
    exchange(&mut h, 0, &mut record);
    let share = record.share(ACCOUNT, h.id());
    let cost = share.open() + share.sealed / 3;
    let opens_ms = h.unseals_in_ms(ACCOUNT, cost).unwrap();
    h.unseal(at(opens_ms - 1));
    assert_eq!(h.unseals_in_ms(ACCOUNT, cost), Some(1));
    assert!(h.reserve(opens_ms, ACCOUNT, cost).is_err());
    h.unseal(at(opens_ms));
    assert_eq!(h.reserve(opens_ms, ACCOUNT, cost), Ok(()));
    assert_eq!(h.unseals_in_ms(ACCOUNT, share.granted), None);
}

/// Creates a holder that spent 500 of 10,000; returns the record and the sealed part.
fn sealed_share() -> (ShareRecord, u64) {
    let mut record = ShareRecord::default();
    let mut h = holder("a", 1, 10_000);
    assert_eq!(reserve_with_exchange(&mut h, 0, 500, &mut record), Ok(()));
    exchange(&mut h, 0, &mut record);
    let sealed = record.share(ACCOUNT, h.id()).sealed;
    assert!(sealed > 0);
    (record, sealed)
}

#[test]
fn a_successor_recovers_only_what_cannot_have_been_unsealed() {
    for age in [
        0,
        SHARE_CONFIG.opening.start_ms,
        SHARE_CONFIG.opening.start_ms + SHARE_CONFIG.opening.duration_ms / 4,
        FULLY_OPEN_MS,
    ] {
        let (mut record, sealed) = sealed_share();
        let before = record.granted(ACCOUNT);
        let mut after = holder_at("a", 2, 10_000, at(age));
        exchange(&mut after, age, &mut record);
        let lost = record.share(ACCOUNT, after.id()).lost;
        let opening_ms = age.saturating_sub(SHARE_CONFIG.opening.start_ms);
        let unsealed = sealed * opening_ms / SHARE_CONFIG.opening.duration_ms;
        assert_eq!(lost, before - sealed + unsealed, "{age} ms");
        assert_eq!(after.silent_ms(), Some(age));
    }
}

#[test]
fn the_sealed_part_of_a_process_that_unseals_at_once_is_lost_after_the_seal() {
    for (age, is_lost) in [
        (SHARE_CONFIG.opening.start_ms - 1, false),
        (SHARE_CONFIG.opening.start_ms, true),
    ] {
        let (mut record, sealed) = sealed_share();
        let before = record.granted(ACCOUNT);
        let mut after = holder_at("a", 2, 10_000, at(age));
        let mut entry = record.holder_entry(after.id()).unwrap();
        entry.opening.duration_ms = 0;
        record.set_holder_entry(after.id(), entry);
        exchange(&mut after, age, &mut record);
        let back = if is_lost { 0 } else { sealed };
        assert_eq!(record.share(ACCOUNT, after.id()).lost, before - back);
    }
}

/// Guards against a successor that computes with a schedule other than the recorded one: it would
/// take for unspent what its predecessor could spend.
#[test]
fn a_successor_counts_as_lost_what_the_recorded_schedule_opens() {
    for (config, age) in CONFIGS
        .iter()
        .flat_map(|c| [0, 1, 900, 2_600, 9_000].map(|t| (*c, t)))
    {
        let mut record = ShareRecord::default();
        let mut before = holder_with(config, "a", 1, 10_000, at(0));
        assert_eq!(
            reserve_with_exchange(&mut before, 0, 500, &mut record),
            Ok(())
        );
        exchange(&mut before, 0, &mut record);
        before.unseal(at(age));
        let mut spent = 500;
        while before.reserve(age, ACCOUNT, 1).is_ok() {
            spent += 1;
        }
        let held = record.share(ACCOUNT, before.id());
        assert_eq!(
            spent,
            held.granted - held.sealed + config.opening.unsealed(held.sealed, age)
        );
        for successor in CONFIGS {
            let mut record = record.clone();
            let mut after = holder_with(successor, "a", 2, 10_000, at(age));
            exchange(&mut after, age, &mut record);
            let share = record.share(ACCOUNT, after.id());
            assert_eq!(
                share.lost + share.used,
                spent,
                "{:?} at {age} ms",
                config.opening
            );
        }
    }
}

#[quickcheck]
fn a_sealed_part_opens_no_later_than_the_schedule_tells(n: (u16, u16, u16, u32), age: u16) -> bool {
    let (start, duration, initial, sealed) = n;
    let opening = Opening {
        start_ms: u64::from(start) % 5_000,
        duration_ms: u64::from(duration) % 10_000,
        initial_permille: u32::from(initial) % 1_001,
    };
    let sealed = u64::from(sealed);
    let open = opening.unsealed(sealed, age.into());
    let opens_ms = opening.unseals_at_ms(sealed, open);
    // Less of a larger open part and a smaller sealed one is never open.
    open <= 1 + opening.unsealed(sealed.saturating_sub(1), age.into())
        && open <= opening.unsealed(sealed, u64::from(age) + 1)
        && opening.unsealed(sealed, opens_ms) >= open
        && (opens_ms == 0 || opening.unsealed(sealed, opens_ms - 1) < open)
}

/// A stamp after a power loss, where the boot clock starts anew.
fn rebooted(ms: u64, clock_error_ms: i64) -> Stamp {
    let mut stamp = at(ms);
    stamp.since_boot = 7_000_000 + ms;
    stamp.time_of_day = stamp.time_of_day.wrapping_add_signed(clock_error_ms);
    stamp
}

/// Makes several exchanges by each router in turn, so that each sees the others' stamps.
fn rounds(
    all: &mut [ShareHolder],
    record: &mut ShareRecord,
    from: u64,
    stamp: &dyn Fn(usize, u64) -> Stamp,
) {
    for round in 0..4 {
        for (i, h) in all.iter_mut().enumerate() {
            let now = from + round * 400 + i as u64 * 10;
            let next = h.compose(now, stamp(i, now), record);
            h.note_sent(stamp(i, now));
            *record = next;
            assert!(h.adopt(record));
        }
    }
}

/// Cuts the power of three routers for `outage_ms` after their last writes; returns what is lost.
fn lost_by_power(outage_ms: u64, clock_error_ms: &dyn Fn(usize) -> i64) -> u64 {
    let mut record = ShareRecord::default();
    let mut all: Vec<ShareHolder> = ["a", "b", "c"]
        .iter()
        .zip(1..)
        .map(|(name, process)| holder(name, process, 100_000))
        .collect();
    for h in &mut all {
        assert_eq!(reserve_with_exchange(h, 0, 2_000, &mut record), Ok(()));
    }
    rounds(&mut all, &mut record, 100, &|_, ms| at(ms));
    let start = 1_320 + outage_ms;
    let mut next: Vec<ShareHolder> = ["a", "b", "c"]
        .iter()
        .enumerate()
        .map(|(i, n)| {
            holder_at(
                n,
                10 + i as u64,
                100_000,
                rebooted(start, clock_error_ms(i)),
            )
        })
        .collect();
    rounds(&mut next, &mut record, start, &|i, ms| {
        rebooted(ms, clock_error_ms(i))
    });
    next.iter()
        .map(|h| record.share(ACCOUNT, h.id()).lost)
        .sum()
}

#[test]
fn after_a_power_loss_seals_are_intact_if_all_clocks_agree() {
    let in_time = lost_by_power(1_000, &|_| 0);
    let late = lost_by_power(FULLY_OPEN_MS, &|_| 0);
    assert!(in_time * 3 < late * 2, "{in_time} of {late}");
}

/// Guards against losing what routers hold when all of them are down longer than the seal holds.
#[test]
fn an_outage_just_longer_than_the_seal_loses_little_of_the_sealed_parts() {
    let lost = |outage_ms| lost_by_power(outage_ms, &|_| 0);
    let open = lost(1_000);
    let sealed = lost(FULLY_OPEN_MS) - open;
    let over_half_a_second = lost(SHARE_CONFIG.opening.start_ms + 300) - open;
    // Routers that are cut off draw on the sealed parts for seconds.
    assert!(
        5 * over_half_a_second <= sealed,
        "{over_half_a_second} of {sealed}"
    );
}

#[test]
fn a_clock_that_agreed_agrees_until_it_is_set() {
    let mut record = ShareRecord::default();
    let mut all: Vec<ShareHolder> = (1..4).map(|p| holder(&format!("r{p}"), p, 9_000)).collect();
    rounds(&mut all, &mut record, 100, &|_, ms| at(ms));
    let me = all[0].id().clone();
    let agreed = |record: &ShareRecord| record.holder_entry(&me).is_some_and(|e| e.agreed);
    exchange(&mut all[0], 2_000, &mut record);
    assert!(
        agreed(&record),
        "no other router wrote since, and the clock was not set"
    );
    let mut set = at(2_100);
    set.time_of_day -= 2_000;
    record = all[0].compose(2_100, set, &record);
    assert!(!agreed(&record));
}

#[test]
fn one_clock_that_was_set_back_leaves_all_seals_broken() {
    let late = lost_by_power(FULLY_OPEN_MS, &|_| 0);
    for wrong in 0..3 {
        let clock_error_ms = |i: usize| if i == wrong { -3_000 } else { 0 };
        assert_eq!(lost_by_power(4_000, &clock_error_ms), late);
    }
}

#[test]
fn clocks_that_disagree_prove_nothing() {
    let early = at(0);
    let mut set_back = at(3_000);
    set_back.time_of_day -= 2_400;
    assert_eq!(set_back.since(early), None);
    let rebooted = Stamp {
        since_boot: 100,
        time_of_day: 1_001_000,
    };
    assert_eq!(rebooted.since(early), None);
}

#[test]
fn a_successor_that_adds_an_account_late_counts_what_was_spent() {
    let mut record = ShareRecord::default();
    let mut before = holder("a", 1, 100);
    assert_eq!(
        reserve_with_exchange(&mut before, 0, 100, &mut record),
        Ok(())
    );
    before.settle(ACCOUNT, 100, 100);
    let id = HolderId("a".into());
    let mut after = ShareHolder::new(id, 2, at(5_000), SHARE_CONFIG, no_totals());
    exchange(&mut after, 5_000, &mut record);
    after.set_totals(totals(100));
    exchange(&mut after, 5_100, &mut record);
    assert!(reserve_with_exchange(&mut after, 5_200, 10, &mut record).is_err());
}

#[test]
fn an_account_added_during_a_write_has_no_share_yet() {
    let mut record = ShareRecord::default();
    let mut before = holder("a", 1, 100);
    assert_eq!(
        reserve_with_exchange(&mut before, 0, 100, &mut record),
        Ok(())
    );
    before.settle(ACCOUNT, 100, 100);
    let id = HolderId("a".into());
    let mut after = ShareHolder::new(id, 2, at(5_000), SHARE_CONFIG, no_totals());
    let next = after.compose(5_000, at(5_000), &record);
    after.note_sent(at(5_000));
    after.set_totals(totals(100));
    after.adopt(&next);
    assert!(after.reserve(5_100, ACCOUNT, 10).is_err());
}

#[test]
fn a_record_read_before_a_late_write_restores_no_tokens() {
    let mut record = ShareRecord::default();
    let mut h = holder("a", 1, 10_000);
    assert_eq!(reserve_with_exchange(&mut h, 0, 1_000, &mut record), Ok(()));
    h.settle(ACCOUNT, 1_000, 0);
    let late = h.compose(60_000, at(60_000), &record);
    h.note_sent(at(60_000));
    assert!(late.granted(ACCOUNT) < record.granted(ACCOUNT));
    h.adopt(&record);
    let left = late.share(ACCOUNT, h.id()).granted;
    assert!(h.reserve(60_100, ACCOUNT, left + 1).is_err());
}

/// What a random history does with one of three routers on three VMs.
#[derive(Clone, Copy, Debug)]
enum Step {
    Spend(u64),
    Exchange,
    /// The write takes effect, but its answer is lost.
    Lost,
    /// The write takes effect later, if its condition still holds.
    Late,
    /// The record is read and adopted as far as possible.
    Reread,
    Kill,
    ReturnUnspent,
    TopUp,
    /// The next router lends to this one; sometimes the answer is lost.
    Borrow(u64),
}

fn step(n: u16) -> Step {
    match n % 18 {
        0..=6 => Step::Spend(u64::from(n) % 97 + 1),
        7..=9 => Step::Exchange,
        10 => Step::Lost,
        11 => Step::Late,
        12 => Step::Kill,
        13 => Step::ReturnUnspent,
        14 => Step::TopUp,
        15 => Step::Reread,
        16 => Step::Borrow(u64::from(n) % 301),
        _ => Step::Spend(400),
    }
}

#[quickcheck]
fn totals_hold_in_any_history(history: Vec<(u8, u16, u16)>) -> bool {
    let mut total = 2_000;
    let mut record = (0_u64, ShareRecord::default());
    let mut late: Vec<(u64, ShareRecord)> = Vec::new();
    let mut holders: Vec<ShareHolder> = (0..3)
        .map(|i| varied_holder(&format!("r{i}"), i, total, at(0)))
        .collect();
    let (mut spent, mut now, mut processes) = (0, 0, 3);
    for (who, action, pause) in history {
        now += u64::from(pause) % 1_500;
        let me = usize::from(who) % 3;
        if let Step::Borrow(min_tokens) = step(action) {
            let lent = holders[(me + 1) % 3].lend(ACCOUNT, 2 * min_tokens, min_tokens);
            if pause % 4 != 0 {
                holders[me].borrow(ACCOUNT, lent);
            }
        }
        let h = &mut holders[me];
        h.unseal(at(now));
        match step(action) {
            Step::Spend(max_cost) => {
                if h.reserve(now, ACCOUNT, max_cost).is_ok() {
                    let used = max_cost - max_cost / 3;
                    spent += used;
                    h.settle(ACCOUNT, max_cost, used);
                }
            }
            Step::Exchange | Step::Lost => {
                let next = h.compose(now, at(now), &record.1);
                h.note_sent(at(now));
                record = (record.0 + 1, next);
                if matches!(step(action), Step::Exchange) {
                    h.adopt(&record.1);
                }
            }
            Step::Late => {
                let next = h.compose(now, at(now), &record.1);
                h.note_sent(at(now));
                late.push((record.0, next));
            }
            Step::Borrow(_) => {}
            Step::Reread => {
                h.adopt(&record.1);
            }
            Step::Kill => {
                let name = h.id().0.clone();
                processes += 1;
                *h = varied_holder(&name, processes, total, at(now));
            }
            Step::ReturnUnspent => {
                if let Some(next) = h.return_unspent(at(now), &record.1) {
                    record = (record.0 + 1, next);
                    let name = h.id().0.clone();
                    processes += 1;
                    *h = varied_holder(&name, processes, total, at(now));
                }
            }
            Step::TopUp => {
                total += 500;
                h.set_totals(totals(total));
            }
        }
        if let Some(at) = late.iter().position(|(rev, _)| *rev == record.0) {
            let (rev, next) = late.swap_remove(at);
            if action % 3 == 0 {
                record = (rev + 1, next);
            }
        }
        if spent > total || record.1.granted(ACCOUNT) > total {
            return false;
        }
    }
    true
}
