//! Operators' work from the command line to the object store and back.

mod support;

use std::process::Stdio;

use driftspring::state::Phase;
use driftspring_standin::FaultUpdate;
use driftspring_telemetry::metrics::ControlSubsystem;
use driftspring_types::TenantId;
use serde_json::{Value, json};
use support::{TestSystem, answer_of, command, get, wait_for};

const ADD_TENANT: &str = "add tenant moreton key secret rate 100";
const ADD_ROUTE: &str =
    "add route quotes tenant moreton model reader version 7 legacy 127.0.0.1:9 100%";

fn freeze(system: &TestSystem, freeze: bool) {
    system.store.server.faults.update(&FaultUpdate {
        freeze: Some(freeze),
        ..FaultUpdate::default()
    });
}

/// The value of a metric without labels on a page of them.
fn metric(page: &str, name: &str) -> Option<u64> {
    let mut lines = page.lines();
    lines.find_map(|line| line.strip_prefix(name)?.trim().parse().ok())
}

fn stored(system: &TestSystem, key: &str) -> Option<Value> {
    let history = system.store.store.history();
    let last = history.into_iter().rev().find(|change| change.key == key)?;
    last.value
}

#[test]
fn added_route_is_shown_and_shifted_step_by_step() {
    let system = TestSystem::start(1);
    for statement in [ADD_TENANT, ADD_ROUTE, "move route quotes off legacy 30%"] {
        let answer = system.driftctl(0, &[statement]);
        assert_eq!(answer.exit, 0, "{answer:?}");
        assert_eq!(answer.only()["status"], "accepted");
    }
    let shifted = system.driftctl(0, &["shift route quotes to version 8 20%", "--wait", "10"]);
    assert_eq!(shifted.exit, 0, "{shifted:?}");
    assert_eq!(shifted.only()["in_force"]["members"][0]["in_force"], true);
    let shown = system
        .driftctl(0, &["show routes where tenant = moreton"])
        .only();
    let revision = shifted.only()["revision"].clone();
    let row = json!([
        "quotes",
        "moreton",
        "reader",
        7,
        8,
        20,
        "127.0.0.1:9",
        70,
        4,
        "on",
        revision
    ]);
    assert_eq!(shown["rows"], json!([row]));
    let route = stored(&system, "routes/quotes").expect("the route is stored");
    assert_eq!(route["shift"], json!({"to_version": 8, "percent": 20}));
}

#[test]
fn bearer_key_never_leaves_the_command_line() {
    let system = TestSystem::start(1);
    let answer = system.driftctl(0, &["add tenant moreton key very-secret-key"]);
    assert_eq!(answer.exit, 0, "{answer:?}");
    let tenant = stored(&system, "tenants/moreton").expect("the tenant is stored");
    assert!(!tenant.to_string().contains("very-secret-key"));
    assert!(!answer.standard.contains("very-secret-key"));
}

#[test]
fn of_two_operators_who_race_one_gets_the_conflict() {
    let system = TestSystem::start(1);
    let added = system.driftctl(0, &[ADD_TENANT]).only();
    freeze(&system, true);
    let server = system.operators(0).to_string();
    let held = || {
        let writes = system.store.server.faults.held_writes();
        let of_tenant = writes.iter().filter(|path| path.contains("moreton"));
        of_tenant.count()
    };
    let racers: Vec<_> = ["set tenant moreton rate 200", "set tenant moreton rate 300"]
        .into_iter()
        .map(|statement| {
            let before = held();
            let racer = command(&["--server", &server, "--output", "json", statement])
                .stdout(Stdio::piped())
                .spawn()
                .expect("driftctl runs");
            // Both are planned from the same revision only if both writes are on their way before either is done.
            wait_for("the order is on its way to the store", || held() > before);
            racer
        })
        .collect();
    freeze(&system, false);
    let answers: Vec<_> = racers
        .into_iter()
        .map(|racer| answer_of(racer.wait_with_output().expect("driftctl ends")))
        .collect();
    let exits: Vec<i32> = answers.iter().map(|answer| answer.exit).collect();
    assert!(exits == [0, 1] || exits == [1, 0], "{answers:?}");
    let winner = answers[usize::from(exits[0] == 1)].only();
    let loser = answers[usize::from(exits[0] == 0)].only();
    let refusal = &loser["refusal"];
    assert_eq!(refusal["reason"], "conflict");
    assert_eq!(refusal["expected"], added["revision"]);
    assert_eq!(refusal["winning"], winner["revision"]);
}

#[test]
fn dry_run_tells_the_change_and_makes_none() {
    let system = TestSystem::start(1);
    system.driftctl(0, &[ADD_TENANT]);
    system.driftctl(0, &[ADD_ROUTE]);
    let before = system.revision_of("routes/quotes");
    let answer = system.driftctl(0, &["--dry-run", "move route quotes off legacy 50%"]);
    assert_eq!(answer.exit, 0, "{answer:?}");
    let plan = &answer.only()["plan"];
    assert_eq!(plan["changes"][0]["field"], "legacy");
    assert!(
        plan["warnings"][0]
            .as_str()
            .expect("a warning")
            .contains("no engine")
    );
    assert_eq!(system.revision_of("routes/quotes"), before);
}

#[test]
fn wait_ends_when_every_daemon_has_the_change() {
    let system = TestSystem::start(3);
    for daemon in 0..3 {
        wait_for("all daemons have met", || {
            system.daemons[daemon].state.members.load().len() == 3
        });
    }
    system.driftctl(0, &[ADD_TENANT]);
    let answer = system.driftctl(
        1,
        &[
            ADD_TENANT
                .replace("moreton", "other")
                .replace("secret", "x")
                .as_str(),
            "--wait",
            "15",
        ],
    );
    assert_eq!(answer.exit, 0, "{answer:?}");
    let members = answer.only()["in_force"]["members"].clone();
    assert_eq!(members.as_array().map(Vec::len), Some(3), "{members}");
    for daemon in &system.daemons {
        let config = daemon.state.config.load();
        let mut tenants = config.tenants_by_key.values();
        assert!(tenants.any(|tenant| tenant.id == TenantId::new("other")));
    }
}

#[test]
fn internal_calls_count_in_the_control_budget() {
    let system = TestSystem::start(2);
    wait_for("both daemons have met", || {
        system.daemons[0].state.members.load().len() == 2
    });
    let answer = system.driftctl(0, &[ADD_TENANT, "--wait", "15"]);
    assert_eq!(answer.exit, 0, "{answer:?}");
    let control = |daemon: usize| &system.daemons[daemon].state.metrics.control;
    let asked = control(0).bytes_sent.get(ControlSubsystem::Operator);
    let answered = control(1).bytes_sent.get(ControlSubsystem::Configuration);
    let heard = control(1)
        .bytes_received
        .get(ControlSubsystem::Configuration);
    assert!(
        asked > 0 && answered > 0 && heard > 0,
        "{asked} {answered} {heard}"
    );
    assert!(control(1).busy.get(ControlSubsystem::Configuration) > 0);
}

#[test]
fn lost_answer_of_the_store_is_settled() {
    let system = TestSystem::start(1);
    // One for the write of the control lease, which may come first.
    system.store.server.faults.update(&FaultUpdate {
        lose_answers: Some(2),
        ..FaultUpdate::default()
    });
    let answer = system.driftctl(0, &[ADD_TENANT]);
    assert_eq!(answer.exit, 0, "{answer:?}");
    let revision = answer.only()["revision"].as_u64();
    assert_eq!(revision, system.revision_of("tenants/moreton"));
}

#[test]
fn order_of_unknown_fate_is_told_as_unknown() {
    let system = TestSystem::start(1);
    freeze(&system, true);
    let answer = system.driftctl(0, &[ADD_TENANT]);
    assert_eq!(answer.exit, 3, "{answer:?}");
    assert_eq!(answer.only()["status"], "unknown");
    assert!(answer.only()["write_id"].is_string());
    freeze(&system, false);
}

#[test]
fn store_out_of_reach_is_a_refusal() {
    let system = TestSystem::start_without_store();
    let answer = system.driftctl(0, &[ADD_TENANT]);
    assert_eq!(answer.exit, 1, "{answer:?}");
    assert_eq!(answer.only()["refusal"]["reason"], "store_unreachable");
    let planned = system.driftctl(0, &["--dry-run", ADD_TENANT]);
    assert_eq!(planned.exit, 0, "{planned:?}");
    assert_eq!(system.driftctl(0, &["show leases"]).exit, 1);
}

#[test]
fn script_stops_at_the_first_error_where_asked() {
    let system = TestSystem::start(1);
    let file = std::env::temp_dir().join(format!("driftctl-{}.txt", std::process::id()));
    let script = format!("# a comment\n{ADD_TENANT}\n\nremove route nothing\n{ADD_ROUTE}\n");
    std::fs::write(&file, script).expect("a temporary file");
    let path = file.to_str().expect("UTF-8");
    let stopped = system.driftctl(0, &["-f", path, "--stop-on-error"]);
    let run_through = system.driftctl(0, &["-f", path]);
    std::fs::remove_file(&file).expect("the file is there");
    let statuses = |answers: Vec<Value>| -> Vec<String> {
        let status = |answer: &Value| answer["status"].as_str().map(str::to_owned);
        answers.iter().filter_map(status).collect()
    };
    assert_eq!(stopped.exit, 1);
    assert_eq!(statuses(stopped.json()), ["accepted", "refused"]);
    assert_eq!(run_through.exit, 1);
    assert_eq!(
        statuses(run_through.json()),
        ["refused", "refused", "accepted"]
    );
}

#[test]
fn daemon_shows_itself_and_the_leases() {
    let system = TestSystem::start(1);
    wait_for("the daemon knows itself", || {
        !system.daemons[0].state.members.load().is_empty()
    });
    let members = system.driftctl(0, &["show members where name = daemon-0"]);
    assert_eq!(members.only()["rows"][0][1], "zone-a");
    let holder = || {
        let leases = system.driftctl(0, &["show leases where name = control"]);
        assert_eq!(leases.exit, 0, "{leases:?}");
        leases.only()["rows"][0][1].clone()
    };
    wait_for("the lease is held", || holder() == "daemon-0");
}

#[test]
fn health_and_metrics_answer() {
    let system = TestSystem::start(1);
    let operators = system.operators(0);
    assert_eq!(get(operators, "/livez").status, 200);
    wait_for("the daemon is ready", || {
        get(operators, "/readyz").status == 200
    });
    system.driftctl(0, &[ADD_TENANT]);
    let metrics = get(operators, "/metrics");
    assert_eq!(metrics.status, 200);
    assert!(metrics.body.ends_with("# EOF\n"), "{}", metrics.body);
    let revision = system.revision_of("tenants/moreton");
    wait_for("the revision shows", || {
        let page = get(operators, "/metrics").body;
        metric(&page, "driftspring_config_revision").is_some_and(|shown| Some(shown) >= revision)
    });
    system.daemons[0].state.enter_phase(Phase::Stopping);
    assert_eq!(get(operators, "/readyz").status, 503);
    assert_eq!(get(operators, "/livez").status, 200);
}
