//! Runs a trial from the command line and prints its report.

use {
    clap::{
        builder::{PossibleValuesParser, RangedU64ValueParser},
        value_parser, Arg, ArgMatches, Command,
    },
    std::time::Duration,
    trial::{Controller, GateKind, Load, ServerFault, Service, Trial},
};

fn main() {
    let matches = command().get_matches();
    let floor_share = match text(&matches, "floors") {
        "landesamt" => Trial::landesamt_floors(),
        _ => Trial::tallapoosa_floors(),
    };
    let mut load = match text(&matches, "load") {
        "busy" => Load::busy(),
        "straggler" => Load::straggler(),
        "flood-background" => Load::flood_of_background(),
        "flood-urgent" => Load::flood_of_urgent(&floor_share),
        _ => Load::calm(),
    };
    load.server_fault = match text(&matches, "weak") {
        "half-slots" => ServerFault::HalfSlots,
        "no-queue" => ServerFault::NoQueue,
        "shedding" => ServerFault::Shedding,
        _ => ServerFault::None,
    };
    let service = match text(&matches, "service") {
        "fair-ledger" => Service::fair_ledger(),
        "pooled" => Service::pooled(),
        _ => Service::restock_desk(),
    };
    let gate_kind = match text(&matches, "gate") {
        "leaf" => GateKind::Leaf,
        "query" => GateKind::Query,
        _ => GateKind::Both,
    };
    let mut trial = Trial::new(service, load)
        .floor_share(floor_share)
        .gate_kind(gate_kind)
        .leaf_calls_per_slot(number(&matches, "leaf-percent") as f64 / 100.0)
        .controller(controller(&matches))
        .relays(number(&matches, "relays") as usize)
        .duration(Duration::from_secs(number(&matches, "seconds")))
        .seed(number(&matches, "seed"));
    if matches.get_flag("no-hedges") {
        trial = trial.without_hedges();
    }
    if matches.get_flag("lose-relay") {
        trial = trial.with_relay_loss();
    }
    println!("{}", trial.run());
}

fn controller(matches: &ArgMatches) -> Controller {
    match text(matches, "controller") {
        "fixed" => Controller::Fixed(number(matches, "window") as usize),
        _ => Controller::Delay,
    }
}

fn command() -> Command {
    Command::new("trial")
        .about("Runs admission and queries under paused time and prints a report by rank")
        .arg(choice("service", &["restock-desk", "fair-ledger", "pooled"]).help("Service to model"))
        .arg(
            choice(
                "load",
                &[
                    "calm",
                    "busy",
                    "straggler",
                    "flood-background",
                    "flood-urgent",
                ],
            )
            .help("Offered load; a flood is ten times the capacity"),
        )
        .arg(
            choice("weak", &["none", "half-slots", "no-queue", "shedding"])
                .help("Fault of the first server"),
        )
        .arg(choice("floors", &["tallapoosa", "landesamt"]).help("Floors of the ranks"))
        .arg(
            choice("gate", &["both", "query", "leaf"])
                .help("Where queries and their calls wait for admission"),
        )
        .arg(choice("controller", &["delay", "fixed"]).help("Algorithm of the window"))
        .arg(count("window", "32", 1..=10_000).help("Total of a fixed window"))
        .arg(
            count("leaf-percent", "200", 1..=10_000)
                .help("Concurrent calls to a server as a percentage of its slots"),
        )
        .arg(count("relays", "2", 1..=8).help("Relays among the 8 hosts"))
        .arg(count("seconds", "10", 1..=600).help("Simulated seconds after the warm-up"))
        .arg(count("seed", "1", 0..=1_000_000).help("Seed of the random numbers"))
        .arg(
            Arg::new("no-hedges")
                .long("no-hedges")
                .action(clap::ArgAction::SetTrue)
                .help("Disable hedged calls to slow shards"),
        )
        .arg(
            Arg::new("lose-relay")
                .long("lose-relay")
                .action(clap::ArgAction::SetTrue)
                .help("Lose a relay at a quarter of the time and replace it at half"),
        )
}

fn choice(name: &'static str, values: &[&'static str]) -> Arg {
    Arg::new(name)
        .long(name)
        .default_value(values[0])
        .value_parser(PossibleValuesParser::new(values.to_vec()))
}

fn count(name: &'static str, default: &'static str, allowed: std::ops::RangeInclusive<u64>) -> Arg {
    let parser: RangedU64ValueParser = value_parser!(u64).range(allowed);
    Arg::new(name)
        .long(name)
        .default_value(default)
        .value_parser(parser)
}

fn text<'a>(matches: &'a ArgMatches, name: &str) -> &'a str {
    matches.get_one::<String>(name).map_or("", String::as_str)
}

fn number(matches: &ArgMatches, name: &str) -> u64 {
    matches.get_one(name).copied().unwrap_or_default()
}
