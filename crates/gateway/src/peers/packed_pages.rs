//! Pages of changes as they are told packed, each gathered once for all who ask for it.
//!
//! After all daemons of a large group were killed each member asks for the same pages: gathered for each of them anew they
//! would take the reader's processor longer than its link.

use std::collections::HashMap;
use std::rc::Rc;

use super::change_log::{ChangeLog, LogPage};
use super::message::{MAX_DATAGRAM_BYTES, SyncQuery};
use super::packed::{PackedPageSize, PackedReplicas};

/// The size of a page of changes, in bytes, beside the rest of an answer.
pub(super) const PAGE_BYTES: usize = MAX_DATAGRAM_BYTES - 350;

/// Pages that are kept, about 1 kB each; a transfer of 10,000 replicas takes some 200.
const MAX_PAGES: usize = 256;

/// A page of changes, packed.
#[derive(Debug)]
pub struct PackedPage {
    /// The page, with those changes only that can't be packed.
    pub page: LogPage,
    /// The others.
    pub packed: PackedReplicas,
}

/// The pages of the last state of a log that were asked for.
#[derive(Debug, Default)]
pub struct PackedPages {
    log_id: u64,
    sequence: u64,
    pages: HashMap<u64, Rc<PackedPage>>,
}

impl PackedPages {
    /// The page of `log` that answers the question; nothing where the asking daemon has every item already.
    pub fn page(&mut self, log: &ChangeLog, query: &SyncQuery) -> Option<Rc<PackedPage>> {
        let after = log.sequence_known_to(query)?;
        if (self.log_id, self.sequence) != (log.id(), log.sequence()) {
            (self.log_id, self.sequence) = (log.id(), log.sequence());
            self.pages.clear();
        }
        if let Some(known) = self.pages.get(&after) {
            return Some(Rc::clone(known));
        }
        let page = Rc::new(pack(log, after));
        if self.pages.len() < MAX_PAGES {
            self.pages.insert(after, Rc::clone(&page));
        }
        Some(page)
    }
}

fn pack(log: &ChangeLog, after: u64) -> PackedPage {
    let mut size = PackedPageSize::new(PAGE_BYTES);
    let mut page = log.page_after(after, |change| size.fits(change));
    let packed = PackedReplicas::take_replicas(&mut page.changes);
    PackedPage { page, packed }
}
