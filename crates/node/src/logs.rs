//! Log lines, as text or JSON, to standard error.

use eyre::eyre;
use logforth::{append, filter::rustlog::RustLogFilter, layout};

use crate::settings::LogFormat;

/// Sets the process's logger up.
///
/// # Errors
/// Returns that a logger was set up before.
pub fn start_logs(format: LogFormat, level: log::LevelFilter) -> eyre::Result<()> {
    let appender = match format {
        LogFormat::Text => {
            append::Stderr::default().with_layout(layout::TextLayout::default().no_color())
        }
        LogFormat::Json => append::Stderr::default().with_layout(layout::JsonLayout::default()),
    };
    let filter = RustLogFilter::from(level.as_str());
    logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.filter(filter).append(appender))
        .try_apply()
        .map_err(|error| eyre!("the logger could not be set up: {error}"))?;
    log::set_max_level(level);
    Ok(())
}
