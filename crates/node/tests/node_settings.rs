//! Tests of the host's settings file.

use std::time::Duration;

use reelreel_node::{
    NodeSettings,
    settings::{FIELDS, LogFormat},
};

const COMPLETE: &str = r#"
host = 3
hall = 2
callers = "127.0.0.1:8080"
peers = "127.0.0.1:7000"
operators = "127.0.0.1:9000"
platform = "127.0.0.1:6000"
seeds = "127.0.0.1:7001, 127.0.0.1:7002"
[log]
format = "json"
[times]
heartbeat_ms = 250
"#;

#[test]
fn absent_keys_have_their_defaults() {
    let settings = NodeSettings::parse(COMPLETE).expect("settings are valid");
    assert_eq!((settings.host, settings.hall), (3, 2));
    assert_eq!(settings.seeds, ["127.0.0.1:7001", "127.0.0.1:7002"]);
    assert_eq!(settings.log_format, LogFormat::Json);
    assert_eq!(settings.times.heartbeat, Duration::from_millis(250));
    assert_eq!(settings.limits.max_body_bytes, 4 << 20);
}

struct InvalidCase {
    text: String,
    errors: &'static [(usize, &'static str)],
}

#[test]
fn all_errors_are_reported_with_their_lines() {
    let cases = [
        InvalidCase {
            text: COMPLETE.replace("host = 3", "hots = 3"),
            errors: &[(2, "did you mean `host`"), (13, "`host` is missing")],
        },
        InvalidCase {
            text: COMPLETE.replace("hall = 2", "hall = \"two\"").replace("8080", "80800"),
            errors: &[(3, "`hall` must be a whole number"), (4, "`callers` must be an IP")],
        },
        InvalidCase {
            text: COMPLETE
                .replace("json", "xml")
                .replace("250", "0")
                .replace(", 127.0.0.1:7002", ", x"),
            errors: &[
                (8, "`seeds` must be IP addresses"),
                (10, "one of text, json"),
                (12, "`heartbeat_ms` must be"),
            ],
        },
        InvalidCase {
            text: COMPLETE.replace("[times]", "[time]"),
            errors: &[(11, "did you mean `times`")],
        },
        InvalidCase {
            text: String::from("host = = 1"),
            errors: &[(1, "not valid TOML"), (1, "not valid TOML")],
        },
    ];
    for case in cases {
        let found = NodeSettings::parse(&case.text).expect_err(&case.text);
        assert_eq!(found.len(), case.errors.len(), "{}\n{found:?}", case.text);
        for (found, (line, part)) in found.iter().zip(case.errors) {
            assert_eq!(found.line, *line, "{found}");
            assert!(found.message.contains(part), "{found}");
        }
    }
}

/// The operators' page must list each key of the host's file and of the settings tree with its
/// default.
#[test]
fn the_operators_page_lists_every_key_with_its_default() {
    let page = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/OPERATORS.md");
    let page = std::fs::read_to_string(page).expect("docs/OPERATORS.md exists");
    for field in FIELDS {
        let table = if field.table.is_empty() { "" } else { &format!("{}.", field.table) };
        let row = format!("| `{table}{}` | {} |", field.name, default_cell(field.default));
        assert!(page.contains(&row), "docs/OPERATORS.md lacks the row `{row}`");
    }
    for key in reelreel_core::settings::SettingKey::ALL {
        let levels: Vec<&str> = key.levels().iter().map(|level| level.name()).collect();
        let row = format!(
            "| `{}` | {} | {} | {} |",
            key.name(),
            levels.join(", "),
            default_cell(key.default_text()),
            key.description()
        );
        assert!(page.contains(&row), "docs/OPERATORS.md lacks the row `{row}`");
    }
}

fn default_cell(default: &str) -> String {
    if default.is_empty() { String::from("none") } else { format!("`{default}`") }
}
