//! The witnesses of this router: what they acknowledged, and which of them bind it.
//!
//! Beyond the small open part of a share, a router spends only what all witnesses that bind it
//! acknowledged, whether the store answers or not. Any one of them can therefore tell a successor
//! the most that can have been spent. Without witnesses, all that a router held for the demand of
//! some seconds would count as lost with it, as would the sealed parts of a router that was down
//! for too long to prove that they stayed sealed.

use std::collections::BTreeMap;

use smallvec::SmallVec;

use crate::prepaid::{WitnessId, WitnessReceipt};

/// Number of witnesses of one router. If a partition cuts one off, the other still answers, and
/// only what the lost witness holds itself is lost.
pub const WITNESS_COUNT: usize = 2;

/// Time without a receipt after which a witness is given up, in milliseconds; several report
/// intervals.
const GIVE_UP_MS: u64 = 700;

/// The witnesses as a record lists them.
pub type NamedWitnesses = [Option<WitnessId>; WITNESS_COUNT];

/// One witness of this router.
#[derive(Clone, Debug)]
struct WitnessState {
    id: WitnessId,
    /// Limits that it acknowledged, by account, in tokens.
    limits: BTreeMap<String, u64>,
    /// When the last report was sent, by the boot clock.
    sent_ms: u64,
    /// When the last receipt arrived.
    receipt_ms: u64,
    last_receipt: WitnessReceipt,
    /// Whether it acknowledged a report that followed its first receipt, and so knows that this
    /// process was alive after that receipt.
    is_confirmed: bool,
    /// Whether it is named in a record that may be in force.
    named: bool,
    /// Whether no more reports are sent to it, so that what it knows becomes outdated.
    given_up: bool,
    /// Whether what it knows is too old for a successor to trust, so that it does not bind.
    expired: bool,
}

/// The witnesses of this router.
#[derive(Clone, Debug, Default)]
pub struct WitnessSet {
    all: SmallVec<[WitnessState; 4]>,
}

impl WitnessSet {
    /// Returns the witnesses to report to, with the last receipt of each.
    pub fn reachable(&self) -> SmallVec<[(WitnessId, WitnessReceipt); 4]> {
        let reachable = self.all.iter().filter(|w| !w.given_up);
        reachable.map(|w| (w.id, w.last_receipt)).collect()
    }

    /// Returns all witnesses that are reported to or may bind.
    pub fn known(&self) -> SmallVec<[WitnessId; 4]> {
        self.all.iter().map(|w| w.id).collect()
    }

    /// Notes that a report is sent at `now_ms` of the boot clock.
    pub fn note_sent(&mut self, id: WitnessId, now_ms: u64) {
        if let Some(witness) = self.find(id) {
            witness.sent_ms = now_ms;
        }
    }

    /// Notes a receipt for a report with these limits.
    pub fn note_receipt(
        &mut self,
        id: WitnessId,
        receipt: WitnessReceipt,
        limits: &BTreeMap<String, u64>,
        now_ms: u64,
    ) {
        if receipt.witness != id.process {
            self.note_gone(id);
            return;
        }
        let Some(witness) = self.find(id) else {
            return;
        };
        witness.is_confirmed = true;
        witness.receipt_ms = now_ms;
        witness.last_receipt = receipt;
        for (account, limit) in limits {
            let known = witness.limits.entry(account.clone()).or_default();
            *known = (*limit).max(*known);
        }
    }

    /// Returns the witnesses that bind this router although they no longer answer.
    pub fn silent(&self) -> SmallVec<[WitnessId; 4]> {
        let silent = self.all.iter().filter(|w| w.binds() && w.given_up);
        silent.map(|w| w.id).collect()
    }

    /// Notes that another process listens at the address of a witness. The witness is dead, so no
    /// successor gets an answer from it, and it no longer binds.
    pub fn note_gone(&mut self, id: WitnessId) {
        if let Some(witness) = self.find(id) {
            witness.expired = true;
            witness.given_up = true;
        }
    }

    /// Adds a witness that answered a first report, sent at `sent_ms` of the boot clock.
    pub fn add(&mut self, id: WitnessId, receipt: WitnessReceipt, sent_ms: u64) {
        if self.find(id).is_some() {
            return;
        }
        self.all.push(WitnessState {
            id,
            limits: BTreeMap::new(),
            sent_ms,
            receipt_ms: sent_ms,
            last_receipt: receipt,
            is_confirmed: false,
            named: false,
            given_up: false,
            expired: false,
        });
    }

    /// Returns the witnesses that can be named in the next write.
    pub fn nameable(&self) -> NamedWitnesses {
        let mut nameable = self.all.iter().filter(|w| w.is_confirmed && !w.given_up);
        std::array::from_fn(|_| nameable.next().map(|w| w.id))
    }

    /// Marks more witnesses as named: a record that names them may come into force, but the
    /// previous record may still be in force.
    pub fn add_named(&mut self, names: NamedWitnesses) {
        for witness in &mut self.all {
            witness.named |= names.contains(&Some(witness.id));
        }
    }

    /// Marks exactly these witnesses as named: the record that names them is in force.
    pub fn set_named(&mut self, names: &[WitnessId]) {
        for witness in &mut self.all {
            witness.named = names.contains(&witness.id);
        }
        self.all.retain(|w| w.named || !w.given_up);
    }

    /// Gives up witnesses that do not answer, and releases this router from those whose knowledge
    /// is too old.
    ///
    /// A successor cannot trust a witness whose last report was sent `timeout_ms` ago or earlier,
    /// so that witness no longer binds. It gets no further report before another record names it.
    pub fn advance(&mut self, now_ms: u64, timeout_ms: u64) {
        for witness in &mut self.all {
            witness.given_up |= now_ms.saturating_sub(witness.receipt_ms) >= GIVE_UP_MS;
            let timed_out = now_ms.saturating_sub(witness.sent_ms) >= timeout_ms;
            witness.expired |= timed_out;
            witness.given_up |= timed_out;
        }
        self.all.retain(|w| w.named || !w.given_up);
    }

    /// Returns whether any witness binds this router.
    pub fn any_binds(&self) -> bool {
        self.all.iter().any(WitnessState::binds)
    }

    /// Returns the limit that all binding witnesses acknowledged, in tokens.
    pub fn spend_limit(&self, account: &str) -> u64 {
        let binding = self.all.iter().filter(|w| w.binds());
        let limits = binding.map(|w| w.limits.get(account).copied().unwrap_or_default());
        limits.min().unwrap_or_default()
    }

    /// Returns the least limit that a witness which is reported to acknowledged, in tokens.
    pub fn least_limit(&self, account: &str) -> u64 {
        let reachable = self.all.iter().filter(|w| !w.given_up);
        let limits = reachable.map(|w| w.limits.get(account).copied().unwrap_or_default());
        limits.min().unwrap_or_default()
    }

    /// Returns whether all binding witnesses are still reported to.
    pub fn all_answer(&self) -> bool {
        self.all.iter().filter(|w| w.binds()).all(|w| !w.given_up)
    }

    fn find(&mut self, id: WitnessId) -> Option<&mut WitnessState> {
        self.all.iter_mut().find(|w| w.id == id)
    }
}

impl WitnessState {
    /// Returns whether a successor may rely on this witness, so that the router has to stay within
    /// the limits that it acknowledged.
    fn binds(&self) -> bool {
        self.named && !self.expired
    }
}
