//! Parses a settings tree from TOML and reports all errors at once.

use std::fmt::{self, Write};

use toml::{
    Spanned,
    de::{DeTable, DeValue},
};

use crate::settings::{
    SettingKey, SettingLevel, SettingValue, SettingsNode, SettingsPath, SettingsTree,
    tree::is_valid_name,
};

/// Minimum Jaro-Winkler similarity at which a known word is suggested for an unknown one.
const MIN_SIMILARITY: f64 = 0.75;

/// An error in a settings file, with its position.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SourceError {
    /// Line number, from 1.
    pub line: usize,
    /// Column number in characters, from 1.
    pub column: usize,
    /// The error and how to fix it.
    pub message: String,
}

impl fmt::Display for SourceError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:{}: {}", self.line, self.column, self.message)
    }
}

/// Returns the line and column, both from 1, of a byte offset.
pub fn line_and_column(text: &str, offset: usize) -> (usize, usize) {
    let before = &text[..text.floor_char_boundary(offset.min(text.len()))];
    let line = before.matches('\n').count() + 1;
    let column = before.rsplit('\n').next().unwrap_or_default().chars().count() + 1;
    (line, column)
}

/// Returns the known word most similar to `word`, if any is similar enough to suggest.
pub fn closest_match<'a>(word: &str, known: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    known
        .into_iter()
        .map(|candidate| (strsim::jaro_winkler(word, candidate), candidate))
        .filter(|(similarity, _)| *similarity >= MIN_SIMILARITY)
        .max_by(|left, right| left.0.total_cmp(&right.0))
        .map(|(_, candidate)| candidate)
}

/// Parses a settings tree from TOML.
///
/// # Errors
/// Returns all errors in the file, sorted by position.
///
/// # Example
/// ```
/// use reelreel_core::settings::read_tree;
///
/// let errors = read_tree("[service.parts]\nwroth = 2.0\n").unwrap_err();
/// assert_eq!(
///     errors[0].to_string(),
///     "2:1: unknown key `wroth` for a service; did you mean `worth`?",
/// );
/// ```
pub fn read_tree(text: &str) -> Result<SettingsTree, Vec<SourceError>> {
    let mut parser = TreeParser { text, errors: Vec::new(), tree: SettingsTree::default() };
    let (table, toml_errors) = DeTable::parse_recoverable(text);
    for error in toml_errors {
        let offset = error.span().map_or(0, |span| span.start);
        parser.push_error(offset, format!("not valid TOML: {}", error.message()));
    }
    if parser.errors.is_empty() {
        parser.parse_node(table.get_ref(), &SettingsPath::site());
    }
    let TreeParser { mut errors, tree, .. } = parser;
    if errors.is_empty() {
        return Ok(tree);
    }
    errors.sort_by_key(|error| (error.line, error.column));
    Err(errors)
}

struct TreeParser<'a> {
    text: &'a str,
    errors: Vec<SourceError>,
    tree: SettingsTree,
}

/// Returns the name of the TOML table that holds the children of a node at `level`.
const fn child_table(level: SettingLevel) -> Option<&'static str> {
    match level {
        SettingLevel::Site => Some("service"),
        SettingLevel::Service => Some("organisation"),
        SettingLevel::Organisation => Some("adapter"),
        SettingLevel::Adapter => None,
    }
}

impl TreeParser<'_> {
    fn push_error(&mut self, offset: usize, message: String) {
        let (line, column) = line_and_column(self.text, offset);
        self.errors.push(SourceError { line, column, message });
    }

    fn parse_node(&mut self, table: &DeTable<'_>, path: &SettingsPath) {
        self.tree.get_or_create(path, 0);
        let level = path.level();
        for (name, value) in table {
            let offset = name.span().start;
            let name: &str = name.get_ref();
            if child_table(level) == Some(name) {
                self.parse_children(value, path);
            } else if let Some(key) = SettingKey::find(name) {
                self.parse_value(offset, key, value, path);
            } else {
                let message = unknown_key(name, level);
                self.push_error(offset, message);
            }
        }
        self.check_versions(table, path);
    }

    fn parse_children(&mut self, value: &Spanned<DeValue<'_>>, path: &SettingsPath) {
        let DeValue::Table(children) = value.get_ref() else {
            let table_name = child_table(path.level()).unwrap_or_default();
            self.push_error(
                value.span().start,
                format!("`{table_name}` must hold tables, one for each name"),
            );
            return;
        };
        for (name, child) in children {
            let offset = name.span().start;
            if !is_valid_name(name.get_ref()) {
                let message = format!(
                    "`{}` is not a valid name; use 1 to 64 letters, digits, dots, dashes or underscores",
                    name.get_ref()
                );
                self.push_error(offset, message);
                continue;
            }
            if let DeValue::Table(table) = child.get_ref() {
                self.parse_node(table, &path.child(name.get_ref()));
            } else {
                self.push_error(offset, format!("`{}` must be a table", name.get_ref()));
            }
        }
    }

    fn parse_value(
        &mut self,
        offset: usize,
        key: SettingKey,
        value: &Spanned<DeValue<'_>>,
        path: &SettingsPath,
    ) {
        let level = path.level();
        if !key.levels().contains(&level) {
            let allowed = key.levels().iter().map(|level| level.name()).collect::<Vec<_>>();
            let message = format!(
                "`{}` cannot be set at {} level; set it at: {}",
                key.name(),
                level.name(),
                allowed.join(", ")
            );
            self.push_error(offset, message);
            return;
        }
        let validated = setting_value(value.get_ref()).map(|value| key.validate(value));
        if let Some(Ok(value)) = validated {
            self.tree.get_or_create(path, 0).set_value(key, Some(value));
        } else {
            let message = format!("`{}` must be {}", key.name(), key.constraint());
            self.push_error(value.span().start, message);
        }
    }

    fn check_versions(&mut self, table: &DeTable<'_>, path: &SettingsPath) {
        let Some(node) = self.tree.node(path) else { return };
        let (Some(SettingValue::Integers(versions)), Some(SettingValue::Integer(current))) =
            (node.value(SettingKey::Versions), node.value(SettingKey::Version))
        else {
            return;
        };
        if versions.contains(current) {
            return;
        }
        let message = format!("`version` {current} is not among `versions`; add it there");
        let version_entry = table.iter().find(|(name, _)| name.get_ref() == "version");
        let offset = version_entry.map_or(0, |(_, value)| value.span().start);
        self.push_error(offset, message);
    }
}

fn unknown_key(name: &str, level: SettingLevel) -> String {
    let known = SettingKey::ALL
        .iter()
        .filter(|key| key.levels().contains(&level))
        .map(|key| key.name())
        .chain(child_table(level));
    let article = if matches!(level, SettingLevel::Adapter | SettingLevel::Organisation) {
        "an"
    } else {
        "a"
    };
    let start = format!("unknown key `{name}` for {article} {}", level.name());
    match closest_match(name, known) {
        Some(known) => format!("{start}; did you mean `{known}`?"),
        None => format!("{start}; run `reelreel settings keys` for a list of the keys"),
    }
}

fn setting_value(value: &DeValue<'_>) -> Option<SettingValue> {
    match value {
        DeValue::Boolean(boolean) => Some(SettingValue::Bool(*boolean)),
        DeValue::Integer(integer) => {
            let digits = integer.as_str();
            i64::from_str_radix(digits, integer.radix()).ok().map(SettingValue::Integer)
        }
        DeValue::Float(float) => float.as_str().parse().ok().map(SettingValue::Float),
        DeValue::String(text) => Some(SettingValue::Text(Box::from(&**text))),
        DeValue::Array(items) => {
            let integer = |item: &Spanned<DeValue<'_>>| match setting_value(item.get_ref())? {
                SettingValue::Integer(integer) => Some(integer),
                _ => None,
            };
            let integers: Option<Vec<i64>> = items.iter().map(integer).collect();
            integers.map(|integers| SettingValue::Integers(integers.into_boxed_slice()))
        }
        DeValue::Datetime(_) | DeValue::Table(_) => None,
    }
}

impl SettingsTree {
    /// Formats the tree as a TOML settings file.
    pub fn to_toml(&self) -> String {
        let mut text = String::new();
        write_node(&self.root, "", SettingLevel::Site, &mut text);
        text
    }
}

fn write_node(node: &SettingsNode, header: &str, level: SettingLevel, text: &mut String) {
    if !header.is_empty() {
        let _infallible = writeln!(text, "\n[{header}]");
    }
    for (key, value) in &node.values {
        let _infallible = writeln!(text, "{} = {value}", key.name());
    }
    let Some(table) = child_table(level) else { return };
    let child_level = match level {
        SettingLevel::Site => SettingLevel::Service,
        SettingLevel::Service => SettingLevel::Organisation,
        _ => SettingLevel::Adapter,
    };
    for (name, child) in &node.children {
        let dot = if header.is_empty() { "" } else { "." };
        write_node(child, &format!("{header}{dot}{table}.\"{name}\""), child_level, text);
    }
}
