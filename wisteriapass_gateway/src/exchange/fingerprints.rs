//! Fingerprints of a request, by which the quarantine knows it.

use smallvec::SmallVec;
use wisteriapass_coord::quarantine::Fingerprint;

use super::attempt::ProxiedRequest;
use super::plan::host;
use crate::metadata::PrefixPart;

/// Maximum number of prompt parts of a request that are considered.
const MAX_PARTS: usize = 32;

impl ProxiedRequest {
    /// Returns the fingerprint of the whole, which is the same for equal requests.
    pub fn fingerprint(&self) -> Fingerprint {
        self.fingerprints()[0]
    }

    /// Returns all fingerprints: that of the whole, then those of the parts of the prompt that other
    /// requests may share.
    pub fn fingerprints(&self) -> &[Fingerprint] {
        self.fingerprints.get_or_init(|| {
            let mut all = SmallVec::from_slice(&[self.whole_fingerprint()]);
            for part in self.metadata.shared_parts().iter().take(MAX_PARTS) {
                let fingerprint = self.part_fingerprint(part);
                if !all.contains(&fingerprint) {
                    all.push(fingerprint);
                }
            }
            all
        })
    }

    fn part_fingerprint(&self, part: &PrefixPart) -> Fingerprint {
        Fingerprint::of_prompt_part(&self.plan.service, part.id)
    }

    fn whole_fingerprint(&self) -> Fingerprint {
        let outgoing = &self.outgoing;
        let host = host(&outgoing.headers, &outgoing.uri);
        let path = outgoing.uri.path_and_query();
        let path = path.map_or("", |path| path.as_str());
        let account = self.plan.account_name();
        Fingerprint::new(
            outgoing.method.as_str(),
            &host,
            path,
            account,
            &outgoing.body,
        )
    }

    /// Returns the id of the prompt part with a fingerprint for logs; `-` for that of the whole.
    pub(super) fn part_text(&self, fingerprint: &Fingerprint) -> String {
        let parts = self.metadata.shared_parts();
        let part = parts
            .iter()
            .find(|part| self.part_fingerprint(part) == *fingerprint);
        part.map_or_else(|| "-".into(), |part| format!("{:x}", part.id))
    }
}
