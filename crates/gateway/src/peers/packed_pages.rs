//! A cache of packed pages of changes, each built once for all gateways that query it.
//!
//! After all gateways of a large group were killed, each member queries the same pages: building them for each member
//! would keep the reader's processor busy for longer than its link.

use std::collections::HashMap;
use std::rc::Rc;

use super::change_log::{ChangeLog, LogPage};
use super::message::{MAX_DATAGRAM_BYTES, SyncQuery};
use super::packed::{PackedPageSize, PackedReplicas};

/// The space for a page of changes in a datagram, in bytes; the remaining bytes are for the rest of the reply.
pub(super) const PAGE_BYTES: usize = MAX_DATAGRAM_BYTES - 350;

/// The maximum number of cached pages, about 1 kB each; a transfer of 10,000 replicas takes about 200.
const MAX_PAGES: usize = 256;

/// A page of changes, packed.
#[derive(Debug)]
pub struct PackedPage {
    /// The page with only the changes that can't be packed.
    pub page: LogPage,
    /// The packed replicas.
    pub packed: PackedReplicas,
}

/// The queried pages of the latest state of a log.
#[derive(Debug, Default)]
pub struct PackedPages {
    log_id: u64,
    sequence: u64,
    pages: HashMap<u64, Rc<PackedPage>>,
}

impl PackedPages {
    /// The page of `log` for the query, or `None` if the querying gateway already has every item.
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
