//! Taking over the shares of a dead predecessor on the same VM.

use std::collections::BTreeMap;

use super::ShareHolder;
use crate::prepaid::stamp::AGREE_MS;
use crate::prepaid::{HolderEntry, Inquiry, InquiryAnswer, Proof, ShareRecord, Stamp, WitnessId};

impl ShareHolder {
    /// Returns what to ask the witnesses of a dead predecessor for, if there are any.
    pub fn inquiries(&self, record: &ShareRecord) -> Vec<(WitnessId, Inquiry)> {
        let before = record.holder_entry(&self.id);
        let Some(before) = before.filter(|t| t.process != self.process) else {
            return Vec::new();
        };
        let inquiry = |id: WitnessId| Inquiry {
            witness: id.process,
            holder: self.id.clone(),
            process: before.process,
        };
        let named = before.witnesses.into_iter().flatten();
        named.map(|id| (id, inquiry(id))).collect()
    }

    /// Takes what a witness says of a predecessor's process to a question sent at `asked`.
    ///
    /// Believed only if at this process's start the predecessor cannot have been silent for so
    /// long that the witness bound it no more; returns whether it is.
    pub fn accept_answer(&mut self, process: u64, testimony: InquiryAnswer, asked: Stamp) -> bool {
        let up_ms = asked.since_boot.saturating_sub(self.started.since_boot);
        let silent_ms = testimony.silent_ms.saturating_sub(up_ms) + AGREE_MS;
        if silent_ms >= self.sizes.witness_timeout_ms {
            return false;
        }
        self.testimony = Some((process, testimony.spend_limits));
        true
    }

    /// Takes the shares of a dead predecessor over.
    pub(super) fn succeed(&mut self, before: HolderEntry, next: &mut ShareRecord) {
        let sizes = self.sizes;
        let age_ms = self.started.since(before.stamp);
        // Two readings of the time of day may each be off by what still counts as agreement.
        let by_day = self.started.since_by_day(before.stamp);
        let by_day = by_day.map(|ms| ms + 2 * AGREE_MS);
        let by_day = by_day.filter(|_| before.agreed && age_ms.is_none());
        let opened_at = |age: Option<u64>, sealed| {
            let opened = age.map(|ms| sizes.unsealed(sealed, ms));
            opened.unwrap_or(sealed)
        };
        let known = self.testimony.as_ref();
        let known = known.filter(|(process, _)| *process == before.process);
        self.proof = Some(match (age_ms, known, by_day) {
            (_, Some(_), _) => Proof::Witness,
            (Some(_), ..) => Proof::Seal,
            (None, None, Some(_)) => Proof::TimeOfDay,
            (None, None, None) => Proof::Nothing,
        });
        self.claims.clear();
        let mut claims = BTreeMap::new();
        for (account, sealed) in next.sealed(&self.id) {
            claims.insert(account, sealed - opened_at(by_day, sealed));
        }
        if known.is_none() && by_day.is_some() {
            self.claims = claims;
        }
        next.take_over(&self.id, |account, share| {
            let opened = opened_at(age_ms, share.sealed);
            let Some((_, levels)) = known else {
                return opened;
            };
            let open = share.granted - share.sealed.min(share.granted);
            let level = levels.get(account).copied().unwrap_or_default();
            opened.min(level.saturating_sub(open))
        });
    }

    /// Gets sealed parts back after a loss of power, once the time of day is confirmed.
    pub(super) fn claim(&mut self) {
        for (name, a) in self.accounts.iter_mut().filter(|(_, a)| a.has_base) {
            let claim = self.claims.remove(name).unwrap_or_default();
            a.lost = a.lost.saturating_sub(claim);
        }
    }

    /// Returns what the succession to a dead predecessor rests on, if there was one.
    pub fn proof(&self) -> Option<Proof> {
        self.proof
    }

    /// Returns what predecessors on this VM may have spent and nobody knows, in tokens, of accounts
    /// that lost any.
    pub fn losses(&self) -> impl Iterator<Item = (&str, u64)> {
        let lost = self.accounts.iter().filter(|(_, a)| a.lost > 0);
        lost.map(|(name, a)| (name.as_str(), a.lost))
    }
}
