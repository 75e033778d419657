//! What witnesses acknowledged to this router, and which of them bind it.
//!
//! Answers the loss of all routers while the service is out of reach, or for longer than seals
//! prove: what each of them held was lost whole. Out of touch, a router spends what all its
//! witnesses acknowledged, so that any one of them can tell a successor the most that is gone.

use std::collections::BTreeMap;

use smallvec::SmallVec;

use crate::prepaid::{Receipt, WitnessId};

/// Witnesses of one router: one may be lost in a cut without more being lost than it holds.
pub const WITNESS_COUNT: usize = 2;

/// Time without a receipt after which a witness is given up, in milliseconds: several reports.
const QUIET_MS: u64 = 700;

/// Names of witnesses as they stand in a record.
pub type NamedWitnesses = [Option<WitnessId>; WITNESS_COUNT];

/// One witness of this router.
#[derive(Clone, Debug)]
struct WitnessState {
    id: WitnessId,
    /// Levels that it acknowledged, by account, in tokens.
    levels: BTreeMap<String, u64>,
    /// When the last report left, by the boot clock.
    sent_ms: u64,
    /// When the last receipt came.
    heard_ms: u64,
    last: Receipt,
    /// Whether it knows that this process lived after its first receipt.
    bound: bool,
    /// Whether it is named in a record that may be in force.
    named: bool,
    /// Whether nothing is sent to it any more: what it knows grows old.
    quiet: bool,
    /// Whether what it knows is too old to be believed, so that it does not bind.
    expired: bool,
}

/// The witnesses of this router.
#[derive(Clone, Debug, Default)]
pub struct WitnessSet {
    all: SmallVec<[WitnessState; 4]>,
}

impl WitnessSet {
    /// Returns whom to report to, with the last receipt of each.
    pub fn reachable(&self) -> SmallVec<[(WitnessId, Receipt); 4]> {
        let spoken = self.all.iter().filter(|w| !w.quiet);
        spoken.map(|w| (w.id, w.last)).collect()
    }

    /// Returns all witnesses that are reported to or may bind.
    pub fn known(&self) -> SmallVec<[WitnessId; 4]> {
        self.all.iter().map(|w| w.id).collect()
    }

    /// Notes that a report leaves at `now_ms` of the boot clock.
    pub fn note_sent(&mut self, id: WitnessId, now_ms: u64) {
        if let Some(witness) = self.find(id) {
            witness.sent_ms = now_ms;
        }
    }

    /// Notes a receipt for a report with these levels.
    pub fn note_receipt(
        &mut self,
        id: WitnessId,
        receipt: Receipt,
        levels: &BTreeMap<String, u64>,
        now_ms: u64,
    ) {
        if receipt.witness != id.process {
            return;
        }
        let Some(witness) = self.find(id) else {
            return;
        };
        witness.bound = true;
        witness.heard_ms = now_ms;
        witness.last = receipt;
        for (account, level) in levels {
            let known = witness.levels.entry(account.clone()).or_default();
            *known = (*level).max(*known);
        }
    }

    /// Takes on a witness that answered a first report, sent at `sent_ms` of the boot clock.
    pub fn add(&mut self, id: WitnessId, receipt: Receipt, sent_ms: u64) {
        if self.find(id).is_some() {
            return;
        }
        self.all.push(WitnessState {
            id,
            levels: BTreeMap::new(),
            sent_ms,
            heard_ms: sent_ms,
            last: receipt,
            bound: false,
            named: false,
            quiet: false,
            expired: false,
        });
    }

    /// Returns the witnesses that can be named in the next write.
    pub fn nameable(&self) -> NamedWitnesses {
        let mut fit = self.all.iter().filter(|w| w.bound && !w.quiet);
        std::array::from_fn(|_| fit.next().map(|w| w.id))
    }

    /// Notes that a record that names these may come in force, beside the one before.
    pub fn may_be_named(&mut self, names: NamedWitnesses) {
        for witness in &mut self.all {
            witness.named |= names.contains(&Some(witness.id));
        }
    }

    /// Notes that just these are named in the record in force.
    pub fn set_named(&mut self, names: &[WitnessId]) {
        for witness in &mut self.all {
            witness.named = names.contains(&witness.id);
        }
        self.all.retain(|w| w.named || !w.quiet);
    }

    /// Gives up witnesses that do not answer, and frees this router of those whose word is too old.
    ///
    /// One whose last report left `silence_ms` ago cannot be believed by a successor, so it binds
    /// no more. It is never reported to again before another record names it.
    pub fn advance(&mut self, now_ms: u64, silence_ms: u64) {
        for witness in &mut self.all {
            witness.quiet |= now_ms.saturating_sub(witness.heard_ms) >= QUIET_MS;
            let silent = now_ms.saturating_sub(witness.sent_ms) >= silence_ms;
            witness.expired |= silent;
            witness.quiet |= silent;
        }
        self.all.retain(|w| w.named || !w.quiet);
    }

    /// Returns whether any witness binds this router.
    pub fn any_binds(&self) -> bool {
        self.all.iter().any(WitnessState::binds)
    }

    /// Returns the level that all binding witnesses acknowledged, in tokens.
    pub fn spend_limit(&self, account: &str) -> u64 {
        let binding = self.all.iter().filter(|w| w.binds());
        let levels = binding.map(|w| w.levels.get(account).copied().unwrap_or_default());
        levels.min().unwrap_or_default()
    }

    /// Returns whether reports leave and are answered.
    pub fn all_answer(&self) -> bool {
        self.all.iter().filter(|w| w.binds()).all(|w| !w.quiet)
    }

    fn find(&mut self, id: WitnessId) -> Option<&mut WitnessState> {
        self.all.iter_mut().find(|w| w.id == id)
    }
}

impl WitnessState {
    fn binds(&self) -> bool {
        self.named && !self.expired
    }
}
