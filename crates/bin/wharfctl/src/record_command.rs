//! Definition of the commands for records.

use {
    crate::argument::{parse_record_name, parse_stamp_text},
    clap::{value_parser, Arg, ArgAction, Command},
};

/// Operator of a change if none is given.
const DEFAULT_OPERATOR: &str = "unnamed";

/// Parses the name of an operator; an empty `USER` gives the default.
fn parse_operator(text: &str) -> Result<String, String> {
    match text {
        "" => Ok(DEFAULT_OPERATOR.to_owned()),
        _ => parse_stamp_text(text),
    }
}

/// Builds the commands for records.
pub(crate) fn commands() -> Vec<Command> {
    vec![
        check(),
        diff(),
        put(),
        record_command("retire", "Takes a record out of force")
            .args(change_flags())
            .after_help("Example: wharfctl retire shortfall 1 --if-match 12"),
        roll_back(),
        recover(),
        records(),
        history(),
        in_force(),
        explain(),
    ]
}

fn file_argument() -> Arg {
    Arg::new("file")
        .required(true)
        .action(ArgAction::Append)
        .num_args(1..)
        .help("Record files in TOML")
}

/// Creates a command with the arguments that identify a record.
fn record_command(name: &'static str, about: &'static str) -> Command {
    Command::new(name)
        .about(about)
        .arg(
            Arg::new("name")
                .required(true)
                .value_parser(parse_record_name)
                .help("Name of the record, such as shortfall"),
        )
        .arg(
            Arg::new("version")
                .required(true)
                .value_parser(value_parser!(u32))
                .help("Version of the record, such as 1"),
        )
        .arg(
            Arg::new("kind")
                .long("kind")
                .value_parser(["route", "service"])
                .help("Kind of the record, where a route and a service share name and version"),
        )
}

/// Creates the flags of the commands that change a record.
fn change_flags() -> Vec<Arg> {
    let mut flags = operation_flags();
    flags.push(
        Arg::new("if-match")
            .long("if-match")
            .value_name("REVISION")
            .value_parser(value_parser!(u64))
            .conflicts_with("if-head")
            .help("Revision of the record that you have seen; a newer one is a conflict"),
    );
    flags.push(
        Arg::new("if-head")
            .long("if-head")
            .value_name("REVISION")
            .value_parser(value_parser!(u64))
            .help("Revision of the whole head that you have seen; a newer one is a conflict"),
    );
    flags
}

/// Creates the flags of every command that commits an operation.
fn operation_flags() -> Vec<Arg> {
    vec![
        Arg::new("operation-id")
            .long("operation-id")
            .value_parser(parse_stamp_text)
            .help("Identifier of the operation; give it again to repeat an operation whose outcome is unknown"),
        Arg::new("operator")
            .long("operator")
            .env("USER")
            .default_value(DEFAULT_OPERATOR)
            .value_parser(parse_operator)
            .help("Your name, for the audit log and for those who race you"),
        Arg::new("wait")
            .long("wait")
            .action(ArgAction::SetTrue)
            .help("Waits until the change is in force on every host"),
        Arg::new("wait-timeout-ms")
            .long("wait-timeout-ms")
            .default_value("30000")
            .value_parser(value_parser!(u64))
            .help("Longest time to wait, in milliseconds"),
    ]
}

fn check() -> Command {
    Command::new("check")
        .about("Checks record files; needs no server")
        .arg(file_argument())
        .after_help("Example: wharfctl check service.toml route.toml")
}

fn diff() -> Command {
    Command::new("diff")
        .about("Compares record files with the records in force")
        .arg(file_argument())
        .after_help(
            "Each line names a field: '-' as it is in force, '+' as the file has it. \
             A record that is not in force yet is shown whole. \
             Example: wharfctl diff route.toml",
        )
}

fn put() -> Command {
    Command::new("put")
        .about("Commits record files, one after the other")
        .arg(file_argument())
        .args(change_flags())
        .arg(
            Arg::new("create")
                .long("create")
                .action(ArgAction::SetTrue)
                .conflicts_with_all(["if-match", "if-head"])
                .help("Commits only records that are not in force yet"),
        )
        .after_help(
            "Prints 'accepted' once the change is committed, and with --wait on how many hosts \
             it is in force. A lost reply is repeated under the same operation id, which never \
             commits twice. Example: wharfctl put route.toml --if-match 12 --wait",
        )
}

fn roll_back() -> Command {
    record_command(
        "rollback",
        "Brings an earlier body of a record into force again, as a new revision",
    )
    .arg(
        Arg::new("to")
            .long("to")
            .value_name("REVISION")
            .required(true)
            .value_parser(value_parser!(u64))
            .help("Revision at which the wanted body was in force, see 'wharfctl history'"),
    )
    .args(change_flags())
    .after_help("Example: wharfctl rollback shortfall 1 --to 9 --wait")
}

fn recover() -> Command {
    Command::new("recover")
        .about("Gives the store back what the hosts hold, after it was restored to an older state")
        .args(operation_flags())
        .after_help(
            "Hosts refuse a store that shows an older state and raise wharf_store_reverted. \
             This command commits what the asked host holds as a new, higher revision. Changes \
             that were made to the restored store in between are dropped: look at \
             'wharfctl records' first, and put them again afterwards. \
             Example: wharfctl recover --wait",
        )
}

fn records() -> Command {
    Command::new("records")
        .about("Lists the records in force, with their revisions")
        .after_help("Example: wharfctl records --json")
}

fn history() -> Command {
    Command::new("history")
        .about("Lists the last operations, the newest first")
        .arg(
            Arg::new("name")
                .value_parser(parse_record_name)
                .help("Name of a record; all without it"),
        )
        .arg(
            Arg::new("version")
                .requires("name")
                .value_parser(value_parser!(u32))
                .help("Version of the record"),
        )
        .arg(
            Arg::new("limit")
                .long("limit")
                .default_value("50")
                .value_parser(value_parser!(u64).range(1..=256))
                .help("Number of revisions to look back, at most 256"),
        )
        .after_help("Example: wharfctl history shortfall 1 --limit 20")
}

fn in_force() -> Command {
    record_command(
        "in-force",
        "Shows on which hosts the newest change of a record is in force",
    )
    .after_help("Example: wharfctl in-force shortfall 1")
}

fn explain() -> Command {
    Command::new("explain")
        .about("Shows the plan of a query: service, index version, shards, servers and relays")
        .arg(
            Arg::new("route")
                .required(true)
                .value_parser(parse_record_name)
                .help("Name of the route"),
        )
        .arg(
            Arg::new("version")
                .value_parser(value_parser!(u32))
                .help("Version of the route; the newest without it"),
        )
        .after_help("Example: wharfctl explain shortfall 1")
}
