//! Prints the cost and the convergence time of the exchange by number of hosts.
//!
//! All hosts are simulated in this process under virtual time with fixed
//! seeds, so all figures except processor time and memory are the same on
//! every run.

#[path = "../tests/net/mod.rs"]
mod net;

use {
    fleet::ROUND_PAUSE,
    net::Cluster,
    std::{
        fs,
        time::{Duration, Instant},
    },
};

const REGIONS: usize = 5;
const SEED: u64 = 1_300;
/// Maximum number of rounds to wait, 78 s as between two changes.
const MAX_ROUNDS: usize = ROUNDS_PER_CHANGE;
/// Number of seeds of a host that starts while the platform's host list is unavailable.
const FEW_SEEDS: usize = 8;
/// Rounds until the update queues are empty, and rounds of the idle measurement.
const IDLE_ROUNDS: usize = 40;
/// Rounds between two changes of configuration: 1,100 a day are one in 78 s.
const ROUNDS_PER_CHANGE: usize = 156;
/// Rounds between two restarts: 2,800 a day are one in 31 s.
const ROUNDS_PER_RESTART: usize = 62;

fn main() {
    println!("| hosts | simultaneous start: rounds until all know all; maximum B/s of a host over 78 s | rounds until all know a restarted host | rounds until a change is in force on all | rounds until all know that it is | idle, B/s per host | under changes and restarts, B/s per host (mean, max, max of restarted hosts) | the same with 8 seeds | processor time per host, share of a core | memory per host, KB |");
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
    let (start_rounds, start_cost) = start_at_once(hosts);
    let mut cluster = Cluster::new(hosts, REGIONS, SEED);
    cluster.converge();
    cluster.rounds(IDLE_ROUNDS);
    let memory_kb = (resident_kb() - before_kb) / hosts as f64;
    let idle = cost(&mut cluster, IDLE_ROUNDS, |_, _| {});
    restart(&mut cluster, hosts - 1, hosts);
    let rejoin = cluster.rounds_until(MAX_ROUNDS, |cluster| cluster.all_have_members(hosts));
    cluster.adopt(0, 1);
    let everywhere = cluster.rounds_until(MAX_ROUNDS, |cluster| cluster.in_force_everywhere(1));
    let progress_known = cluster.rounds_until(MAX_ROUNDS, |cluster| {
        cluster
            .running()
            .all(|h| h.state.progress(1, cluster.now).in_force == hosts)
    });
    let under_changes = [hosts, FEW_SEEDS].map(|seeds| cost_under_changes(&mut cluster, seeds));
    println!(
        "| {hosts} | {}; {:.0} | {} | {} | {} | {:.0} | {:.0}, {:.0}, {:.0} | {:.0}, {:.0}, {:.0} | {:.3}% | {memory_kb:.0} |",
        format_rounds(start_rounds),
        start_cost.max,
        format_rounds(rejoin),
        format_rounds(everywhere),
        format_rounds(everywhere.and(progress_known).map(|k| k + everywhere.unwrap_or(0))),
        idle.mean,
        under_changes[0].mean,
        under_changes[0].max,
        under_changes[0].max_restarted,
        under_changes[1].mean,
        under_changes[1].max,
        under_changes[1].max_restarted,
        under_changes[0].core_share * 100.0,
    );
}

/// Starts all hosts at once; returns the rounds until they know each other, and the cost.
fn start_at_once(hosts: usize) -> (Option<usize>, Cost) {
    let mut cluster = Cluster::new(hosts, REGIONS, SEED);
    let mut rounds = None;
    let cost = cost(&mut cluster, ROUNDS_PER_CHANGE, |cluster, round| {
        if rounds.is_none() && cluster.all_have_members(hosts) {
            rounds = Some(round);
        }
    });
    (rounds, cost)
}

/// Measures the cost under changes and restarts, each restart of another host.
fn cost_under_changes(cluster: &mut Cluster, seeds: usize) -> Cost {
    cost(cluster, ROUNDS_PER_CHANGE, |cluster, round| {
        let hosts = cluster.hosts.len();
        if round % ROUNDS_PER_CHANGE == 0 {
            let revision = cluster.hosts[0].revision + 1;
            cluster.adopt(0, revision);
        }
        if round % ROUNDS_PER_RESTART == 0 {
            restart(cluster, hosts - 1 - round / ROUNDS_PER_RESTART, seeds);
        }
    })
}

fn restart(cluster: &mut Cluster, host: usize, seeds: usize) {
    let incarnation = cluster.hosts[host].state.table().own().incarnation + 1;
    cluster.restart(host, incarnation);
    let seeds = (0..seeds).map(net::addr_of).collect();
    cluster.hosts[host].state.set_seeds(seeds);
}

struct Cost {
    mean: f64,
    /// Maximum among the hosts that did not restart during the measurement.
    max: f64,
    /// Maximum among the hosts that restarted during the measurement.
    max_restarted: f64,
    core_share: f64,
}

fn cost(cluster: &mut Cluster, rounds: usize, mut before: impl FnMut(&mut Cluster, usize)) -> Cost {
    cluster.reset_bytes();
    let started_at = Instant::now();
    for round in 0..rounds {
        before(cluster, round);
        cluster.round();
    }
    let duration: Duration = ROUND_PAUSE * u32::try_from(rounds).unwrap_or(u32::MAX);
    let (mean, _) = cluster.bytes_per_s(duration);
    let max = |is_restarted: bool| {
        let hosts = cluster
            .running()
            .filter(|host| host.is_restarted == is_restarted);
        let bytes = hosts.map(|host| host.sent_bytes + host.received_bytes);
        bytes.max().unwrap_or(0) as f64 / duration.as_secs_f64()
    };
    let processor_s_per_host = started_at.elapsed().as_secs_f64() / cluster.hosts.len() as f64;
    Cost {
        mean,
        max: max(false),
        max_restarted: max(true),
        core_share: processor_s_per_host / duration.as_secs_f64(),
    }
}

fn format_rounds(rounds: Option<usize>) -> String {
    rounds.map_or_else(|| format!("over {MAX_ROUNDS}"), |rounds| rounds.to_string())
}

fn resident_kb() -> f64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let digits = line.and_then(|line| line.split_whitespace().nth(1));
    digits.and_then(|kb| kb.parse().ok()).unwrap_or(0.0)
}
