//! Who reads the store and who asks whom.

use fleet::{reader_candidates, Member};

fn member(id: &str, region: &str) -> Member {
    Member {
        id: id.to_owned(),
        peer_addr: "10.0.0.1:7380".parse().unwrap(),
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
fn one_host_of_each_region_asks_nobody() {
    for (regions, hosts) in [(1, 1), (1, 7), (3, 2), (3, 27), (5, 260)] {
        let members = fleet(regions, hosts);
        let readers: Vec<&str> = members
            .iter()
            .filter(|own| reader_candidates(&own.id, &members, false).is_empty())
            .map(|own| own.region.as_str())
            .collect();
        let mut distinct = readers.clone();
        distinct.sort_unstable();
        distinct.dedup();
        assert_eq!(
            (readers.len(), distinct.len()),
            (regions, regions),
            "{regions} {hosts}"
        );
    }
}

#[test]
fn hosts_ask_their_own_region_first_and_never_themselves() {
    let members = fleet(3, 9);
    for own in &members {
        for is_cut in [false, true] {
            let asked = reader_candidates(&own.id, &members, is_cut);
            assert!(asked.iter().all(|member| member.id != own.id));
            let first_far = asked.iter().position(|member| member.region != own.region);
            let last_near = asked.iter().rposition(|member| member.region == own.region);
            assert!(first_far
                .zip(last_near)
                .is_none_or(|(far, near)| near < far));
        }
        // Also the first reader has somebody to ask when the store turns it away.
        assert!(
            reader_candidates(&own.id, &members, true).len() >= 4,
            "{}",
            own.id
        );
    }
}

#[test]
fn a_host_that_is_not_listed_asks_the_first_reader_of_any_region() {
    let members = fleet(3, 4);
    assert_eq!(reader_candidates("new", &members, false).len(), 3);
    assert!(reader_candidates("new", &[], false).is_empty());
}
