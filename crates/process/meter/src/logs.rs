//! Logs of the process.
//!
//! Each part logs under a target of its own, which stands before the sentence
//! as its prefix: `entry: Query refused.` A JSON line carries the same.

use {
    anyhow::{Context, Result},
    flexi_logger::{json_format, DeferredNow, Logger, LoggerHandle},
    log::Record,
    std::{io, str::FromStr},
};

/// Form of the log lines.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LogFormat {
    /// Text for people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

impl FromStr for LogFormat {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err(format!("'{text}' is none of text, json")),
        }
    }
}

/// Starts logging JSON lines to standard output; the handle keeps the logger alive.
///
/// # Errors
///
/// Returns an error if `level` is not a log specification or a logger already runs.
pub fn start_json_logs(level: &str) -> Result<LoggerHandle> {
    Logger::try_with_str(level)
        .context("the log level is not valid")?
        .format(json_format)
        .log_to_stdout()
        .start()
        .context("the logger does not start")
}

/// Starts logging to standard error; the handle keeps the logger alive.
///
/// # Errors
///
/// Returns an error if `level` is not a log specification or a logger already runs.
pub fn start_logs(level: &str, format: LogFormat) -> Result<LoggerHandle> {
    let logger = Logger::try_with_str(level).context("the log level is not valid")?;
    let logger = match format {
        LogFormat::Text => logger.format(write_text),
        LogFormat::Json => logger.format(json_format),
    };
    logger
        .log_to_stderr()
        .start()
        .context("the logger does not start")
}

fn write_text(
    out: &mut dyn io::Write,
    now: &mut DeferredNow,
    record: &Record<'_>,
) -> io::Result<()> {
    write!(
        out,
        "{} {:5} {}: {}",
        now.format("%Y-%m-%dT%H:%M:%S%.3fZ"),
        record.level(),
        record.target(),
        record.args()
    )
}
