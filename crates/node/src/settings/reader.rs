//! Reads the file into checked values, and notes every mistake.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use reelreel_core::settings::source::{SourceError, closest_match, line_and_column};
use toml::{
    Spanned,
    de::{DeTable, DeValue},
};

use super::fields::{FIELDS, FieldKind, FieldSpec, describe};

type FieldName = (&'static str, &'static str);

/// The checked values by name; each fits its [`FieldKind`].
pub(super) struct FieldValues {
    pub(super) numbers: BTreeMap<FieldName, u64>,
    pub(super) texts: BTreeMap<FieldName, String>,
}

impl FieldValues {
    pub(super) fn number(&self, table: &'static str, name: &'static str) -> u64 {
        self.numbers.get(&(table, name)).copied().unwrap_or_default()
    }

    pub(super) fn size(&self, table: &'static str, name: &'static str) -> usize {
        usize::try_from(self.number(table, name)).unwrap_or(usize::MAX)
    }

    pub(super) fn millis(&self, table: &'static str, name: &'static str) -> Duration {
        Duration::from_millis(self.number(table, name))
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
    pub(super) mistakes: Vec<SourceError>,
}

impl FieldReader<'_> {
    pub(super) fn note(&mut self, offset: usize, message: String) {
        let (line, column) = line_and_column(self.text, offset);
        self.mistakes.push(SourceError { line, column, message });
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
                None => self.unknown(offset, table, name),
            }
        }
    }

    pub(super) fn unknown(&mut self, offset: usize, table: &str, name: &str) {
        let in_table = FIELDS.iter().filter(|field| field.table == table);
        let tables = FIELDS.iter().map(|field| field.table).filter(|_| table.is_empty());
        let known = in_table.map(|field| field.name).chain(tables);
        let message = match closest_match(name, known) {
            Some(known) => format!("unknown key `{name}`; did you mean `{known}`?"),
            None => {
                format!("unknown key `{name}`; `reelreel settings keys` lists those that exist")
            }
        };
        self.note(offset, message);
    }

    pub(super) fn read_value(
        &mut self,
        field: &FieldSpec,
        value: &Spanned<DeValue<'_>>,
        values: &mut FieldValues,
    ) {
        let text = match value.get_ref() {
            DeValue::Integer(number) => number.as_str().to_owned(),
            DeValue::String(text) => text.to_string(),
            _ => String::new(),
        };
        let quoted = matches!(value.get_ref(), DeValue::String(_));
        let fits_quotes = quoted != matches!(field.kind, FieldKind::Number(..));
        if !fits_quotes || !put(field, &text, values) {
            let message = format!("`{}` must be {}", field.name, describe(field.kind));
            self.note(value.span().start, message);
        }
    }

    pub(super) fn fill_defaults(&mut self, values: &mut FieldValues) {
        for field in FIELDS {
            let name = (field.table, field.name);
            if values.numbers.contains_key(&name) || values.texts.contains_key(&name) {
                continue;
            }
            let misread = self
                .mistakes
                .iter()
                .any(|mistake| mistake.message.starts_with(&format!("`{}` must be", field.name)));
            if !put(field, field.default, values) && !misread {
                let message =
                    format!("`{}` is missing; it must be {}", field.name, describe(field.kind));
                self.note(self.text.len(), message);
            }
        }
    }
}

pub(super) fn addresses(text: &str) -> Vec<String> {
    text.split(',').map(str::trim).filter(|part| !part.is_empty()).map(str::to_owned).collect()
}

/// Enters a value if it fits its kind; says whether it does.
fn put(field: &FieldSpec, text: &str, values: &mut FieldValues) -> bool {
    let name = (field.table, field.name);
    match field.kind {
        FieldKind::Number(low, high) => match text.parse::<u64>() {
            Ok(number) if (low..=high).contains(&number) => {
                values.numbers.insert(name, number);
                true
            }
            _ => false,
        },
        FieldKind::Address => {
            let fits = text.parse::<SocketAddr>().is_ok();
            if fits {
                values.texts.insert(name, text.to_owned());
            }
            fits
        }
        FieldKind::Addresses => {
            let fits = addresses(text).iter().all(|part| part.parse::<SocketAddr>().is_ok());
            if fits {
                values.texts.insert(name, text.to_owned());
            }
            fits
        }
        FieldKind::Choice(choices) => {
            let fits = choices.contains(&text);
            if fits {
                values.texts.insert(name, text.to_owned());
            }
            fits
        }
    }
}
