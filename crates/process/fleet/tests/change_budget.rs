//! The time until the hosts of a fleet obey a change of the store, played with the
//! decisions of all of them while sources fail.

// Clippy's exemption for tests does not cover their helper functions.
#![allow(clippy::unwrap_used)]

use {
    fleet::{ChangeBudget, Member, SourceTree},
    std::{
        collections::{BTreeMap, HashMap},
        time::Duration,
    },
};

/// The platform's shortest time within which hosts obey a change.
const PROMISED: Duration = Duration::from_secs(3);
/// Time for which a source that has failed is not asked.
const FAILED_PAUSE_MS: u64 = 3_000;
/// Pause between polls of the reader, which confirm its data.
const POLL_MS: u64 = 900;
/// Progress of a source's data that it tells others at once.
const MIN_CONFIRMATION_STEP_MS: u64 = 100;

fn member(number: usize, regions: usize) -> Member {
    let region = format!("r{}", number % regions);
    Member {
        id: format!("h{number}"),
        peer_addr: ([10, 0, 0, 1], 7_380).into(),
        zone: format!("{region}-a"),
        region,
    }
}

/// What happens to a host from the time of the change on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Trouble {
    /// It answers other hosts and does not reach the store.
    CutOff,
    /// It answers nobody.
    Silent,
}

/// Links and processors.
#[derive(Clone, Copy, Debug)]
struct Delays {
    /// A call to another host of the same region, in milliseconds.
    near_ms: u64,
    /// A call to another region, in milliseconds.
    far_ms: u64,
    /// Reading the store, in milliseconds.
    read_ms: u64,
}

const CALM: Delays = Delays {
    near_ms: 2,
    far_ms: 60,
    read_ms: 80,
};
/// Hosts and store answer late because they are busy.
const LOADED: Delays = Delays {
    near_ms: 40,
    far_ms: 160,
    read_ms: 190,
};

/// A request for changes that a host has sent.
#[derive(Clone, Copy)]
struct Ask {
    source: usize,
    /// Until when the source waits for changes.
    holds_until_ms: u64,
    /// When the host gives up.
    times_out_at_ms: u64,
}

#[derive(Clone, Default)]
struct Host {
    /// Time at which its data matched the store; it has the change if that is later
    /// than the change.
    read_at_ms: u64,
    current: Option<usize>,
    failed_until_ms: HashMap<usize, u64>,
    /// What it waits for: the time of the next step, and the source that it asks.
    next_at_ms: u64,
    asks: Option<Ask>,
    asked: usize,
    obeys_at_ms: Option<u64>,
    reads: usize,
}

struct Fleet {
    members: Vec<Member>,
    tree: SourceTree,
    /// The sources of each host and the greatest age of their data.
    sources: Vec<(Vec<usize>, Duration)>,
    hosts: Vec<Host>,
    troubles: BTreeMap<usize, Trouble>,
    delays: Delays,
    change_at_ms: u64,
}

impl Fleet {
    fn new(count: usize, regions: usize, delays: Delays) -> Self {
        let members: Vec<Member> = (0..count).map(|number| member(number, regions)).collect();
        let tree = SourceTree::new(&members, &[]);
        let sources = members.iter().map(|own| {
            let source = tree.source(own, false, budget());
            let candidates = source.candidates.iter();
            let candidates = candidates.map(|member| member.id[1..].parse().unwrap());
            (candidates.collect(), source.max_staleness)
        });
        Self {
            hosts: vec![Host::default(); count],
            sources: sources.collect(),
            members,
            tree,
            troubles: BTreeMap::new(),
            delays,
            change_at_ms: 8_000,
        }
    }

    /// Returns the hosts in the order in which they read the store for others.
    fn order(&self) -> Vec<usize> {
        let mut order: Vec<usize> = (0..self.members.len()).collect();
        order.sort_by_key(|host| {
            let (candidates, max_staleness) = &self.sources[*host];
            (candidates.len(), *max_staleness)
        });
        order
    }

    fn call_ms(&self, a: usize, b: usize) -> u64 {
        if self.members[a].region == self.members[b].region {
            self.delays.near_ms
        } else {
            self.delays.far_ms
        }
    }

    fn has_trouble(&self, host: usize, trouble: Trouble, now_ms: u64) -> bool {
        now_ms >= self.change_at_ms && self.troubles.get(&host) == Some(&trouble)
    }

    fn confirm(&mut self, host: usize, read_at_ms: u64, now_ms: u64) {
        let state = &mut self.hosts[host];
        state.read_at_ms = state.read_at_ms.max(read_at_ms);
        if state.read_at_ms > self.change_at_ms {
            state.obeys_at_ms.get_or_insert(now_ms);
        }
    }

    /// Lets one host take its next step.
    fn step(&mut self, host: usize, now_ms: u64) {
        if let Some(ask) = self.hosts[host].asks {
            self.wait_for_answer(host, ask, now_ms);
            return;
        }
        let (candidates, max_staleness) = &self.sources[host];
        let state = &mut self.hosts[host];
        state.failed_until_ms.retain(|_, until| *until > now_ms);
        let next = candidates
            .iter()
            .copied()
            .find(|source| !state.failed_until_ms.contains_key(source));
        let age = Duration::from_millis(now_ms - state.read_at_ms);
        let request = next.and_then(|source| {
            let may_wait = state.current == Some(source);
            let request =
                ChangeBudget::next_request(*max_staleness, state.asked, may_wait, Some(age))?;
            Some((source, request))
        });
        let Some((source, request)) = request else {
            self.read_store(host, now_ms);
            return;
        };
        let arrives_at_ms = now_ms + self.call_ms(host, source);
        let state = &mut self.hosts[host];
        state.asks = Some(Ask {
            source,
            holds_until_ms: arrives_at_ms + request.wait.as_millis() as u64,
            times_out_at_ms: now_ms + request.timeout.as_millis() as u64,
        });
        state.next_at_ms = arrives_at_ms;
    }

    fn wait_for_answer(&mut self, host: usize, ask: Ask, now_ms: u64) {
        let source = ask.source;
        let is_silent = self.has_trouble(source, Trouble::Silent, now_ms);
        let read_at_ms = self.hosts[source].read_at_ms;
        let state = &mut self.hosts[host];
        let has_newer = read_at_ms >= state.read_at_ms + MIN_CONFIRMATION_STEP_MS;
        let has_answered = !is_silent && (has_newer || now_ms >= ask.holds_until_ms);
        state.next_at_ms = now_ms + 1;
        if !has_answered && now_ms < ask.times_out_at_ms {
            return;
        }
        state.asks = None;
        let age = Duration::from_millis(now_ms - read_at_ms);
        if has_answered && age <= self.sources[host].1 {
            (state.current, state.asked) = (Some(source), 0);
            self.confirm(host, read_at_ms, now_ms);
        } else {
            state
                .failed_until_ms
                .insert(source, now_ms + FAILED_PAUSE_MS);
            state.asked += 1;
        }
    }

    fn read_store(&mut self, host: usize, now_ms: u64) {
        let is_cut_off = self.has_trouble(host, Trouble::CutOff, now_ms);
        let state = &mut self.hosts[host];
        (state.current, state.asked) = (None, 0);
        state.reads += 1;
        state.next_at_ms = now_ms + self.delays.read_ms + POLL_MS;
        if !is_cut_off {
            self.confirm(host, now_ms, now_ms + self.delays.read_ms);
        }
    }

    /// Plays the fleet for 8 s before the change and 5 s after it; returns the time
    /// until the last host without trouble obeys, and how many read the store then.
    fn play(&mut self, seed: u64) -> (Duration, usize) {
        for (number, host) in self.hosts.iter_mut().enumerate() {
            host.next_at_ms = (number as u64 * 7 + seed * 13) % 97;
        }
        self.change_at_ms += seed * 250;
        for now_ms in 0..self.change_at_ms + 5_000 {
            if now_ms == self.change_at_ms {
                self.hosts.iter_mut().for_each(|host| host.reads = 0);
            }
            for host in 0..self.hosts.len() {
                if self.hosts[host].next_at_ms <= now_ms {
                    self.step(host, now_ms);
                }
            }
        }
        let sound = (0..self.hosts.len()).filter(|host| !self.troubles.contains_key(host));
        let mut last_ms = 0;
        let mut reads = 0;
        for host in sound {
            let obeys_at_ms = self.hosts[host].obeys_at_ms.unwrap_or(u64::MAX);
            last_ms = last_ms.max(obeys_at_ms.saturating_sub(self.change_at_ms));
            reads += usize::from(self.hosts[host].reads > 0);
        }
        (Duration::from_millis(last_ms), reads)
    }
}

fn budget() -> ChangeBudget {
    ChangeBudget::new(PROMISED)
}

#[test]
fn the_steps_of_a_change_add_up_to_no_more_than_was_promised() {
    for promised_ms in [1_000, 1_500, 2_000, 3_000, 5_000, 8_000] {
        let promised = Duration::from_millis(promised_ms);
        let budget = ChangeBudget::new(promised);
        let fixed = ChangeBudget::SEARCH_TIME + ChangeBudget::READ_TIME + ChangeBudget::SEND_TIME;
        assert!(budget.max_staleness() + fixed <= promised, "{promised:?}");
        // Data that is as old as it gets when nothing fails is accepted by all.
        let fleet = Fleet::new(300, 3, CALM);
        let limits = fleet.members.iter().map(|own| {
            let source = fleet.tree.source(own, false, budget);
            source.max_staleness
        });
        assert!(limits.min() > Some(budget.poll_pause()), "{promised:?}");
        assert!(budget.poll_pause() >= Duration::from_millis(100));
    }
    for count in [7, 60, 300] {
        let fleet = Fleet::new(count, 3, CALM);
        for own in &fleet.members {
            let max_staleness = fleet.tree.source(own, false, budget()).max_staleness;
            assert!(max_staleness <= budget().max_staleness(), "{}", own.id);
        }
    }
}

#[test]
fn asking_others_ends_in_time_whatever_they_do() {
    let max_staleness = budget().max_staleness();
    for age_ms in (0..4_000).step_by(50) {
        let age = Duration::from_millis(age_ms);
        for asked in 0..6 {
            for may_wait in [false, true] {
                let request = ChangeBudget::next_request(max_staleness, asked, may_wait, Some(age));
                let Some(request) = request else {
                    assert!(asked > 0 && age >= max_staleness);
                    continue;
                };
                let ends_at = age + request.timeout;
                let latest = max_staleness.max(age) + ChangeBudget::SEARCH_TIME;
                assert!(ends_at <= latest, "{age:?} {asked} {request:?}");
                assert!(request.wait <= max_staleness.saturating_sub(age));
            }
        }
    }
}

// Guards against waits that are sound one by one and together exceed the time within
// which a change must be obeyed.
#[test]
fn all_hosts_obey_a_change_in_time_while_sources_fail() {
    use Trouble::{CutOff, Silent};
    let cases: [&[Trouble]; 5] = [
        &[],
        &[CutOff],
        &[Silent],
        &[CutOff, Silent],
        &[Silent, Silent],
    ];
    for (count, regions) in [(7, 1), (7, 3), (60, 3), (300, 5)] {
        for delays in [CALM, LOADED] {
            for troubles in cases {
                let mut worst = Duration::ZERO;
                let mut most_reads = 0;
                for seed in 0..4 {
                    let mut fleet = Fleet::new(count, regions, delays);
                    let order = fleet.order();
                    let troubled = order.iter().copied().zip(troubles.iter().copied());
                    fleet.troubles = troubled.collect();
                    let (last, reads) = fleet.play(seed);
                    worst = worst.max(last);
                    most_reads = most_reads.max(reads);
                }
                let case = format!("{count} hosts, {regions} regions, {delays:?}, {troubles:?}");
                println!("{case}: {worst:?}, {most_reads} read the store");
                if troubles == [CutOff] {
                    // The one that takes over; the others ask it.
                    assert!(most_reads <= 2, "{case}: {most_reads} read the store");
                }
                assert!(
                    worst + ChangeBudget::SEND_TIME <= PROMISED,
                    "{case}: {worst:?}"
                );
            }
        }
    }
}
