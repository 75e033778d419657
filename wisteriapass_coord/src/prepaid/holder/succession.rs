//! Takes over the shares of a dead predecessor on the same VM.

use std::collections::BTreeMap;

use super::ShareHolder;
use crate::prepaid::stamp::CLOCK_TOLERANCE_MS;
use crate::prepaid::{
    HolderEntry, Inquiry, InquiryAnswer, ShareRecord, Stamp, SuccessionProof, WitnessId,
};

impl ShareHolder {
    /// Returns the inquiries to send to the witnesses of a dead predecessor, if it has any.
    pub fn inquiries(&self, record: &ShareRecord) -> Vec<(WitnessId, Inquiry)> {
        let before = record.holder_entry(&self.id);
        let Some(before) = before.filter(|e| e.process != self.process) else {
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

    /// Processes a witness's answer to an inquiry that was sent at `asked`.
    ///
    /// Each trusted answer bounds by itself what the predecessor can have spent, so the lowest limits
    /// count. An account that is missing in one of them was not spent beyond its open part.
    ///
    /// The answer is trusted only if, when this process started, the predecessor cannot have been
    /// silent for so long that the witness no longer bound it. Returns whether it is trusted.
    pub fn accept_answer(&mut self, process: u64, answer: InquiryAnswer, asked: Stamp) -> bool {
        let up_ms = asked.since_boot.saturating_sub(self.started.since_boot);
        let silent_ms = answer.silent_ms.saturating_sub(up_ms) + CLOCK_TOLERANCE_MS;
        if silent_ms >= self.config.witness_timeout_ms {
            return false;
        }
        let known = self.witness_limits.take().filter(|(of, _)| *of == process);
        let limits = match known {
            None => answer.spend_limits,
            Some((_, known)) => lower_limits(&known, &answer.spend_limits),
        };
        self.witness_limits = Some((process, limits));
        true
    }

    /// Takes over the shares of a dead predecessor.
    pub(super) fn take_over(&mut self, before: HolderEntry, next: &mut ShareRecord) {
        let age_ms = self.started.since(before.stamp);
        let by_time_of_day = self.started.since_by_time_of_day(before.stamp);
        self.silent_ms = age_ms.or(by_time_of_day);
        // Two readings of the time of day can each be off by the tolerance within which clocks
        // agree.
        let by_time_of_day = by_time_of_day.map(|ms| ms + 2 * CLOCK_TOLERANCE_MS);
        let by_time_of_day = by_time_of_day.filter(|_| before.agreed && age_ms.is_none());
        let unsealed_at = |age: Option<u64>, sealed| {
            let unsealed = age.map(|ms| before.opening.unsealed(sealed, ms));
            unsealed.unwrap_or(sealed)
        };
        let answer = self.witness_limits.as_ref();
        let answer = answer.filter(|(process, _)| *process == before.process);
        self.proof = Some(match (age_ms, answer, by_time_of_day) {
            (_, Some(_), _) => SuccessionProof::Witness,
            (Some(_), ..) => SuccessionProof::Seal,
            (None, None, Some(_)) => SuccessionProof::TimeOfDay,
            (None, None, None) => SuccessionProof::Nothing,
        });
        self.recoverable.clear();
        let mut recoverable = BTreeMap::new();
        for (account, sealed) in next.sealed(&self.id) {
            recoverable.insert(account, sealed - unsealed_at(by_time_of_day, sealed));
        }
        if answer.is_none() && by_time_of_day.is_some() {
            self.recoverable = recoverable;
        }
        next.take_over(&self.id, |account, share| {
            let unsealed = unsealed_at(age_ms, share.sealed);
            let Some((_, limits)) = answer else {
                return unsealed;
            };
            let open = share.granted - share.sealed.min(share.granted);
            let limit = limits.get(account).copied().unwrap_or_default();
            unsealed.min(limit.saturating_sub(open))
        });
    }

    /// Recovers sealed parts after a power loss, once the time of day is confirmed.
    pub(super) fn recover_sealed(&mut self) {
        for (name, a) in self.accounts.iter_mut().filter(|(_, a)| a.is_initialized) {
            let recovered = self.recoverable.remove(name).unwrap_or_default();
            a.lost = a.lost.saturating_sub(recovered);
        }
    }

    /// Returns the evidence for the succession to a dead predecessor, if there was one.
    pub fn proof(&self) -> Option<SuccessionProof> {
        self.proof
    }

    /// Returns the time from the predecessor's last write to the start of this process, in
    /// milliseconds, as far as a clock tells.
    pub fn silent_ms(&self) -> Option<u64> {
        self.silent_ms
    }

    /// Returns what predecessors on this VM may have spent, in tokens, for the accounts where this
    /// is not zero. How much of it they really spent is unknown.
    pub fn losses(&self) -> impl Iterator<Item = (&str, u64)> {
        let lost = self.accounts.iter().filter(|(_, a)| a.lost > 0);
        lost.map(|(name, a)| (name.as_str(), a.lost))
    }
}

/// Returns the lower limit of each account that both answers contain.
fn lower_limits(a: &BTreeMap<String, u64>, b: &BTreeMap<String, u64>) -> BTreeMap<String, u64> {
    let lower = a.iter().filter_map(|(name, limit)| {
        let other = b.get(name)?;
        Some((name.clone(), *limit.min(other)))
    });
    lower.collect()
}
