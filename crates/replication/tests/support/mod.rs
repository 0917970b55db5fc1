//! A model of the object store and a small system of replicas around it.

use std::collections::BTreeMap;

use driftspring_replication::{MergeRule, PullProgress, PullSession, Replica, WatchCursor};
use driftspring_types::{Incarnation, ObjectRecord, Revision};
use quickcheck::{Arbitrary, Gen};

pub const REPLICAS: usize = 4;
const KEYS: usize = 5;
const CHUNK_BYTES: usize = 60;

/// One step of a run; the numbers are taken modulo what exists.
#[derive(Debug, Clone)]
pub enum Step {
    /// A write by `replica`; its answer may be lost.
    Write {
        replica: usize,
        key: usize,
        answer_lost: bool,
    },
    /// A deletion by someone outside.
    Delete { key: usize },
    /// A renewal of a lease: takes a revision, changes no replicated object.
    RenewLease,
    /// A list as the store was `age` revisions ago.
    List { replica: usize, age: u64 },
    /// Opens a watch, which first replays `replay` old changes.
    OpenWatch { replica: usize, replay: u64 },
    /// The next change or bookmark of a watch.
    WatchNext { replica: usize },
    /// A notice from one replica to another, and the start of a copy.
    Notice { from: usize, to: usize },
    /// A restart, which loses everything that the replica knew.
    Restart { replica: usize },
    /// The next chunk of a copy under way.
    CopyNext { replica: usize },
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let number = |g: &mut Gen, below: usize| usize::arbitrary(g) % below;
        let replica = number(g, REPLICAS);
        let key = number(g, KEYS);
        match number(g, 14) {
            0 | 1 => Self::Write {
                replica,
                key,
                answer_lost: bool::arbitrary(g),
            },
            2 => Self::Delete { key },
            3 => Self::RenewLease,
            4 => Self::List {
                replica,
                age: number(g, 6) as u64,
            },
            5 => Self::OpenWatch {
                replica,
                replay: number(g, 6) as u64,
            },
            6 | 7 => Self::WatchNext { replica },
            8 | 9 => Self::Notice {
                from: number(g, REPLICAS),
                to: replica,
            },
            10 if bool::arbitrary(g) => Self::Restart { replica },
            _ => Self::CopyNext { replica },
        }
    }
}

/// The store: every change in order; the revision of a change is its position, from 1.
#[derive(Default)]
pub struct ModelStore {
    changes: Vec<ObjectRecord>,
}

impl ModelStore {
    fn revision(&self) -> Revision {
        Revision(self.changes.len() as u64)
    }

    fn change(&mut self, key: String, has_value: bool) -> ObjectRecord {
        let revision = Revision(self.changes.len() as u64 + 1);
        let value = has_value.then(|| format!("value {revision}"));
        let record = ObjectRecord {
            key,
            revision,
            value,
        };
        self.changes.push(record.clone());
        record
    }

    /// The newest change of each key at `revision`.
    pub fn newest_at(&self, revision: Revision) -> BTreeMap<String, ObjectRecord> {
        let changes = self.changes.iter().take(revision.0 as usize);
        changes
            .map(|change| (change.key.clone(), change.clone()))
            .collect()
    }

    fn list_at(&self, revision: Revision) -> Vec<ObjectRecord> {
        let newest = self.newest_at(revision).into_values();
        newest.filter(|record| record.value.is_some()).collect()
    }
}

struct OpenWatch {
    cursor: WatchCursor,
    next: usize,
}

struct OpenCopy {
    from: usize,
    session: PullSession,
}

/// The store, the replicas, and the watches and copies under way.
pub struct System {
    pub store: ModelStore,
    pub replicas: Vec<Replica>,
    rule: MergeRule,
    lives: u64,
    watches: Vec<Option<OpenWatch>>,
    copies: Vec<Option<OpenCopy>>,
}

impl System {
    pub fn new(rule: MergeRule) -> Self {
        Self {
            rule,
            lives: 1,
            store: ModelStore::default(),
            replicas: (0..REPLICAS)
                .map(|_| Replica::new(rule, Incarnation(1), []))
                .collect(),
            watches: (0..REPLICAS).map(|_| None).collect(),
            copies: (0..REPLICAS).map(|_| None).collect(),
        }
    }

    pub fn take(&mut self, step: &Step) {
        match *step {
            Step::Write {
                replica,
                key,
                answer_lost,
            } => self.write(replica, key, answer_lost),
            Step::Delete { key } => {
                self.store.change(key_name(key), false);
            }
            Step::RenewLease => {
                self.store.change("leases/control".to_owned(), true);
            }
            Step::List { replica, age } => self.list(replica, age),
            Step::OpenWatch { replica, replay } => self.open_watch(replica, replay),
            Step::WatchNext { replica } => self.watch_next(replica),
            Step::Notice { from, to } => {
                self.notify(from, to);
            }
            Step::Restart { replica } => self.restart(replica),
            Step::CopyNext { replica } => {
                self.copy_next(replica);
            }
        }
    }

    fn restart(&mut self, replica: usize) {
        self.lives += 1;
        self.replicas[replica] = Replica::new(self.rule, Incarnation(self.lives), []);
        self.watches[replica] = None;
        self.copies[replica] = None;
    }

    fn write(&mut self, replica: usize, key: usize, answer_lost: bool) {
        let record = self.store.change(key_name(key), true);
        if !answer_lost {
            self.replicas[replica].apply_own_write(record);
        }
    }

    fn list(&mut self, replica: usize, age: u64) {
        let revision = Revision(self.store.revision().0.saturating_sub(age));
        let records = self.store.list_at(revision);
        self.replicas[replica].apply_list(revision, records);
    }

    fn open_watch(&mut self, replica: usize, replay: u64) {
        let cursor = self.replicas[replica].begin_watch();
        let next = cursor.from().0.saturating_sub(replay) as usize;
        self.watches[replica] = Some(OpenWatch { cursor, next });
    }

    fn watch_next(&mut self, replica: usize) {
        let Some(watch) = &mut self.watches[replica] else {
            return;
        };
        let target = &mut self.replicas[replica];
        match self.store.changes.get(watch.next) {
            Some(record) => {
                target.apply_watch_event(&mut watch.cursor, record.clone());
                watch.next += 1;
            }
            None => {
                let revision = Revision(watch.next as u64);
                target.apply_bookmark(&mut watch.cursor, revision);
            }
        }
    }

    /// Passes a notice on; true where it led to a copy.
    pub fn notify(&mut self, from: usize, to: usize) -> bool {
        let notice = self.replicas[from].notice();
        let (_, request) = self.replicas[to].on_notice(&notice);
        let Some(request) = request else {
            return false;
        };
        if self.copies[to].is_none() {
            let session = PullSession::new(request);
            self.copies[to] = Some(OpenCopy { from, session });
        }
        true
    }

    /// Takes one chunk; false where no copy is under way.
    pub fn copy_next(&mut self, replica: usize) -> bool {
        let Some(mut copy) = self.copies[replica].take() else {
            return false;
        };
        let request = copy.session.request();
        let delta = self.replicas[copy.from].changes_since(request, CHUNK_BYTES);
        let (_, progress) = copy.session.apply(&mut self.replicas[replica], delta);
        if matches!(progress, PullProgress::Ask(_)) {
            self.copies[replica] = Some(copy);
        }
        true
    }

    /// Exchanges notices and copies between all replicas until none of them asks for more.
    pub fn settle(&mut self) {
        const MAX_ROUNDS: usize = 20;
        for _ in 0..MAX_ROUNDS {
            let mut is_quiet = true;
            for (from, to) in all_pairs() {
                while self.copy_next(to) {}
                is_quiet &= !self.notify(from, to);
                while self.copy_next(to) {}
            }
            if is_quiet {
                return;
            }
        }
        panic!("replicas still copy after {MAX_ROUNDS} rounds");
    }

    /// The objects in force at a replica.
    pub fn values(&self, replica: usize) -> BTreeMap<String, ObjectRecord> {
        let records = self.replicas[replica].records();
        let live = records.filter(|record| record.value.is_some());
        live.map(|record| (record.key.clone(), record.clone()))
            .collect()
    }
}

fn key_name(key: usize) -> String {
    format!("tenants/{key}")
}

fn all_pairs() -> impl Iterator<Item = (usize, usize)> {
    let pairs = (0..REPLICAS).flat_map(|from| (0..REPLICAS).map(move |to| (from, to)));
    pairs.filter(|(from, to)| from != to)
}
