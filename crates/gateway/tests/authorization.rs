//! Decisions on requests against random sequences of configurations and proofs.
//!
//! Guards against a request that runs although no single configuration allows it.

use std::sync::Arc;
use std::time::Duration;

use driftspring_gateway::authorization::{
    Currentness, Decision, Denial, Destination, Missing, ProofAges, RequestTarget, Verdict,
    authorize,
};
use driftspring_gateway::configuration::{
    Backend, CallerLimits, Configuration, Route, RouteKind, Tenant,
};
use quickcheck::{Arbitrary, Gen, TestResult, quickcheck};

const HOST: &str = "host.example";
const PREFIXES: [&str; 3] = ["/", "/a/", "/a/b/"];
const SERVICES: [&str; 3] = ["service-1", "service-2", "service-3"];
const TENANTS: [&str; 2] = ["tenant-1", "tenant-2"];
const KEYS: [&str; 3] = ["key-1", "key-2", "key-3"];

const AGES: ProofAges = ProofAges {
    keys: Some(Duration::from_millis(4700)),
    denials: Duration::from_millis(1500),
};

/// A route as an operator writes it.
#[derive(Debug, Clone)]
struct RouteText {
    prefix: usize,
    is_public: bool,
    /// The weight of each service.
    weights: [u32; 3],
}

/// A configuration as an operator writes it.
#[derive(Debug, Clone)]
struct ConfigurationText {
    routes: Vec<RouteText>,
    /// The tenant that holds each key; `None` if no request needs a key.
    holders: Option<[Option<usize>; 3]>,
}

/// A request for one of the paths `PREFIXES[n] + "x"`.
#[derive(Debug, Clone)]
struct RequestText {
    path: usize,
    key: Option<usize>,
}

/// What happens while the request waits, before the gateway decides again.
#[derive(Debug, Clone)]
struct Happening {
    configuration: Option<ConfigurationText>,
    proof_age_ms: Option<u64>,
    has_peer_answers: bool,
    is_outdated: bool,
}

fn index(gen_: &mut Gen, count: usize) -> usize {
    usize::arbitrary(gen_) % count
}

impl Arbitrary for ConfigurationText {
    fn arbitrary(gen_: &mut Gen) -> Self {
        let route = |gen_: &mut Gen, prefix| RouteText {
            prefix,
            is_public: index(gen_, 4) == 0,
            weights: [(); 3].map(|()| [0, 0, 1, 3][index(gen_, 4)]),
        };
        let mut routes = Vec::new();
        for prefix in 0..PREFIXES.len() {
            if index(gen_, 3) > 0 {
                routes.push(route(gen_, prefix));
            }
        }
        let holder = |gen_: &mut Gen| Some(index(gen_, 3)).filter(|one| *one < TENANTS.len());
        let holders = match index(gen_, 6) {
            0 => None,
            _ => Some([(); 3].map(|()| holder(gen_))),
        };
        Self { routes, holders }
    }
}

impl Arbitrary for RequestText {
    fn arbitrary(gen_: &mut Gen) -> Self {
        Self {
            path: index(gen_, PREFIXES.len()),
            key: Some(index(gen_, 4)).filter(|key| *key < KEYS.len()),
        }
    }
}

impl Arbitrary for Happening {
    fn arbitrary(gen_: &mut Gen) -> Self {
        let is_changed = index(gen_, 3) > 0;
        Self {
            configuration: is_changed.then(|| ConfigurationText::arbitrary(gen_)),
            proof_age_ms: [None, Some(0), Some(1000), Some(3000), Some(9000)][index(gen_, 5)],
            has_peer_answers: index(gen_, 4) > 0,
            is_outdated: index(gen_, 8) == 0,
        }
    }
}

impl ConfigurationText {
    fn parse(&self, version: u64) -> Arc<Configuration> {
        let routes = self.routes.iter().map(RouteText::parse).collect();
        let tenants = self.holders.map(|holders| {
            let tenant = |number: usize| {
                let held = (0..KEYS.len()).filter(|key| holders[*key] == Some(number));
                let tenant = Tenant {
                    name: TENANTS[number].to_owned(),
                    priority: None,
                    is_isolated: false,
                    quota: None,
                };
                (tenant, held.map(|key| KEYS[key].to_owned()).collect())
            };
            (0..TENANTS.len()).map(tenant).collect()
        });
        let limits = CallerLimits::default();
        Arc::new(Configuration::new(
            version,
            routes,
            Vec::new(),
            tenants,
            limits,
        ))
    }

    /// Whether the request may run at this service in the name of this tenant, as the platform's pages say.
    fn allows(&self, request: &RequestText, service: &str, tenant: Option<&str>) -> bool {
        let matching = self
            .routes
            .iter()
            .filter(|route| route.prefix <= request.path);
        let Some(route) = matching.max_by_key(|route| route.prefix) else {
            return false;
        };
        let expected = match (self.holders, route.is_public) {
            (None, _) | (_, true) => None,
            (Some(holders), false) => match request.key.and_then(|key| holders[key]) {
                Some(holder) => Some(TENANTS[holder]),
                None => return false,
            },
        };
        let backends = SERVICES.iter().zip(route.weights);
        let mut weighted = backends.filter(|(_, weight)| *weight > 0);
        expected == tenant && weighted.any(|(name, _)| *name == service)
    }

    fn allows_somewhere(&self, request: &RequestText) -> bool {
        let tenants = TENANTS.iter().map(|name| Some(*name)).chain([None]);
        let mut places = tenants.flat_map(|tenant| SERVICES.map(|service| (service, tenant)));
        places.any(|(service, tenant)| self.allows(request, service, tenant))
    }
}

impl RouteText {
    fn parse(&self) -> Route {
        let backends = SERVICES.iter().zip(self.weights);
        Route {
            name: format!("route-{}", self.prefix),
            host: HOST.to_owned(),
            path_prefix: PREFIXES[self.prefix].to_owned(),
            kind: RouteKind::Unsafe,
            timeout: Duration::from_secs(5),
            objective: Duration::from_secs(1),
            first_event_timeout: None,
            pause_target: None,
            priority: 1,
            max_attempts: 1,
            is_public: self.is_public,
            is_resumable: false,
            backends: backends
                .map(|(service, weight)| Backend {
                    service: (*service).to_owned(),
                    weight,
                })
                .collect(),
        }
    }
}

impl Happening {
    fn currentness(&self) -> Currentness {
        Currentness {
            proof_age: self.proof_age_ms.map(Duration::from_millis),
            has_peer_answers: self.has_peer_answers,
            is_outdated: self.is_outdated,
        }
    }
}

/// A decided request, and the configurations up to then.
struct Decided {
    verdict: Verdict,
    verdicts: usize,
    known: Currentness,
    configurations: Vec<ConfigurationText>,
}

/// Decides the request anew after each happening, until the verdict is final; `None` if there are too few happenings.
fn decide(request: &RequestText, happenings: &[Happening]) -> Option<Decided> {
    let path = format!("{}x", PREFIXES[request.path]);
    let target = RequestTarget {
        host: HOST,
        path: &path,
        key: request.key.map(|key| KEYS[key]),
    };
    let mut decision = Decision::new();
    let mut in_force = None;
    let mut configurations = Vec::new();
    for (number, happening) in happenings.iter().enumerate() {
        if let Some(text) = &happening.configuration {
            configurations.push(text.clone());
            in_force = Some(text.parse(configurations.len() as u64));
        }
        let known = happening.currentness();
        let verdict = decision.decide(in_force.as_ref(), &target, &known, &AGES);
        if !matches!(verdict, Verdict::Wait(..)) {
            return Some(Decided {
                verdict,
                verdicts: number + 1,
                known,
                configurations,
            });
        }
    }
    None
}

/// Every service that an allowed request may be sent to.
fn destinations(verdict: &Verdict) -> Vec<Destination> {
    let Verdict::Allowed(authorization) = verdict else {
        return Vec::new();
    };
    let services = SERVICES.iter();
    services
        .filter_map(|service| authorization.to_service(service))
        .collect()
}

quickcheck! {
    fn what_runs_is_allowed_by_the_newest_configuration(
        request: RequestText,
        happenings: Vec<Happening>
    ) -> TestResult {
        let Some(decided) = decide(&request, &happenings) else {
            return TestResult::discard();
        };
        let newest = decided.configurations.last();
        let is_allowed = |destination: &Destination| {
            let tenant = destination.authorization().tenant();
            let tenant = tenant.map(|tenant| tenant.name.as_str());
            newest.is_some_and(|newest| newest.allows(&request, destination.service(), tenant))
        };
        TestResult::from_bool(destinations(&decided.verdict).iter().all(is_allowed))
    }

    fn a_request_that_all_configurations_allow_is_not_denied(
        request: RequestText,
        happenings: Vec<Happening>
    ) -> TestResult {
        let Some(decided) = decide(&request, &happenings) else {
            return TestResult::discard();
        };
        let mut configurations = decided.configurations.iter();
        if !configurations.all(|one| one.allows_somewhere(&request)) {
            return TestResult::discard();
        }
        TestResult::from_bool(!matches!(decided.verdict, Verdict::Denied(_)))
    }

    fn final_verdicts_rest_on_recent_proofs(
        request: RequestText,
        happenings: Vec<Happening>
    ) -> TestResult {
        let Some(Decided { verdict, known, .. }) = decide(&request, &happenings) else {
            return TestResult::discard();
        };
        let is_within = |limit: Duration| known.proof_age.is_some_and(|age| age <= limit);
        let are_keys_current = || {
            known.has_peer_answers && !known.is_outdated && AGES.keys.is_none_or(is_within)
        };
        TestResult::from_bool(match &verdict {
            Verdict::Allowed(allowed) => allowed.tenant().is_none() || are_keys_current(),
            Verdict::Denied(Denial::NoRoute) => is_within(AGES.denials),
            Verdict::Denied(Denial::UnknownKey(_)) => {
                is_within(AGES.denials) && are_keys_current()
            }
            Verdict::Unconfirmed(..) | Verdict::Wait(..) => true,
        })
    }

    fn changes_in_quick_succession_do_not_hold_a_request(
        request: RequestText,
        happenings: Vec<Happening>
    ) -> TestResult {
        // Each of four kinds is waited for once.
        const MAX_VERDICTS: usize = 5;
        match decide(&request, &happenings) {
            Some(decided) => TestResult::from_bool(decided.verdicts <= MAX_VERDICTS),
            None => TestResult::from_bool(happenings.len() < MAX_VERDICTS),
        }
    }
}

// A verdict after a wait keeps the route of the configuration before it.
#[test]
fn a_request_is_decided_anew_as_a_whole_after_a_wait() {
    let route = |weights| RouteText {
        prefix: 0,
        is_public: false,
        weights,
    };
    let before = ConfigurationText {
        routes: vec![route([1, 0, 0])],
        holders: Some([Some(0), None, None]),
    };
    let after = ConfigurationText {
        routes: vec![route([0, 1, 0])],
        holders: Some([None, Some(0), None]),
    };
    let target = RequestTarget {
        host: HOST,
        path: "/x",
        key: Some(KEYS[1]),
    };
    let old = Currentness {
        proof_age: Some(Duration::from_secs(9)),
        has_peer_answers: true,
        is_outdated: false,
    };
    let recent = Currentness {
        proof_age: Some(Duration::ZERO),
        ..old
    };
    let mut decision = Decision::new();
    let first = decision.decide(Some(&before.parse(1)), &target, &old, &AGES);
    assert!(
        matches!(first, Verdict::Wait(Missing::KeyProof(_), Some(_))),
        "{first:?}"
    );
    let second = decision.decide(Some(&after.parse(2)), &target, &recent, &AGES);
    let Verdict::Allowed(allowed) = second else {
        panic!("{second:?}");
    };
    assert_eq!(allowed.configuration().version, 2);
    assert_eq!(allowed.tenant_name(), TENANTS[0]);
    assert!(allowed.to_service(SERVICES[1]).is_some());
}

// A request is sent to a service that its route does not lead to.
#[test]
fn a_request_goes_to_no_service_beside_its_route() {
    let configuration = ConfigurationText {
        routes: vec![RouteText {
            prefix: 0,
            is_public: true,
            weights: [1, 0, 0],
        }],
        holders: None,
    };
    let target = RequestTarget {
        host: HOST,
        path: "/x",
        key: None,
    };
    let allowed = authorize(&configuration.parse(1), &target).expect("allowed");
    assert!(allowed.to_service("service-4").is_none());
}
