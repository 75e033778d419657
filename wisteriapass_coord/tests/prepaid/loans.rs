//! Shares that are too small: what the next exchange brings, and loans from other routers.

use wisteriapass_coord::prepaid::{HolderId, Lenders, LoanRequests, ShareRecord};

use crate::support::{ACCOUNT, exchange, holder};

#[test]
fn the_next_exchange_covers_all_unserved_requests() {
    let mut h = holder("a", 1, 1_000_000);
    let mut record = ShareRecord::default();
    exchange(&mut h, 0, &mut record);
    let max_cost = 30_000;
    for _ in 0..8 {
        if h.reserve(100, ACCOUNT, max_cost).is_err() {
            h.note_unserved(ACCOUNT, max_cost);
        }
    }
    exchange(&mut h, 600, &mut record);
    let mut served = 0;
    while h.reserve(700, ACCOUNT, max_cost).is_ok() {
        served += 1;
    }
    assert!(served >= 7, "{served} of 7 requests fit");
}

#[test]
fn expected_demand_raises_the_share() {
    let share_after = |expected: u32| {
        let mut h = holder("a", 1, 1_000_000);
        let mut record = ShareRecord::default();
        exchange(&mut h, 0, &mut record);
        for _ in 0..expected {
            h.expect_demand(100, ACCOUNT, 10_000);
        }
        exchange(&mut h, 600, &mut record);
        record.share(ACCOUNT, &HolderId("a".into())).granted
    };
    assert!(share_after(10) > 2 * share_after(1));
}

#[test]
fn lenders_without_tokens_are_skipped() {
    let mut record = ShareRecord::default();
    let names = ["a", "b", "c", "d", "e", "f", "g"];
    for (n, name) in names.into_iter().enumerate() {
        let at = format!("127.0.0.1:{}", 9_000 + n).parse().unwrap();
        let mut h = holder(name, n as u64, 1_000_000).with_lending_address(at);
        exchange(&mut h, 0, &mut record);
    }
    let me = HolderId("a".into());
    let mut lenders = Lenders::default();
    let mut asked = Vec::new();
    // No router has anything left to lend: each of the others is asked once, none twice.
    loop {
        let next = lenders.choose(&record, &me, ACCOUNT, 500, 10);
        if next.is_empty() {
            break;
        }
        for lender in next {
            asked.push(lender);
            lenders.note_short(ACCOUNT, lender, 500, 10);
        }
    }
    asked.sort();
    asked.dedup();
    assert_eq!(asked.len(), names.len() - 1);
    // A router without that much may have less, and may have more later.
    assert!(!lenders.choose(&record, &me, ACCOUNT, 100, 10).is_empty());
    assert!(
        !lenders
            .choose(&record, &me, ACCOUNT, 500, 60_000)
            .is_empty()
    );
}

#[test]
fn one_loan_is_requested_at_a_time() {
    let mut loans = LoanRequests::default();
    assert!(loans.begin(ACCOUNT, 0));
    assert!(loans.is_pending(ACCOUNT));
    assert!(!loans.begin(ACCOUNT, 1));
    loans.end(ACCOUNT, true, 2);
    assert!(!loans.is_pending(ACCOUNT));
    assert!(loans.begin(ACCOUNT, 3));
    loans.end(ACCOUNT, false, 4);
    assert!(!loans.begin(ACCOUNT, 5));
    assert!(loans.begin("other", 5));
    assert!(loans.begin(ACCOUNT, 10_000));
}

#[test]
fn a_lender_that_expects_demand_lends_more_the_next_time() {
    let mut record = ShareRecord::default();
    let mut lender = holder("a", 1, 1_000_000);
    exchange(&mut lender, 0, &mut record);
    exchange(&mut holder("b", 2, 1_000_000), 0, &mut record);
    let requested = 60_000;
    let first = lender.lend(ACCOUNT, requested, 1_000);
    lender.note_unserved(ACCOUNT, requested - first);
    lender.expect_demand(100, ACCOUNT, requested - first);
    exchange(&mut lender, 600, &mut record);
    let next = lender.lend(ACCOUNT, requested, 1_000);
    assert!(first > 0 && next > 2 * first, "{first}, then {next}");
    assert!(record.granted(ACCOUNT) <= 1_000_000);
}
