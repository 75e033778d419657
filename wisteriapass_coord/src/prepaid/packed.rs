//! A record of shares as bytes: holders once, and for each account their shares in that order.
//!
//! Answers slow links. As JSON with each holder's name beside each share, 24 accounts of 27 routers
//! took 28 KB, and a write over a link of 10 Mbit/s 67 ms: routers behind one hardly ever wrote
//! before another had.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use derive_more::{Display, Error};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::prepaid::{HolderEntry, HolderId, NamedWitnesses, Share, ShareRecord, Stamp};

/// First byte of the form below.
const PACKED: u8 = 3;

/// First byte of the form before, whose tenures name no failure domain.
const PLACELESS: u8 = 2;

/// First byte of the form before that, whose tenures name no witnesses.
const UNWITNESSED: u8 = 1;

/// First byte of the oldest form.
const JSON: u8 = b'{';

/// Why bytes are no record.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum UnpackError {
    /// They begin with the mark of no known form.
    #[display("written by a newer version; upgrade this router")]
    UnknownFormat,
    /// They do not have the form that they claim.
    #[display("damaged ({cause}); restore the record or remove it")]
    Damaged {
        /// What the codec said.
        cause: String,
    },
}

/// A record as it is written.
#[derive(Serialize, Deserialize)]
struct Packed<T = HolderEntry> {
    holders: Vec<(HolderId, T)>,
    accounts: Vec<PackedAccount>,
}

/// A tenure that names no failure domain.
#[derive(Deserialize)]
struct PlacelessTenure {
    process: u64,
    write: u64,
    stamp: Stamp,
    agreed: bool,
    lends_at: Option<SocketAddr>,
    witnesses: NamedWitnesses,
}

/// A tenure that names no witnesses either.
#[derive(Deserialize)]
struct UnwitnessedTenure {
    process: u64,
    write: u64,
    stamp: Stamp,
    agreed: bool,
    lends_at: Option<SocketAddr>,
}

/// One account's shares, by the places of their holders.
#[derive(Serialize, Deserialize)]
struct PackedAccount {
    name: String,
    shares: Vec<Share>,
}

impl ShareRecord {
    /// Returns the record as bytes.
    pub fn to_bytes(&self) -> Vec<u8> {
        let packed = Packed {
            holders: self.holders.clone().into_iter().collect(),
            accounts: self.accounts.keys().map(|name| self.pack(name)).collect(),
        };
        // Only maps of unknown length and the like cannot be written.
        postcard::to_extend(&packed, vec![PACKED]).unwrap_or_default()
    }

    /// Reads a record.
    ///
    /// # Errors
    ///
    /// [`UnpackError`] if the bytes are none.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, UnpackError> {
        match bytes.split_first() {
            Some((&PACKED, rest)) => unpack::<HolderEntry>(rest),
            Some((&PLACELESS, rest)) => unpack::<PlacelessTenure>(rest),
            Some((&UNWITNESSED, rest)) => unpack::<UnwitnessedTenure>(rest),
            Some((&JSON, _)) => serde_json::from_slice(bytes).map_err(|e| damaged(e.to_string())),
            Some(_) => Err(UnpackError::UnknownFormat),
            None => Err(damaged("empty".to_owned())),
        }
    }

    fn pack(&self, account: &str) -> PackedAccount {
        let share = |holder| self.share(account, holder);
        PackedAccount {
            name: account.to_owned(),
            shares: self.holders.keys().map(share).collect(),
        }
    }
}

fn damaged(cause: String) -> UnpackError {
    UnpackError::Damaged { cause }
}

/// Reads a packed record whose tenures have this form.
fn unpack<T: DeserializeOwned + Into<HolderEntry>>(
    bytes: &[u8],
) -> Result<ShareRecord, UnpackError> {
    let packed: Packed<T> = postcard::from_bytes(bytes).map_err(|e| damaged(e.to_string()))?;
    packed.unpack()
}

impl From<PlacelessTenure> for HolderEntry {
    fn from(tenure: PlacelessTenure) -> Self {
        Self {
            process: tenure.process,
            write: tenure.write,
            stamp: tenure.stamp,
            agreed: tenure.agreed,
            lends_at: tenure.lends_at,
            witnesses: tenure.witnesses,
            ..Self::default()
        }
    }
}

impl From<UnwitnessedTenure> for HolderEntry {
    fn from(tenure: UnwitnessedTenure) -> Self {
        Self {
            process: tenure.process,
            write: tenure.write,
            stamp: tenure.stamp,
            agreed: tenure.agreed,
            lends_at: tenure.lends_at,
            ..Self::default()
        }
    }
}

impl<T: Into<HolderEntry>> Packed<T> {
    fn unpack(self) -> Result<ShareRecord, UnpackError> {
        let mut accounts = BTreeMap::new();
        for account in self.accounts {
            if account.shares.len() != self.holders.len() {
                let cause = "shares without holders".to_owned();
                return Err(UnpackError::Damaged { cause });
            }
            let ids = self.holders.iter().map(|(id, _)| id.clone());
            let shares = ids.zip(account.shares);
            let shares = shares.filter(|(_, share)| *share != Share::default());
            accounts.insert(account.name, shares.collect());
        }
        Ok(ShareRecord {
            accounts,
            holders: self
                .holders
                .into_iter()
                .map(|(id, t)| (id, t.into()))
                .collect(),
        })
    }
}
