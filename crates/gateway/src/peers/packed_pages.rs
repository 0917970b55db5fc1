//! Pages of changes as they are told packed, each gathered once for all who ask for it.
//!
//! After all daemons of a large group were killed each member asks for the same pages: gathered for each of them anew they
//! would take the reader's processor longer than its link.

use std::collections::HashMap;
use std::rc::Rc;

use super::change_log::{ChangeLog, LogPage};
use super::message::{Ask, MAX_DATAGRAM_BYTES};
use super::packed::{PackedReplicas, PackedSize};

/// The size of a page of changes, in bytes, beside the rest of an answer.
pub(super) const PAGE_BYTES: usize = MAX_DATAGRAM_BYTES - 350;

/// Pages that are kept, about 1 kB each; a transfer of 10,000 replicas takes some 200.
const MOST_PAGES: usize = 256;

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
    log: u64,
    sequence: u64,
    pages: HashMap<u64, Rc<PackedPage>>,
}

impl PackedPages {
    /// The page of `log` that answers the question; nothing where the asking daemon has every item already.
    pub fn page(&mut self, log: &ChangeLog, question: &Ask) -> Option<Rc<PackedPage>> {
        let after = log.known_to(question)?;
        if (self.log, self.sequence) != (log.id(), log.sequence()) {
            (self.log, self.sequence) = (log.id(), log.sequence());
            self.pages.clear();
        }
        if let Some(known) = self.pages.get(&after) {
            return Some(Rc::clone(known));
        }
        let page = Rc::new(pack(log, after));
        if self.pages.len() < MOST_PAGES {
            self.pages.insert(after, Rc::clone(&page));
        }
        Some(page)
    }
}

fn pack(log: &ChangeLog, after: u64) -> PackedPage {
    let mut size = PackedSize::new(PAGE_BYTES);
    let mut page = log.page_after(after, |change| size.fits(change));
    let packed = PackedReplicas::take_from(&mut page.changes);
    PackedPage { page, packed }
}
