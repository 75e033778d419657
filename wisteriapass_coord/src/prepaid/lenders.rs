//! Selection of the routers to ask for a loan.
//!
//! While no router reaches the store and one has more demand than its share covers, what the others
//! hold is known only from before the partition. Without this list, the routers that held most
//! would be asked again and again after they had lent everything. A router that lends nothing is
//! skipped for some time.

use std::collections::HashMap;
use std::net::SocketAddr;

use smallvec::SmallVec;

use crate::prepaid::{HolderId, ShareRecord};

/// Maximum number of routers asked for one loan. Each answer takes a round trip, and the request
/// waits for it.
const MAX_LENDERS: usize = 4;

/// Time for which a router that lent nothing is skipped, in milliseconds; it may have more after
/// its next exchanges.
const SKIP_MS: u64 = 2_000;

/// Routers that recently lent nothing, by account.
#[derive(Clone, Debug, Default)]
pub struct Lenders {
    short: HashMap<(String, SocketAddr), Short>,
}

/// A request that a router could not meet.
#[derive(Clone, Copy, Debug)]
struct Short {
    /// Tokens that it was asked for.
    min_tokens: u64,
    /// When it may be asked again, in milliseconds.
    until_ms: u64,
}

impl Lenders {
    /// Returns the routers to ask for `min_tokens` tokens, ordered by unspent tokens, most first.
    pub fn choose(
        &self,
        record: &ShareRecord,
        me: &HolderId,
        account: &str,
        min_tokens: u64,
        now_ms: u64,
    ) -> SmallVec<[SocketAddr; MAX_LENDERS]> {
        let others = record.holder_entries().filter(|(id, _)| *id != me);
        let mut lenders: Vec<(u64, SocketAddr)> = others
            .filter_map(|(id, entry)| {
                let share = record.share(account, id);
                let unspent = share.granted.saturating_sub(share.used + share.lost);
                Some((unspent, entry.lends_at?))
            })
            .filter(|(unspent, at)| {
                *unspent > 0 && !self.is_short(account, *at, min_tokens, now_ms)
            })
            .collect();
        lenders.sort_by_key(|(unspent, _)| std::cmp::Reverse(*unspent));
        let best = lenders.into_iter().take(MAX_LENDERS);
        best.map(|(_, at)| at).collect()
    }

    /// Notes that a router lent nothing to a borrower that needed `min_tokens` tokens.
    pub fn note_short(&mut self, account: &str, lender: SocketAddr, min_tokens: u64, now_ms: u64) {
        self.short.retain(|_, short| short.until_ms > now_ms);
        let until_ms = now_ms + SKIP_MS;
        let short = Short {
            min_tokens,
            until_ms,
        };
        self.short.insert((account.to_owned(), lender), short);
    }

    fn is_short(&self, account: &str, lender: SocketAddr, min_tokens: u64, now_ms: u64) -> bool {
        let short = self.short.get(&(account.to_owned(), lender));
        short.is_some_and(|s| s.until_ms > now_ms && s.min_tokens <= min_tokens)
    }
}
