//! Claims in the key-value service.

use crate::Millis;
use crate::once::{Claim, ClaimOpId, OnceError, Result, RunId};
use crate::store::{Entry, Revision, Store, StoreError, Swap};

/// Maximum number of times a write is sent while its answers are lost.
const MAX_WRITE_TRIES: u32 = 3;

/// Key prefix of all claims.
const KEY_PREFIX: &str = "once/";

/// Outcome of an attempt to claim a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// This operation holds the claim; the request may be sent as the claim says.
    Acquired,
    /// Another operation holds the claim.
    Held {
        /// The held claim.
        claim: Claim,
        /// Revision of the claim, needed to take it over.
        revision: Revision,
    },
}

/// Claims stored under `once/<account>/<key>` in a [`Store`].
///
/// A claim may be taken over only after its side process has withdrawn the attempt, that is, after
/// the claimed incarnation has confirmed that the attempt never began and never will.
pub struct Claims<'a> {
    store: &'a dyn Store,
}

impl<'a> Claims<'a> {
    /// Creates an interface to the claims in `store`.
    pub fn new(store: &'a dyn Store) -> Self {
        Self { store }
    }

    /// Claims a run that has no claim yet.
    ///
    /// # Errors
    ///
    /// [`OnceError`] if the outcome is not certain. The claim may have been written, so the request
    /// must not be sent. Since nothing was sent under this operation, it is correct to report the
    /// request as "not run".
    pub fn claim(&self, run: &RunId, claim: &Claim) -> Result<ClaimOutcome> {
        self.write(run, claim, Revision::ABSENT)
    }

    /// Replaces a held claim, whose attempt was withdrawn, with a claim for the next attempt.
    ///
    /// # Errors
    ///
    /// Same as [`Claims::claim`].
    pub fn take_over(&self, run: &RunId, claim: &Claim, held_at: Revision) -> Result<ClaimOutcome> {
        self.write(run, claim, held_at)
    }

    /// Deletes the claim of an operation whose run never began and never will.
    ///
    /// A claim that another operation has taken over is left in place.
    ///
    /// # Errors
    ///
    /// [`OnceError`] if the key-value service gave no answer; the claim may still exist.
    pub fn release(&self, run: &RunId, op: &ClaimOpId) -> Result<()> {
        let key = run.claim_key().ok_or(OnceError::NoKey)?;
        let Some(entry) = self.store.get(&key)? else {
            return Ok(());
        };
        if parse(&entry)?.op == *op {
            self.store.delete(&key, entry.revision)?;
        }
        Ok(())
    }

    /// Reads the claim of a run.
    ///
    /// # Errors
    ///
    /// [`OnceError`] if the key-value service gave no answer or the claim can't be parsed.
    pub fn read(&self, run: &RunId) -> Result<Option<Claim>> {
        let key = run.claim_key().ok_or(OnceError::NoKey)?;
        let entry = self.store.get(&key)?;
        entry.map(|e| parse(&e)).transpose()
    }

    /// Deletes expired claims and returns their number.
    ///
    /// # Errors
    ///
    /// [`OnceError`] if the key-value service gave no answer or a claim can't be parsed.
    pub fn sweep(&self, now: Millis) -> Result<usize> {
        let mut swept = 0;
        for entry in self.store.list(KEY_PREFIX)? {
            if parse(&entry)?.until > now {
                continue;
            }
            if matches!(
                self.store.delete(&entry.key, entry.revision)?,
                Swap::Done(_)
            ) {
                swept += 1;
            }
        }
        Ok(swept)
    }

    fn write(&self, run: &RunId, claim: &Claim, expected: Revision) -> Result<ClaimOutcome> {
        let key = run.claim_key().ok_or(OnceError::NoKey)?;
        let value = serde_json::to_string(claim).map_err(|e| corrupt(&key, &e))?;
        let mut last_error = StoreError::Unknown {
            cause: "not tried".into(),
        };
        for _ in 0..MAX_WRITE_TRIES {
            match self.store.swap(&key, expected, &value, None) {
                Ok(Swap::Done(_)) => return Ok(ClaimOutcome::Acquired),
                Ok(Swap::Conflict(Some(entry))) => return conflict_outcome(&entry, claim),
                // The held claim was swept or released, so the next read finds no claim.
                Ok(Swap::Conflict(None)) => return Err(last_error.into()),
                Err(e) if e.is_without_effect() => return Err(e.into()),
                Err(e) => last_error = e,
            }
        }
        Err(last_error.into())
    }
}

/// Returns the outcome of a write that conflicted with `entry`.
///
/// The entry is the operation's own claim if an earlier answer to the write was lost.
fn conflict_outcome(entry: &Entry, claim: &Claim) -> Result<ClaimOutcome> {
    let held = parse(entry)?;
    if held.op == claim.op {
        return Ok(ClaimOutcome::Acquired);
    }
    Ok(ClaimOutcome::Held {
        claim: held,
        revision: entry.revision,
    })
}

fn parse(entry: &Entry) -> Result<Claim> {
    serde_json::from_str(&entry.value).map_err(|e| corrupt(&entry.key, &e))
}

fn corrupt(key: &str, e: &serde_json::Error) -> OnceError {
    OnceError::Corrupt {
        key: key.into(),
        cause: e.to_string(),
    }
}
