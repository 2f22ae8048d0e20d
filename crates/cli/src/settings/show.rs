//! Prints effective settings and the available keys.

use std::{fmt::Write, process::ExitCode};

use eyre::{bail, eyre};
use reelreel_core::settings::{
    SettingKey, SettingOrigin, SettingsPath, SettingsTree, source::closest_match,
};
use reelreel_node::settings::{FIELDS, FieldSpec, describe_kind};
use serde::Serialize;

use super::read_file;
use crate::{
    options::TreeSource,
    output::{OutputFormat, print},
    platform_log::PlatformLog,
};

#[derive(Serialize)]
struct KeyRow {
    key: &'static str,
    kind: String,
    levels: Vec<&'static str>,
    default: &'static str,
    meaning: &'static str,
}

/// Prints all keys of the settings tree.
pub(super) fn keys(output: OutputFormat) -> eyre::Result<ExitCode> {
    let row = |key: &SettingKey| KeyRow {
        key: key.name(),
        kind: key.constraint().to_string(),
        levels: key.levels().iter().map(|level| level.name()).collect(),
        default: key.default_text(),
        meaning: key.description(),
    };
    let rows: Vec<KeyRow> = SettingKey::ALL.iter().map(row).collect();
    print(output, &rows, || {
        let mut text = String::new();
        for row in &rows {
            let default = if row.default.is_empty() { "none" } else { row.default };
            let levels = row.levels.join(", ");
            let _infallible = writeln!(text, "{} ({levels}): {}", row.key, row.meaning);
            let _infallible = writeln!(text, "    {}; default {default}", row.kind);
        }
        text
    })?;
    Ok(ExitCode::SUCCESS)
}

#[derive(Serialize)]
struct FieldRow {
    key: String,
    kind: String,
    default: &'static str,
    meaning: &'static str,
}

/// Prints all keys of a host's settings file.
pub(super) fn host_keys(output: OutputFormat) -> eyre::Result<ExitCode> {
    let row = |field: &FieldSpec| {
        let dot = if field.table.is_empty() { "" } else { "." };
        FieldRow {
            key: format!("{}{dot}{}", field.table, field.name),
            kind: describe_kind(field.kind),
            default: field.default,
            meaning: field.description,
        }
    };
    let rows: Vec<FieldRow> = FIELDS.iter().map(row).collect();
    print(output, &rows, || {
        let mut text = String::new();
        for row in &rows {
            let default = if row.default.is_empty() { "none" } else { row.default };
            let _infallible = writeln!(text, "{}: {}", row.key, row.meaning);
            let _infallible = writeln!(text, "    {}; default {default}", row.kind);
        }
        text
    })?;
    Ok(ExitCode::SUCCESS)
}

#[derive(Serialize)]
struct ValueRow {
    key: &'static str,
    value: String,
    from: String,
}

/// Prints the effective values at a path and where each is set.
pub(super) fn show(
    source: &TreeSource,
    path: &str,
    output: OutputFormat,
) -> eyre::Result<ExitCode> {
    let tree = match source {
        TreeSource::Platform { log } => PlatformLog::new(log).replay()?.tree().clone(),
        TreeSource::File { file } => read_file(file)?,
    };
    let path = SettingsPath::parse(path).map_err(|reason| eyre!(reason))?;
    check_exists(&tree, &path)?;
    let rows: Vec<ValueRow> = SettingKey::ALL
        .iter()
        .filter_map(|key| {
            let (value, origin) = tree.effective_value(&path, *key)?;
            let from = match origin {
                SettingOrigin::Node(path) => path.to_string(),
                SettingOrigin::Default => String::from("default"),
            };
            Some(ValueRow { key: key.name(), value: value.to_string(), from })
        })
        .collect();
    print(output, &rows, || {
        let width = rows.iter().map(|row| row.key.len()).max().unwrap_or_default();
        let mut text = String::new();
        for row in &rows {
            let _infallible =
                writeln!(text, "{:width$} = {}  # from {}", row.key, row.value, row.from);
        }
        text
    })?;
    Ok(ExitCode::SUCCESS)
}

fn check_exists(tree: &SettingsTree, path: &SettingsPath) -> eyre::Result<()> {
    let path_nodes = tree.nodes_along(path);
    let depth = path_nodes.len() - 1;
    let Some(missing) = path.segments().get(depth) else { return Ok(()) };
    let names = path_nodes[depth].children.keys().map(|name| &**name);
    match closest_match(missing, names) {
        Some(suggestion) => {
            bail!("there is no `{missing}` in the tree; did you mean `{suggestion}`?")
        }
        None => bail!("there is no `{missing}` in the tree at {path}"),
    }
}
