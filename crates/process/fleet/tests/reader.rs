//! Tests of the selection of the hosts that read the store and those that ask them.

use {
    fleet::{ChangeBudget, Member, SourceTree, FAN_OUT},
    std::{collections::HashMap, time::Duration},
};

/// The platform's shortest time within which hosts obey a change.
const PROMISED: Duration = Duration::from_secs(3);

fn budget() -> ChangeBudget {
    ChangeBudget::new(PROMISED)
}

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
        let tree = SourceTree::new(&members, &[]);
        let candidates = |own: &Member| -> Vec<String> {
            let candidates = tree.source(own, false, budget()).candidates;
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
    let tree = SourceTree::new(&members, &[]);
    for own in &members {
        for is_store_unavailable in [false, true] {
            let candidates = tree.source(own, is_store_unavailable, budget()).candidates;
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
            tree.source(own, true, budget()).candidates.len() >= 4,
            "{}",
            own.id
        );
    }
}

#[test]
fn a_host_that_is_no_reader_asks_local_readers_and_the_first_of_other_regions() {
    let members = fleet(3, 4);
    let non_reader = member("non-reader", "r1");
    let tree = SourceTree::new(&members, &[]);
    let candidates = tree.source(&non_reader, false, budget()).candidates;
    assert!(candidates[..3].iter().all(|member| member.region == "r1"));
    assert_eq!(candidates.len(), 5);
    let empty = SourceTree::new(&[], &[]);
    assert!(empty
        .source(&non_reader, false, budget())
        .candidates
        .is_empty());
}

#[test]
fn patience_is_staggered_and_shorter_than_a_drain() {
    let members = fleet(3, 9);
    let tree = SourceTree::new(&members, &[]);
    let mut max_staleness: Vec<Duration> = members
        .iter()
        .map(|own| tree.source(own, false, budget()).max_staleness)
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

/// Returns the first candidate of every host, and the number of steps from each
/// host to the one that reads the store.
fn first_candidates(
    members: &[Member],
    tree: &SourceTree,
) -> (HashMap<String, String>, Vec<usize>) {
    let first: HashMap<String, String> = members
        .iter()
        .filter_map(|own| {
            let source = tree.source(own, false, budget());
            Some((own.id.clone(), source.candidates.first()?.id.clone()))
        })
        .collect();
    let steps = members.iter().map(|own| {
        let path = std::iter::successors(Some(&own.id), |id| first.get(*id));
        path.take(members.len()).count() - 1
    });
    let steps = steps.collect();
    (first, steps)
}

#[test]
fn no_host_answers_more_than_a_bounded_number_of_others_in_any_fleet() {
    // Number of hosts in a region, and the most steps to the host that reads.
    for (hosts, max_steps) in [(9, 2), (65, 3), (100, 4), (433, 4)] {
        let members = fleet(3, hosts);
        let (strong, weak): (Vec<Member>, Vec<Member>) =
            members.iter().cloned().partition(|m| m.id.ends_with('1'));
        let tree = SourceTree::new(&strong, &weak);
        let (first, steps) = first_candidates(&members, &tree);
        let mut asked_by: HashMap<&String, usize> = HashMap::new();
        first
            .values()
            .for_each(|id| *asked_by.entry(id).or_default() += 1);
        // The first host of all also answers the first hosts of other regions.
        let busiest = asked_by.values().max().copied();
        assert!(busiest <= Some(FAN_OUT + 2), "{hosts}: {busiest:?}");
        assert!(
            steps.iter().all(|steps| *steps <= max_steps),
            "{hosts}: {:?}",
            steps.iter().max()
        );
        // Strong hosts are nearer to the store than weak ones.
        let mean = |is_strong: bool| {
            let of_kind = members.iter().zip(&steps);
            let of_kind = of_kind.filter(|(m, _)| m.id.ends_with('1') == is_strong);
            let (sum, count) = of_kind.fold((0, 0), |(sum, n), (_, s)| (sum + s, n + 1));
            sum as f64 / f64::from(count)
        };
        assert!(mean(true) < mean(false), "{hosts}");
    }
}

#[test]
fn a_host_whose_source_is_lost_has_others_above_it_to_ask() {
    let members = fleet(3, 100);
    let tree = SourceTree::new(&members, &[]);
    for own in &members {
        let candidates = tree.source(own, false, budget()).candidates;
        let Some(lost) = candidates.first() else {
            continue;
        };
        if lost.region == own.region {
            assert!(candidates.len() >= 3, "{}: {candidates:?}", own.id);
        }
    }
}
