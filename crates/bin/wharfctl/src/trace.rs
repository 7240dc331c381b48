//! `wharfctl trace`: prints the log lines of one request, or a summary of all requests.

use {
    anyhow::{ensure, Context, Result},
    clap::{Arg, ArgAction, ArgMatches, Command},
    serde_json::Value,
    std::{
        collections::BTreeMap,
        fs::File,
        io::{self, BufRead, BufReader, Read},
    },
};

/// Fields that are not printed as `name=value` at the end of a line.
const FIXED_FIELDS: [&str; 5] = ["time", "level", "part", "text", "id"];

/// Builds the command.
pub(crate) fn command() -> Command {
    Command::new("trace")
        .about("Tell the story of one request from the JSON lines of hosts, or sum all requests up")
        .arg(Arg::new("id").long("id").help("Identifier of the request"))
        .arg(
            Arg::new("summary")
                .long("summary")
                .help("Count requests by outcome, and missing shards and failed calls by reason")
                .action(ArgAction::SetTrue)
                .conflicts_with("id"),
        )
        .arg(
            Arg::new("file")
                .help("Files with log lines; none or - reads standard input")
                .action(ArgAction::Append),
        )
}

/// Reads log lines and prints the request with `--id`, or else a summary.
///
/// # Errors
///
/// Returns an error if a file cannot be read, or if there are no JSON log lines at
/// all or none of the request.
pub(crate) fn run(matches: &ArgMatches) -> Result<()> {
    let files = matches.get_many::<String>("file").into_iter().flatten();
    let files: Vec<&str> = files.map(String::as_str).collect();
    let mut lines = Vec::new();
    let mut skipped = 0;
    for file in if files.is_empty() { vec!["-"] } else { files } {
        skipped += read(file, &mut lines)?;
    }
    ensure!(
        !lines.is_empty(),
        "no line of {skipped} is one of a log in JSON"
    );
    lines.sort_by(|a, b| text_field(a, "time").cmp(text_field(b, "time")));
    match matches.get_one::<String>("id") {
        Some(id) => print_request(id, &lines)?,
        None => print_summary(&lines),
    }
    if skipped > 0 {
        eprintln!("{skipped} lines are not JSON log lines and were skipped.");
    }
    Ok(())
}

/// Appends the JSON log lines of a file to `lines` and returns how many other lines
/// it has.
fn read(file: &str, lines: &mut Vec<Value>) -> Result<usize> {
    let reader: Box<dyn Read> = match file {
        "-" => Box::new(io::stdin()),
        path => Box::new(File::open(path).with_context(|| format!("{path} cannot be opened"))?),
    };
    let mut skipped = 0;
    for line in BufReader::new(reader).lines() {
        let line = line.with_context(|| format!("{file} cannot be read"))?;
        // Log collectors put the host name before the JSON object.
        let json = line.find('{').map_or("", |begin| &line[begin..]);
        match serde_json::from_str::<Value>(json) {
            Ok(value) if value.get("part").is_some() => lines.push(value),
            _ => skipped += usize::from(!line.trim().is_empty()),
        }
    }
    Ok(skipped)
}

/// Returns a field of a log line as text, empty if it is absent or not a string.
fn text_field<'a>(line: &'a Value, field: &str) -> &'a str {
    line.get(field).and_then(Value::as_str).unwrap_or_default()
}

/// Prints the lines of one request.
fn print_request(id: &str, lines: &[Value]) -> Result<()> {
    let mut count = 0;
    for line in lines.iter().filter(|line| text_field(line, "id") == id) {
        count += 1;
        let values = line.as_object().into_iter().flatten();
        let values = values.filter(|(name, value)| {
            !FIXED_FIELDS.contains(&name.as_str()) && value.as_str() != Some("")
        });
        let values: Vec<String> = values
            .map(|(name, value)| match value.as_str() {
                Some(text) => format!("{name}={text}"),
                None => format!("{name}={value}"),
            })
            .collect();
        println!(
            "{} {:8} {} {}",
            text_field(line, "time"),
            text_field(line, "part"),
            text_field(line, "text"),
            values.join(" ")
        );
    }
    ensure!(count > 0, "no line speaks of request {id}");
    Ok(())
}

/// Prints how often each outcome and each reason of a failure occurs.
fn print_summary(lines: &[Value]) {
    let mut outcomes: BTreeMap<&str, usize> = BTreeMap::new();
    let mut reasons: BTreeMap<(&str, &str), usize> = BTreeMap::new();
    for line in lines {
        match text_field(line, "part") {
            "request" => {
                *outcomes.entry(text_field(line, "outcome")).or_default() += 1;
                let shards = text_field(line, "detail").split(", ");
                if text_field(line, "outcome") == "partial" {
                    for shard in shards {
                        let reason = shard.rsplit(' ').next().unwrap_or_default();
                        *reasons.entry(("missing shard", reason)).or_default() += 1;
                    }
                }
            }
            "call" if line.get("reason").is_some() => {
                *reasons
                    .entry(("failed call", text_field(line, "reason")))
                    .or_default() += 1;
            }
            _ => {}
        }
    }
    for (outcome, count) in outcomes {
        println!("request {outcome}: {count}");
    }
    for ((what, reason), count) in reasons {
        println!("{what} {reason}: {count}");
    }
}
