//! Which zones can be reached, judged by the whole own zone.
//!
//! Only members of a zone declare each other dead. Whether another zone can be reached at all is
//! judged by when anyone of the own zone last heard from it, which spreads within the zone in
//! every datagram. So a zone that is cut off costs no storm of suspicions, neither when the cut
//! comes nor when it heals.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::message::Section;
use crate::rows::ZoneContact;
use crate::tag::ZoneTag;

/// The last contact with each other zone.
#[derive(Debug, Clone)]
pub struct ZoneContacts {
    own: ZoneTag,
    heard_at: BTreeMap<ZoneTag, Duration>,
}

impl ZoneContacts {
    /// No contact yet, for a daemon of the zone `own`.
    pub fn new(own: ZoneTag) -> Self {
        Self {
            own,
            heard_at: BTreeMap::new(),
        }
    }

    /// Notes that `zone` was heard from at `at`.
    pub fn heard(&mut self, zone: ZoneTag, at: Duration) {
        if zone == self.own {
            return;
        }
        let known = self.heard_at.entry(zone).or_insert(at);
        *known = (*known).max(at);
    }

    /// Notes that a member of `zone` became known at `at`; counts as a contact where there was none.
    pub fn heard_of(&mut self, zone: ZoneTag, at: Duration) {
        if zone != self.own {
            self.heard_at.entry(zone).or_insert(at);
        }
    }

    /// Whether `zone` was heard from within `silence`. A zone of which only the members' records
    /// are known counts as heard from when it became known.
    pub fn is_reachable(&self, now: Duration, zone: ZoneTag, silence: Duration) -> bool {
        zone == self.own
            || self
                .heard_at
                .get(&zone)
                .is_some_and(|at| now.saturating_sub(*at) <= silence)
    }

    /// The zone that was not heard from for the longest time, if that is longer than `age`.
    pub fn stalest(&self, now: Duration, age: Duration) -> Option<ZoneTag> {
        let (zone, heard_at) = self
            .heard_at
            .iter()
            .min_by_key(|(_, heard_at)| **heard_at)?;
        (now.saturating_sub(*heard_at) > age).then_some(*zone)
    }

    /// Writes the contacts for a peer of the own zone.
    pub fn write(&self, now: Duration, section: &mut Section, limit: usize) {
        for (zone, heard_at) in &self.heard_at {
            // Rounded up, so that a contact never looks younger after many hops.
            let age_tenths = now.saturating_sub(*heard_at).as_millis().div_ceil(100);
            let contact = ZoneContact {
                zone: *zone,
                age_tenths: u16::try_from(age_tenths).unwrap_or(u16::MAX),
            };
            if !section.push(&contact, limit) {
                return;
            }
        }
    }

    /// Merges the contacts of a peer of the own zone.
    pub fn merge(&mut self, now: Duration, contacts: &[ZoneContact]) {
        for contact in contacts {
            let age = Duration::from_millis(u64::from(contact.age_tenths) * 100);
            if contact.age_tenths < u16::MAX {
                self.heard(contact.zone, now.saturating_sub(age));
            }
        }
    }

    /// Moves all times on by `pause`, during which this process did not run.
    pub fn skip_pause(&mut self, pause: Duration) {
        for heard_at in self.heard_at.values_mut() {
            *heard_at += pause;
        }
    }
}
