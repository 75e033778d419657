//! When the sealed part of a share opens.

use serde::{Deserialize, Serialize};

/// Thousandths in a whole.
const PERMILLE: u64 = 1_000;

/// Age of the last write at which sealed parts began to open in all releases that did not record
/// it, in milliseconds.
const UNRECORDED_START_MS: u64 = 2_200;

/// How much of a sealed part is open, by the age of the last write that may have reached the store.
///
/// The open fraction never decreases with age. It is recorded with the shares, because a successor
/// has to compute with the schedule of the process that spent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Opening {
    /// Age at which the rest begins to open, in milliseconds.
    pub start_ms: u64,
    /// Time from then on over which the rest opens evenly, in milliseconds; 0 if it opens at once.
    pub duration_ms: u64,
    /// Thousandths that are open at any age. Unlike the open part of a share, they are spent only
    /// with the receipts of witnesses while any witness binds the router.
    pub initial_permille: u32,
}

impl Opening {
    /// Returns the schedule of a process that recorded no more than the duration.
    pub(super) fn with_duration(duration_ms: u64) -> Self {
        Self {
            start_ms: UNRECORDED_START_MS,
            duration_ms,
            initial_permille: 0,
        }
    }

    /// Returns the age at which a sealed part is fully open, in milliseconds.
    pub fn end_ms(self) -> u64 {
        self.start_ms.saturating_add(self.duration_ms)
    }

    /// Returns how much of a sealed part is open when the last write that may have reached the
    /// store is `age_ms` old, in tokens.
    pub fn unsealed(self, sealed: u64, age_ms: u64) -> u64 {
        let initial = self.initial(sealed);
        match age_ms.checked_sub(self.start_ms) {
            None => initial,
            Some(opening_ms) if opening_ms < self.duration_ms => {
                initial + scale(sealed - initial, opening_ms, self.duration_ms)
            }
            Some(_) => sealed,
        }
    }

    /// Returns the age of the last write at which `tokens` of a sealed part are open, in
    /// milliseconds.
    pub fn unseals_at_ms(self, sealed: u64, tokens: u64) -> u64 {
        let initial = self.initial(sealed);
        let Some(missing) = tokens.checked_sub(initial).filter(|missing| *missing > 0) else {
            return 0;
        };
        let rest = (sealed - initial).max(1);
        let opening_ms = (u128::from(missing) * u128::from(self.duration_ms)).div_ceil(rest.into());
        self.start_ms
            .saturating_add(u64::try_from(opening_ms).unwrap_or(u64::MAX))
    }

    /// Returns how much of a sealed part is open at any age, in tokens.
    fn initial(self, sealed: u64) -> u64 {
        scale(sealed, u64::from(self.initial_permille), PERMILLE).min(sealed)
    }
}

/// The schedule of a process that recorded none: its sealed parts open at once.
impl Default for Opening {
    fn default() -> Self {
        Self::with_duration(0)
    }
}

/// Returns `tokens` times a fraction, rounded down.
fn scale(tokens: u64, numerator: u64, denominator: u64) -> u64 {
    let scaled = u128::from(tokens) * u128::from(numerator) / u128::from(denominator);
    u64::try_from(scaled).unwrap_or(u64::MAX)
}
