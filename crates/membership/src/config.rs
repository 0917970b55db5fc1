//! Periods, bounds and byte budgets of the gossip.

use std::time::Duration;

use crate::tag::ClusterTag;

/// The largest datagram, in bytes, so that no network path has to fragment it.
pub const MAX_DATAGRAM_BYTES: usize = 1200;

/// Periods, bounds and byte budgets of the gossip of one daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GossipConfig {
    /// The cluster, if it is named. Datagrams that name another one are not used.
    pub cluster: Option<ClusterTag>,
    /// Time between two probes by this daemon.
    pub probe_interval: Duration,
    /// How long a direct probe waits before helpers are asked.
    pub probe_timeout: Duration,
    /// How long a probe waits in all before it has failed.
    pub probe_deadline: Duration,
    /// One probe in this many goes to another zone.
    pub cross_zone_period: u32,
    /// Helpers asked to probe a member that did not answer directly.
    pub indirect_helpers: usize,
    /// How long a suspected member may refute before it is declared dead.
    pub suspicion_timeout: Duration,
    /// Time between two datagrams sent only because there is news.
    pub news_interval: Duration,
    /// One datagram of news in this many goes to another zone.
    pub cross_zone_news_period: u32,
    /// Time between two attempts to reach a dead member or a configured contact.
    pub reconnect_interval: Duration,
    /// How long the record of a dead member is kept.
    pub dead_retention: Duration,
    /// After how long without any word from a zone it counts as unreachable.
    pub zone_silence: Duration,
    /// Least time between two comparisons of full state that this daemon starts.
    pub sync_interval: Duration,
    /// The same while this daemon has just started.
    pub join_sync_interval: Duration,
    /// How long after its start a daemon counts as just started.
    pub join_period: Duration,
    /// Datagrams of full state that this daemon sends per second at the most.
    pub sync_datagrams_per_second: u32,
    /// How often a daemon passes on one change of a member or of an engine's health.
    pub change_transmissions: u32,
    /// How often a daemon passes on one report of an engine's load.
    pub load_transmissions: u32,
    /// Bytes of member changes in one datagram of a probe.
    pub member_bytes: usize,
    /// Bytes of engine health changes in one datagram of a probe.
    pub engine_bytes: usize,
    /// Bytes of changes in one datagram sent only because there is news; half of them for members.
    pub news_bytes: usize,
    /// Bytes of the own zone's engine loads in one datagram within the zone.
    pub near_load_bytes: usize,
    /// Bytes of other engine loads in one datagram, whatever its target.
    pub far_load_bytes: usize,
    /// Least time between two load reports of one engine that its observer spreads.
    pub load_interval: Duration,
    /// Least time between two passings-on of an unchanged load from another zone.
    pub far_load_interval: Duration,
    /// How long an engine's record lives without any newer report.
    pub engine_expiry: Duration,
}

impl Default for GossipConfig {
    fn default() -> Self {
        Self {
            cluster: None,
            probe_interval: Duration::from_secs(1),
            probe_timeout: Duration::from_millis(400),
            probe_deadline: Duration::from_millis(1500),
            cross_zone_period: 5,
            indirect_helpers: 3,
            suspicion_timeout: Duration::from_secs(5),
            news_interval: Duration::from_millis(200),
            cross_zone_news_period: 4,
            reconnect_interval: Duration::from_secs(5),
            dead_retention: Duration::from_secs(3600),
            zone_silence: Duration::from_secs(15),
            sync_interval: Duration::from_secs(5),
            join_sync_interval: Duration::from_millis(300),
            join_period: Duration::from_secs(15),
            sync_datagrams_per_second: 48,
            change_transmissions: 8,
            load_transmissions: 5,
            member_bytes: 250,
            engine_bytes: 250,
            news_bytes: 900,
            near_load_bytes: 520,
            far_load_bytes: 70,
            load_interval: Duration::from_secs(3),
            far_load_interval: Duration::from_secs(60),
            engine_expiry: Duration::from_secs(600),
        }
    }
}
