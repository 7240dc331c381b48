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
/// Longest time that is waited for anything, the same 78 s as between two changes.
const MOST_ROUNDS: usize = ROUNDS_PER_CHANGE;
/// Seeds of a host that starts while the platform's list is down.
const FEW_SEEDS: usize = 8;
/// Rounds in which rumours of the start die down, and rounds of the quiet time.
const QUIET_ROUNDS: usize = 40;
/// Rounds between two changes of configuration: 1,100 a day are one in 78 s.
const ROUNDS_PER_CHANGE: usize = 156;
/// Rounds between two restarts: 2,800 a day are one in 31 s.
const ROUNDS_PER_RESTART: usize = 62;

fn main() {
    println!("| hosts | all start at once: until each knows all, rounds; B/s of the busiest over 78 s | one restarts until it knows all, rounds | change everywhere, rounds | known on all to be everywhere, rounds | quiet, B/s a host | with changes and restarts, B/s a host (mean, most, most of a restarted one) | the same, 8 seeds for all | processor time a host, share of a core | memory a host, KB |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
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
    let (at_once, started) = start_at_once(hosts);
    let mut net = Net::new(hosts, REGIONS, SEED);
    net.settle();
    net.rounds(QUIET_ROUNDS);
    let memory_kb = (resident_kb() - before_kb) / hosts as f64;
    let quiet = cost(&mut net, QUIET_ROUNDS, |_, _| {});
    restart(&mut net, hosts - 1, hosts);
    let rejoin = net.rounds_until(MOST_ROUNDS, |net| net.everyone_knows(hosts));
    net.adopt(0, 1);
    let everywhere = net.rounds_until(MOST_ROUNDS, |net| net.in_force_everywhere(1));
    let known = net.rounds_until(MOST_ROUNDS, |net| {
        net.up()
            .all(|h| h.state.progress(1, net.now).in_force == hosts)
    });
    let busy = [hosts, FEW_SEEDS].map(|seeds| busy_cost(&mut net, seeds));
    println!(
        "| {hosts} | {}; {:.0} | {} | {} | {} | {:.0} | {:.0}, {:.0}, {:.0} | {:.0}, {:.0}, {:.0} | {:.3}% | {memory_kb:.0} |",
        shown(at_once),
        started.most,
        shown(rejoin),
        shown(everywhere),
        shown(everywhere.and(known).map(|k| k + everywhere.unwrap_or(0))),
        quiet.mean,
        busy[0].mean,
        busy[0].most,
        busy[0].most_started,
        busy[1].mean,
        busy[1].most,
        busy[1].most_started,
        busy[0].core_share * 100.0,
    );
}

/// Lets hosts that all start at once find each other, and returns the rounds.
fn start_at_once(hosts: usize) -> (Option<usize>, Cost) {
    let mut net = Net::new(hosts, REGIONS, SEED);
    let mut rounds = None;
    let cost = cost(&mut net, ROUNDS_PER_CHANGE, |net, round| {
        if rounds.is_none() && net.everyone_knows(hosts) {
            rounds = Some(round);
        }
    });
    (rounds, cost)
}

/// Runs a time with changes and with restarts, each of another host.
fn busy_cost(net: &mut Net, seeds: usize) -> Cost {
    cost(net, ROUNDS_PER_CHANGE, |net, round| {
        let hosts = net.hosts.len();
        if round % ROUNDS_PER_CHANGE == 0 {
            let revision = net.hosts[0].revision + 1;
            net.adopt(0, revision);
        }
        if round % ROUNDS_PER_RESTART == 0 {
            restart(net, hosts - 1 - round / ROUNDS_PER_RESTART, seeds);
        }
    })
}

fn restart(net: &mut Net, host: usize, seeds: usize) {
    let incarnation = net.hosts[host].state.table().own().incarnation + 1;
    net.restart(host, incarnation);
    let seeds = (0..seeds).map(net::addr_of).collect();
    net.hosts[host].state.set_seeds(seeds);
}

struct Cost {
    mean: f64,
    /// Of the hosts that did not start in the time.
    most: f64,
    /// Of the hosts that started in it.
    most_started: f64,
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
    let (mean, _) = net.bytes_per_s(over);
    let most = |is_started: bool| {
        let hosts = net.up().filter(|host| host.is_started == is_started);
        let bytes = hosts.map(|host| host.sent_bytes + host.received_bytes);
        bytes.max().unwrap_or(0) as f64 / over.as_secs_f64()
    };
    let busy = began.elapsed().as_secs_f64() / net.hosts.len() as f64;
    Cost {
        mean,
        most: most(false),
        most_started: most(true),
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
