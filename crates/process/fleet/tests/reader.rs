//! Tests of the selection of the hosts that read the store and those that ask them.

use fleet::{store_source, Member};
use std::time::Duration;

fn member(id: &str, region: &str) -> Member {
    Member {
        id: id.to_owned(),
        peer_addr: ([10, 0, 0, 1], 7_380).into(),
        region: region.to_owned(),
        zone: format!("{region}-a"),
    }
}

fn fleet(regions: usize, hosts: usize) -> Vec<Member> {
    let of_region =
        |r: usize| (0..hosts).map(move |h| member(&format!("h{r}-{h}"), &format!("r{r}")));
    (0..regions).flat_map(of_region).collect()
}

#[test]
fn one_host_reads_and_one_in_each_other_region_asks_it() {
    for (regions, hosts) in [(1, 1), (1, 7), (3, 2), (3, 27), (5, 260)] {
        let members = fleet(regions, hosts);
        let candidates = |own: &Member| -> Vec<String> {
            let candidates = store_source(own, &members, false).candidates;
            candidates
                .into_iter()
                .map(|member| member.id.clone())
                .collect()
        };
        let readers: Vec<&Member> = members
            .iter()
            .filter(|own| candidates(own).is_empty())
            .collect();
        assert_eq!(readers.len(), 1, "{regions} {hosts}");
        let remote = members.iter().filter(|own| own.region != readers[0].region);
        let first_asked: Vec<String> = remote
            .filter_map(|own| candidates(own).first().cloned())
            .collect();
        let ask_reader = first_asked
            .iter()
            .filter(|id| **id == readers[0].id)
            .count();
        assert_eq!(ask_reader, regions - 1, "{regions} {hosts}");
    }
}

#[test]
fn hosts_ask_their_own_region_first_and_never_themselves() {
    let members = fleet(3, 9);
    for own in &members {
        for is_store_unavailable in [false, true] {
            let candidates = store_source(own, &members, is_store_unavailable).candidates;
            assert!(candidates.iter().all(|member| member.id != own.id));
            let first_remote = candidates
                .iter()
                .position(|member| member.region != own.region);
            let last_local = candidates
                .iter()
                .rposition(|member| member.region == own.region);
            assert!(first_remote
                .zip(last_local)
                .is_none_or(|(remote, local)| local < remote));
        }
        // Even the first reader has hosts to ask when the store is unavailable to it.
        assert!(
            store_source(own, &members, true).candidates.len() >= 4,
            "{}",
            own.id
        );
    }
}

#[test]
fn a_host_that_is_no_reader_asks_local_readers_and_the_first_of_other_regions() {
    let members = fleet(3, 4);
    let non_reader = member("non-reader", "r1");
    let candidates = store_source(&non_reader, &members, false).candidates;
    assert!(candidates[..3].iter().all(|member| member.region == "r1"));
    assert_eq!(candidates.len(), 5);
    assert!(store_source(&non_reader, &[], false).candidates.is_empty());
}

#[test]
fn patience_is_staggered_and_shorter_than_a_drain() {
    let members = fleet(3, 9);
    let mut max_staleness: Vec<Duration> = members
        .iter()
        .map(|own| store_source(own, &members, false).max_staleness)
        .collect();
    max_staleness.sort_unstable();
    assert!(max_staleness
        .iter()
        .all(|max_staleness| *max_staleness < Duration::from_secs(3)));
    let early_takeovers = max_staleness
        .iter()
        .filter(|p| **p < Duration::from_secs(2))
        .count();
    // One host in each region takes over early, including the reader itself.
    assert_eq!(early_takeovers, 3, "{max_staleness:?}");
}
