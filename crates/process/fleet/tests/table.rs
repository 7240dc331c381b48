//! What a host makes of the entries that peers tell.

mod net;

use {
    fleet::{Entry, Merged, Standing, Table, LEFT_RETENTION, LOST_RETENTION, SUSPECT_TIMEOUT},
    std::time::{Duration, Instant},
};

const OWN: usize = 0;
const OTHER: usize = 1;

fn entry(host: usize, incarnation: u64, version: u64, standing: Standing) -> Entry {
    Entry {
        version,
        standing,
        ..Entry::new(net::member(host, 2), incarnation)
    }
}

fn id(host: usize) -> String {
    net::member(host, 2).id
}

#[test]
fn newer_entries_win_whatever_the_order() {
    use Standing::{Alive, Left, Suspect};
    let held = (5, 3, Alive);
    #[rustfmt::skip]
    let cases = [
        ("same", (5, 3, Alive), Merged::Known),
        ("older version", (5, 2, Left), Merged::Known),
        ("suspected", (5, 3, Suspect), Merged::News),
        ("left", (5, 3, Left), Merged::News),
        ("newer version", (5, 4, Alive), Merged::News),
        ("older process", (4, 9, Alive), Merged::Known),
        ("newer process", (6, 0, Alive), Merged::News),
    ];
    for (what, (incarnation, version, standing), merged) in cases {
        let now = Instant::now();
        let mut table = Table::new(entry(OWN, 1, 0, Alive), now);
        table.merge(entry(OTHER, held.0, held.1, held.2), now);
        let told = entry(OTHER, incarnation, version, standing);
        assert_eq!(table.merge(told.clone(), now), merged, "{what}");
        let kept = table.get(&id(OTHER)).unwrap();
        assert_eq!(
            *kept == told,
            merged == Merged::News || what == "same",
            "{what}"
        );
    }
}

#[test]
fn a_restarted_host_replaces_the_former_with_its_address_at_once() {
    let now = Instant::now();
    let mut table = Table::new(entry(OWN, 1, 0, Standing::Alive), now);
    table.merge(entry(OTHER, 1, 7, Standing::Left), now);
    table.merge(entry(OTHER, 1, 7, Standing::Suspect), now);
    let mut restarted = entry(OTHER, 2, 0, Standing::Alive);
    restarted.member.peer_addr = net::addr_of(99);
    table.merge(restarted.clone(), now);
    assert!(table.members(now).contains(&restarted.member));
    assert_eq!(table.entries().count(), 2);
}

#[test]
fn a_suspected_host_refutes_or_is_lost_in_time() {
    let now = Instant::now();
    let mut table = Table::new(entry(OWN, 1, 0, Standing::Alive), now);
    table.merge(entry(OTHER, 1, 0, Standing::Alive), now);
    assert!(table.suspect(&id(OTHER), now));
    assert!(!table.suspect(&id(OTHER), now));
    let just_before = now + SUSPECT_TIMEOUT - Duration::from_millis(1);
    assert_eq!(table.members(just_before).len(), 2);
    assert_eq!(table.members(now + SUSPECT_TIMEOUT).len(), 1);
    // The host itself answers with a new version, and is back.
    let mut other = Table::new(entry(OTHER, 1, 0, Standing::Alive), now);
    let suspicion = table.get(&id(OTHER)).unwrap().clone();
    assert_eq!(other.merge(suspicion, now), Merged::Refuted);
    assert_eq!(
        table.merge(other.own().clone(), now + SUSPECT_TIMEOUT),
        Merged::News
    );
    assert_eq!(table.members(now + SUSPECT_TIMEOUT).len(), 2);
}

#[test]
fn a_host_with_a_slow_clock_outbids_its_former_process() {
    let now = Instant::now();
    let mut table = Table::new(entry(OWN, 100, 0, Standing::Alive), now);
    let former = entry(OWN, 200, 4, Standing::Left);
    assert_eq!(table.merge(former.clone(), now), Merged::Refuted);
    assert!(table.own().is_newer_than(&former));
    assert_eq!(table.own().standing, Standing::Alive);
}

#[test]
fn a_host_that_leaves_stays_left() {
    let now = Instant::now();
    let mut table = Table::new(entry(OWN, 1, 0, Standing::Alive), now);
    table.change_own(now, |own| own.standing = Standing::Left);
    let told = entry(OWN, 1, 9, Standing::Suspect);
    assert_eq!(table.merge(told, now), Merged::Known);
    assert_eq!(table.own().standing, Standing::Left);
}

#[test]
fn restarts_do_not_grow_the_table_and_the_dead_do_not_come_back() {
    const RESTARTS: usize = 2_800;
    let mut now = Instant::now();
    let mut table = Table::new(entry(OWN, 1, 0, Standing::Alive), now);
    let mut most = 0;
    for host in 1..=RESTARTS {
        now += Duration::from_secs(30);
        table.merge(entry(host, 1, 0, Standing::Alive), now);
        table.merge(entry(host, 1, 1, Standing::Left), now);
        table.evict(now);
        most = most.max(table.entries().count());
    }
    assert!(most <= 5, "{most} entries");
    now += LEFT_RETENTION;
    table.evict(now);
    for host in 1..=RESTARTS {
        for standing in [Standing::Alive, Standing::Suspect, Standing::Left] {
            let old = entry(host, 1, 0, standing);
            assert_eq!(table.merge(old, now), Merged::Known);
        }
    }
    assert_eq!(table.entries().count(), 1);
    let replaced = entry(1, 2, 0, Standing::Alive);
    assert_eq!(table.merge(replaced, now), Merged::News);
}

#[test]
fn a_lost_host_is_kept_long_enough_for_a_region_to_come_back() {
    let now = Instant::now();
    let mut table = Table::new(entry(OWN, 1, 0, Standing::Alive), now);
    table.merge(entry(OTHER, 1, 0, Standing::Suspect), now);
    table.evict(now + Duration::from_secs(600));
    assert_eq!(table.entries().count(), 2);
    table.evict(now + LOST_RETENTION);
    assert_eq!(table.entries().count(), 1);
}

#[test]
fn revisions_travel_as_bits_between_hosts_that_agree() {
    let now = Instant::now();
    let mut first = Table::new(entry(OWN, 1, 0, Standing::Alive), now);
    let mut second = Table::new(entry(OTHER, 1, 0, Standing::Alive), now);
    for host in 0..40 {
        first.merge(entry(host, 1, 0, Standing::Alive), now);
        second.merge(entry(host, 1, 0, Standing::Alive), now);
        first.note_revision(&id(host), 3 + host as u64 % 2);
    }
    for group in 0..fleet::GROUPS as u8 {
        let report = first.report(group, 4).unwrap();
        assert!(second.merge_report(&report, 4).is_some());
    }
    let progress = second.progress(4, now);
    assert_eq!((progress.in_force, progress.members), (20, 40));
    assert!(progress.lagging.contains(&id(2)) && progress.lagging.len() == 20);
    // A restarted host has nothing in force, and the groups no longer agree.
    first.merge(entry(3, 2, 0, Standing::Alive), now);
    assert_eq!(first.progress(4, now).in_force, 19);
    let differing = (0..fleet::GROUPS as u8).filter(|group| {
        let report = first.report(*group, 4).unwrap();
        second.merge_report(&report, 4).is_none()
    });
    assert_eq!(differing.count(), 1);
}
