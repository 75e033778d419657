//! The decision that is in force at this router.

use wisteriapass_policy::Time;
use wisteriapass_policy::rotation::{HeldStanding, MarkAge, RotationDecision, Standing};

/// The last decision of a coordinator for this router.
#[derive(Clone, Copy, Debug)]
pub struct HeldDecision {
    /// The decision.
    pub decision: RotationDecision,
    /// When the report was sent that it answers.
    pub reported_at: Time,
    /// When it expires.
    pub valid_until: Time,
}

impl HeldDecision {
    /// Returns the standing in force, if any.
    pub fn standing(&self, now: Time) -> Option<Standing> {
        self.decision.standing.filter(|_| now < self.valid_until)
    }

    /// Returns this router's last mark for a report.
    pub fn mark_age(&self, now: Time) -> Option<MarkAge> {
        let mark = self.decision.mark?;
        Some(MarkAge {
            age_ms: mark.age_ms + now.millis_since(self.reported_at),
            ..mark
        })
    }

    /// Returns the standing for a report.
    pub fn held_standing(&self, now: Time) -> Option<HeldStanding> {
        Some(HeldStanding {
            standing: self.standing(now)?,
            valid_ms: self.valid_until.millis_since(now),
        })
    }
}
