//! Tests of the membership table.

mod net;

use {
    fleet::{
        Entry, Liveness, MergeOutcome, Table, LEFT_RETENTION, LOST_RETENTION, SUSPECT_TIMEOUT,
    },
    std::time::{Duration, Instant},
};

const OWN: usize = 0;
const OTHER: usize = 1;

fn entry(host: usize, incarnation: u64, version: u64, standing: Liveness) -> Entry {
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
fn only_newer_entries_replace_the_stored_one() {
    use Liveness::{Alive, Left, Suspect};
    let stored = (5, 3, Alive);
    #[rustfmt::skip]
    let cases = [
        ("same", (5, 3, Alive), MergeOutcome::AlreadyKnown),
        ("older version", (5, 2, Left), MergeOutcome::AlreadyKnown),
        ("suspected", (5, 3, Suspect), MergeOutcome::Applied),
        ("left", (5, 3, Left), MergeOutcome::Applied),
        ("newer version", (5, 4, Alive), MergeOutcome::Applied),
        ("older process", (4, 9, Alive), MergeOutcome::AlreadyKnown),
        ("newer process", (6, 0, Alive), MergeOutcome::Applied),
    ];
    for (what, (incarnation, version, standing), merged) in cases {
        let now = Instant::now();
        let mut table = Table::new(entry(OWN, 1, 0, Alive), now);
        table.merge(entry(OTHER, stored.0, stored.1, stored.2), now);
        let incoming = entry(OTHER, incarnation, version, standing);
        assert_eq!(table.merge(incoming.clone(), now), merged, "{what}");
        let stored_entry = table.get(&id(OTHER)).unwrap();
        assert_eq!(
            *stored_entry == incoming,
            merged == MergeOutcome::Applied || what == "same",
            "{what}"
        );
    }
}

#[test]
fn a_restarted_host_replaces_its_previous_entry_and_address() {
    let now = Instant::now();
    let mut table = Table::new(entry(OWN, 1, 0, Liveness::Alive), now);
    table.merge(entry(OTHER, 1, 7, Liveness::Left), now);
    table.merge(entry(OTHER, 1, 7, Liveness::Suspect), now);
    let mut restarted = entry(OTHER, 2, 0, Liveness::Alive);
    restarted.member.peer_addr = net::addr_of(99);
    table.merge(restarted.clone(), now);
    assert!(table.members(now).contains(&restarted.member));
    assert_eq!(table.entries().count(), 2);
}

#[test]
fn a_suspected_host_refutes_or_is_removed_after_the_timeout() {
    let now = Instant::now();
    let mut table = Table::new(entry(OWN, 1, 0, Liveness::Alive), now);
    table.merge(entry(OTHER, 1, 0, Liveness::Alive), now);
    assert!(table.suspect(&id(OTHER), now));
    assert!(!table.suspect(&id(OTHER), now));
    let just_before = now + SUSPECT_TIMEOUT - Duration::from_millis(1);
    assert_eq!(table.members(just_before).len(), 2);
    assert_eq!(table.members(now + SUSPECT_TIMEOUT).len(), 1);
    // The suspected host refutes with a new version and becomes a member again.
    let mut other = Table::new(entry(OTHER, 1, 0, Liveness::Alive), now);
    let suspicion = table.get(&id(OTHER)).unwrap().clone();
    assert_eq!(other.merge(suspicion, now), MergeOutcome::Refuted);
    assert_eq!(
        table.merge(other.own().clone(), now + SUSPECT_TIMEOUT),
        MergeOutcome::Applied
    );
    assert_eq!(table.members(now + SUSPECT_TIMEOUT).len(), 2);
}

#[test]
fn a_host_with_a_slow_clock_supersedes_its_previous_process() {
    let now = Instant::now();
    let mut table = Table::new(entry(OWN, 100, 0, Liveness::Alive), now);
    let previous = entry(OWN, 200, 4, Liveness::Left);
    assert_eq!(table.merge(previous.clone(), now), MergeOutcome::Refuted);
    assert!(table.own().is_newer_than(&previous));
    assert_eq!(table.own().standing, Liveness::Alive);
}

#[test]
fn a_host_that_leaves_stays_left() {
    let now = Instant::now();
    let mut table = Table::new(entry(OWN, 1, 0, Liveness::Alive), now);
    table.change_own(now, |own| own.standing = Liveness::Left);
    let incoming = entry(OWN, 1, 9, Liveness::Suspect);
    assert_eq!(table.merge(incoming, now), MergeOutcome::AlreadyKnown);
    assert_eq!(table.own().standing, Liveness::Left);
}

#[test]
fn restarts_do_not_grow_the_table_and_old_entries_restore_no_host() {
    const RESTARTS: usize = 2_800;
    let mut now = Instant::now();
    let mut table = Table::new(entry(OWN, 1, 0, Liveness::Alive), now);
    let mut max_entries = 0;
    for host in 1..=RESTARTS {
        now += Duration::from_secs(30);
        table.merge(entry(host, 1, 0, Liveness::Alive), now);
        table.merge(entry(host, 1, 1, Liveness::Left), now);
        table.remove_expired(now);
        max_entries = max_entries.max(table.entries().count());
    }
    assert!(max_entries <= 5, "{max_entries} entries");
    now += LEFT_RETENTION;
    table.remove_expired(now);
    for host in 1..=RESTARTS {
        for standing in [Liveness::Alive, Liveness::Suspect, Liveness::Left] {
            let old = entry(host, 1, 0, standing);
            assert_eq!(table.merge(old, now), MergeOutcome::AlreadyKnown);
        }
    }
    assert_eq!(table.entries().count(), 1);
    let restarted = entry(1, 2, 0, Liveness::Alive);
    assert_eq!(table.merge(restarted, now), MergeOutcome::Applied);
}

#[test]
fn a_lost_host_is_retained_for_the_length_of_a_partition() {
    let now = Instant::now();
    let mut table = Table::new(entry(OWN, 1, 0, Liveness::Alive), now);
    table.merge(entry(OTHER, 1, 0, Liveness::Suspect), now);
    table.remove_expired(now + Duration::from_secs(600));
    assert_eq!(table.entries().count(), 2);
    table.remove_expired(now + LOST_RETENTION);
    assert_eq!(table.entries().count(), 1);
}

#[test]
fn revisions_are_reported_as_bits_if_fingerprints_match() {
    let now = Instant::now();
    let mut first = Table::new(entry(OWN, 1, 0, Liveness::Alive), now);
    let mut second = Table::new(entry(OTHER, 1, 0, Liveness::Alive), now);
    for host in 0..40 {
        first.merge(entry(host, 1, 0, Liveness::Alive), now);
        second.merge(entry(host, 1, 0, Liveness::Alive), now);
        first.note_revision(&id(host), 3 + host as u64 % 2);
    }
    for group in 0..fleet::GROUPS as u8 {
        let report = first.report(group, 4).unwrap();
        assert!(second.merge_report(&report, 4).is_some());
    }
    let progress = second.progress(4, now);
    assert_eq!((progress.in_force, progress.members), (20, 40));
    assert!(progress.lagging.contains(&id(2)) && progress.lagging.len() == 20);
    // A restarted host has no revision in force, and its group's fingerprints differ.
    first.merge(entry(3, 2, 0, Liveness::Alive), now);
    assert_eq!(first.progress(4, now).in_force, 19);
    let differing = (0..fleet::GROUPS as u8).filter(|group| {
        let report = first.report(*group, 4).unwrap();
        second.merge_report(&report, 4).is_none()
    });
    assert_eq!(differing.count(), 1);
}
