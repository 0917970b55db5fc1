//! The hollow daemons of one size, on a few worker threads, and what they share.

use std::collections::HashMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use anyhow::Context;
use driftspring_replication::Replica;
use driftspring_types::{EngineId, Revision};

use super::hollow::HollowDaemon;
use super::plan::{Plan, RECEIVE_TIMEOUT, WORKERS, engine_id, zone_of};
use super::resources::thread_cpu_nanoseconds;
use super::store::HollowStore;
use super::traffic::Traffic;

/// Stands for "no zone is cut".
const NO_ZONE: usize = usize::MAX;

/// What the measuring thread and the daemons see of one daemon.
pub struct SharedDaemon {
    /// Its peer address.
    pub address: SocketAddr,
    /// Its replica; other daemons copy from it as they would over HTTP.
    replica: Mutex<Replica>,
    /// Its present life.
    pub incarnation: AtomicU64,
    /// Set to make it restart.
    pub restart: AtomicBool,
    /// Members that it takes for alive in their present life, itself included; see `watching`.
    pub alive_known: AtomicUsize,
    /// Members of the zone `watched_zone` that it takes for dead.
    pub dead_known: AtomicUsize,
    /// Engines that it knows.
    pub engines_known: AtomicUsize,
    /// Ages of the loads that it knows, by whether the engine is in its zone; see `sampling`.
    pub load_ages: Mutex<Vec<(bool, Duration)>>,
}

impl SharedDaemon {
    /// Locks the replica.
    pub fn replica(&self) -> MutexGuard<'_, Replica> {
        self.replica.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What all threads share.
pub struct Shared {
    /// The size.
    pub plan: Plan,
    /// The beginning of all times.
    pub origin: Instant,
    /// The daemons by number.
    pub daemons: Vec<SharedDaemon>,
    /// Daemon numbers by address.
    pub numbers: HashMap<SocketAddr, usize>,
    /// The engines' names by number.
    pub engine_ids: Vec<EngineId>,
    /// The object store.
    pub store: HollowStore,
    /// Bytes by kind.
    pub traffic: Traffic,
    /// Whether daemons report what they know; off while processor time is measured.
    pub watching: AtomicBool,
    /// Counts the requests for load ages.
    pub sampling: AtomicU64,
    cut_zone: AtomicUsize,
    ended: AtomicBool,
    worker_cpu: Vec<AtomicU64>,
}

impl Shared {
    /// The time since the beginning.
    pub fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    /// Whether `zone` is cut off from the other zones and from the store.
    pub fn is_cut(&self, zone: usize) -> bool {
        self.cut_zone.load(Ordering::Relaxed) == zone
    }

    /// Whether datagrams pass between two daemons.
    pub fn is_connected(&self, left: usize, right: usize) -> bool {
        self.is_cut(zone_of(left)) == self.is_cut(zone_of(right))
    }

    /// Cuts a zone off, or heals the cut.
    pub fn set_cut(&self, zone: Option<usize>) {
        self.cut_zone
            .store(zone.unwrap_or(NO_ZONE), Ordering::Relaxed);
    }

    /// Processor time of all workers so far, in nanoseconds.
    pub fn cpu_nanoseconds(&self) -> u64 {
        let load = |cpu: &AtomicU64| cpu.load(Ordering::Relaxed);
        self.worker_cpu.iter().map(load).sum()
    }

    /// How many daemons satisfy `condition`.
    pub fn count(&self, condition: impl Fn(usize, &SharedDaemon) -> bool) -> usize {
        let daemons = self.daemons.iter().enumerate();
        daemons
            .filter(|(number, daemon)| condition(*number, daemon))
            .count()
    }

    /// Whether `daemon` holds the change of `key` at `revision`.
    pub fn holds(daemon: &SharedDaemon, key: &str, revision: Revision) -> bool {
        daemon.replica().holds(key, revision)
    }
}

/// A running cluster; dropping it ends it.
pub struct Cluster {
    /// What all threads share.
    pub shared: Arc<Shared>,
    workers: Vec<JoinHandle<()>>,
}

impl Cluster {
    /// Starts all daemons at once. `store` holds the configuration.
    ///
    /// # Errors
    /// Where sockets can't be bound or threads can't be started.
    pub fn start(plan: Plan, store: HollowStore) -> anyhow::Result<Self> {
        let sockets = bind_sockets(plan.daemons)?;
        let mut daemons = Vec::with_capacity(plan.daemons);
        for socket in &sockets {
            daemons.push(shared_daemon(socket.local_addr()?));
        }
        let numbered = daemons.iter().enumerate();
        let numbers = numbered
            .map(|(number, daemon)| (daemon.address, number))
            .collect();
        let shared = Arc::new(Shared {
            plan,
            origin: Instant::now(),
            daemons,
            numbers,
            engine_ids: (0..plan.engines).map(engine_id).collect(),
            store,
            traffic: Traffic::default(),
            watching: AtomicBool::new(true),
            sampling: AtomicU64::new(0),
            cut_zone: AtomicUsize::new(NO_ZONE),
            ended: AtomicBool::new(false),
            worker_cpu: (0..WORKERS).map(|_| AtomicU64::new(0)).collect(),
        });
        let mut shares: Vec<Vec<HollowDaemon>> = (0..WORKERS).map(|_| Vec::new()).collect();
        for (number, socket) in sockets.into_iter().enumerate() {
            let daemon = HollowDaemon::new(number, socket, Arc::clone(&shared));
            shares[number % WORKERS].push(daemon);
        }
        let mut workers = Vec::with_capacity(WORKERS);
        for (worker, daemons) in shares.into_iter().enumerate() {
            let shared = Arc::clone(&shared);
            let handle = std::thread::Builder::new()
                .name(format!("hollow-{worker}"))
                .spawn(move || work(&shared, worker, daemons))
                .context("starting a worker")?;
            workers.push(handle);
        }
        Ok(Self { shared, workers })
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.shared.ended.store(true, Ordering::Relaxed);
        for worker in self.workers.drain(..) {
            let _ = worker.join();
        }
    }
}

/// Lets each daemon of one worker receive what has come and do its work, every 25 ms: as often as a
/// daemon that waits on its own socket wakes up.
fn work(shared: &Shared, worker: usize, mut daemons: Vec<HollowDaemon>) {
    let mut next_pass = Instant::now();
    while !shared.ended.load(Ordering::Relaxed) {
        for daemon in &mut daemons {
            daemon.pass();
        }
        shared.worker_cpu[worker].store(thread_cpu_nanoseconds(), Ordering::Relaxed);
        next_pass = (next_pass + RECEIVE_TIMEOUT).max(Instant::now());
        std::thread::sleep(next_pass.saturating_duration_since(Instant::now()));
    }
}

fn bind_sockets(count: usize) -> anyhow::Result<Vec<UdpSocket>> {
    let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
    let mut sockets = Vec::with_capacity(count);
    for _ in 0..count {
        let socket = UdpSocket::bind(loopback).context("binding a hollow daemon's socket")?;
        socket.set_nonblocking(true)?;
        sockets.push(socket);
    }
    Ok(sockets)
}

fn shared_daemon(address: SocketAddr) -> SharedDaemon {
    SharedDaemon {
        address,
        replica: Mutex::default(),
        incarnation: AtomicU64::new(1),
        restart: AtomicBool::new(false),
        alive_known: AtomicUsize::new(0),
        dead_known: AtomicUsize::new(0),
        engines_known: AtomicUsize::new(0),
        load_ages: Mutex::default(),
    }
}
