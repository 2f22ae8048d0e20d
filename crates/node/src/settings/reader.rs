//! Reads a settings file into validated values and collects all errors.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use reelreel_core::settings::source::{SourceError, closest_match, line_and_column};
use toml::{
    Spanned,
    de::{DeTable, DeValue},
};

use super::fields::{FIELDS, FieldKind, FieldSpec, describe_kind};

type FieldName = (&'static str, &'static str);

/// The validated values by table and name; each is valid for its [`FieldKind`].
pub(super) struct FieldValues {
    pub(super) integers: BTreeMap<FieldName, u64>,
    pub(super) texts: BTreeMap<FieldName, String>,
}

impl FieldValues {
    pub(super) fn integer(&self, table: &'static str, name: &'static str) -> u64 {
        self.integers.get(&(table, name)).copied().unwrap_or_default()
    }

    pub(super) fn count(&self, table: &'static str, name: &'static str) -> usize {
        usize::try_from(self.integer(table, name)).unwrap_or(usize::MAX)
    }

    pub(super) fn millis(&self, table: &'static str, name: &'static str) -> Duration {
        Duration::from_millis(self.integer(table, name))
    }

    pub(super) fn address(&self, name: &'static str) -> SocketAddr {
        let text = self.texts.get(&("", name)).map(String::as_str).unwrap_or_default();
        text.parse().unwrap_or_else(|_| SocketAddr::from(([127, 0, 0, 1], 0)))
    }

    pub(super) fn text(&self, table: &'static str, name: &'static str) -> &str {
        self.texts.get(&(table, name)).map(String::as_str).unwrap_or_default()
    }
}

pub(super) struct FieldReader<'a> {
    pub(super) text: &'a str,
    pub(super) errors: Vec<SourceError>,
}

impl FieldReader<'_> {
    pub(super) fn record(&mut self, offset: usize, message: String) {
        let (line, column) = line_and_column(self.text, offset);
        self.errors.push(SourceError { line, column, message });
    }

    pub(super) fn read_table(
        &mut self,
        table: &str,
        content: &DeTable<'_>,
        values: &mut FieldValues,
    ) {
        for (name, value) in content {
            let offset = name.span().start;
            let name: &str = name.get_ref();
            let is_table = FIELDS.iter().any(|field| !name.is_empty() && field.table == name);
            if let (DeValue::Table(inner), true, true) =
                (value.get_ref(), is_table, table.is_empty())
            {
                self.read_table(name, inner, values);
                continue;
            }
            let known = FIELDS.iter().find(|field| field.table == table && field.name == name);
            match known {
                Some(field) => self.read_value(field, value, values),
                None => self.record_unknown_key(offset, table, name),
            }
        }
    }

    pub(super) fn record_unknown_key(&mut self, offset: usize, table: &str, name: &str) {
        let in_table = FIELDS.iter().filter(|field| field.table == table);
        let tables = FIELDS.iter().map(|field| field.table).filter(|_| table.is_empty());
        let known = in_table.map(|field| field.name).chain(tables);
        let message = match closest_match(name, known) {
            Some(known) => format!("unknown key `{name}`; did you mean `{known}`?"),
            None => {
                format!("unknown key `{name}`; `reelreel settings keys` lists those that exist")
            }
        };
        self.record(offset, message);
    }

    pub(super) fn read_value(
        &mut self,
        field: &FieldSpec,
        value: &Spanned<DeValue<'_>>,
        values: &mut FieldValues,
    ) {
        let text = match value.get_ref() {
            DeValue::Integer(integer) => integer.as_str().to_owned(),
            DeValue::String(text) => text.to_string(),
            _ => String::new(),
        };
        let quoted = matches!(value.get_ref(), DeValue::String(_));
        let is_expected_type = quoted != matches!(field.kind, FieldKind::Integer(..));
        if !is_expected_type || !store_value(field, &text, values) {
            let message = format!("`{}` must be {}", field.name, describe_kind(field.kind));
            self.record(value.span().start, message);
        }
    }

    pub(super) fn fill_defaults(&mut self, values: &mut FieldValues) {
        for field in FIELDS {
            let name = (field.table, field.name);
            if values.integers.contains_key(&name) || values.texts.contains_key(&name) {
                continue;
            }
            let already_reported = self
                .errors
                .iter()
                .any(|error| error.message.starts_with(&format!("`{}` must be", field.name)));
            if !store_value(field, field.default, values) && !already_reported {
                let message = format!(
                    "`{}` is missing; it must be {}",
                    field.name,
                    describe_kind(field.kind)
                );
                self.record(self.text.len(), message);
            }
        }
    }
}

pub(super) fn split_addresses(text: &str) -> Vec<String> {
    text.split(',').map(str::trim).filter(|part| !part.is_empty()).map(str::to_owned).collect()
}

/// Stores a value if it is valid for its kind; returns whether it is.
fn store_value(field: &FieldSpec, text: &str, values: &mut FieldValues) -> bool {
    let name = (field.table, field.name);
    match field.kind {
        FieldKind::Integer(low, high) => match text.parse::<u64>() {
            Ok(integer) if (low..=high).contains(&integer) => {
                values.integers.insert(name, integer);
                true
            }
            _ => false,
        },
        FieldKind::Address => {
            let valid = text.parse::<SocketAddr>().is_ok();
            if valid {
                values.texts.insert(name, text.to_owned());
            }
            valid
        }
        FieldKind::Addresses => {
            let valid = split_addresses(text).iter().all(|part| part.parse::<SocketAddr>().is_ok());
            if valid {
                values.texts.insert(name, text.to_owned());
            }
            valid
        }
        FieldKind::Choice(choices) => {
            let valid = choices.contains(&text);
            if valid {
                values.texts.insert(name, text.to_owned());
            }
            valid
        }
    }
}
