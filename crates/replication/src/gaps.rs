//! Stretches of revisions that a replica crossed by a list instead of single changes.

use driftspring_types::Revision;
use musli::{Decode, Encode};

/// A stretch of revisions that was crossed by a list of the store.
///
/// A list shows no objects that were both created and deleted since the last known revision, so a
/// replica that crossed from `from` to `to` by a list cannot tell a peer which stands in between
/// what was deleted. It answers such a peer from `from` on, and the peer drops what the answer lacks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct ListGap {
    /// The revision up to which everything was known before the list.
    pub from: Revision,
    /// The revision of the list.
    pub to: Revision,
}

/// The list gaps of one replica, oldest first.
#[derive(Debug, Clone, Default)]
pub(crate) struct ListGaps {
    gaps: Vec<ListGap>,
}

/// Above this number the two oldest gaps are joined, which is safe: it only enlarges answers.
const MAX_GAPS: usize = 8;

impl ListGaps {
    /// Notes a gap; empty ones are left out.
    pub(crate) fn add(&mut self, gap: ListGap) {
        if gap.from >= gap.to {
            return;
        }
        self.gaps.push(gap);
        self.normalise();
    }

    /// The revision from which a peer that holds everything up to `since` must be answered.
    pub(crate) fn base_for(&self, since: Revision) -> Revision {
        let around = self
            .gaps
            .iter()
            .find(|gap| gap.from < since && since < gap.to);
        around.map_or(since, |gap| gap.from)
    }

    /// The gaps that reach above `base`.
    pub(crate) fn above(&self, base: Revision) -> Vec<ListGap> {
        self.gaps
            .iter()
            .filter(|gap| gap.to > base)
            .copied()
            .collect()
    }

    /// The end of the newest gap, 0 where there is none.
    pub(crate) fn newest_end(&self) -> Revision {
        self.gaps.last().map_or(Revision(0), |gap| gap.to)
    }

    /// Sorts the gaps, joins those that overlap, and bounds their number.
    fn normalise(&mut self) {
        self.gaps.sort_by_key(|gap| gap.from);
        let mut joined: Vec<ListGap> = Vec::with_capacity(self.gaps.len());
        for gap in self.gaps.drain(..) {
            match joined.last_mut() {
                Some(last) if gap.from < last.to => last.to = last.to.max(gap.to),
                _ => joined.push(gap),
            }
        }
        while joined.len() > MAX_GAPS {
            let oldest = joined.remove(0);
            joined[0].from = oldest.from;
        }
        self.gaps = joined;
    }
}
