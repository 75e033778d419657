//! Origin of the tokens of a reservation.

use std::rc::Rc;

use wisteriapass_coord::prepaid::CreditLineKey;

use super::incarnation::Incarnation;

/// Where the tokens of a reservation come from.
#[derive(Clone, Debug)]
pub enum TokenSource {
    /// This router's own share in one of its incarnations.
    Share(Rc<Incarnation>),
    /// A relay's grants on a credit line.
    Credit(CreditLineKey),
}
