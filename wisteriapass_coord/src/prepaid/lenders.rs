//! Which routers to ask for a loan.
//!
//! Answers a cut of all routers from the service in which one draws more than its share: what the
//! others hold is known from before the cut, so those that had most are asked again and again
//! though they have lent it all. One that lends nothing is passed over for a while.

use std::collections::HashMap;
use std::net::SocketAddr;

use smallvec::SmallVec;

use crate::prepaid::{HolderId, ShareRecord};

/// Routers asked for one loan: an answer takes a round trip, and the request waits meanwhile.
const MOST_ASKED: usize = 4;

/// Time for which a router that lent nothing is passed over, in milliseconds: it may have more
/// after its next exchanges.
const SHORT_MS: u64 = 2_000;

/// Routers that lent nothing of late, by account.
#[derive(Clone, Debug, Default)]
pub struct Lenders {
    short: HashMap<(String, SocketAddr), Short>,
}

/// What a router did not have.
#[derive(Clone, Copy, Debug)]
struct Short {
    /// Tokens that it was asked for.
    least: u64,
    /// When it is asked again, in milliseconds.
    until_ms: u64,
}

impl Lenders {
    /// Returns whom to ask for `least` tokens, the one with the most at hand first.
    pub fn choose(
        &self,
        record: &ShareRecord,
        me: &HolderId,
        account: &str,
        least: u64,
        now_ms: u64,
    ) -> SmallVec<[SocketAddr; MOST_ASKED]> {
        let others = record.holder_entries().filter(|(id, _)| *id != me);
        let mut lenders: Vec<(u64, SocketAddr)> = others
            .filter_map(|(id, tenure)| {
                let share = record.share(account, id);
                let unspent = share.granted.saturating_sub(share.used + share.lost);
                Some((unspent, tenure.lends_at?))
            })
            .filter(|(unspent, at)| *unspent > 0 && !self.is_short(account, *at, least, now_ms))
            .collect();
        lenders.sort_by_key(|(unspent, _)| std::cmp::Reverse(*unspent));
        let best = lenders.into_iter().take(MOST_ASKED);
        best.map(|(_, at)| at).collect()
    }

    /// Notes that a router lent nothing to whoever needed `least` tokens.
    pub fn note_short(&mut self, account: &str, lender: SocketAddr, least: u64, now_ms: u64) {
        self.short.retain(|_, short| short.until_ms > now_ms);
        let until_ms = now_ms + SHORT_MS;
        let short = Short { least, until_ms };
        self.short.insert((account.to_owned(), lender), short);
    }

    fn is_short(&self, account: &str, lender: SocketAddr, least: u64, now_ms: u64) -> bool {
        let short = self.short.get(&(account.to_owned(), lender));
        short.is_some_and(|s| s.until_ms > now_ms && s.least <= least)
    }
}
