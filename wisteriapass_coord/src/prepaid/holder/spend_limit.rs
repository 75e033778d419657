//! How far shares may be spent, by the age of the last write and by what witnesses acknowledged.

use super::ShareHolder;
use crate::prepaid::witness_set::WitnessSet;
use crate::prepaid::{Inquiry, InquiryAnswer, Stamp, WitnessId, WitnessReceipt, WitnessReport};

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

    /// Returns the limit up to which an account's share may be spent if requests wait for receipts,
    /// in tokens. Receipts that do not come raise no limit.
    pub(super) fn limit_with_receipts(&self, account: &str) -> u64 {
        if self.witnesses.any_binds() && !self.witnesses.all_answer() {
            return self.spend_limit(account);
        }
        let account_share = self.accounts.get(account).copied().unwrap_or_default();
        account_share.limit_at_age(self.age_ms, &self.config)
    }

    /// Returns whether a report to the witnesses may make room for a request of `max_cost` tokens.
    pub fn is_awaiting_witnesses(&self, account: &str, max_cost: u64) -> bool {
        let account_share = self.accounts.get(account).copied().unwrap_or_default();
        let unsealed = account_share.limit_at_age(self.age_ms, &self.config);
        let is_bound = self.spend_limit(account) < unsealed && self.witnesses.all_answer();
        is_bound && account_share.spendable(unsealed) >= max_cost
    }

    /// Returns whether a report to the witnesses may make room for a loan of `tokens` that is not
    /// available yet.
    pub fn is_loan_awaiting_witnesses(&self, account: &str, tokens: u64) -> bool {
        let account_share = self.accounts.get(account).copied().unwrap_or_default();
        let is_available = account_share.spendable(self.spend_limit(account)) >= tokens;
        !is_available && self.is_awaiting_witnesses(account, tokens)
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

    /// Returns whether a report is due before the next regular one: requests are about to need more
    /// than the witnesses acknowledged.
    pub fn is_report_due(&self, now_ms: u64, now: Stamp, account: &str) -> bool {
        let Some(account_share) = self.accounts.get(account) else {
            return false;
        };
        let limit = self.spend_limit(account);
        let is_bound = limit < account_share.limit_at_age(self.age_ms, &self.config);
        is_bound
            && self.witnesses.all_answer()
            && account_share.is_headroom_low(
                now_ms,
                self.total(account),
                limit,
                self.in_contact(now),
                &self.config,
            )
    }

    /// Notes that a request waits for the receipts of witnesses; the next report covers it.
    pub fn begin_receipt_wait(&mut self, account: &str, max_cost: u64) {
        let account_share = self.accounts.entry(account.to_owned()).or_default();
        account_share.awaiting_receipts += max_cost;
    }

    /// Notes the end of such a wait.
    pub fn end_receipt_wait(&mut self, account: &str, max_cost: u64) {
        if let Some(account_share) = self.accounts.get_mut(account) {
            let waiting = account_share.awaiting_receipts;
            account_share.awaiting_receipts = waiting.saturating_sub(max_cost);
        }
    }

    /// Composes a report to the witnesses, without the last receipt of each.
    ///
    /// It contains the limits that raise what some witness acknowledged and what may be spent
    /// without receipts.
    pub fn compose_report(&self, now_ms: u64, now: Stamp) -> WitnessReport {
        let in_contact = self.in_contact(now);
        let accounts = self.accounts.iter().filter(|(_, a)| a.is_initialized);
        let limits = accounts.filter_map(|(name, a)| {
            let limit = a.requested_limit(now_ms, self.total(name), in_contact, &self.config);
            let is_news = limit > a.open_limit.max(self.witnesses.least_limit(name));
            is_news.then(|| (name.clone(), limit))
        });
        WitnessReport {
            holder: self.id.clone(),
            process: self.process,
            spend_limits: limits.collect(),
            last_receipt: None,
        }
    }

    /// Returns whether the last write that may have reached the store is recent.
    fn in_contact(&self, now: Stamp) -> bool {
        let sent = self.last_sent.map_or(now.since_boot, |s| s.since_boot);
        now.since_boot.saturating_sub(sent) < self.config.out_of_contact_ms
    }

    /// Returns the inquiries that tell whether witnesses which no longer answer are dead. They are
    /// not reports: these would renew what a witness knows.
    pub fn probes(&self) -> Vec<(WitnessId, Inquiry)> {
        let probe = |id: WitnessId| Inquiry {
            witness: id.process,
            holder: self.id.clone(),
            process: self.process,
        };
        let silent = self.witnesses.silent().into_iter();
        silent.map(|id| (id, probe(id))).collect()
    }

    /// Applies what the process at the address of a silent witness answered to a probe. A witness
    /// that is bound to this process knows it, so any other answer is that of another process.
    pub fn note_probe(&mut self, id: WitnessId, answer: Option<&InquiryAnswer>) {
        if answer.is_none() {
            self.witnesses.note_gone(id);
        }
    }

    /// Adds a witness that answered the first report of this process, which was sent at `sent`.
    pub fn add_witness(&mut self, id: WitnessId, receipt: WitnessReceipt, sent: Stamp) {
        self.witnesses.add(id, receipt, sent.since_boot);
    }
}
