//! Origin of the tokens of a reservation.

use wisteriapass_coord::prepaid::CreditLineKey;

/// Where the tokens of a reservation come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenSource {
    /// This router's own share.
    Share,
    /// A relay's grants on a credit line.
    Credit(CreditLineKey),
}
