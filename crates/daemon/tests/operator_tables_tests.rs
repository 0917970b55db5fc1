//! Tables show operators where requests went and what it cost.

mod support;

use driftspring_language::api::{StatementAnswer, StatementRequest};
use driftspring_language::{Cell, Row, Table};
use driftspring_prefix::BLOCK_BYTES;
use support::caller::Caller;
use support::daemon::{MODEL, TestDaemon};
use support::engines::Engines;
use support::wait_until;

const PROMPT: &str = "band 4: 2 to 8 degrees; depot 7; truck 12; log:";
const TOKENS: u32 = 8;

/// The rows that a question to `daemon` gets.
fn rows(daemon: &TestDaemon, statement: &str) -> Vec<Row> {
    let operators = Caller::new(daemon.running.addresses().operators);
    let request = StatementRequest {
        statement: statement.to_owned(),
        dry_run: false,
    };
    let body = serde_json::to_vec(&request).expect("JSON");
    let answer = operators.post("/operator/statement", &[], &body);
    match serde_json::from_slice(&answer.body).expect("an answer") {
        StatementAnswer::Rows { rows, .. } => rows,
        other => panic!("{statement}: {other:?}"),
    }
}

fn cell(table: Table, row: &Row, column: &str) -> Cell {
    let position = table.position(column).expect("a column");
    row[position].clone()
}

#[test]
fn answered_request_shows_with_its_engine_and_tokens() {
    let engines = Engines::start(1);
    let daemon = TestDaemon::start(&engines.addresses(), |_| ());
    let prompt = PROMPT.repeat(40);
    for _ in 0..2 {
        let answer = daemon.caller().stream(&[], &prompt, TOKENS);
        assert_eq!(answer.status, 200);
    }
    let question = "show requests where outcome = completed order by age_ms desc";
    wait_until("both answers are in the books", || {
        rows(&daemon, question).len() == 2
    });
    let requests = rows(&daemon, question);
    let text = |column| cell(Table::Requests, &requests[1], column);
    assert_eq!(text("engine"), Cell::from("engine-0"));
    assert_eq!(text("last_engine"), Cell::from("engine-0"));
    assert_eq!(text("model"), Cell::from(MODEL));
    assert_eq!(text("tokens"), Cell::from(u64::from(TOKENS)));
    let cached = |row: &Row| cell(Table::Requests, row, "cached_tokens");
    assert_eq!(cached(&requests[0]), Cell::from(0u64));
    assert!(matches!(cached(&requests[1]), Cell::Number(cached) if cached > 0));
    let engine = rows(&daemon, "show engines").remove(0);
    let count = |column| cell(Table::Engines, &engine, column);
    assert_eq!(count("sent_here"), Cell::from(2u64));
    assert_eq!(count("open_here"), Cell::from(0u64));
    assert_eq!(count("cached_tokens_here"), cached(&requests[1]));
}

#[test]
fn cached_blocks_of_an_answered_prompt_show() {
    let engines = Engines::start(1);
    let daemon = TestDaemon::start(&engines.addresses(), |_| ());
    let prompt = PROMPT.repeat(40);
    let whole_blocks = (prompt.len() / BLOCK_BYTES) as u64;
    // Asked again and again, since blocks are believed to stay for a few seconds only.
    wait_until("the prompt's blocks are known", || {
        assert_eq!(daemon.caller().stream(&[], &prompt, TOKENS).status, 200);
        let engine = rows(&daemon, "show cache").remove(0);
        cell(Table::Cache, &engine, "known_blocks") == Cell::from(whole_blocks)
    });
}

#[test]
fn every_row_has_a_cell_for_each_column() {
    let engines = Engines::start(1);
    let daemon = TestDaemon::start(&engines.addresses(), |_| ());
    assert_eq!(daemon.caller().stream(&[], PROMPT, TOKENS).status, 200);
    for (name, table) in Table::NAMES {
        if table == Table::Leases {
            continue; // There is no object store here, which alone knows the leases.
        }
        for row in rows(&daemon, &format!("show {name}")) {
            assert_eq!(row.len(), table.columns().len(), "{name}");
        }
    }
}
