//! Processor time of an exchange round and of a relay set with 1,300 hosts, the planned size.

#[path = "../tests/net/mod.rs"]
mod net;

use {
    criterion::{criterion_group, criterion_main, Criterion},
    fleet::relay_set,
    net::{member, Cluster},
    std::hint::black_box,
};

const HOSTS: usize = 1_300;
const REGIONS: usize = 5;
const SEED: u64 = 1;

fn bench(criterion: &mut Criterion) {
    let members: Vec<_> = (0..HOSTS).map(|i| member(i, REGIONS)).collect();
    criterion.bench_function("relay_set of 1,300 members", |bencher| {
        bencher.iter(|| black_box(relay_set("restock-desk", black_box(&members), 10)));
    });
    let mut cluster = Cluster::new(HOSTS, REGIONS, SEED);
    let _ = cluster.rounds_until(60, |cluster| cluster.all_have_members(HOSTS));
    criterion.bench_function("exchange round of 1,300 hosts, all of them", |bencher| {
        bencher.iter(|| cluster.round());
    });
}

criterion_group! {
    name = benches;
    config = Criterion::default().sample_size(10);
    targets = bench
}
criterion_main!(benches);
