//! Describes why an interrupted stream was not resumed.

use std::borrow::Cow;

/// The name of each cause in log lines, and what it means.
const RESUME_FAILURES: &[(&str, &str)] = &[
    ("not_resumable", "its route allows no resume"),
    ("resume_limit", "it had been resumed as often as a stream may be"),
    ("attempt_limit", "its route allows no further engine"),
    ("send_limit", "it had been sent as often as a request may be"),
    ("retry_budget", "the retry budget was used up"),
    ("deadline", "its time was over"),
    ("held", "it is held back"),
    ("no_copy", "no engine held its adapter, and no load of it was due in time"),
    ("excluded", "only engines that could not take it again held its adapter"),
    ("no_engine", "no engine of its software version accepted work"),
    ("no_permit", "the limits and cooldowns of the engines left no permit in time"),
    ("rejected", "its key had changed"),
    ("client_gone", "its client left"),
];

/// Returns what a cause in a log line means, or the cause itself if a later version wrote it.
pub(super) fn describe_resume_failure(cause: &str) -> Cow<'_, str> {
    let known = RESUME_FAILURES.iter().find(|(name, _)| *name == cause);
    known.map_or_else(
        || Cow::Owned(format!("\"{cause}\", which this program does not know")),
        |(_, text)| Cow::Borrowed(*text),
    )
}
