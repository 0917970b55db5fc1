//! Properties: printing is the inverse of reading, and no text makes the parser panic.

use std::net::SocketAddr;

use driftspring_language::{
    AddRoute, AddTenant, ColumnKind, Command, Comparison, Condition, Direction, LegacyMove,
    LoadModel, Ordering, Percent, Priority, Query, RouteChange, ShiftRoute, Statement, Table,
    TenantChange, Value, parse,
};
use driftspring_types::{EngineId, KeyHash, ModelName, TenantId, WeightsVersion};
use quickcheck::{Arbitrary, Gen, quickcheck};

#[derive(Debug, Clone)]
struct AnyStatement(Statement);

impl Arbitrary for AnyStatement {
    fn arbitrary(g: &mut Gen) -> Self {
        Self(match bool::arbitrary(g) {
            true => Statement::Show(query(g)),
            false => Statement::Command(command(g)),
        })
    }
}

fn pick<T: Clone>(g: &mut Gen, choices: &[T]) -> T {
    g.choose(choices).expect("there are choices").clone()
}

fn optional<T>(g: &mut Gen, make: impl FnOnce(&mut Gen) -> T) -> Option<T> {
    bool::arbitrary(g).then(|| make(g))
}

/// Names that look like keywords are names too.
fn name(g: &mut Gen) -> String {
    pick(
        g,
        &[
            "route", "to", "a.b-c_9", "7", "version", "none", "Where", "x",
        ],
    )
    .to_owned()
}

fn percent(g: &mut Gen) -> Percent {
    Percent::new(u8::arbitrary(g) % 101).expect("at most 100")
}

fn query(g: &mut Gen) -> Query {
    let (_, table) = pick(g, &Table::NAMES);
    let conditions = (0..u8::arbitrary(g) % 3)
        .map(|_| condition(g, table))
        .collect();
    let order = optional(g, |g| Ordering {
        column: g.choose(table.columns()).expect("tables have columns"),
        direction: pick(g, &[Direction::Ascending, Direction::Descending]),
    });
    let limit = optional(g, |g| u64::from(u16::arbitrary(g)) + 1);
    Query {
        table,
        conditions,
        order,
        limit,
    }
}

fn condition(g: &mut Gen, table: Table) -> Condition {
    let column = g.choose(table.columns()).expect("tables have columns");
    let mut comparisons = vec![Comparison::Equal, Comparison::NotEqual, Comparison::Less];
    let value = match column.kind {
        _ if u8::arbitrary(g) % 4 == 0 => Value::None,
        ColumnKind::Text => Value::Text(String::arbitrary(g)),
        ColumnKind::Number | ColumnKind::Percent => Value::Number(u64::arbitrary(g)),
    };
    if column.kind == ColumnKind::Text {
        comparisons.push(Comparison::Contains);
    }
    Condition {
        column,
        comparison: pick(g, &comparisons),
        value,
    }
}

fn tenant_change(g: &mut Gen) -> TenantChange {
    TenantChange {
        key_hash: None,
        rate: optional(g, u32::arbitrary),
        concurrency: optional(g, u32::arbitrary),
        weight: optional(g, |g| u32::arbitrary(g) % 1000 + 1),
    }
}

fn route_change(g: &mut Gen) -> RouteChange {
    RouteChange {
        priority: optional(g, |g| {
            Priority::new(u8::arbitrary(g) % 10).expect("at most 9")
        }),
        use_cache: optional(g, bool::arbitrary),
    }
}

fn key_hash(g: &mut Gen) -> KeyHash {
    KeyHash::of_bearer_key(&String::arbitrary(g))
}

fn address(g: &mut Gen) -> SocketAddr {
    SocketAddr::from((std::net::IpAddr::arbitrary(g), u16::arbitrary(g)))
}

fn command(g: &mut Gen) -> Command {
    let version = WeightsVersion(u64::arbitrary(g));
    match u8::arbitrary(g) % 12 {
        0 => Command::AddTenant(AddTenant {
            tenant: TenantId::new(name(g)),
            key_hash: key_hash(g),
            limits: tenant_change(g),
        }),
        1 => Command::SetTenant {
            tenant: TenantId::new(name(g)),
            change: TenantChange {
                key_hash: Some(key_hash(g)),
                ..tenant_change(g)
            },
        },
        2 => Command::RemoveTenant(TenantId::new(name(g))),
        3 => Command::AddRoute(AddRoute {
            route: name(g),
            tenant: TenantId::new(name(g)),
            model: ModelName::new(name(g)),
            version,
            change: route_change(g),
            legacy: optional(g, |g| (address(g), percent(g))),
        }),
        4 => Command::SetRoute {
            route: name(g),
            change: RouteChange {
                use_cache: Some(bool::arbitrary(g)),
                ..route_change(g)
            },
        },
        5 => Command::RemoveRoute(name(g)),
        6 => Command::ShiftRoute(ShiftRoute {
            route: name(g),
            version,
            share: percent(g),
        }),
        7 => Command::FinishShift(name(g)),
        8 => Command::CancelShift(name(g)),
        9 => Command::MoveOffLegacy(LegacyMove {
            route: name(g),
            share: percent(g),
        }),
        10 => Command::DrainEngine(EngineId::new(name(g))),
        _ => Command::LoadModel(LoadModel {
            model: ModelName::new(name(g)),
            version,
            parallel: optional(g, |g| u32::arbitrary(g) % 100 + 1),
            floor: optional(g, |g| u32::arbitrary(g) % 100),
        }),
    }
}

/// Texts that are nearly statements.
#[derive(Debug, Clone)]
struct MixedWords(String);

impl Arbitrary for MixedWords {
    fn arbitrary(g: &mut Gen) -> Self {
        let words = [
            "show", "routes", "where", "tenant", "=", "!=", "<", "\"a b\"", "\"", "\\", "and",
            "order", "by", "desc", "limit", "7", "20%", "add", "set", "route", "to", "version",
            "é", "none", "key",
        ];
        let count = usize::arbitrary(g) % 12;
        let words: Vec<&str> = (0..count).map(|_| pick(g, &words)).collect();
        Self(words.join(pick(g, &[" ", "", "\t "])))
    }
}

fn column_lies_within(text: &str) -> bool {
    match parse(text) {
        Ok(statement) => parse(&statement.to_string()) == Ok(statement),
        Err(error) => (1..=text.chars().count() + 1).contains(&error.column),
    }
}

quickcheck! {
    fn printed_statements_are_read_back(statement: AnyStatement) -> bool {
        let printed = statement.0.to_string();
        parse(&printed) == Ok(statement.0)
    }

    fn arbitrary_text_gives_an_error_within_it(text: String) -> bool {
        column_lies_within(&text)
    }

    fn mixed_words_give_an_error_within_them(text: MixedWords) -> bool {
        column_lies_within(&text.0)
    }
}
