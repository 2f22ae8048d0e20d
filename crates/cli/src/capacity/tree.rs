//! Measures the settings tree: memory per adapter, applying records, snapshots and lookups.

use reelreel_core::settings::{
    ChangeRecord, EditAction, SettingKey, SettingValue, SettingsEdit, SettingsFold, SettingsPath,
    change::RECORD_FORMAT, fold::LogRecord,
};

use super::{CapacityTable, allocated_bytes, micros_per_item};

/// Adapters per organisation.
const ADAPTERS_PER_ORGANISATION: usize = 50;

/// Number of lookups timed.
const LOOKUPS: usize = 20_000;

/// Returns the path of an adapter in the measured tree.
pub(super) fn adapter_path(index: usize) -> String {
    format!("assist/organisation-{}/adapter-{index}", index / ADAPTERS_PER_ORGANISATION)
}

/// Builds one change record that creates `count` adapters with a version each.
pub(super) fn adapters_record(count: usize) -> ChangeRecord {
    let adapter = |index: usize| SettingsEdit {
        path: SettingsPath::parse(&adapter_path(index)).unwrap_or_default(),
        action: EditAction::Set(SettingKey::Version, SettingValue::Integer(1)),
    };
    ChangeRecord {
        format: RECORD_FORMAT,
        change_id: String::from("capacity"),
        base_revision: 0,
        author: String::from("capacity"),
        message: String::new(),
        edits: (0..count).map(adapter).collect(),
    }
}

/// Encodes a change as a record of the settings stream.
pub(super) fn log_record(offset: u64, record: &ChangeRecord) -> eyre::Result<LogRecord> {
    Ok(LogRecord { offset, written_millis: offset, payload: serde_json::to_vec(record)? })
}

pub(super) fn measure(table: &mut CapacityTable, quick: bool) -> eyre::Result<()> {
    let sizes: &[usize] = if quick { &[1_000, 10_000] } else { &[1_000, 10_000, 94_000] };
    for count in sizes.iter().copied() {
        let size = format!("{count} adapters");
        let record = log_record(0, &adapters_record(count))?;
        let record_bytes = record.payload.len() as f64;
        let mut settings = SettingsFold::default();
        let (fold_micros, _) = micros_per_item(count, || settings.fold(record));
        let (snapshot_micros, snapshot) = micros_per_item(count, || settings.snapshot());
        let json = snapshot.to_json();
        table.add(
            "settings: first publication, per adapter",
            &size,
            record_bytes / count as f64,
            "bytes",
        );
        table.add("settings: fold of it, per adapter", &size, fold_micros, "us");
        table.add("settings: snapshot written, per adapter", &size, snapshot_micros, "us");
        table.add(
            "settings: snapshot, per adapter",
            &size,
            json.len() as f64 / count as f64,
            "bytes",
        );
        let before = allocated_bytes();
        let mut restored = SettingsFold::default();
        let (install_micros, installed) =
            micros_per_item(count, || restored.install_snapshot(snapshot));
        installed?;
        table.add("settings: snapshot taken over, per adapter", &size, install_micros, "us");
        let bytes_per_adapter = (allocated_bytes() - before) / count as f64;
        table.add("settings: memory of the tree, per adapter", &size, bytes_per_adapter, "bytes");
        let names: Vec<String> =
            (0..LOOKUPS).map(|index| adapter_path(index * 7919 % count)).collect();
        let (resolve_micros, found) = micros_per_item(LOOKUPS, || {
            names.iter().filter(|name| restored.tree().resolve(name).is_ok()).count()
        });
        eyre::ensure!(found == LOOKUPS, "only {found} of {LOOKUPS} models were found");
        table.add("settings: a model resolved", &size, resolve_micros, "us");
        let path = SettingsPath::parse(&names[0]).unwrap_or_default();
        let (effective_micros, worth) = micros_per_item(LOOKUPS, || {
            (0..LOOKUPS).map(|_| restored.tree().effective(&path).worth).sum::<f64>()
        });
        eyre::ensure!(worth > 0.0, "the default worth is positive");
        table.add("settings: effective values of a place", &size, effective_micros, "us");
        let mut change = adapters_record(0);
        change.edits = vec![SettingsEdit {
            path,
            action: EditAction::Set(SettingKey::Version, SettingValue::Integer(2)),
        }];
        change.base_revision = 1;
        let change_record = log_record(restored.next_offset(), &change)?;
        let change_bytes = change_record.payload.len() as f64;
        let (change_micros, _) = micros_per_item(1, || restored.fold(change_record));
        table.add("settings: one further publication", &size, change_micros, "us");
        table.add("settings: one further publication", &size, change_bytes, "bytes");
    }
    Ok(())
}
