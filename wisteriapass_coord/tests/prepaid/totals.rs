//! Totals that a holder knows, or does not know yet.

use wisteriapass_coord::prepaid::{HolderId, ShareHolder, ShareRecord, ShareShortfall, Totals};

use crate::support::{
    ACCOUNT, SHARE_CONFIG, at, exchange, holder, no_totals, reserve_with_exchange, totals,
};

/// Guards against requests that are refused as beyond a total that the holder does not know.
#[test]
fn a_total_that_is_not_known_is_not_exhausted() {
    let mut record = ShareRecord::default();
    let id = HolderId("a".into());
    let mut h = ShareHolder::new(id, 1, at(0), SHARE_CONFIG, no_totals());
    assert_eq!(h.check(ACCOUNT, 10), Err(ShareShortfall::Short));
    exchange(&mut h, 0, &mut record);
    assert_eq!(h.check(ACCOUNT, 10), Err(ShareShortfall::Short));
    assert_eq!(h.scarcity(ACCOUNT, &record), None);
    h.set_totals(totals(100));
    assert_eq!(
        reserve_with_exchange(&mut h, 10, 10, &mut record),
        Ok(()),
        "the total covers it"
    );
    assert_eq!(h.check(ACCOUNT, 101), Err(ShareShortfall::Exhausted));
}

/// Guards against a next process of the same router that holds no share until the configuration
/// changes.
#[test]
fn a_router_that_holds_shares_again_is_granted_tokens_with_its_first_write() {
    let mut record = ShareRecord::default();
    let mut before = holder("a", 1, 1_000);
    exchange(&mut before, 0, &mut record);
    record = before.return_unspent(at(10), &record).unwrap();
    let mut after = holder("a", 2, 1_000);
    exchange(&mut after, 20, &mut record);
    assert_eq!(after.reserve(30, ACCOUNT, 10), Ok(()));
}

#[test]
fn an_account_that_is_no_longer_listed_keeps_its_total() {
    let before = Totals::new(1, [(ACCOUNT, 100), ("other", 5)]);
    let after = before.updated(2, [("other", 7)]);
    assert_eq!(after.version(), 2);
    assert_eq!(after.of(ACCOUNT), Some(100));
    assert_eq!(after.of("other"), Some(7));
    assert_eq!(after.of("unknown"), None);
}
