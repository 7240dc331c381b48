//! Prints how long a new member takes to be known everywhere.

#[path = "../tests/net/mod.rs"]
mod net;

use net::Net;

fn main() {
    for hosts in [60, 325] {
        for seed in 0..4 {
            let mut net = Net::new(hosts, 3, seed);
            let _ = net.rounds_until(600, |net| net.everyone_knows(hosts));
            net.rounds(20);
            net.reset_bytes();
            let new = net.start_host();
            net.hosts[new].state.set_seeds(vec![net::addr_of(3)]);
            let mut at = Vec::new();
            for _ in 0..60 {
                net.round();
                let knowing = net
                    .up()
                    .filter(|h| h.state.members(net.now).len() == hosts + 1)
                    .count();
                at.push(hosts + 1 - knowing);
            }
            println!(
                "{hosts} hosts, seed {seed}: lacking after rounds 4,8..: {:?}, {:.0} B/s",
                at.iter().skip(3).step_by(4).collect::<Vec<_>>(),
                net.bytes_per_s(std::time::Duration::from_secs(30)).0
            );
        }
    }
}
