//! How far shares may be spent, by the age of the last write and by what witnesses acknowledged.

use super::ShareHolder;
use crate::prepaid::account_share::AccountShare;
use crate::prepaid::witness_set::WitnessSet;
use crate::prepaid::{Stamp, WitnessId, WitnessReceipt, WitnessReport};

impl ShareHolder {
    /// Unseals shares by the age of the last write that may have reached the store, as far as no
    /// witness binds this process.
    ///
    /// Returns whether the sealed parts are fully open.
    pub fn unseal(&mut self, now: Stamp) -> bool {
        let Some(sent) = self.last_sent else {
            return false;
        };
        // If the two clocks disagree, the one that shows more elapsed time is the one not to trust.
        // A successor trusts neither then, so waiting loses nothing.
        let age_ms = now.since_boot.saturating_sub(sent.since_boot);
        self.age_ms = self.age_ms.max(age_ms);
        self.witnesses
            .advance(now.since_boot, self.config.witness_timeout_ms);
        self.age_ms >= self.config.opening.end_ms() && !self.witnesses.any_binds()
    }

    /// Returns the limit up to which an account's share may be spent now, in tokens.
    pub(super) fn spend_limit(&self, account: &str) -> u64 {
        let account_share = self.accounts.get(account).copied().unwrap_or_default();
        let unsealed = account_share.limit_at_age(self.age_ms, &self.config);
        if !self.witnesses.any_binds() {
            return unsealed;
        }
        account_share
            .open_limit
            .max(unsealed.min(self.witnesses.spend_limit(account)))
    }

    /// Returns whether a report to the witnesses may make room for a request of `max_cost` tokens.
    pub fn is_awaiting_witnesses(&self, account: &str, max_cost: u64) -> bool {
        let account_share = self.accounts.get(account).copied().unwrap_or_default();
        let unsealed = account_share.limit_at_age(self.age_ms, &self.config);
        let is_bound = self.spend_limit(account) < unsealed && self.witnesses.all_answer();
        is_bound && account_share.spendable(unsealed) >= max_cost
    }

    /// Returns the time until enough of the sealed part opens for `max_cost` tokens, in
    /// milliseconds, if the store stays unreachable.
    pub fn unseals_in_ms(&self, account: &str, max_cost: u64) -> Option<u64> {
        let account_share = self.accounts.get(account)?;
        let unseals_at_ms = account_share.unseals_at_ms(max_cost, &self.config)?;
        Some(unseals_at_ms.saturating_sub(self.age_ms))
    }

    /// Returns the witnesses of this process.
    pub fn witnesses(&mut self) -> &mut WitnessSet {
        &mut self.witnesses
    }

    /// Composes a report to the witnesses, without the last receipt of each.
    ///
    /// No limits beyond the open parts are requested while the store answers.
    pub fn compose_report(&self, now_ms: u64, now: Stamp) -> WitnessReport {
        let sent = self.last_sent.map_or(now.since_boot, |s| s.since_boot);
        let is_out_of_contact =
            now.since_boot.saturating_sub(sent) >= self.config.out_of_contact_ms;
        let requesting = self
            .accounts
            .iter()
            .filter(|(_, a)| is_out_of_contact && a.is_initialized);
        let limit = |a: &AccountShare| a.requested_limit(now_ms, &self.config);
        WitnessReport {
            holder: self.id.clone(),
            process: self.process,
            spend_limits: requesting
                .map(|(name, a)| (name.clone(), limit(a)))
                .collect(),
            last_receipt: None,
        }
    }

    /// Adds a witness that answered the first report of this process, which was sent at `sent`.
    pub fn add_witness(&mut self, id: WitnessId, receipt: WitnessReceipt, sent: Stamp) {
        self.witnesses.add(id, receipt, sent.since_boot);
    }
}
