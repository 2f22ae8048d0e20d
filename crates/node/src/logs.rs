//! Logging to standard error, as text or JSON.

use eyre::eyre;
use logforth::{append, filter::rustlog::RustLogFilter, layout};

use crate::settings::LogFormat;

/// Installs the process's logger.
///
/// # Errors
/// Returns an error if a logger is already installed.
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
        .map_err(|error| eyre!("can not install the logger: {error}"))?;
    log::set_max_level(level);
    Ok(())
}
