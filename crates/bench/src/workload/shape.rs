//! The shapes of the users' workloads.
//!
//! Services, replicas, zones and tenants are the users' own figures. Prompt lengths, rates and the
//! share of hot prefixes are assumptions, chosen so that engines are about half busy under the full
//! scheme and forget an unused prefix within seconds.

use std::time::Duration;

/// One nested level of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptLevel {
    /// What the text is.
    pub name: &'static str,
    /// Its length.
    pub bytes: usize,
    /// How many different texts there are below each text of the level before; the last level is
    /// instead drawn anew for each session.
    pub choices: usize,
}

/// A model service and its traffic.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Service {
    /// The model that callers name.
    pub model: &'static str,
    /// Its engines.
    pub replicas: usize,
    /// Requests per second over all tenants and zones.
    pub requests_per_second: f64,
    /// The nested shared levels, the most shared one first; each tenant has its own.
    pub levels: &'static [PromptLevel],
    /// The length of the text of each request's own.
    pub note_bytes: usize,
    /// Tokens of an answer.
    pub answer_tokens: u32,
    /// Requests of a session on average; they share all levels.
    pub session_requests: f64,
    /// The mean time between two requests of a session.
    pub session_gap: Duration,
}

/// A few prefixes that get a large share of a service's requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HotPrefixes {
    /// How many there are at a time.
    pub count: usize,
    /// Their share of all requests.
    pub share: f64,
    /// How long one stays hot.
    pub period: Duration,
}

/// A user's whole workload.
#[derive(Debug, Clone, PartialEq)]
pub struct Workload {
    /// `directorate` or `moreton`.
    pub name: &'static str,
    /// The number of zones.
    pub zones: usize,
    /// One way between two zones.
    pub zone_distance: Duration,
    /// The tenants' shares of the requests; a few are large.
    pub tenant_shares: &'static [f64],
    /// The services.
    pub services: Vec<Service>,
    /// The hot prefixes of each service.
    pub hot: HotPrefixes,
}

const TENANT_SHARES: &[f64] = &[0.32, 0.24, 0.16, 0.1, 0.07, 0.05, 0.04, 0.02];

const HOT: HotPrefixes = HotPrefixes {
    count: 2,
    share: 0.25,
    period: Duration::from_secs(30),
};

const ZONE_DISTANCE: Duration = Duration::from_micros(1500);

impl Workload {
    /// Both users' workloads.
    pub fn all() -> [Self; 2] {
        [Self::directorate(), Self::moreton()]
    }

    /// The workload called `name`.
    pub fn by_name(name: &str) -> Option<Self> {
        Self::all()
            .into_iter()
            .find(|workload| workload.name == name)
    }

    /// Verdicts from band definitions, a depot's history and a truck's log; and gauge readings.
    pub fn directorate() -> Self {
        Self {
            name: "directorate",
            zones: 3,
            zone_distance: ZONE_DISTANCE,
            tenant_shares: TENANT_SHARES,
            services: vec![
                Service {
                    model: "verdict",
                    replicas: 12,
                    requests_per_second: 160.0,
                    levels: &[
                        PromptLevel {
                            name: "band definitions",
                            bytes: 6000,
                            choices: 1,
                        },
                        PromptLevel {
                            name: "depot history",
                            bytes: 5000,
                            choices: 6,
                        },
                        PromptLevel {
                            name: "truck log",
                            bytes: 5000,
                            choices: 1,
                        },
                    ],
                    note_bytes: 500,
                    answer_tokens: 24,
                    session_requests: 6.0,
                    session_gap: Duration::from_millis(1000),
                },
                Service {
                    model: "reading",
                    replicas: 3,
                    requests_per_second: 90.0,
                    levels: &[
                        PromptLevel {
                            name: "gauge definitions",
                            bytes: 2000,
                            choices: 4,
                        },
                        PromptLevel {
                            name: "depot",
                            bytes: 1000,
                            choices: 1,
                        },
                    ],
                    note_bytes: 200,
                    answer_tokens: 8,
                    session_requests: 4.0,
                    session_gap: Duration::from_millis(1000),
                },
            ],
            hot: HOT,
        }
    }

    /// Quote checks from code clauses, a housing scheme and one sheet; and counter questions.
    pub fn moreton() -> Self {
        Self {
            name: "moreton",
            zones: 4,
            zone_distance: ZONE_DISTANCE,
            tenant_shares: TENANT_SHARES,
            services: vec![
                Service {
                    model: "spec-reader",
                    replicas: 20,
                    requests_per_second: 170.0,
                    levels: &[
                        PromptLevel {
                            name: "code clauses",
                            bytes: 9000,
                            choices: 1,
                        },
                        PromptLevel {
                            name: "housing scheme",
                            bytes: 4000,
                            choices: 8,
                        },
                        PromptLevel {
                            name: "specification sheet",
                            bytes: 7000,
                            choices: 1,
                        },
                    ],
                    note_bytes: 400,
                    answer_tokens: 24,
                    session_requests: 6.0,
                    session_gap: Duration::from_millis(1200),
                },
                Service {
                    model: "counter",
                    replicas: 4,
                    requests_per_second: 70.0,
                    levels: &[
                        PromptLevel {
                            name: "fitting notes",
                            bytes: 2500,
                            choices: 6,
                        },
                        PromptLevel {
                            name: "frame",
                            bytes: 1000,
                            choices: 1,
                        },
                    ],
                    note_bytes: 200,
                    answer_tokens: 12,
                    session_requests: 4.0,
                    session_gap: Duration::from_millis(1000),
                },
            ],
            hot: HOT,
        }
    }
}
