//! Every example of docs/LANGUAGE.md parses, and its tables and error are those of the code.

use driftspring_language::{Statement, Table, parse};

const PAGE: &str = include_str!("../../../docs/LANGUAGE.md");

fn blocks(fence: &str) -> Vec<&'static str> {
    PAGE.split(&format!("```{fence}\n"))
        .skip(1)
        .filter_map(|rest| rest.split("```").next())
        .collect()
}

#[test]
fn each_example_parses() {
    let examples: Vec<&str> = blocks("driftspring")
        .into_iter()
        .flat_map(str::lines)
        .collect();
    assert!(examples.len() >= 25);
    for example in examples {
        if let Err(error) = parse(example) {
            panic!("{}", error.render(example));
        }
    }
}

#[test]
fn examples_show_every_table() {
    for (name, table) in Table::NAMES {
        let shown = blocks("driftspring").into_iter().flat_map(str::lines).any(
            |example| matches!(parse(example), Ok(Statement::Show(query)) if query.table == table),
        );
        assert!(shown, "{name}");
    }
}

#[test]
fn page_lists_the_columns_of_every_table() {
    for (name, table) in Table::NAMES {
        let columns: Vec<&str> = table.columns().iter().map(|column| column.name).collect();
        let row = format!("| {name} | {} |", columns.join(", "));
        assert!(PAGE.contains(&row), "{row}");
    }
}

#[test]
fn error_of_the_page_is_the_real_one() {
    let block = blocks("text").pop().expect("the page shows an error");
    let statement = block.lines().next().expect("the statement comes first");
    let error = parse(statement).expect_err("the statement is faulty");
    assert_eq!(error.render(statement), block.trim_end());
}
