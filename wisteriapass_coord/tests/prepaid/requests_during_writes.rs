//! Requests that come while a write of the shares is in progress.

use wisteriapass_coord::prepaid::{ShareRecord, ShareShortfall};

use crate::support::{ACCOUNT, at, exchange, holder, reserve_with_exchange, totals};

// A router that took the write for one that did not cover them refused them, and all others until the
// next exchange, while most of the total was free.
#[test]
fn requests_that_come_during_a_write_are_covered_by_the_next() {
    const COST: u64 = 150;
    let mut h = holder("a", 1, 10_000);
    let mut record = ShareRecord::default();
    exchange(&mut h, 0, &mut record);
    let next = h.compose(500, at(500), &record);
    h.note_sent(at(500));
    assert_eq!(h.reserve(510, ACCOUNT, COST), Ok(()));
    for _ in 0..3 {
        let late = h.reserve(510, ACCOUNT, COST);
        assert_eq!(late, Err(ShareShortfall::Short));
        h.note_unserved(ACCOUNT, COST);
    }
    record = next;
    assert!(h.adopt(&record));
    let still_short = h.reserve(520, ACCOUNT, COST);
    assert_eq!(still_short, Err(ShareShortfall::Short));
    assert!(h.is_due(), "the requests wait for no exchange");
    exchange(&mut h, 580, &mut record);
    for _ in 0..3 {
        assert_eq!(h.reserve(590, ACCOUNT, COST), Ok(()));
    }
}

#[test]
fn a_top_up_during_a_write_is_requested_by_the_next() {
    let mut record = ShareRecord::default();
    let mut h = holder("a", 1, 100);
    assert_eq!(reserve_with_exchange(&mut h, 0, 100, &mut record), Ok(()));
    assert_eq!(h.reserve(10, ACCOUNT, 50), Err(ShareShortfall::Exhausted));
    let next = h.compose(20, at(20), &record);
    h.note_sent(at(20));
    h.set_totals(totals(1_000));
    assert_eq!(h.reserve(30, ACCOUNT, 50), Err(ShareShortfall::Short));
    record = next;
    assert!(h.adopt(&record));
    assert!(h.is_due(), "the request waits for no exchange");
    assert_eq!(reserve_with_exchange(&mut h, 40, 50, &mut record), Ok(()));
}

// Tokens that other routers hold do not come with another exchange.
#[test]
fn a_request_that_an_exchange_did_not_cover_waits_for_no_other() {
    let mut record = ShareRecord::default();
    let (mut a, mut b) = (holder("a", 1, 1_000), holder("b", 2, 1_000));
    assert_eq!(reserve_with_exchange(&mut a, 0, 700, &mut record), Ok(()));
    exchange(&mut b, 10, &mut record);
    let next = b.compose(20, at(20), &record);
    b.note_sent(at(20));
    assert!(b.reserve(30, ACCOUNT, 290).is_err());
    record = next;
    assert!(b.adopt(&record));
    assert!(b.is_due());
    exchange(&mut b, 40, &mut record);
    assert!(b.reserve(50, ACCOUNT, 290).is_err());
    assert!(!b.is_due());
}
