//! How far shares may be spent: by the age of the last write, and by what witnesses acknowledge.

use super::ShareHolder;
use crate::prepaid::account_share::AccountShare;
use crate::prepaid::witness_set::WitnessSet;
use crate::prepaid::{Receipt, Stamp, WitnessId, WitnessReport};

impl ShareHolder {
    /// Opens the sealed parts by the age of the last write that may have reached the service, and
    /// as far as no witness binds this process.
    ///
    /// Returns whether they are open whole.
    pub fn unseal(&mut self, now: Stamp) -> bool {
        let Some(sent) = self.last_sent else {
            return false;
        };
        // Of two clocks that disagree, the one by which more time passed is the one not to
        // believe: a successor believes neither, so nothing is lost by waiting.
        let age_ms = now.since_boot.saturating_sub(sent.since_boot);
        self.age_ms = self.age_ms.max(age_ms);
        self.witnesses
            .advance(now.since_boot, self.sizes.witness_timeout_ms);
        self.age_ms >= self.sizes.seal_ms && !self.witnesses.any_binds()
    }

    /// Returns up to which level an account's share may be spent now, in tokens.
    pub(super) fn level(&self, account: &str) -> u64 {
        let share = self.accounts.get(account).copied().unwrap_or_default();
        let aged = share.aged(self.age_ms, &self.sizes);
        if !self.witnesses.any_binds() {
            return aged;
        }
        share
            .open
            .max(aged.min(self.witnesses.spend_limit(account)))
    }

    /// Returns whether a report to the witnesses may make room for `most` tokens.
    pub fn is_awaiting_witnesses(&self, account: &str, most: u64) -> bool {
        let share = self.accounts.get(account).copied().unwrap_or_default();
        let aged = share.aged(self.age_ms, &self.sizes);
        let is_bound = self.level(account) < aged && self.witnesses.all_answer();
        is_bound && share.spendable(aged) >= most
    }

    /// Returns in what time enough of a sealed part opens for `most` tokens, in milliseconds, if
    /// the service stays away.
    pub fn unseals_in_ms(&self, account: &str, most: u64) -> Option<u64> {
        let share = self.accounts.get(account)?;
        let fits = share.spendable(share.share.granted) >= most;
        fits.then(|| self.sizes.seal_ms.saturating_sub(self.age_ms))
    }

    /// Returns the witnesses of this process.
    pub fn witnesses(&mut self) -> &mut WitnessSet {
        &mut self.witnesses
    }

    /// Composes what the witnesses are told, but for their last receipts.
    ///
    /// While the service answers nothing beyond the open parts is asked for.
    pub fn compose_report(&self, now_ms: u64, now: Stamp) -> WitnessReport {
        let sent = self.last_sent.map_or(now.since_boot, |s| s.since_boot);
        let soon = now.since_boot.saturating_sub(sent) >= self.sizes.seal_ms / 2;
        let asking = self.accounts.iter().filter(|(_, a)| soon && a.has_base);
        let level = |a: &AccountShare| a.level(now_ms, &self.sizes);
        WitnessReport {
            holder: self.id.clone(),
            process: self.process,
            spend_limits: asking.map(|(name, a)| (name.clone(), level(a))).collect(),
            last_receipt: None,
        }
    }

    /// Takes on a witness that answered this process's first report, sent at `sent`.
    pub fn add_witness(&mut self, id: WitnessId, receipt: Receipt, sent: Stamp) {
        self.witnesses.add(id, receipt, sent.since_boot);
    }
}
