//! The hosts that hold connections to the servers of a service.
//!
//! The set is computed from what each host knows of the fleet, so two hosts
//! may disagree for a while. It is therefore a hint, never a promise: whoever
//! is asked serves, and connections over the limit are refused by upstreams.

use {crate::Member, std::collections::HashSet, xxhash_rust::xxh3::xxh3_64};

/// Returns the relays of `service`: the `count` members with the highest
/// rendezvous weight, spread over availability zones as far as they go.
pub fn relay_set<'a>(service: &str, members: &'a [Member], count: usize) -> Vec<&'a Member> {
    let mut ranked: Vec<_> = members.iter().collect();
    ranked.sort_by_key(|member| std::cmp::Reverse((weight(service, member), &member.id)));
    let mut chosen: Vec<&Member> = Vec::with_capacity(count);
    while chosen.len() < count.min(members.len()) {
        let before = chosen.len();
        let mut zones = HashSet::new();
        for member in &ranked {
            let is_new = !chosen.iter().any(|c| c.id == member.id);
            if chosen.len() < count && is_new && zones.insert(&member.zone) {
                chosen.push(member);
            }
        }
        if chosen.len() == before {
            break;
        }
    }
    chosen
}

fn weight(service: &str, member: &Member) -> u64 {
    xxh3_64(format!("{service}\0{}", member.id).as_bytes())
}
