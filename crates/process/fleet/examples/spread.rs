//! Prints the number of rounds until all hosts know a new member.

#[path = "../tests/net/mod.rs"]
mod net;

use net::Cluster;

fn main() {
    for hosts in [60, 325] {
        for seed in 0..4 {
            let mut cluster = Cluster::new(hosts, 3, seed);
            let _ = cluster.rounds_until(600, |cluster| cluster.all_have_members(hosts));
            cluster.rounds(20);
            cluster.reset_bytes();
            let new = cluster.start_host();
            cluster.hosts[new].state.set_seeds(vec![net::addr_of(3)]);
            let mut unaware_by_round = Vec::new();
            for _ in 0..60 {
                cluster.round();
                let aware = cluster
                    .running()
                    .filter(|h| h.state.members(cluster.now).len() == hosts + 1)
                    .count();
                unaware_by_round.push(hosts + 1 - aware);
            }
            println!(
                "{hosts} hosts, seed {seed}: without the new member after rounds 4, 8, ...: {:?}, {:.0} B/s",
                unaware_by_round.iter().skip(3).step_by(4).collect::<Vec<_>>(),
                cluster.bytes_per_s(std::time::Duration::from_secs(30)).0
            );
        }
    }
}
