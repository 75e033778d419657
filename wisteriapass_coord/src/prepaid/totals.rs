//! Prepaid totals of client accounts.

use std::collections::BTreeMap;

/// The prepaid totals of all client accounts, in tokens, by one version of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Totals {
    version: u64,
    by_account: BTreeMap<String, u64>,
}

impl Totals {
    /// Creates totals of a version of the configuration.
    pub fn new<'a>(version: u64, totals: impl IntoIterator<Item = (&'a str, u64)>) -> Self {
        Self::default().updated(version, totals)
    }

    /// Returns the totals of a newer version. An account that is no longer listed keeps its total,
    /// as requests of it may be in progress.
    pub fn updated<'a>(
        &self,
        version: u64,
        totals: impl IntoIterator<Item = (&'a str, u64)>,
    ) -> Self {
        let mut by_account = self.by_account.clone();
        by_account.extend(
            totals
                .into_iter()
                .map(|(name, total)| (name.to_owned(), total)),
        );
        Self {
            version,
            by_account,
        }
    }

    /// Returns the version of the configuration; 0 if none is known.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns an account's total, in tokens; `None` if it is not known.
    pub fn of(&self, account: &str) -> Option<u64> {
        self.by_account.get(account).copied()
    }

    /// Returns the accounts whose totals are known.
    pub fn accounts(&self) -> impl Iterator<Item = &str> {
        self.by_account.keys().map(String::as_str)
    }
}
