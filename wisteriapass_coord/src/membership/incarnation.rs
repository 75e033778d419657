//! Identity of a process start.

use std::str::FromStr;
use std::time::{SystemTime, UNIX_EPOCH};

use derive_more::{Display, Error};
use rand::Rng;
use serde::{Deserialize, Serialize};

/// Bits of the random part in the packed number.
///
/// The remaining bits hold the start time until the year 2109.
const NONCE_BITS: u32 = 22;

/// Identity of a process start.
///
/// Later starts compare greater. The random part distinguishes starts at the same time.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(into = "String", try_from = "String")]
#[display("{started_ms:x}-{nonce:x}")]
pub struct Incarnation {
    started_ms: u64,
    nonce: u32,
}

/// Error for a text that is not an incarnation.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("\"{text}\" is not an incarnation; write two hexadecimal numbers as in 18f0a-3c")]
pub struct ParseIncarnationError {
    /// Text that failed to parse.
    text: String,
}

impl Incarnation {
    /// Creates the incarnation of a process that started at `started_ms`, in Unix milliseconds.
    pub fn new(started_ms: u64, nonce: u32) -> Self {
        Self { started_ms, nonce }
    }

    /// Creates an incarnation for this process from the current time and a random number.
    pub fn generate() -> Self {
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let started_ms = u64::try_from(since.as_millis()).unwrap_or(u64::MAX);
        Self::new(started_ms, rand::rng().random())
    }

    /// Returns an incarnation that is greater than `known`, for a process that has not served yet.
    ///
    /// Without this, a new process whose clock is behind its predecessor's would be refused.
    pub fn advanced_past(self, known: Self) -> Self {
        if self > known {
            return self;
        }
        Self::new(known.started_ms + 1, self.nonce)
    }

    /// Returns the incarnation as one number: the start time followed by the low bits of the random
    /// part.
    pub fn packed(self) -> u64 {
        let nonce = u64::from(self.nonce) & ((1 << NONCE_BITS) - 1);
        (self.started_ms << NONCE_BITS) | nonce
    }

    /// Returns the start time of the process, in Unix milliseconds.
    pub fn started_ms(self) -> u64 {
        self.started_ms
    }
}

impl From<Incarnation> for String {
    fn from(incarnation: Incarnation) -> Self {
        incarnation.to_string()
    }
}

impl TryFrom<String> for Incarnation {
    type Error = ParseIncarnationError;

    fn try_from(text: String) -> Result<Self, ParseIncarnationError> {
        text.parse()
    }
}

impl FromStr for Incarnation {
    type Err = ParseIncarnationError;

    fn from_str(text: &str) -> Result<Self, ParseIncarnationError> {
        let parsed = text.split_once('-').and_then(|(started, nonce)| {
            let started_ms = u64::from_str_radix(started, 16).ok()?;
            let nonce = u32::from_str_radix(nonce, 16).ok()?;
            Some(Self::new(started_ms, nonce))
        });
        parsed.ok_or_else(|| ParseIncarnationError { text: text.into() })
    }
}
