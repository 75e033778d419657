//! Claims in the service.

use crate::Millis;
use crate::once::{Claim, ClaimOpId, OnceError, Result, RunId};
use crate::store::{Entry, Revision, Store, StoreError, Swap};

/// Tries of one write whose answers are lost.
const ATTEMPTS: u32 = 3;

/// Prefix of all claims.
const PREFIX: &str = "once/";

/// Outcome of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The claim is this operation's; the request may be sent as it says.
    Acquired,
    /// Another operation has it.
    Held {
        /// What it claimed.
        claim: Claim,
        /// Revision to take it over from.
        revision: Revision,
    },
}

/// Claims `once/<account>/<key>` behind a [`Store`].
///
/// Taking over is safe only after the held claim's side process has withdrawn its attempt: the
/// same incarnation has said that it never began and never will.
pub struct Claims<'a> {
    store: &'a dyn Store,
}

impl<'a> Claims<'a> {
    /// Reaches the claims in `store`.
    pub fn new(store: &'a dyn Store) -> Self {
        Self { store }
    }

    /// Claims a run that nobody has claimed.
    ///
    /// # Errors
    ///
    /// [`OnceError`] without a firm answer. The claim may stand; the request may not be sent, and
    /// since nothing was sent under this operation, "not run" is true.
    pub fn claim(&self, run: &RunId, claim: &Claim) -> Result<ClaimOutcome> {
        self.write(run, claim, Revision::ABSENT)
    }

    /// Replaces a held claim, whose attempt was withdrawn, by the next attempt.
    ///
    /// # Errors
    ///
    /// As for [`Claims::claim`].
    pub fn take_over(&self, run: &RunId, claim: &Claim, held_at: Revision) -> Result<ClaimOutcome> {
        self.write(run, claim, held_at)
    }

    /// Takes an operation's claim back whose run never began and never will; one that another
    /// operation took over stays.
    ///
    /// # Errors
    ///
    /// [`OnceError`] if the service gave no answer; the claim may stand.
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

    /// Reads a run's claim.
    ///
    /// # Errors
    ///
    /// [`OnceError`] if the service gave no answer or the claim can't be read.
    pub fn read(&self, run: &RunId) -> Result<Option<Claim>> {
        let key = run.claim_key().ok_or(OnceError::NoKey)?;
        let entry = self.store.get(&key)?;
        entry.map(|e| parse(&e)).transpose()
    }

    /// Deletes claims whose time is over; returns how many.
    ///
    /// # Errors
    ///
    /// [`OnceError`] if the service gave no answer.
    pub fn sweep(&self, now: Millis) -> Result<usize> {
        let mut swept = 0;
        for entry in self.store.list(PREFIX)? {
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
        let mut last = StoreError::Unknown {
            cause: "not tried".into(),
        };
        for _ in 0..ATTEMPTS {
            match self.store.swap(&key, expected, &value, None) {
                Ok(Swap::Done(_)) => return Ok(ClaimOutcome::Acquired),
                Ok(Swap::Conflict(Some(entry))) => return judge(&entry, claim),
                // It was swept or is gone: whoever reads next finds nobody.
                Ok(Swap::Conflict(None)) => return Err(last.into()),
                Err(e) if e.is_without_effect() => return Err(e.into()),
                Err(e) => last = e,
            }
        }
        Err(last.into())
    }
}

/// Tells whose claim an entry is: its own if the answer to its write was lost.
fn judge(entry: &Entry, claim: &Claim) -> Result<ClaimOutcome> {
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
