//! Where the worth of a day goes.

use driftspring_bench::worth::Losses;

const ENTRY: &str = r#"{
    "site": "site", "cmd": "score",
    "days": [
        {"name": "one", "G": 0.7, "parts": [["whole day", 0.4, 0.75], ["nines", 0.6, 0.9]],
         "prices": [["loads", 9.0, 0.1], ["calls", 1.0, 0.04]]},
        {"name": "two", "G": 0.85, "parts": [["whole day", 0.4, 1.0], ["nines", 0.6, 0.75]],
         "prices": [["loads", 0.0, 0.0], ["calls", 0.0, 0.0]]}
    ]
}"#;

#[test]
fn worth_and_losses_of_a_day_sum_to_one() {
    let losses = Losses::read(ENTRY).expect("an entry");
    let causes: Vec<&str> = losses
        .losses
        .iter()
        .map(|loss| loss.cause.as_str())
        .collect();
    assert_eq!(causes, ["nines", "whole day", "loads", "calls"]);
    for day in 0..2 {
        let lost: f64 = losses.losses.iter().map(|loss| loss.of_days[day]).sum();
        assert!(
            (losses.worth[day] + lost - 1.0).abs() < 1e-9,
            "day {day}: {lost}"
        );
    }
}

#[test]
fn the_table_has_a_row_a_cause_and_the_picture_names_them() {
    let losses = Losses::read(ENTRY).expect("an entry");
    let table = losses.table().to_string();
    assert!(
        table.contains("nines") && table.contains("0.060"),
        "{table}"
    );
    let svg = losses.svg().expect("a picture");
    for text in ["nines", "loads", "Worth and losses, site"] {
        assert!(svg.contains(text), "{text}");
    }
}

#[test]
fn small_causes_are_summed_up() {
    let prices: Vec<String> = (0..12)
        .map(|number| format!(r#"["price-{number}", 1.0, 0.01]"#))
        .collect();
    let json = format!(
        r#"{{"site": "s", "days": [{{"name": "d", "G": 0.88, "parts": [], "prices": [{}]}}]}}"#,
        prices.join(",")
    );
    let losses = Losses::read(&json).expect("an entry");
    let last = losses.losses.last().expect("losses");
    assert_eq!(last.cause, "all other prices");
    assert!((last.of_days[0] - 0.04).abs() < 1e-9);
}

#[test]
fn what_is_no_entry_is_an_error() {
    assert!(Losses::read("{}").is_err());
}
