//! A record in the key-value store: the shares of all routers in some accounts.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::prepaid::{HolderEntry, HolderId, Share};

/// Shares by account and holder.
///
/// For each account, the sum of the grants never exceeds the total that the writer knows. Totals
/// only grow, so a writer with an older total grants less.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ShareRecord {
    pub(super) accounts: BTreeMap<String, BTreeMap<HolderId, Share>>,
    pub(super) holders: BTreeMap<HolderId, HolderEntry>,
}

impl ShareRecord {
    /// Returns a holder's share of an account; an empty one if it has none.
    pub fn share(&self, account: &str, holder: &HolderId) -> Share {
        let shares = self.accounts.get(account);
        shares
            .and_then(|s| s.get(holder))
            .copied()
            .unwrap_or_default()
    }

    /// Returns the entry of a holder: the process that holds the shares.
    pub fn holder_entry(&self, holder: &HolderId) -> Option<HolderEntry> {
        self.holders.get(holder).copied()
    }

    /// Returns all holders with their entries.
    pub fn holder_entries(&self) -> impl Iterator<Item = (&HolderId, &HolderEntry)> {
        self.holders.iter()
    }

    /// Returns how much of an account was granted to all holders, in tokens.
    pub fn granted(&self, account: &str) -> u64 {
        self.sum(account, |s| s.granted)
    }

    /// Returns how much of an account is known to be spent, in tokens.
    pub fn used(&self, account: &str) -> u64 {
        self.sum(account, |s| s.used)
    }

    /// Returns how much of an account is known to be spent or counts as lost, in tokens.
    pub fn used_or_lost(&self, account: &str) -> u64 {
        self.sum(account, |s| s.used + s.lost)
    }

    /// Returns how much of an account dead routers may have spent beyond what is known, in tokens.
    pub fn lost(&self, account: &str) -> u64 {
        self.sum(account, |s| s.lost)
    }

    /// Returns the sum of the unspent amounts that the routers ask for to meet their demand on an
    /// account, in tokens.
    pub fn total_wish(&self, account: &str) -> u64 {
        self.sum(account, |s| s.wish)
    }

    /// Returns the sealed parts of a holder by account, in tokens.
    pub fn sealed(&self, holder: &HolderId) -> BTreeMap<String, u64> {
        let share = |(name, s): (&String, &BTreeMap<HolderId, Share>)| {
            let share = s.get(holder)?;
            (share.sealed > 0).then(|| (name.clone(), share.sealed))
        };
        self.accounts.iter().filter_map(share).collect()
    }

    /// Replaces a holder's share of an account.
    pub fn set_share(&mut self, account: &str, holder: &HolderId, share: Share) {
        let shares = self.accounts.entry(account.to_owned()).or_default();
        shares.insert(holder.clone(), share);
    }

    /// Replaces a holder's entry, when its process writes this record.
    pub fn set_holder_entry(&mut self, holder: &HolderId, tenure: HolderEntry) {
        self.holders.insert(holder.clone(), tenure);
    }

    /// Hands the shares of a VM over to the process that started there. `unsealed` returns how much
    /// of the sealed part of a share the predecessor can have spent, by account, in tokens.
    ///
    /// Only for a process whose start proves that its predecessor is dead.
    pub fn take_over(&mut self, holder: &HolderId, unsealed: impl Fn(&str, &Share) -> u64) {
        for (account, shares) in &mut self.accounts {
            if let Some(share) = shares.get_mut(holder) {
                share.take_over(unsealed(account, share));
            }
        }
    }

    fn sum(&self, account: &str, of: impl Fn(&Share) -> u64) -> u64 {
        let shares = self.accounts.get(account);
        shares.map_or(0, |s| s.values().map(of).sum())
    }
}
