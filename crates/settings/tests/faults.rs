//! Every fault names its place, its key and what was expected; all faults are reported at once.

use std::time::Duration;

use driftspring_settings::{Origin, Overrides, Problem, SettingError, check, check_with};
use quickcheck::quickcheck;

const MINIMAL: &str = r#"
id = "a"
zone = "z"
[listen]
callers = "127.0.0.1:0"
operators = "127.0.0.1:0"
peers = "127.0.0.1:0"
"#;

fn faults(text: &str) -> Vec<SettingError> {
    check(text).expect_err("the settings are faulty")
}

fn only_fault(extra: &str) -> SettingError {
    let mut faults = faults(&format!("{MINIMAL}{extra}"));
    assert_eq!(faults.len(), 1, "{faults:?}");
    faults.remove(0)
}

#[test]
fn minimal_file_is_enough() {
    let settings = check(MINIMAL).expect("valid");
    assert_eq!(settings.id.as_str(), "a");
    assert!(settings.mechanisms.fencing);
}

#[test]
fn misspelt_key_is_refused_with_a_suggestion() {
    let fault = only_fault("[request]\ntoken_timeuot = \"1s\"\n");
    assert_eq!(fault.key, "request.token_timeuot");
    assert_eq!(fault.origin, Origin::File { line: 9, column: 1 });
    let suggestion = Some("token_timeout".to_owned());
    assert_eq!(fault.problem, Problem::UnknownKey { suggestion });
}

#[test]
fn misspelt_word_is_refused_with_a_suggestion() {
    let fault = only_fault("[routing]\npolicy = \"ful\"\n");
    assert_eq!(
        fault.to_string(),
        "line 9, column 10: routing.policy: expected one of round_robin, least_loaded, \
         rendezvous, full, found \"ful\"; did you mean \"full\"?"
    );
}

#[test]
fn values_out_of_range_or_without_unit_are_refused() {
    let cases = [
        ("[request]\nread_timeout = 10\n", "request.read_timeout"),
        ("[request]\nread_timeout = \"10\"\n", "request.read_timeout"),
        ("[request]\nread_timeout = \"0s\"\n", "request.read_timeout"),
        (
            "[request]\nread_timeout = \"99999999999999999h\"\n",
            "request.read_timeout",
        ),
        ("[request]\nmax_body = \"2GiB\"\n", "request.max_body"),
        (
            "[request]\nretry_budget_percent = 101\n",
            "request.retry_budget_percent",
        ),
        (
            "[request]\nretry_budget_percent = -1\n",
            "request.retry_budget_percent",
        ),
        (
            "[routing]\nprefill_microseconds_per_token = nan\n",
            "routing.prefill_microseconds_per_token",
        ),
        (
            "[platform]\nobject_store = \"store.example:80\"\n",
            "platform.object_store",
        ),
        ("[log]\nlevel = \"loud\"\n", "log.level"),
        ("[mechanisms]\nclaims = 1\n", "mechanisms.claims"),
    ];
    for (extra, key) in cases {
        let fault = only_fault(extra);
        assert_eq!(fault.key, key);
        assert!(matches!(fault.problem, Problem::Invalid { .. }), "{fault}");
    }
}

#[test]
fn all_faults_are_reported_in_the_order_of_the_file() {
    let faults = faults("workers = 0\nzome = \"z\"\n[listen]\ncallers = \"x\"\n");
    let keys: Vec<&str> = faults.iter().map(|fault| fault.key.as_str()).collect();
    let expected = [
        "id",
        "zone",
        "workers",
        "zome",
        "listen.operators",
        "listen.peers",
        "listen.callers",
    ];
    let mut sorted_keys = keys.clone();
    let mut sorted_expected = expected;
    sorted_keys.sort_unstable();
    sorted_expected.sort_unstable();
    assert_eq!(sorted_keys, sorted_expected);
    let line = |fault: &SettingError| match fault.origin {
        Origin::File { line, .. } => line,
        Origin::Flag => usize::MAX,
    };
    assert!(faults.is_sorted_by_key(line), "{keys:?}");
}

#[test]
fn text_that_is_no_toml_names_the_line() {
    let faults = faults("id = \"a\"\nzone = \n");
    assert!(
        matches!(faults[0].origin, Origin::File { line: 2, .. }),
        "{faults:?}"
    );
    assert!(matches!(faults[0].problem, Problem::Syntax(_)));
}

#[test]
fn repeated_and_undefined_names_are_refused() {
    let engine = "[[bootstrap.engines]]\nid = \"e\"\naddress = \"127.0.0.1:1\"\nzone = \"z\"\nmodel = \"m\"\n";
    let fault = only_fault(&format!("{engine}{engine}"));
    assert_eq!(
        fault.problem,
        Problem::Duplicate {
            name: "e".to_owned()
        }
    );
    assert_eq!(fault.key, "bootstrap.engines[1].id");
    let fault = only_fault(
        "[[bootstrap.routes]]\nname = \"r\"\ntenant = \"t\"\nmodel = \"m\"\nweights_version = 1\n",
    );
    assert!(
        matches!(fault.problem, Problem::Undefined { .. }),
        "{fault}"
    );
}

#[test]
fn flags_go_before_the_file() {
    let overrides = Overrides::none()
        .with_assignments([
            "request.token_timeout=750ms",
            "seeds=10.0.0.1:1, 10.0.0.2:1",
        ])
        .expect("assignments")
        .with("id", "12");
    let settings = check_with(MINIMAL, &overrides).expect("valid");
    assert_eq!(settings.id.as_str(), "12");
    assert_eq!(settings.request.token_timeout, Duration::from_millis(750));
    assert_eq!(settings.seeds.len(), 2);
}

#[test]
fn faulty_flags_are_reported_as_flags() {
    let overrides = Overrides::none()
        .with("listen.caller", "x")
        .with("workers", "many");
    let faults = check_with(MINIMAL, &overrides).expect_err("faulty");
    assert_eq!(faults.len(), 2);
    assert!(faults.iter().all(|fault| fault.origin == Origin::Flag));
    assert!(
        faults
            .iter()
            .any(|fault| fault.to_string().contains("listen.callers"))
    );
    assert!(Overrides::none().with_assignments(["workers"]).is_err());
}

quickcheck! {
    fn arbitrary_text_never_panics(text: String) -> bool {
        let _ = check(&text);
        true
    }

    fn durations_are_read_back(milliseconds: u16) -> bool {
        let milliseconds = u64::from(milliseconds).max(1);
        let text = format!("{MINIMAL}[request]\nstop_timeout = \"{milliseconds}ms\"\n");
        let settings = check(&text).expect("valid");
        settings.request.stop_timeout == Duration::from_millis(milliseconds)
    }
}
