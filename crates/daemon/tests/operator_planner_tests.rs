//! Plans of orders: the written object, the refusals, and that fields of later versions survive.

use std::sync::Arc;

use driftspring::operator::planner::{PlannedChange, PlanningView, plan, target_key};
use driftspring::state::EngineTable;
use driftspring_language::api::Refusal;
use driftspring_language::{Command, Statement, parse};
use driftspring_types::{
    ConfigView, EngineHealth, EngineLoad, EngineRecord, Incarnation, ObjectRecord, Revision,
    WeightsVersion,
};
use serde_json::{Value, json};

const KEY_HASH: &str = "58cf124e16ff20dd11c4f477461293fe65ad63740b852906723df3d7ec546d8e";

fn command(statement: &str) -> Command {
    match parse(statement).expect("a valid statement") {
        Statement::Command(command) => command,
        Statement::Show(_) => panic!("{statement} is no order"),
    }
}

fn record(key: &str, revision: u64, value: Value) -> ObjectRecord {
    ObjectRecord {
        key: key.to_owned(),
        revision: Revision(revision),
        value: Some(value.to_string()),
    }
}

fn tenant(name: &str, revision: u64) -> ObjectRecord {
    let value = json!({"id": name, "key_hash": KEY_HASH, "weight": 2});
    record(&format!("tenants/{name}"), revision, value)
}

fn route(revision: u64) -> ObjectRecord {
    let value = json!({
        "name": "quotes", "tenant": "moreton", "model": "reader", "weights_version": 7,
        "legacy": {"address": "10.0.0.9:8000", "percent": 100},
        "write_id": "w", "added_by_a_later_version": [1, 2]
    });
    record("routes/quotes", revision, value)
}

fn engine(name: &str, version: u64) -> EngineRecord {
    EngineRecord {
        id: name.into(),
        address: "127.0.0.1:1".to_owned(),
        zone: "zone-a".into(),
        model: "reader".into(),
        weights_version: WeightsVersion(version),
        incarnation: Incarnation(1),
        report_sequence: 1,
        health: EngineHealth::Serving,
        load: EngineLoad::default(),
    }
}

fn planned(records: &[ObjectRecord], statement: &str) -> Result<PlannedChange, Refusal> {
    let command = command(statement);
    let (config, rejected) = ConfigView::build(Revision(50), records);
    assert!(rejected.is_empty(), "{rejected:?}");
    let engines = [engine("a", 7), engine("b", 7)]
        .into_iter()
        .fold(EngineTable::default(), |table, record| {
            table.with_record(record).expect("a new engine")
        });
    let key = target_key(&command).to_string();
    let view = PlanningView {
        config: Arc::new(config),
        engines: Arc::new(engines),
        object: records.iter().find(|record| record.key == key).cloned(),
    };
    plan(&view, &command)
}

fn written(records: &[ObjectRecord], statement: &str) -> Value {
    let planned = planned(records, statement).expect("a plan");
    Value::Object(planned.proposal.value.expect("no removal"))
}

fn refusal(records: &[ObjectRecord], statement: &str) -> Refusal {
    match planned(records, statement) {
        Err(refusal) => refusal,
        Ok(planned) => panic!("{statement} was planned: {planned:?}"),
    }
}

#[test]
fn change_rests_on_the_revision_and_keeps_unknown_fields() {
    let records = [tenant("moreton", 3), route(9)];
    let planned = planned(&records, "move route quotes off legacy 30%").expect("a plan");
    assert_eq!(planned.proposal.expected, Revision(9));
    let value = planned.proposal.value.expect("no removal");
    assert_eq!(value["legacy"]["percent"], 70);
    assert_eq!(value["added_by_a_later_version"], json!([1, 2]));
    let changed: Vec<&str> = planned
        .plan
        .changes
        .iter()
        .map(|change| change.field.as_str())
        .collect();
    assert_eq!(changed, ["legacy"]);
}

#[test]
fn shift_goes_step_by_step_and_ends() {
    let mut records = vec![tenant("moreton", 3), route(9)];
    let shifted = written(&records, "shift route quotes to version 8 20%");
    assert_eq!(shifted["shift"], json!({"to_version": 8, "percent": 20}));
    records[1] = record("routes/quotes", 10, shifted);
    let further = written(&records, "shift route quotes to version 8 60%");
    assert_eq!(further["shift"]["percent"], 60);
    assert!(matches!(
        refusal(&records, "shift route quotes to version 9 5%"),
        Refusal::NotApplicable { .. }
    ));
    let finished = written(&records, "finish shift route quotes");
    assert_eq!(
        (&finished["weights_version"], &finished["shift"]),
        (&json!(8), &Value::Null)
    );
    let cancelled = written(&records, "cancel shift route quotes");
    assert_eq!(
        (&cancelled["weights_version"], &cancelled["shift"]),
        (&json!(7), &Value::Null)
    );
}

#[test]
fn plan_tells_shares_and_warns_of_versions_without_engines() {
    let records = [tenant("moreton", 3), route(9)];
    let moved = planned(&records, "move route quotes off legacy 50%").expect("a plan");
    let effects = moved.plan.effects.join("\n");
    assert!(
        effects.contains("50% of its requests go to the legacy upstream 10.0.0.9:8000"),
        "{effects}"
    );
    assert!(
        effects.contains("50% of its requests go to version 7 of reader, served by 2 engines"),
        "{effects}"
    );
    assert!(moved.plan.warnings.is_empty());
    let records = [
        tenant("moreton", 3),
        record(
            "routes/quotes",
            9,
            written(&records, "move route quotes off legacy 50%"),
        ),
    ];
    let shifted = planned(&records, "shift route quotes to version 8 20%").expect("a plan");
    let effects = shifted.plan.effects.join("\n");
    assert!(
        effects.contains("10% of its requests go to version 8"),
        "{effects}"
    );
    assert_eq!(
        shifted.plan.warnings,
        ["no engine that this daemon knows serves version 8 of reader"]
    );
}

#[test]
fn orders_that_make_no_sense_are_refused() {
    let records = [tenant("moreton", 3), route(9)];
    let not_applicable = [
        "finish shift route quotes",
        "cancel shift route quotes",
        "shift route quotes to version 7 10%",
        "remove tenant moreton",
        "add route second tenant moreton model reader version 7",
        "undrain engine a",
    ];
    for statement in not_applicable {
        let refusal = refusal(&records, statement);
        assert!(
            matches!(refusal, Refusal::NotApplicable { .. }),
            "{statement}: {refusal}"
        );
    }
    let not_found = [
        ("set tenant nobody rate 1", "tenants/nobody"),
        ("remove route nothing", "routes/nothing"),
        (
            "add route r tenant nobody model m version 1",
            "tenants/nobody",
        ),
        ("drain engine ghost", "engines/ghost"),
    ];
    for (statement, key) in not_found {
        let expected = Refusal::NotFound {
            key: key.to_owned(),
        };
        assert_eq!(refusal(&records, statement), expected, "{statement}");
    }
    let exists = Refusal::AlreadyExists {
        key: "routes/quotes".to_owned(),
        revision: Revision(9),
    };
    assert_eq!(
        refusal(
            &records,
            "add route quotes tenant moreton model x version 1"
        ),
        exists
    );
}

#[test]
fn two_tenants_never_share_a_bearer_key() {
    let records = [tenant("moreton", 3)];
    let statement = format!("add tenant other key-hash {KEY_HASH}");
    assert!(matches!(
        refusal(&records, &statement),
        Refusal::NotApplicable { .. }
    ));
    let added = written(&records, "add tenant other key another rate 5");
    assert_eq!(
        (&added["requests_per_second"], &added["weight"]),
        (&json!(5), &json!(1))
    );
}

#[test]
fn removed_object_can_be_added_again_at_its_mark() {
    let mut removed = route(12);
    removed.value = None;
    let records = [tenant("moreton", 3), removed];
    let statement = "add route quotes tenant moreton model reader version 8";
    let planned = planned(&records, statement).expect("a plan");
    assert_eq!(planned.proposal.expected, Revision(12));
}

#[test]
fn repeated_order_changes_nothing() {
    let drained = json!({"id": "a", "intent": "drain"});
    let records = [record("engines/a", 4, drained)];
    let again = planned(&records, "drain engine a").expect("a plan");
    assert!(again.plan.changes.is_empty());
    let undrained = written(&records, "undrain engine a");
    assert_eq!(undrained["intent"], "serve");
}

#[test]
fn load_keeps_what_it_does_not_name() {
    let first = written(&[], "load model reader version 8 parallel 3 floor 1");
    let records = [record("models/reader", 5, first)];
    let second = planned(&records, "load model reader version 9").expect("a plan");
    let value = second.proposal.value.expect("no removal");
    assert_eq!(
        (&value["max_parallel_loads"], &value["min_serving"]),
        (&json!(3), &json!(1))
    );
    assert!(
        second.plan.effects[0].starts_with("2 of 2 engines load version 9"),
        "{:?}",
        second.plan.effects
    );
}
