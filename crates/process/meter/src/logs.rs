//! Log setup of the process.
//!
//! Each component logs under its own target, which prefixes the message:
//! `entry: Query refused.` JSON lines contain the target as a field.

use {
    anyhow::{Context, Result},
    flexi_logger::{json_format, DeferredNow, Logger, LoggerHandle},
    log::{kv, Record},
    serde_json::{Map, Value},
    std::{io, str::FromStr},
};

/// Format of the log lines.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LogFormat {
    /// Human-readable text.
    #[default]
    Text,
    /// One JSON object for each line.
    Json,
}

impl FromStr for LogFormat {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err(format!(
                "unknown log format '{text}': expected text or json"
            )),
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
        .context("invalid log specification")?
        .format(write_json)
        .log_to_stdout()
        .start()
        .context("cannot start the logger")
}

/// Starts logging to standard error; the handle keeps the logger alive.
///
/// # Errors
///
/// Returns an error if `level` is not a log specification or a logger already runs.
pub fn start_logs(level: &str, format: LogFormat) -> Result<LoggerHandle> {
    let logger = Logger::try_with_str(level).context("invalid log specification")?;
    let logger = match format {
        LogFormat::Text => logger.format(write_text),
        LogFormat::Json => logger.format(json_format),
    };
    logger
        .log_to_stderr()
        .start()
        .context("cannot start the logger")
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

/// Writes a JSON object with the time, the level, the component (`part`), the
/// message (`text`), and the key-value pairs of the record under their own names.
fn write_json(
    out: &mut dyn io::Write,
    now: &mut DeferredNow,
    record: &Record<'_>,
) -> io::Result<()> {
    let mut line = Map::new();
    let time = now.format("%Y-%m-%dT%H:%M:%S%.3fZ").to_string();
    line.insert("time".to_owned(), Value::from(time));
    line.insert("level".to_owned(), Value::from(record.level().as_str()));
    line.insert("part".to_owned(), Value::from(record.target()));
    line.insert("text".to_owned(), Value::from(record.args().to_string()));
    // An error while visiting the key-value pairs only omits the remaining ones.
    let _ = record.key_values().visit(&mut JsonFields(&mut line));
    serde_json::to_writer(out, &line).map_err(io::Error::other)
}

struct JsonFields<'a>(&'a mut Map<String, Value>);

impl<'kvs> kv::VisitSource<'kvs> for JsonFields<'_> {
    fn visit_pair(&mut self, key: kv::Key<'kvs>, value: kv::Value<'kvs>) -> Result<(), kv::Error> {
        let value = value
            .to_u64()
            .map(Value::from)
            .or_else(|| value.to_f64().map(Value::from))
            .or_else(|| value.to_bool().map(Value::from))
            .unwrap_or_else(|| Value::from(value.to_string()));
        self.0.insert(key.as_str().to_owned(), value);
        Ok(())
    }
}
