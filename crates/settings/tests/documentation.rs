//! docs/CONFIG.md names every key of the annotated example, with the default that holds.

const PAGE: &str = include_str!("../../../docs/CONFIG.md");
const EXAMPLE: &str = include_str!("../../../docs/driftspring.example.toml");

/// Sections of which the example shows the defaults, as another test checks.
const SECTIONS_WITH_DEFAULTS: [&str; 4] = ["request", "claims", "routing", "log"];

/// One key of the example: its section, its name and its value as written.
struct ExampleKey {
    section: String,
    name: String,
    value: String,
}

fn example_keys() -> Vec<ExampleKey> {
    let mut section = String::new();
    let mut keys = Vec::new();
    for line in EXAMPLE.lines() {
        if line.starts_with('[') {
            section = line.trim_matches(['[', ']']).to_owned();
        } else if let Some((name, value)) = line.split_once(" = ")
            && !line.starts_with('#')
        {
            keys.push(ExampleKey {
                section: section.clone(),
                name: name.to_owned(),
                value: value.to_owned(),
            });
        }
    }
    keys
}

/// The cells of the page's row of `key`.
fn row(key: &str) -> Option<Vec<&'static str>> {
    let start = format!("| `{key}` |");
    let line = PAGE.lines().find(|line| line.starts_with(&start))?;
    Some(line.split(" | ").map(str::trim).collect())
}

#[test]
fn each_key_with_a_default_has_its_row() {
    let mut checked = 0;
    for key in example_keys() {
        if !SECTIONS_WITH_DEFAULTS.contains(&key.section.as_str()) {
            continue;
        }
        let full_key = format!("{}.{}", key.section, key.name);
        let row = row(&full_key).unwrap_or_else(|| panic!("{full_key} has no row"));
        assert_eq!(row[2], format!("`{}`", key.value), "{full_key}");
        checked += 1;
    }
    assert!(checked >= 20, "{checked}");
}

#[test]
fn each_other_key_is_named() {
    for key in example_keys() {
        let name = match key.section.as_str() {
            "" | "mechanisms" => key.name,
            "bootstrap.routes.shift" => format!("shift.{}", key.name),
            "bootstrap.routes.legacy" => format!("legacy.{}", key.name),
            section if section.starts_with("bootstrap.") => key.name,
            section => format!("{section}.{}", key.name),
        };
        assert!(PAGE.contains(&format!("`{name}`")), "{name}");
    }
}
