//! No sequence of replies, losses, duplicates and index changes makes an answer false.

mod common;

use {
    common::*,
    kind::Ran,
    plan::{
        Action, Answer, AttemptId, Cause, CoverageReport, Event, Gather, LeafCall, LeafFailure,
        Reason,
    },
    quickcheck::{Arbitrary, Gen, QuickCheck},
    record::{Coverage, Index, Service, WhenShort},
    std::{
        collections::BTreeMap,
        sync::{
            atomic::{AtomicUsize, Ordering},
            Arc,
        },
        time::Instant,
    },
};

const SEED: u64 = 4;
const CASES: u64 = 2_000;
const MAX_STEPS: usize = 60;
/// Calls of each cause without which the scripts would show too little.
const MIN_MADE: usize = 100;

/// Calls made over all scripts, by cause.
static MADE: [AtomicUsize; Cause::ALL.len()] = [const { AtomicUsize::new(0) }; Cause::ALL.len()];

/// Something that happens to the query; `at` chooses the call it happens to.
#[derive(Clone, Debug)]
enum Happening {
    Reply { at: usize },
    CrossedReply { at: usize, field: u8 },
    Failure { at: usize, reason: Reason, ran: Ran },
    Gone { at: usize, newest: u64 },
    Wait { wait_ms: u64 },
    NewRecord { version: u32 },
}

#[derive(Clone, Debug)]
struct Script {
    is_repeatable: bool,
    is_early: bool,
    happenings: Vec<Happening>,
}

impl Arbitrary for Happening {
    fn arbitrary(g: &mut Gen) -> Self {
        let at = usize::arbitrary(g) % 24;
        let reasons = [
            Reason::Lost,
            Reason::Unreachable,
            Reason::Shed,
            Reason::Draining,
            Reason::Quarantined,
        ];
        match u8::arbitrary(g) % 8 {
            0..=2 => Self::Reply { at },
            3 => Self::CrossedReply {
                at,
                field: u8::arbitrary(g) % 4,
            },
            4 => Self::Failure {
                at,
                reason: *g.choose(&reasons).expect("a reason"),
                ran: *g
                    .choose(&[Ran::No, Ran::Unknown, Ran::Yes])
                    .expect("a value"),
            },
            5 => Self::Gone {
                at,
                newest: u64::arbitrary(g) % 5,
            },
            6 => Self::Wait {
                wait_ms: u64::arbitrary(g) % 80,
            },
            _ => Self::NewRecord {
                version: u32::arbitrary(g) % 4,
            },
        }
    }
}

impl Arbitrary for Script {
    fn arbitrary(g: &mut Gen) -> Self {
        let steps = usize::arbitrary(g) % MAX_STEPS;
        Self {
            is_repeatable: bool::arbitrary(g),
            is_early: bool::arbitrary(g),
            happenings: (0..steps).map(|_| Happening::arbitrary(g)).collect(),
        }
    }
}

/// Each record lists two versions, each with a partition map of its own.
fn record(version: u32) -> Arc<Service> {
    let shape = |version| (version, [3, 5, 7, 4, 6][version as usize]);
    let older = u64::from(version);
    service(version, &[shape(older), shape(older + 1)])
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum End {
    Open,
    Cancelled,
    Failed(Ran),
    Replied,
}

/// What an observer outside of the query knows.
struct Observer {
    gather: Gather<Rows>,
    is_repeatable: bool,
    start: Instant,
    now: Instant,
    calls: Vec<LeafCall>,
    ends: BTreeMap<AttemptId, End>,
    answers: Vec<Answer<Rows>>,
}

impl Observer {
    fn new(script: &Script) -> Self {
        let start = Instant::now();
        let mut gather = gather(&record(1), start, script.is_repeatable)
            .with_group(trained_group(start))
            .with_hedge(HEDGE);
        if script.is_early {
            gather = gather.with_coverage(Coverage {
                min_share: 0.6,
                when_short: WhenShort::EarlyAfter(ms(100)),
            });
        }
        let actions = gather.start(&mut InOrder, start);
        let mut observer = Self {
            gather,
            is_repeatable: script.is_repeatable,
            start,
            now: start,
            calls: Vec::new(),
            ends: BTreeMap::new(),
            answers: Vec::new(),
        };
        observer.on_actions(actions);
        observer
    }

    fn on_actions(&mut self, actions: Vec<Action<Rows>>) {
        assert!(
            self.answers.is_empty() || actions.is_empty(),
            "acts after its end"
        );
        for action in actions {
            match action {
                Action::Call(call) => self.on_call(call),
                Action::Cancel(id) => {
                    let end = self.ends.insert(id, End::Cancelled);
                    assert_eq!(end, Some(End::Open), "cancels what has ended");
                }
                Action::Finish(answer) => self.answers.push(answer),
            }
        }
    }

    fn on_call(&mut self, call: LeafCall) {
        if !self.is_repeatable {
            let is_restart = call.cause == Cause::Restart;
            let has_not_run = self
                .calls
                .iter()
                .filter(|c| c.index_version != call.index_version || c.shard == call.shard)
                .all(|c| self.ends[&c.attempt_id] == End::Failed(Ran::No));
            assert!(has_not_run, "repeated, restart: {is_restart}");
        }
        assert!(call.time_left <= self.start + ms(1_000) - self.now);
        MADE[call.cause as usize].fetch_add(1, Ordering::Relaxed);
        self.ends.insert(call.attempt_id, End::Open);
        self.calls.push(call);
    }

    fn happen(&mut self, happening: &Happening) {
        let call = |at: &usize| self.calls[at % self.calls.len()].clone();
        let event = match happening {
            Happening::Wait { wait_ms } => {
                self.now += ms(*wait_ms);
                Event::Wake
            }
            Happening::NewRecord { version } => return self.gather.learn(record(*version)),
            Happening::Reply { at } => self.on_reply(&call(at)),
            Happening::CrossedReply { at, field } => self.on_crossed(&call(at), *field),
            Happening::Failure { at, reason, ran } => self.on_failure(&call(at), *reason, *ran),
            Happening::Gone { at, newest } => {
                let call = call(at);
                self.end(&call, End::Failed(Ran::No));
                gone(&call, *newest)
            }
        };
        self.send(event);
    }

    fn send(&mut self, event: Event<Rows>) {
        let actions = self.gather.on_event(event, &mut InOrder, self.now);
        self.on_actions(actions);
        let is_awake = self.gather.next_wake().is_some();
        assert_eq!(is_awake, self.answers.is_empty(), "sleeps before its end");
    }

    /// Notes the end of a call unless it has ended before.
    fn end(&mut self, call: &LeafCall, end: End) {
        if self.answers.is_empty() && self.ends[&call.attempt_id] == End::Open {
            self.ends.insert(call.attempt_id, end);
        }
    }

    fn on_reply(&mut self, call: &LeafCall) -> Event<Rows> {
        self.end(call, End::Replied);
        replied(call)
    }

    fn on_crossed(&mut self, call: &LeafCall, field: u8) -> Event<Rows> {
        self.end(call, End::Failed(Ran::Unknown));
        let mut crossed = reply(call);
        match field {
            0 => crossed.request_id += 1,
            1 => crossed.attempt_id += 1,
            2 => crossed.shard += 1,
            _ => crossed.index_version += 1,
        }
        Event::Replied(call.attempt_id, crossed)
    }

    fn on_failure(&mut self, call: &LeafCall, reason: Reason, ran: Ran) -> Event<Rows> {
        self.end(call, End::Failed(ran));
        let failure = LeafFailure {
            reason,
            ran,
            newest_version: None,
        };
        Event::Failed(call.attempt_id, failure)
    }

    /// Lets time pass until the query ends.
    fn finish(&mut self) {
        while let Some(wake) = self.gather.next_wake() {
            assert!(wake <= self.start + ms(1_000), "wakes after the deadline");
            self.now = self.now.max(wake);
            self.send(Event::Wake);
        }
        assert_eq!(self.answers.len(), 1, "one end");
    }

    fn check(&self) {
        let answer = &self.answers[0];
        let pinned = (0..4)
            .flat_map(|version| record(version).indexes.clone())
            .filter(|index| index.version == answer.version)
            .find(|index| covers_exactly(index, &answer.coverage));
        assert!(pinned.is_some(), "not a partition map: {answer:?}");
        let shards: Vec<_> = answer.rows.iter().map(|rows| rows.shard).collect();
        assert_eq!(shards, answer.coverage.covered);
        for rows in &answer.rows {
            let mut calls = self.calls.iter();
            let call = calls
                .find(|call| call.attempt_id == rows.rows)
                .expect("a call");
            assert_eq!(
                (call.shard, call.index_version),
                (rows.shard, answer.version)
            );
            assert_eq!(self.ends[&call.attempt_id], End::Replied, "an ended call");
        }
        let has_not_run = self.ends.values().all(|end| *end == End::Failed(Ran::No));
        assert_eq!(answer.ran == Ran::No, has_not_run);
        let has_run = |end: &End| matches!(end, End::Replied | End::Failed(Ran::Yes));
        assert_eq!(answer.ran == Ran::Yes, self.ends.values().any(has_run));
    }
}

fn covers_exactly(index: &Index, report: &CoverageReport) -> bool {
    let zones = ["zone-0", "zone-1"];
    let mut shards = report.covered.clone();
    shards.extend(report.missing.iter().map(|missing| missing.shard));
    shards.sort_unstable();
    report.missing.iter().all(|missing| missing.zones == zones)
        && shards
            .into_iter()
            .eq(index.shards.iter().map(|shard| shard.id))
}

#[test]
fn no_sequence_of_events_makes_an_answer_false() {
    fn holds(script: Script) -> bool {
        let mut observer = Observer::new(&script);
        for happening in script.happenings {
            observer.happen(&happening);
        }
        observer.finish();
        observer.check();
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, SEED))
        .tests(CASES)
        .quickcheck(holds as fn(Script) -> bool);
    for cause in Cause::ALL {
        let made = MADE[cause as usize].load(Ordering::Relaxed);
        assert!(made >= MIN_MADE, "{}: only {made} calls", cause.as_str());
    }
}
