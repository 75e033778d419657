//! Where the tokens of a reservation come from.

use wisteriapass_coord::prepaid::LineKey;

/// Where tokens are reserved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenSource {
    /// This router's own share.
    Share,
    /// What a relay granted on a line.
    Credit(LineKey),
}
