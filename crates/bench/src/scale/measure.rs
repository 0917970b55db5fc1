//! The measurements of one size, one after the other.

use std::cell::Cell;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use anyhow::bail;
use driftspring_types::Revision;
use rand::rngs::StdRng;
use rand::seq::index::sample;
use rand::{Rng, SeedableRng};
use serde::Serialize;

use super::cluster::{Cluster, Shared};
use super::plan::{Plan, ZONES, zone_of};
use super::resources::resident_bytes;
use super::store::HollowStore;
use super::traffic::ByteRates;

/// Objects in the store at the start.
const OBJECTS: usize = 200;

/// No condition may take longer than this.
const LIMIT: Duration = Duration::from_secs(120);

/// How often conditions are looked at.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);

/// Time between the last change and the quiet measurement.
const SETTLE: Duration = Duration::from_secs(15);

/// Changes of which the slowest is reported.
const QUIET_CHANGES: usize = 5;

/// How long a zone stays cut after the change made meanwhile is in force elsewhere.
const CUT: Duration = Duration::from_secs(25);

/// What was measured at one size. Times are in seconds.
#[derive(Debug, Clone, Serialize)]
pub struct SizeResult {
    /// Daemons.
    pub daemons: usize,
    /// Engines.
    pub engines: usize,
    /// From the start of all daemons at once until each knows every other one.
    pub herd_members_s: f64,
    /// From the same start until each knows every engine.
    pub herd_engines_s: f64,
    /// From the same start until each holds the configuration.
    pub herd_config_s: f64,
    /// Lists that the store served in the herd start.
    pub herd_store_lists: u64,
    /// Bytes per daemon in the herd start, both directions.
    pub herd_bytes: f64,
    /// Bytes per second while quiet.
    pub quiet: ByteRates,
    /// Processor time while quiet, in per cent of a core.
    pub quiet_cpu_percent: f64,
    /// Resident memory of the process at the end of the quiet measurement.
    pub resident_bytes: u64,
    /// Ages of engine loads while quiet: of the own zone, median and 99th percentile.
    pub near_load_age_s: (f64, f64),
    /// The same for the other zones.
    pub far_load_age_s: (f64, f64),
    /// The slowest of some changes, quiet: until in force everywhere.
    pub change_quiet_s: f64,
    /// Daemons that restarted at once.
    pub restarts: usize,
    /// A change made at the restarts: until in force everywhere.
    pub change_restarts_s: f64,
    /// Until every daemon knows every new life.
    pub restarts_known_s: f64,
    /// Bytes per second from the restarts until they are known.
    pub restarts_rates: ByteRates,
    /// A change made when a zone is cut off: until in force in the other zones.
    pub change_cut_s: f64,
    /// From the cut until every daemon outside takes the zone's daemons for dead.
    pub cut_noticed_s: f64,
    /// From the healing until that change is in force in the zone.
    pub change_healed_s: f64,
    /// From the healing until every daemon takes every other one for alive.
    pub healed_members_s: f64,
    /// Bytes per second from the healing until then.
    pub healed_rates: ByteRates,
}

/// Runs all measurements of one size.
///
/// # Errors
/// Where the daemons can't be started, or a condition does not come true within two minutes.
pub fn run(plan: Plan) -> anyhow::Result<SizeResult> {
    let store = HollowStore::default();
    for object in 0..OBJECTS {
        store.put(&format!("routes/route-{object}"), object_value(object));
    }
    let cluster = Cluster::start(plan, store)?;
    let run = Run {
        shared: &cluster.shared,
        plan,
    };
    run.measure()
}

fn object_value(number: usize) -> String {
    format!(
        "{{\"name\":\"route-{number}\",\"tenant\":\"tenant-{number}\",\"model\":\"verdict-large\",\
         \"weights_version\":1,\"write_id\":\"0198c0de-0000-7000-8000-{number:012}\"}}"
    )
}

struct Run<'a> {
    shared: &'a Shared,
    plan: Plan,
}

impl Run<'_> {
    fn measure(&self) -> anyhow::Result<SizeResult> {
        let shared = self.shared;
        let last = Revision(OBJECTS as u64);
        let started = shared.origin;
        let herd = self.herd_start(started, last)?;
        let herd_bytes = shared.traffic.snapshot().per_daemon(self.plan.daemons, 1.0);
        let herd_store_lists = shared.store.lists.load(Ordering::Relaxed);
        let (quiet, quiet_cpu_percent) = self.quiet();
        let resident_bytes = resident_bytes();
        let (near_load_age_s, far_load_age_s) = self.load_ages();
        let change_quiet_s = self.quiet_changes()?;
        let restarts = self.restart_some()?;
        let cut = self.cut_a_zone()?;
        Ok(SizeResult {
            daemons: self.plan.daemons,
            engines: self.plan.engines,
            herd_members_s: herd.members_s,
            herd_engines_s: herd.engines_s,
            herd_config_s: herd.config_s,
            herd_store_lists,
            herd_bytes: herd_bytes.both_directions(),
            quiet,
            quiet_cpu_percent,
            resident_bytes,
            near_load_age_s,
            far_load_age_s,
            change_quiet_s,
            restarts: self.plan.restarts(),
            change_restarts_s: restarts.change_s,
            restarts_known_s: restarts.known_s,
            restarts_rates: restarts.rates,
            change_cut_s: cut.change_s,
            cut_noticed_s: cut.noticed_s,
            change_healed_s: cut.change_healed_s,
            healed_members_s: cut.members_s,
            healed_rates: cut.rates,
        })
    }

    /// The time until each of three conditions holds for the first time.
    fn herd_start(&self, started: Instant, last: Revision) -> anyhow::Result<HerdResult> {
        let times: [Cell<Option<f64>>; 3] = std::array::from_fn(|_| Cell::new(None));
        let note = |time: &Cell<Option<f64>>, condition: &dyn Fn() -> bool| {
            if time.get().is_none() && condition() {
                time.set(Some(started.elapsed().as_secs_f64()));
            }
            time.get().is_some()
        };
        self.until("herd start", started, || {
            let members = note(&times[0], &|| self.all_alive());
            let engines = note(&times[1], &|| self.all_engines());
            let config = note(&times[2], &|| self.all_hold("routes/route-0", last));
            members && engines && config
        })?;
        let [members_s, engines_s, config_s] = times.map(|time| time.get().unwrap_or(f64::NAN));
        Ok(HerdResult {
            members_s,
            engines_s,
            config_s,
        })
    }

    /// Traffic and processor time while nothing happens but engines' reports.
    fn quiet(&self) -> (ByteRates, f64) {
        std::thread::sleep(SETTLE);
        let shared = self.shared;
        shared.watching.store(false, Ordering::Relaxed);
        let (traffic, cpu, began) = (
            shared.traffic.snapshot(),
            shared.cpu_nanoseconds(),
            Instant::now(),
        );
        std::thread::sleep(self.plan.quiet);
        let seconds = began.elapsed().as_secs_f64();
        let traffic = shared.traffic.snapshot() - traffic;
        let cpu = (shared.cpu_nanoseconds() - cpu) as f64 / 1e9;
        shared.watching.store(true, Ordering::Relaxed);
        let rates = traffic.per_daemon(self.plan.daemons, seconds);
        (rates, 100.0 * cpu / seconds / self.plan.daemons as f64)
    }

    /// Ages of loads over all daemons: of their own zones, and of the others.
    fn load_ages(&self) -> ((f64, f64), (f64, f64)) {
        self.shared.sampling.fetch_add(1, Ordering::Relaxed);
        let expected = self.plan.engines;
        let is_sampled = || {
            let sampled = self.shared.count(|_, daemon| {
                daemon
                    .load_ages
                    .lock()
                    .is_ok_and(|ages| ages.len() >= expected)
            });
            sampled == self.plan.daemons
        };
        let _ = self.until("load ages sampled", Instant::now(), is_sampled);
        let mut near = Vec::new();
        let mut far = Vec::new();
        for daemon in &self.shared.daemons {
            let Ok(ages) = daemon.load_ages.lock() else {
                continue;
            };
            for (is_near, age) in ages.iter() {
                let side = if *is_near { &mut near } else { &mut far };
                side.push(age.as_secs_f64());
            }
        }
        (median_and_p99(near), median_and_p99(far))
    }

    fn quiet_changes(&self) -> anyhow::Result<f64> {
        let mut slowest = 0.0_f64;
        for change in 0..QUIET_CHANGES {
            let key = format!("routes/quiet-{change}");
            let taken = self.change_in_force(&key, |_| true)?;
            slowest = slowest.max(taken);
        }
        Ok(slowest)
    }

    fn restart_some(&self) -> anyhow::Result<RestartResult> {
        let shared = self.shared;
        let mut rng = StdRng::seed_from_u64(self.plan.seed);
        let before = shared.traffic.snapshot();
        let began = Instant::now();
        for number in sample(&mut rng, self.plan.daemons, self.plan.restarts()) {
            shared.daemons[number]
                .restart
                .store(true, Ordering::Relaxed);
        }
        let change_s = self.change_in_force("routes/restarts", |_| true)?;
        let known_s = self.until("new lives known", began, || self.all_alive())?;
        let traffic = shared.traffic.snapshot() - before;
        let seconds = began.elapsed().as_secs_f64();
        std::thread::sleep(SETTLE);
        Ok(RestartResult {
            change_s,
            known_s,
            rates: traffic.per_daemon(self.plan.daemons, seconds),
        })
    }

    fn cut_a_zone(&self) -> anyhow::Result<CutResult> {
        let shared = self.shared;
        let mut rng = StdRng::seed_from_u64(self.plan.seed + 1);
        let zone = rng.random_range(0..ZONES);
        let members = (0..self.plan.daemons)
            .filter(|number| zone_of(*number) == zone)
            .count();
        let cut_at = Instant::now();
        shared.set_cut(Some(zone));
        let key = "routes/cut";
        let revision = shared.store.put(key, object_value(0));
        let outside = |number: usize| zone_of(number) != zone;
        let change_s = self.until("in force outside", cut_at, || {
            self.holding(key, revision, outside) == self.plan.daemons - members
        })?;
        let noticed_s = self.until("cut noticed", cut_at, || {
            let noticed = shared.count(|number, daemon| {
                outside(number) && daemon.dead_known.load(Ordering::Relaxed) == members
            });
            noticed == self.plan.daemons - members
        })?;
        std::thread::sleep(CUT);
        let before = shared.traffic.snapshot();
        let healed_at = Instant::now();
        shared.set_cut(None);
        let change_healed_s = self.until("in force after healing", healed_at, || {
            self.all_hold(key, revision)
        })?;
        let members_s = self.until("all alive after healing", healed_at, || self.all_alive())?;
        let traffic = shared.traffic.snapshot() - before;
        let seconds = healed_at.elapsed().as_secs_f64();
        Ok(CutResult {
            change_s,
            noticed_s,
            change_healed_s,
            members_s,
            rates: traffic.per_daemon(self.plan.daemons, seconds),
        })
    }

    /// Writes a change; the time until every daemon that `counts` has it in force.
    fn change_in_force(&self, key: &str, counts: impl Fn(usize) -> bool) -> anyhow::Result<f64> {
        let began = Instant::now();
        let revision = self.shared.store.put(key, object_value(0));
        let wanted = self.shared.count(|number, _| counts(number));
        self.until("a change in force", began, || {
            self.holding(key, revision, &counts) == wanted
        })
    }

    fn holding(&self, key: &str, revision: Revision, counts: impl Fn(usize) -> bool) -> usize {
        self.shared
            .count(|number, daemon| counts(number) && Shared::holds(daemon, key, revision))
    }

    fn all_hold(&self, key: &str, revision: Revision) -> bool {
        self.holding(key, revision, |_| true) == self.plan.daemons
    }

    fn all_alive(&self) -> bool {
        let wanted = self.plan.daemons;
        let knowing = self.shared.count(|_, daemon| {
            let is_restarting = daemon.restart.load(Ordering::Relaxed);
            !is_restarting && daemon.alive_known.load(Ordering::Relaxed) == wanted
        });
        knowing == wanted
    }

    fn all_engines(&self) -> bool {
        let wanted = self.plan.engines;
        let knowing = self
            .shared
            .count(|_, daemon| daemon.engines_known.load(Ordering::Relaxed) == wanted);
        knowing == self.plan.daemons
    }

    /// Waits for `condition`; the seconds since `began`.
    fn until(
        &self,
        what: &str,
        began: Instant,
        condition: impl Fn() -> bool,
    ) -> anyhow::Result<f64> {
        let deadline = Instant::now() + LIMIT;
        while !condition() {
            if Instant::now() > deadline {
                bail!(
                    "{} daemons: not within {LIMIT:?}: {what}",
                    self.plan.daemons
                );
            }
            std::thread::sleep(LOOK_INTERVAL);
        }
        Ok(began.elapsed().as_secs_f64())
    }
}

struct HerdResult {
    members_s: f64,
    engines_s: f64,
    config_s: f64,
}

struct RestartResult {
    change_s: f64,
    known_s: f64,
    rates: ByteRates,
}

struct CutResult {
    change_s: f64,
    noticed_s: f64,
    change_healed_s: f64,
    members_s: f64,
    rates: ByteRates,
}

fn median_and_p99(mut values: Vec<f64>) -> (f64, f64) {
    if values.is_empty() {
        return (0.0, 0.0);
    }
    values.sort_unstable_by(f64::total_cmp);
    let at = |share: f64| values[((values.len() - 1) as f64 * share) as usize];
    (at(0.5), at(0.99))
}
