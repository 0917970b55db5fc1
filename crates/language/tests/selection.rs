//! Conditions, order and limit against the rows that they should leave.

use driftspring_language::{Cell, Query, Row, Statement, parse, select};
use quickcheck::quickcheck;

fn query(statement: &str) -> Query {
    match parse(statement).expect("a valid statement") {
        Statement::Show(query) => query,
        Statement::Command(command) => panic!("{command} is no question"),
    }
}

/// Rows of `limits`: tenant, rate, concurrency, weight, open requests, revision.
fn limits(rows: &[(&str, Option<u64>)]) -> Vec<Row> {
    rows.iter()
        .map(|(tenant, rate)| {
            let rate = Cell::from(*rate);
            vec![
                Cell::from(*tenant),
                rate,
                Cell::Empty,
                Cell::from(1u64),
                Cell::from(0u64),
                Cell::from(7u64),
            ]
        })
        .collect()
}

fn names(statement: &str, rows: Vec<Row>) -> Vec<String> {
    let name = |row: &Row| match &row[0] {
        Cell::Text(name) => name.clone(),
        other => panic!("no name: {other:?}"),
    };
    select(&query(statement), rows).iter().map(name).collect()
}

#[test]
fn conditions_choose_rows() {
    let rows = limits(&[("alpha", Some(5)), ("beta", Some(10)), ("gamma", None)]);
    let cases = [
        ("show limits where rate = 10", vec!["beta"]),
        ("show limits where rate != 10", vec!["alpha", "gamma"]),
        ("show limits where rate < 10", vec!["alpha"]),
        ("show limits where rate <= 10", vec!["alpha", "beta"]),
        ("show limits where rate > 5", vec!["beta"]),
        (
            "show limits where rate >= 5 and tenant != alpha",
            vec!["beta"],
        ),
        ("show limits where rate = none", vec!["gamma"]),
        ("show limits where rate != none", vec!["alpha", "beta"]),
        ("show limits where tenant contains ta", vec!["beta"]),
        ("show limits where tenant = \"al\"", vec![]),
    ];
    for (statement, expected) in cases {
        assert_eq!(names(statement, rows.clone()), expected, "{statement}");
    }
}

#[test]
fn order_and_limit_apply_and_empty_cells_come_last() {
    let rows = limits(&[("c", Some(2)), ("b", None), ("a", Some(9)), ("d", Some(10))]);
    let ordered = |statement| names(statement, rows.clone());
    assert_eq!(ordered("show limits"), ["a", "b", "c", "d"]);
    assert_eq!(ordered("show limits order by rate"), ["c", "a", "d", "b"]);
    assert_eq!(
        ordered("show limits order by rate desc"),
        ["d", "a", "c", "b"]
    );
    assert_eq!(ordered("show limits order by rate desc limit 1"), ["d"]);
}

quickcheck! {
    fn equal_and_not_equal_part_the_rows(rates: Vec<Option<u8>>, wanted: u8) -> bool {
        let rates: Vec<(&str, Option<u64>)> =
            rates.iter().map(|rate| ("t", rate.map(u64::from))).collect();
        let rows = limits(&rates);
        let count = |comparison: &str| {
            let statement = format!("show limits where rate {comparison} {wanted}");
            select(&query(&statement), rows.clone()).len()
        };
        count("=") + count("!=") == rows.len()
    }
}
