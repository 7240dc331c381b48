//! `wharfctl trace`: the story of one request, or a summary, from the logs of hosts.

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

/// Values that stand elsewhere in the output.
const SHOWN: [&str; 5] = ["time", "level", "part", "text", "id"];

/// Returns the definition of the command.
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

/// Reads the lines and prints what is asked for.
///
/// # Errors
///
/// Returns an error if a file cannot be read, holds no line of a log, or does
/// not speak of the request.
pub(crate) fn run(matches: &ArgMatches) -> Result<()> {
    let files = matches.get_many::<String>("file").into_iter().flatten();
    let files: Vec<&str> = files.map(String::as_str).collect();
    let mut lines = Vec::new();
    let mut unread = 0;
    for file in if files.is_empty() { vec!["-"] } else { files } {
        unread += read(file, &mut lines)?;
    }
    ensure!(
        !lines.is_empty(),
        "no line of {unread} is one of a log in JSON"
    );
    lines.sort_by(|a, b| text(a, "time").cmp(text(b, "time")));
    match matches.get_one::<String>("id") {
        Some(id) => tell(id, &lines)?,
        None => sum_up(&lines),
    }
    if unread > 0 {
        eprintln!("{unread} lines are not of a log in JSON and were left out.");
    }
    Ok(())
}

/// Reads the lines of a file, and returns how many are none of a log.
fn read(file: &str, lines: &mut Vec<Value>) -> Result<usize> {
    let reader: Box<dyn Read> = match file {
        "-" => Box::new(io::stdin()),
        path => Box::new(File::open(path).with_context(|| format!("{path} cannot be opened"))?),
    };
    let mut unread = 0;
    for line in BufReader::new(reader).lines() {
        let line = line.with_context(|| format!("{file} cannot be read"))?;
        // Collectors put the name of the host before the line.
        let json = line.find('{').map_or("", |begin| &line[begin..]);
        match serde_json::from_str::<Value>(json) {
            Ok(value) if value.get("part").is_some() => lines.push(value),
            _ => unread += usize::from(!line.trim().is_empty()),
        }
    }
    Ok(unread)
}

fn text<'a>(line: &'a Value, field: &str) -> &'a str {
    line.get(field).and_then(Value::as_str).unwrap_or_default()
}

fn tell(id: &str, lines: &[Value]) -> Result<()> {
    let mut count = 0;
    for line in lines.iter().filter(|line| text(line, "id") == id) {
        count += 1;
        let values = line.as_object().into_iter().flatten();
        let values = values
            .filter(|(name, value)| !SHOWN.contains(&name.as_str()) && value.as_str() != Some(""));
        let values: Vec<String> = values
            .map(|(name, value)| match value.as_str() {
                Some(text) => format!("{name}={text}"),
                None => format!("{name}={value}"),
            })
            .collect();
        println!(
            "{} {:8} {} {}",
            text(line, "time"),
            text(line, "part"),
            text(line, "text"),
            values.join(" ")
        );
    }
    ensure!(count > 0, "no line speaks of request {id}");
    Ok(())
}

fn sum_up(lines: &[Value]) {
    let mut outcomes: BTreeMap<&str, usize> = BTreeMap::new();
    let mut reasons: BTreeMap<(&str, &str), usize> = BTreeMap::new();
    for line in lines {
        match text(line, "part") {
            "request" => {
                *outcomes.entry(text(line, "outcome")).or_default() += 1;
                let shards = text(line, "detail").split(", ");
                if text(line, "outcome") == "partial" {
                    for shard in shards {
                        let reason = shard.rsplit(' ').next().unwrap_or_default();
                        *reasons.entry(("missing shard", reason)).or_default() += 1;
                    }
                }
            }
            "call" if line.get("reason").is_some() => {
                *reasons
                    .entry(("failed call", text(line, "reason")))
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
