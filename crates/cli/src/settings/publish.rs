//! Exports, compares and publishes settings files and lists earlier publications.

use std::{fmt::Write, path::Path, process::ExitCode, time::SystemTime};

use eyre::eyre;
use reelreel_core::settings::{
    ChangeRecord, ChangeVerdict, EditAction, SettingsEdit, SettingsPath, change::RECORD_FORMAT,
};

use super::{read_file, read_text};
use crate::{
    options::{LogSource, PublishOptions},
    output::{OutputFormat, print, write_out},
    platform_log::PlatformLog,
};

/// Prefix of an exported file's first line; the base revision follows.
const BASE_REVISION_PREFIX: &str = "# made from revision ";

/// Prints the tree in force as a settings file.
pub(super) fn export(log: &LogSource) -> eyre::Result<ExitCode> {
    let settings = PlatformLog::new(log).replay()?;
    write_out(&format!(
        "{BASE_REVISION_PREFIX}{}\n{}",
        settings.revision(),
        settings.tree().to_toml()
    ))?;
    Ok(ExitCode::SUCCESS)
}

/// Returns the base revision in a file's first line.
fn parse_base_revision(text: &str) -> Option<u64> {
    text.lines().next()?.strip_prefix(BASE_REVISION_PREFIX)?.trim().parse().ok()
}

fn format_edit(edit: &SettingsEdit) -> String {
    let path = &edit.path;
    match &edit.action {
        EditAction::Create => format!("create {path}"),
        EditAction::Set(key, value) => format!("set    {path} {} = {value}", key.name()),
        EditAction::Unset(key) => format!("unset  {path} {}", key.name()),
        EditAction::Remove => format!("remove {path}"),
    }
}

fn format_edits(edits: &[SettingsEdit]) -> String {
    let mut text = String::new();
    for edit in edits {
        let _infallible = writeln!(text, "{}", format_edit(edit));
    }
    text
}

/// Prints the edits that publishing a file would make.
pub(super) fn diff(log: &LogSource, file: &Path, output: OutputFormat) -> eyre::Result<ExitCode> {
    let target = read_file(file)?;
    let settings = PlatformLog::new(log).replay()?;
    let edits = settings.tree().diff_edits(&target);
    print(output, &edits, || format_edits(&edits))?;
    Ok(ExitCode::SUCCESS)
}

/// Publishes a file.
pub(super) fn publish(options: &PublishOptions) -> eyre::Result<ExitCode> {
    let text = read_text(&options.file)?;
    let target = read_file(&options.file)?;
    let log = PlatformLog::new(&options.log);
    let settings = log.replay()?;
    let mut edits = settings.tree().diff_edits(&target);
    if let Some(at) = &options.at {
        let at = SettingsPath::parse(at).map_err(|reason| eyre!(reason))?;
        edits.retain(|edit| edit.path.segments().starts_with(at.segments()));
    }
    if edits.is_empty() {
        println!("nothing to publish: the file equals revision {}", settings.revision());
        return Ok(ExitCode::SUCCESS);
    }
    let base_revision =
        options.base.or_else(|| parse_base_revision(&text)).unwrap_or(settings.revision());
    let record = ChangeRecord {
        format: RECORD_FORMAT,
        change_id: change_id(),
        base_revision,
        author: options.author.clone(),
        message: options.message.clone(),
        edits,
    };
    let verdict = log.publish(&record)?;
    print(options.output, &verdict, || match &verdict.result {
        Ok(revision) => format!("accepted as revision {revision}\n{}", format_edits(&record.edits)),
        Err(refusal) => format!("refused: {refusal}\n"),
    })?;
    Ok(if verdict.result.is_ok() { ExitCode::SUCCESS } else { ExitCode::from(3) })
}

/// Returns a unique id built from the time and the process id.
fn change_id() -> String {
    let elapsed = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    format!("{:x}-{:x}", elapsed.as_nanos(), std::process::id())
}

/// Prints the latest publications and their verdicts.
pub(super) fn history(log: &LogSource, output: OutputFormat) -> eyre::Result<ExitCode> {
    let settings = PlatformLog::new(log).replay()?;
    let verdicts: Vec<&ChangeVerdict> = settings.verdicts().collect();
    print(output, &verdicts, || {
        let mut text = String::new();
        for verdict in &verdicts {
            let outcome = match &verdict.result {
                Ok(revision) => format!("revision {revision}"),
                Err(refusal) => format!("refused: {refusal}"),
            };
            let ChangeVerdict { offset, author, message, .. } = verdict;
            let _infallible = writeln!(text, "{offset} {author} {message:?}: {outcome}");
        }
        text
    })?;
    Ok(ExitCode::SUCCESS)
}
