//! The gossip state machine of one daemon: probes, suspicion, news and comparison of full state.
//!
//! The driver calls [`Membership::tick`] about ten times a second and [`Membership::receive`] for
//! each datagram, and carries out the [`Action`]s. `now` is the time since any fixed origin of the
//! driver's monotonic clock. The same seed and calls give the same actions.

mod beliefs;
mod comparison;
mod inbound;
mod outbound;
mod probing;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use driftspring_types::{
    DaemonId, EngineHealth, EngineId, EngineRecord, Incarnation, MemberRecord, MemberState,
    Revision,
};
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::action::Action;
use crate::config::GossipConfig;
use crate::engine_table::{EngineMerge, EngineTable};
use crate::member_table::{MemberEntry, MemberMerge, MemberTable};
use crate::prober::Prober;
use crate::suspicion::Suspicion;
use crate::sync::SyncAllowance;
use crate::tag::{MemberTag, ZoneTag};
use crate::update_queue::UpdateQueue;
use crate::zone_contacts::ZoneContacts;

/// A gap between two ticks above which the process is taken to have been paused.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(2);

/// Gossip membership and engine table of one daemon.
#[derive(Debug, Clone)]
pub struct Membership {
    own: MemberRecord,
    own_zone: ZoneTag,
    config: GossipConfig,
    rng: StdRng,
    members: MemberTable,
    engines: EngineTable,
    zones: ZoneContacts,
    prober: Prober,
    suspicions: BTreeMap<DaemonId, Suspicion>,
    /// News of members.
    news: UpdateQueue<DaemonId>,
    /// The lives among them of which the whole record has to travel.
    whole_records: BTreeMap<DaemonId, MemberTag>,
    /// Members of whom the sender of the present datagram believes something refuted.
    corrections: Vec<DaemonId>,
    contacts: Vec<SocketAddr>,
    notice: Vec<u8>,
    /// How often the notice is still to be passed on by itself.
    notice_transmissions_left: u32,
    allowance: SyncAllowance,
    started_at: Option<Duration>,
    last_tick: Duration,
    next_probe_at: Duration,
    next_news_at: Duration,
    next_reconnect_at: Duration,
    next_sync_at: Duration,
    /// Messages in a row whose digests differed from the own ones.
    differing_digests: u32,
    /// Messages in a row whose digests equalled the own ones.
    equal_digests: u32,
    /// Whether enough of them came in this life.
    is_settled: bool,
}

impl Membership {
    /// A daemon that knows only itself. `seed` determines all random choices.
    pub fn new(own: MemberRecord, config: GossipConfig, seed: u64) -> Self {
        let own_zone = ZoneTag::of(&own.zone);
        let mut members = MemberTable::default();
        members.store(Duration::ZERO, own.clone());
        let mut membership = Self {
            own_zone,
            rng: StdRng::seed_from_u64(seed),
            members,
            engines: EngineTable::new(own.zone.clone(), &config, seed as usize),
            zones: ZoneContacts::new(own_zone),
            prober: Prober::default(),
            suspicions: BTreeMap::new(),
            news: UpdateQueue::new(config.change_transmissions),
            whole_records: BTreeMap::new(),
            corrections: Vec::new(),
            contacts: Vec::new(),
            notice: Vec::new(),
            notice_transmissions_left: 0,
            allowance: SyncAllowance::new(&config),
            started_at: None,
            last_tick: Duration::ZERO,
            next_probe_at: Duration::ZERO,
            next_news_at: Duration::ZERO,
            next_reconnect_at: Duration::ZERO,
            next_sync_at: Duration::ZERO,
            differing_digests: 0,
            equal_digests: 0,
            is_settled: false,
            own,
            config,
        };
        membership.announce_whole_own_record();
        membership
    }

    /// The own record.
    pub fn own(&self) -> &MemberRecord {
        &self.own
    }

    /// The table of members.
    pub fn members(&self) -> &MemberTable {
        &self.members
    }

    /// The table of engines.
    pub fn engines(&self) -> &EngineTable {
        &self.engines
    }

    /// All members as this daemon should treat them: those of an unreachable zone count as dead.
    pub fn view(&self, now: Duration) -> Vec<MemberRecord> {
        let treated = |entry: &MemberEntry| {
            let mut record = entry.record.clone();
            if !self.is_zone_reachable(now, entry.zone) {
                record.state = MemberState::Dead;
            }
            record
        };
        self.members.iter().map(treated).collect()
    }

    /// Whether this daemon's zone has heard from `zone` lately.
    pub fn is_zone_reachable(&self, now: Duration, zone: ZoneTag) -> bool {
        self.zones.is_reachable(now, zone, self.config.zone_silence)
    }

    /// Replaces the addresses to try while few members are known: seeds and the machine list.
    pub fn set_contacts(&mut self, contacts: Vec<SocketAddr>) {
        self.contacts = contacts;
    }

    /// The replication notice that every datagram carries.
    pub fn notice(&self) -> &[u8] {
        &self.notice
    }

    /// Replaces the replication notice that every datagram carries; at most 100 bytes are sent.
    /// Where it `is_news`, it is also passed on without waiting for the next probes.
    pub fn set_notice(&mut self, notice: Vec<u8>, is_news: bool) {
        if is_news && notice != self.notice {
            self.notice_transmissions_left = self.config.change_transmissions;
        }
        self.notice = notice;
    }

    /// Notes up to which revision a member, possibly this one, holds the configuration.
    pub fn note_complete_to(&mut self, id: &DaemonId, complete_to: Revision) {
        self.members.note_complete_to(id, complete_to);
        if *id == self.own.id {
            self.own.complete_to = self.own.complete_to.max(complete_to);
        }
    }

    /// Merges an engine's report that this daemon observed itself.
    pub fn observe_engine(&mut self, now: Duration, record: &EngineRecord) -> Vec<Action> {
        let outcome = self.engines.observe(now, record, &self.config);
        self.engine_actions(outcome, &record.id)
    }

    /// Gives an engine another health within its present life: unreachable, or leaving by the
    /// word of the machine list. Where `life` is named and is not the present one, nothing changes.
    pub fn set_engine_health(
        &mut self,
        now: Duration,
        id: &EngineId,
        life: Option<Incarnation>,
        health: EngineHealth,
    ) -> Vec<Action> {
        let outcome = self.engines.set_health(now, id, life, health);
        self.engine_actions(outcome, id)
    }

    /// Announces that this daemon is stopping.
    pub fn leave(&mut self, now: Duration) -> Vec<Action> {
        if self.own.state == MemberState::Leaving {
            return Vec::new();
        }
        self.own.state = MemberState::Leaving;
        self.own.refutation += 1;
        self.store_own(now);
        self.news.push(self.own.id.clone());
        self.spread_at_once(now)
    }

    /// Does what has become due.
    pub fn tick(&mut self, now: Duration) -> Vec<Action> {
        self.skip_pause(now);
        let mut actions = Vec::new();
        self.continue_probes(now, &mut actions);
        self.check_suspects(now, &mut actions);
        self.end_suspicions(now, &mut actions);
        if now >= self.next_probe_at {
            self.start_probe(now, &mut actions);
        }
        if now >= self.next_news_at {
            self.spread_news(now, &mut actions);
        }
        if now >= self.next_reconnect_at {
            self.reconnect(now, &mut actions);
        }
        if now >= self.next_sync_at {
            self.join(now, &mut actions);
        }
        self.members.forget_dead(now, self.config.dead_retention);
        self.engines.expire(now, &self.config);
        actions
    }

    /// Moves all times on where this process was paused, so that its own absence is not taken for
    /// that of the others.
    fn skip_pause(&mut self, now: Duration) {
        if self.started_at.is_none() {
            self.started_at = Some(now);
            self.last_tick = now;
        }
        let gap = now.saturating_sub(self.last_tick);
        self.last_tick = now;
        if gap <= PAUSE_THRESHOLD {
            return;
        }
        self.prober.abandon();
        self.zones.skip_pause(gap);
        self.engines.skip_pause(gap);
        for suspicion in self.suspicions.values_mut() {
            suspicion.skip_pause(gap);
        }
    }

    /// Whether other daemons were found to know exactly the same in this life: the view is then no
    /// longer that of a daemon that has just started.
    pub fn is_settled(&self) -> bool {
        self.is_settled
    }

    /// Whether this daemon has just started.
    fn is_joining(&self, now: Duration) -> bool {
        self.started_at
            .is_none_or(|started_at| now.saturating_sub(started_at) < self.config.join_period)
    }

    fn store_own(&mut self, now: Duration) {
        self.members.store(now, self.own.clone());
    }

    fn announce_whole_own_record(&mut self) {
        let tag = MemberTag::of(&self.own);
        self.whole_records.insert(self.own.id.clone(), tag);
        self.news.push(self.own.id.clone());
    }

    /// Follows up a merged member record: suspicion timers, zones and what the driver logs.
    fn member_actions(
        &mut self,
        now: Duration,
        outcome: MemberMerge,
        id: &DaemonId,
        actions: &mut Vec<Action>,
    ) {
        if !matches!(outcome, MemberMerge::NewLife | MemberMerge::NewState) {
            return;
        }
        let Some(entry) = self.members.get(id).cloned() else {
            return;
        };
        if outcome == MemberMerge::NewLife {
            self.zones.heard_of(entry.zone, now);
        }
        if entry.record.state == MemberState::Suspect && entry.zone == self.own_zone {
            // A suspicion of a higher refutation number begins anew: the member was alive since.
            let refutation = entry.record.refutation;
            let timed = self.suspicions.get(id);
            if timed.is_none_or(|timed| timed.refutation() != refutation) {
                let suspicion = self.new_suspicion(now, refutation);
                self.suspicions.insert(id.clone(), suspicion);
            }
        } else {
            self.suspicions.remove(id);
        }
        actions.push(Action::MemberChanged(entry.record));
    }

    fn engine_actions(&self, outcome: EngineMerge, id: &EngineId) -> Vec<Action> {
        let changed = self.engines.get(id);
        match (outcome, changed) {
            (EngineMerge::NewState, Some(record)) => vec![Action::EngineChanged(record.clone())],
            _ => Vec::new(),
        }
    }
}
