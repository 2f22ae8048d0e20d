//! A host's own settings file.

use std::time::Duration;

use reelreel_node::{
    NodeSettings,
    settings::{FIELDS, LogFormat},
};

const WHOLE: &str = r#"
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
fn what_is_not_named_has_its_default() {
    let settings = NodeSettings::read(WHOLE).expect("no mistakes");
    assert_eq!((settings.host, settings.hall), (3, 2));
    assert_eq!(settings.seeds, ["127.0.0.1:7001", "127.0.0.1:7002"]);
    assert_eq!(settings.log_format, LogFormat::Json);
    assert_eq!(settings.times.heartbeat, Duration::from_millis(250));
    assert_eq!(settings.limits.body_bytes, 4 << 20);
}

struct MistakeCase {
    text: String,
    mistakes: &'static [(usize, &'static str)],
}

#[test]
fn every_mistake_is_named_at_once_with_its_line() {
    let cases = [
        MistakeCase {
            text: WHOLE.replace("host = 3", "hots = 3"),
            mistakes: &[(2, "did you mean `host`"), (13, "`host` is missing")],
        },
        MistakeCase {
            text: WHOLE.replace("hall = 2", "hall = \"two\"").replace("8080", "80800"),
            mistakes: &[(3, "`hall` must be a whole number"), (4, "`callers` must be an IP")],
        },
        MistakeCase {
            text: WHOLE
                .replace("json", "xml")
                .replace("250", "0")
                .replace(", 127.0.0.1:7002", ", x"),
            mistakes: &[
                (8, "`seeds` must be IP addresses"),
                (10, "one of text, json"),
                (12, "`heartbeat_ms` must be"),
            ],
        },
        MistakeCase {
            text: WHOLE.replace("[times]", "[time]"),
            mistakes: &[(11, "did you mean `times`")],
        },
        MistakeCase {
            text: String::from("host = = 1"),
            mistakes: &[(1, "not valid TOML"), (1, "not valid TOML")],
        },
    ];
    for case in cases {
        let found = NodeSettings::read(&case.text).expect_err(&case.text);
        assert_eq!(found.len(), case.mistakes.len(), "{}\n{found:?}", case.text);
        for (found, (line, part)) in found.iter().zip(case.mistakes) {
            assert_eq!(found.line, *line, "{found}");
            assert!(found.message.contains(part), "{found}");
        }
    }
}

/// The operators' page names every key of the host's file and of the tree, and no other.
#[test]
fn the_operators_page_lists_every_key_with_its_default() {
    let page = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/OPERATORS.md");
    let page = std::fs::read_to_string(page).expect("the page is there");
    for field in FIELDS {
        let table = if field.table.is_empty() { "" } else { &format!("{}.", field.table) };
        let row = format!("| `{table}{}` | {} |", field.name, shown(field.default));
        assert!(page.contains(&row), "docs/OPERATORS.md lacks the row `{row}`");
    }
    for key in reelreel_core::settings::SettingKey::ALL {
        let levels: Vec<&str> = key.levels().iter().map(|level| level.name()).collect();
        let row = format!(
            "| `{}` | {} | {} | {} |",
            key.name(),
            levels.join(", "),
            shown(key.default_text()),
            key.description()
        );
        assert!(page.contains(&row), "docs/OPERATORS.md lacks the row `{row}`");
    }
}

fn shown(default: &str) -> String {
    if default.is_empty() { String::from("none") } else { format!("`{default}`") }
}
