//! Answers stay correct under random sequences of replies, losses, duplicates and index changes.

mod common;

use {
    common::*,
    kind::Ran,
    plan::{
        Action, Answer, AttemptId, Cause, CoverageReport, Event, Gather, LeafCall, LeafFailure,
        Reason,
    },
    quickcheck::{Arbitrary, Gen, QuickCheck},
    record::{Coverage, IncompletePolicy, Index, Service},
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
/// Minimum number of calls of each cause over all scripts; fewer would leave that cause untested.
const MIN_CALLS_PER_CAUSE: usize = 100;

/// Number of calls made over all scripts, by cause.
static CALLS_BY_CAUSE: [AtomicUsize; Cause::ALL.len()] =
    [const { AtomicUsize::new(0) }; Cause::ALL.len()];

/// One step of a script; `call_index` selects the call that it concerns.
#[derive(Clone, Debug)]
enum ScriptStep {
    Reply {
        call_index: usize,
    },
    MismatchedReply {
        call_index: usize,
        field: u8,
    },
    Failure {
        call_index: usize,
        reason: Reason,
        ran: Ran,
    },
    VersionGone {
        call_index: usize,
        newest: u64,
    },
    Advance {
        elapsed_ms: u64,
    },
    NewRecord {
        version: u32,
    },
}

#[derive(Clone, Debug)]
struct Script {
    is_repeatable: bool,
    is_early: bool,
    steps: Vec<ScriptStep>,
}

impl Arbitrary for ScriptStep {
    fn arbitrary(g: &mut Gen) -> Self {
        let call_index = usize::arbitrary(g) % 24;
        let reasons = [
            Reason::Lost,
            Reason::Unreachable,
            Reason::Shed,
            Reason::Draining,
            Reason::Quarantined,
        ];
        match u8::arbitrary(g) % 8 {
            0..=2 => Self::Reply { call_index },
            3 => Self::MismatchedReply {
                call_index,
                field: u8::arbitrary(g) % 4,
            },
            4 => Self::Failure {
                call_index,
                reason: *g.choose(&reasons).expect("a reason"),
                ran: *g
                    .choose(&[Ran::No, Ran::Unknown, Ran::Yes])
                    .expect("a value"),
            },
            5 => Self::VersionGone {
                call_index,
                newest: u64::arbitrary(g) % 5,
            },
            6 => Self::Advance {
                elapsed_ms: u64::arbitrary(g) % 80,
            },
            _ => Self::NewRecord {
                version: u32::arbitrary(g) % 4,
            },
        }
    }
}

impl Arbitrary for Script {
    fn arbitrary(g: &mut Gen) -> Self {
        let step_count = usize::arbitrary(g) % MAX_STEPS;
        Self {
            is_repeatable: bool::arbitrary(g),
            is_early: bool::arbitrary(g),
            steps: (0..step_count).map(|_| ScriptStep::arbitrary(g)).collect(),
        }
    }
}

/// Returns a record with two index versions, each with its own partition map.
fn record(version: u32) -> Arc<Service> {
    let shape = |version| (version, [3, 5, 7, 4, 6][version as usize]);
    let older = u64::from(version);
    service(version, &[shape(older), shape(older + 1)])
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum CallState {
    Open,
    Cancelled,
    Failed(Ran),
    Replied,
}

/// Drives a query, tracks its calls from the outside and checks its answer.
struct Observer {
    gather: Gather<Rows>,
    is_repeatable: bool,
    start: Instant,
    now: Instant,
    calls: Vec<LeafCall>,
    call_states: BTreeMap<AttemptId, CallState>,
    answers: Vec<Answer<Rows>>,
}

impl Observer {
    fn new(script: &Script) -> Self {
        let start = Instant::now();
        let mut gather = gather(&record(1), start, script.is_repeatable)
            .with_service_state(trained_group(start))
            .with_hedge(HEDGE);
        if script.is_early {
            gather = gather.with_coverage(Coverage {
                min_share: 0.6,
                when_short: IncompletePolicy::AnswerAfter(ms(100)),
            });
        }
        let actions = gather.start(&mut InOrder, start);
        let mut observer = Self {
            gather,
            is_repeatable: script.is_repeatable,
            start,
            now: start,
            calls: Vec::new(),
            call_states: BTreeMap::new(),
            answers: Vec::new(),
        };
        observer.on_actions(actions);
        observer
    }

    fn on_actions(&mut self, actions: Vec<Action<Rows>>) {
        assert!(
            self.answers.is_empty() || actions.is_empty(),
            "actions after the answer"
        );
        for action in actions {
            match action {
                Action::Call(call) => self.on_call(call),
                Action::Cancel(id) => {
                    let previous = self.call_states.insert(id, CallState::Cancelled);
                    assert_eq!(
                        previous,
                        Some(CallState::Open),
                        "cancelled a call that has ended"
                    );
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
                .all(|c| self.call_states[&c.attempt_id] == CallState::Failed(Ran::No));
            assert!(
                has_not_run,
                "called again although it may have run, restart: {is_restart}"
            );
        }
        assert!(call.time_left <= self.start + ms(1_000) - self.now);
        CALLS_BY_CAUSE[call.cause as usize].fetch_add(1, Ordering::Relaxed);
        self.call_states.insert(call.attempt_id, CallState::Open);
        self.calls.push(call);
    }

    fn apply(&mut self, step: &ScriptStep) {
        let call = |call_index: &usize| self.calls[call_index % self.calls.len()].clone();
        let event = match step {
            ScriptStep::Advance { elapsed_ms } => {
                self.now += ms(*elapsed_ms);
                Event::Wake
            }
            ScriptStep::NewRecord { version } => return self.gather.learn(record(*version)),
            ScriptStep::Reply { call_index } => self.matching_reply(&call(call_index)),
            ScriptStep::MismatchedReply { call_index, field } => {
                self.mismatched_reply(&call(call_index), *field)
            }
            ScriptStep::Failure {
                call_index,
                reason,
                ran,
            } => self.failure(&call(call_index), *reason, *ran),
            ScriptStep::VersionGone { call_index, newest } => {
                let call = call(call_index);
                self.end_call(&call, CallState::Failed(Ran::No));
                version_gone(&call, *newest)
            }
        };
        self.send(event);
    }

    fn send(&mut self, event: Event<Rows>) {
        let actions = self.gather.on_event(event, &mut InOrder, self.now);
        self.on_actions(actions);
        let will_wake = self.gather.next_wake().is_some();
        assert_eq!(
            will_wake,
            self.answers.is_empty(),
            "no wake time before the answer, or one after it"
        );
    }

    /// Records the end of a call unless it has already ended.
    fn end_call(&mut self, call: &LeafCall, state: CallState) {
        if self.answers.is_empty() && self.call_states[&call.attempt_id] == CallState::Open {
            self.call_states.insert(call.attempt_id, state);
        }
    }

    fn matching_reply(&mut self, call: &LeafCall) -> Event<Rows> {
        self.end_call(call, CallState::Replied);
        replied(call)
    }

    fn mismatched_reply(&mut self, call: &LeafCall, field: u8) -> Event<Rows> {
        self.end_call(call, CallState::Failed(Ran::Unknown));
        let mut mismatched = reply(call);
        match field {
            0 => mismatched.request_id += 1,
            1 => mismatched.attempt_id += 1,
            2 => mismatched.shard += 1,
            _ => mismatched.index_version += 1,
        }
        Event::Replied(call.attempt_id, mismatched)
    }

    fn failure(&mut self, call: &LeafCall, reason: Reason, ran: Ran) -> Event<Rows> {
        self.end_call(call, CallState::Failed(ran));
        let failure = LeafFailure {
            reason,
            ran,
            newest_version: None,
        };
        Event::Failed(call.attempt_id, failure)
    }

    /// Advances the time until the query ends.
    fn finish(&mut self) {
        while let Some(wake) = self.gather.next_wake() {
            assert!(
                wake <= self.start + ms(1_000),
                "wake time after the deadline"
            );
            self.now = self.now.max(wake);
            self.send(Event::Wake);
        }
        assert_eq!(self.answers.len(), 1, "not exactly one answer");
    }

    fn check(&self) {
        let answer = &self.answers[0];
        let pinned = (0..4)
            .flat_map(|version| record(version).indexes.clone())
            .filter(|index| index.version == answer.version)
            .find(|index| covers_exactly(index, &answer.coverage));
        assert!(
            pinned.is_some(),
            "coverage does not match a partition map: {answer:?}"
        );
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
            assert_eq!(
                self.call_states[&call.attempt_id],
                CallState::Replied,
                "rows of a call that was not answered"
            );
        }
        let has_not_run = self
            .call_states
            .values()
            .all(|state| *state == CallState::Failed(Ran::No));
        assert_eq!(answer.ran == Ran::No, has_not_run);
        let has_run =
            |state: &CallState| matches!(state, CallState::Replied | CallState::Failed(Ran::Yes));
        assert_eq!(
            answer.ran == Ran::Yes,
            self.call_states.values().any(has_run)
        );
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
fn answers_are_correct_for_any_sequence_of_events() {
    fn is_correct(script: Script) -> bool {
        let mut observer = Observer::new(&script);
        for step in script.steps {
            observer.apply(&step);
        }
        observer.finish();
        observer.check();
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, SEED))
        .tests(CASES)
        .quickcheck(is_correct as fn(Script) -> bool);
    for cause in Cause::ALL {
        let calls = CALLS_BY_CAUSE[cause as usize].load(Ordering::Relaxed);
        assert!(
            calls >= MIN_CALLS_PER_CAUSE,
            "{}: only {calls} calls",
            cause.as_str()
        );
    }
}
