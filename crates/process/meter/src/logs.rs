//! Logs of the process.
//!
//! Each part logs under a target of its own, which stands before the sentence
//! as its prefix: `entry: Query refused.` A JSON line carries the same.

use {
    anyhow::{Context, Result},
    flexi_logger::{json_format, DeferredNow, Logger, LoggerHandle},
    log::{kv, Record},
    serde_json::{Map, Value},
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
        .format(write_json)
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

/// Writes a JSON object: the time, the level, the part, the sentence, and the
/// values that the line carries under their own names.
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
    // A value that cannot be read is left out; the sentence stays.
    let _ = record.key_values().visit(&mut Values(&mut line));
    serde_json::to_writer(out, &line).map_err(io::Error::other)
}

struct Values<'a>(&'a mut Map<String, Value>);

impl<'kvs> kv::VisitSource<'kvs> for Values<'_> {
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
