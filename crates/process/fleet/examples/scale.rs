//! Prints what the exchange costs and how fast it converges, by size of the fleet.
//!
//! All hosts' decision states run in this one process under passed-in time
//! with fixed seeds, so all figures but the processor time are the same on
//! every run.

#[path = "../tests/net/mod.rs"]
mod net;

use {
    fleet::ROUND_PAUSE,
    net::Net,
    std::{
        fs,
        time::{Duration, Instant},
    },
};

const REGIONS: usize = 5;
const SEED: u64 = 1_300;
const MOST_ROUNDS: usize = 120;
/// Largest fleet whose start all at once is measured; the rest is too slow to run.
const MOST_STARTED_AT_ONCE: usize = 325;
/// Rounds in which rumours of the start die down, and rounds of the quiet time.
const QUIET_ROUNDS: usize = 40;
/// Rounds between two changes of configuration: 1,100 a day are one in 78 s.
const ROUNDS_PER_CHANGE: usize = 156;
/// Rounds between two restarts: 2,800 a day are one in 31 s.
const ROUNDS_PER_RESTART: usize = 62;

fn main() {
    println!("| hosts | all start at once until each knows all, rounds | one restarts until it knows all, rounds | change everywhere, rounds | known on all to be everywhere, rounds | quiet, B/s a host | with changes and restarts, B/s a host (mean, most) | processor time a host, share of a core | memory a host, KB |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for hosts in sizes() {
        print_row(hosts);
    }
}

fn sizes() -> Vec<usize> {
    let given: Vec<_> = std::env::args().skip(1).flat_map(|a| a.parse()).collect();
    if given.is_empty() {
        vec![8, 16, 32, 64, 128, 325, 650, 1_300]
    } else {
        given
    }
}

fn print_row(hosts: usize) {
    let before_kb = resident_kb();
    let join = mass_start(hosts);
    let mut net = Net::new(hosts, REGIONS, SEED);
    net.settle();
    net.rounds(QUIET_ROUNDS);
    let memory_kb = (resident_kb() - before_kb) / hosts as f64;
    let quiet = cost(&mut net, QUIET_ROUNDS, |_, _| {});
    net.restart(hosts - 1, 2);
    net.hosts[hosts - 1]
        .state
        .set_seeds((0..8).map(net::addr_of).collect());
    let rejoin = net.rounds_until(MOST_ROUNDS, |net| net.everyone_knows(hosts));
    net.adopt(0, 1);
    let everywhere = net.rounds_until(MOST_ROUNDS, |net| net.in_force_everywhere(1));
    let known = net.rounds_until(MOST_ROUNDS, |net| {
        net.up()
            .all(|h| h.state.progress(1, net.now).in_force == hosts)
    });
    let mut incarnation = 2;
    let busy = cost(&mut net, ROUNDS_PER_CHANGE, |net, round| {
        if round % ROUNDS_PER_CHANGE == 0 {
            let revision = net.hosts[0].revision + 1;
            net.adopt(0, revision);
        }
        if round % ROUNDS_PER_RESTART == 0 {
            incarnation += 1;
            net.restart(hosts - 1, incarnation);
            let seeds = (0..8).map(net::addr_of).collect();
            net.hosts[hosts - 1].state.set_seeds(seeds);
        }
    });
    println!(
        "| {hosts} | {} | {} | {} | {} | {:.0} | {:.0}, {:.0} | {:.3}% | {memory_kb:.0} |",
        join,
        shown(rejoin),
        shown(everywhere),
        shown(everywhere.and(known).map(|k| k + everywhere.unwrap_or(0))),
        quiet.mean,
        busy.mean,
        busy.most,
        busy.core_share * 100.0,
    );
}

/// Returns the rounds until hosts that all start at once know each other.
fn mass_start(hosts: usize) -> String {
    if hosts > MOST_STARTED_AT_ONCE {
        return "not run".to_owned();
    }
    let mut net = Net::new(hosts, REGIONS, SEED);
    shown(net.rounds_until(MOST_ROUNDS, |net| net.everyone_knows(hosts)))
}

struct Cost {
    mean: f64,
    most: f64,
    core_share: f64,
}

fn cost(net: &mut Net, rounds: usize, mut before: impl FnMut(&mut Net, usize)) -> Cost {
    net.reset_bytes();
    let began = Instant::now();
    for round in 0..rounds {
        before(net, round);
        net.round();
    }
    let over: Duration = ROUND_PAUSE * u32::try_from(rounds).unwrap_or(u32::MAX);
    let (mean, most) = net.bytes_per_s(over);
    let busy = began.elapsed().as_secs_f64() / net.hosts.len() as f64;
    Cost {
        mean,
        most,
        core_share: busy / over.as_secs_f64(),
    }
}

fn shown(rounds: Option<usize>) -> String {
    rounds.map_or_else(
        || format!("over {MOST_ROUNDS}"),
        |rounds| rounds.to_string(),
    )
}

fn resident_kb() -> f64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let digits = line.and_then(|line| line.split_whitespace().nth(1));
    digits.and_then(|kb| kb.parse().ok()).unwrap_or(0.0)
}
