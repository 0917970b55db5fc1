//! A daemon's place among the owners of each engine, kept between changes of the membership.
//!
//! Finding the owners of 600 engines among 380 members takes some milliseconds; a daemon asks ten
//! times a second.

use std::collections::HashMap;

use driftspring_types::{DaemonId, EngineId, EngineRecord, MemberRecord, ZoneName};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::rendezvous::{engine_owners, may_hold_duties};

/// Places among the owners, by engine.
#[derive(Debug, Clone, Default)]
pub struct OwnershipCache {
    eligible: u64,
    places: HashMap<EngineId, (ZoneName, Option<usize>)>,
}

impl OwnershipCache {
    /// Takes in the members as now known; forgets the places where other members may hold duties.
    pub fn update(&mut self, members: &[MemberRecord]) {
        let eligible = digest_of_eligible(members);
        if eligible != self.eligible {
            self.eligible = eligible;
            self.places.clear();
        }
    }

    /// The place of `own` among the owners of `engine`, 0 for the first; nothing where it is none.
    /// `members` must be those of the last [`Self::update`].
    pub fn place(
        &mut self,
        members: &[MemberRecord],
        own: &DaemonId,
        engine: &EngineRecord,
    ) -> Option<usize> {
        if let Some((zone, place)) = self.places.get(&engine.id)
            && *zone == engine.zone
        {
            return *place;
        }
        let owners = engine_owners(members, &engine.id, &engine.zone);
        let place = owners.iter().position(|owner| owner == own);
        self.places
            .insert(engine.id.clone(), (engine.zone.clone(), place));
        place
    }
}

/// A digest of the members that may hold duties, and of their zones, in any order.
fn digest_of_eligible(members: &[MemberRecord]) -> u64 {
    members
        .iter()
        .filter(|member| may_hold_duties(member))
        .map(|member| {
            let zone = xxh3_64_with_seed(member.zone.as_str().as_bytes(), 0);
            xxh3_64_with_seed(member.id.as_str().as_bytes(), zone)
        })
        .fold(1, u64::wrapping_add)
}
