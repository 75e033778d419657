//! The configuration in a relay's answer to an update request.

use wisteriapass_coord::prepaid::HolderId;

use super::messages::UpdateAnswer;
use crate::configuration_source::ConfigurationSource;
use crate::prelude::*;

/// Applies the configuration that a relay sent; `polled_at` is when the answer was requested.
pub fn apply_configuration(
    gw: &Gateway,
    relay: &HolderId,
    polled_at: Instant,
    answer: &UpdateAnswer,
) {
    let source = ConfigurationSource::Relay(relay.clone());
    for change in &answer.configuration {
        gw.apply_catalogue_change(change, &source);
    }
    // The updates are as old as they were at the time of the request, however long the answer took.
    let as_of = polled_at.checked_sub(Duration::from_millis(answer.age_ms));
    if let Some(as_of) = as_of {
        gw.confirm_configuration(as_of);
    }
    let mut log = gw.configuration_log.borrow_mut();
    log.advance_cursor(answer.configuration_cursor);
    drop(log);
    gw.set_evacuations(answer.evacuations.clone());
}
