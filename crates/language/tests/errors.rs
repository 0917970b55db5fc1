//! Errors point at the column, say what was expected and suggest the nearest word.

use driftspring_language::{Found, ParseError, parse};

fn error(statement: &str) -> ParseError {
    match parse(statement) {
        Ok(parsed) => panic!("{statement:?} parsed as {parsed:?}"),
        Err(error) => error,
    }
}

#[test]
fn misspelt_words_get_a_suggestion() {
    let cases = [
        ("shwo routes", 1, "show"),
        ("show rotues", 6, "routes"),
        ("show routes wher tenant = x", 13, "where"),
        ("show routes where tenent = x", 19, "tenant"),
        ("show engines order by zoone", 23, "zone"),
        ("DRIAN engine e", 1, "drain"),
        ("add rout x", 5, "route"),
        ("load model m version 1 paralel 2", 24, "parallel"),
        ("set tenant t weigth 2", 14, "weight"),
    ];
    for (statement, column, suggestion) in cases {
        let error = error(statement);
        assert_eq!(error.column, column, "{statement}: {error}");
        assert_eq!(error.suggestion.as_deref(), Some(suggestion), "{statement}");
    }
}

#[test]
fn early_end_is_told_with_what_comes_next() {
    let error = error("shift route r to version 7 ");
    assert_eq!((error.column, error.found.clone()), (27, Found::End));
    assert_eq!(
        error.to_string(),
        "column 27: expected the share of the new version: a share from 0% to 100%, such as 20%, \
         found the end of the statement"
    );
}

#[test]
fn values_out_of_range_are_refused_at_their_column() {
    let cases = [
        ("shift route r to version 7 101%", 28),
        ("shift route r to version 7 20", 28),
        ("shift route r to version -1 20%", 26),
        ("add route r tenant t model m version 1 priority 10", 49),
        (
            "add route r tenant t model m version 1 legacy host:80 5%",
            47,
        ),
        ("add route a/b tenant t model m version 1", 11),
        ("set tenant t weight 0", 21),
        ("add tenant t key-hash abc", 23),
        ("show routes limit 0", 19),
        ("show routes where version = seven", 29),
        ("show routes where version contains 7", 27),
        ("load model m version 1 parallel 0", 33),
    ];
    for (statement, column) in cases {
        let error = error(statement);
        assert_eq!(error.column, column, "{statement}: {error}");
    }
}

#[test]
fn rest_after_a_statement_and_repeated_options_are_refused() {
    let cases = [
        ("drain engine e now", 16),
        ("show routes limit 1 limit 2", 21),
        ("set tenant t rate 1 rate 2", 21),
        ("set tenant t key a key-hash b", 20),
        ("set tenant t", 13),
        ("set route r", 12),
        (
            "add route r tenant t model m version 1 cache on cache off",
            49,
        ),
    ];
    for (statement, column) in cases {
        let error = error(statement);
        assert_eq!(error.column, column, "{statement}: {error}");
    }
}

#[test]
fn columns_count_characters_and_open_quotes_are_found() {
    let statement = "show routes where tenant = \"é\" or";
    assert_eq!(error(statement).column, 32);
    let statement = "show routes where tenant = \"abc";
    let error = error(statement);
    assert_eq!((error.column, error.length), (28, 4));
    assert!(error.expected.contains("closing quote"));
}

#[test]
fn bearer_key_is_not_kept() {
    let statement = parse("add tenant t key \"very secret\"").expect("valid");
    assert!(!statement.to_string().contains("secret"));
    assert!(!format!("{statement:?}").contains("very"));
}
