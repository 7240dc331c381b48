//! Tests of [`ClaimAttempt`], with its steps executed against an in-memory store.

mod faults;

use {
    crate::faults::InjectedFault,
    fakes::memory::MemoryStore,
    kind::{Kind, Ran, Result},
    store::{
        Claim, ClaimAttempt, ClaimEvent, ClaimResult, ClaimScope, ClaimStep, Expected, Outcome,
    },
};

const KEY: &str = "wharf/claim/1";

fn run(
    store: &mut MemoryStore,
    mut claiming: ClaimAttempt,
    faults: &[InjectedFault],
) -> Result<ClaimResult> {
    let mut faults = faults.iter().copied();
    let mut step = claiming.start();
    loop {
        let fault = faults.next().unwrap_or(InjectedFault::NoFault);
        let event = match step {
            ClaimStep::Read => ClaimEvent::Read(fault.apply(|| Ok(store.get(KEY)))),
            ClaimStep::Write { expected, bytes } => {
                ClaimEvent::Written(fault.apply(|| store.put(KEY, expected, bytes)))
            }
            ClaimStep::Done(result) => return result,
        };
        step = claiming.on_event(event);
    }
}

struct Case {
    description: &'static str,
    faults: &'static [InjectedFault],
    /// Kind and execution state of the expected error; `None` if the claim succeeds.
    refusal: Option<(Kind, Ran)>,
}

const UNCLAIMED_KEY_CASES: &[Case] = &[
    Case {
        description: "no fault",
        faults: &[],
        refusal: None,
    },
    Case {
        description: "reply lost",
        faults: &[InjectedFault::ReplyLost],
        refusal: None,
    },
    Case {
        description: "request lost",
        faults: &[InjectedFault::RequestLost],
        refusal: None,
    },
    Case {
        description: "store down",
        faults: &[InjectedFault::Unreachable],
        refusal: Some((Kind::StoreDown, Ran::No)),
    },
    Case {
        description: "reply lost, then down",
        faults: &[InjectedFault::ReplyLost, InjectedFault::Unreachable],
        refusal: Some((Kind::StoreUnknown, Ran::No)),
    },
    Case {
        description: "every request lost",
        faults: &[
            InjectedFault::RequestLost,
            InjectedFault::NoFault,
            InjectedFault::RequestLost,
            InjectedFault::NoFault,
            InjectedFault::RequestLost,
            InjectedFault::NoFault,
        ],
        refusal: Some((Kind::StoreUnknown, Ran::No)),
    },
];

const PENDING_CLAIM_CASES: &[Case] = &[
    Case {
        description: "no fault",
        faults: &[],
        refusal: Some((Kind::AlreadyClaimed, Ran::Unknown)),
    },
    Case {
        description: "read fails",
        faults: &[InjectedFault::NoFault, InjectedFault::Unreachable],
        refusal: Some((Kind::AlreadyClaimed, Ran::Unknown)),
    },
    Case {
        description: "reply lost",
        faults: &[InjectedFault::ReplyLost],
        refusal: Some((Kind::AlreadyClaimed, Ran::Unknown)),
    },
    Case {
        description: "store down",
        faults: &[InjectedFault::Unreachable],
        refusal: Some((Kind::StoreDown, Ran::No)),
    },
];

fn assert_result(description: &str, result: Result<ClaimResult>, refusal: Option<(Kind, Ran)>) {
    match (result, refusal) {
        (Ok(ClaimResult::Held(_)), None) => {}
        (Err(error), Some(expected)) => {
            assert_eq!((error.kind(), error.ran()), expected, "{description}")
        }
        (other, _) => panic!("{description}: {other:?}"),
    }
}

#[test]
fn an_unclaimed_key_is_claimed_or_refused_with_ran_no() {
    for case in UNCLAIMED_KEY_CASES {
        let mut store = MemoryStore::default();
        let result = run(&mut store, ClaimAttempt::new(1, 7), case.faults);
        assert_result(case.description, result, case.refusal);
    }
}

#[test]
fn a_key_with_a_pending_claim_cannot_be_claimed() {
    for case in PENDING_CLAIM_CASES {
        let mut store = MemoryStore::default();
        run(&mut store, ClaimAttempt::new(1, 7), &[]).unwrap();
        let result = run(&mut store, ClaimAttempt::new(2, 7), case.faults);
        assert_result(case.description, result, case.refusal);
    }
}

#[test]
fn another_body_under_the_same_key_is_refused() {
    let mut store = MemoryStore::default();
    run(&mut store, ClaimAttempt::new(1, 7), &[]).unwrap();
    let error = run(&mut store, ClaimAttempt::new(2, 8), &[]).unwrap_err();
    assert_eq!((error.kind(), error.ran()), (Kind::KeyReused, Ran::No));
}

fn claim_and_record(store: &mut MemoryStore, ran: Ran) -> Outcome {
    let outcome = Outcome {
        ran,
        answer: Some("{}".to_owned()),
        failure: None,
    };
    let Ok(ClaimResult::Held(won)) = run(store, ClaimAttempt::new(1, 7), &[]) else {
        panic!("the key was not claimed");
    };
    let bytes = won.claim.with_outcome(outcome.clone()).to_bytes();
    store
        .put(KEY, Expected::At(won.key_revision), bytes)
        .expect("the claim is unchanged");
    outcome
}

#[test]
fn a_repeat_gets_the_recorded_outcome() {
    for ran in [Ran::Yes, Ran::Unknown] {
        let mut store = MemoryStore::default();
        let outcome = claim_and_record(&mut store, ran);
        let result = run(&mut store, ClaimAttempt::new(2, 7), &[]).unwrap();
        assert_eq!(result, ClaimResult::Finished(outcome));
    }
}

#[test]
fn a_repeat_takes_over_a_claim_whose_request_did_not_run() {
    let mut store = MemoryStore::default();
    claim_and_record(&mut store, Ran::No);
    let result = run(
        &mut store,
        ClaimAttempt::new(2, 7),
        &[InjectedFault::NoFault, InjectedFault::NoFault],
    );
    assert!(matches!(result, Ok(ClaimResult::Held(_))));
    let error = run(&mut store, ClaimAttempt::new(3, 7), &[]).unwrap_err();
    assert_eq!(error.kind(), Kind::AlreadyClaimed);
}

#[test]
fn distinct_scopes_have_distinct_keys() {
    let scope = |tenant: &str, route: &str, key: &str| ClaimScope {
        tenant: tenant.to_owned(),
        route: route.to_owned(),
        key: key.to_owned(),
    };
    let scopes = [
        scope("a", "b", "c"),
        scope("ab", "", "c"),
        scope("", "ab", "c"),
        scope("a", "", "bc"),
        scope("a", "1:b", "c"),
        scope("x", "b", "c"),
    ];
    let mut keys: Vec<_> = scopes.iter().map(ClaimScope::store_key).collect();
    keys.sort();
    keys.dedup();
    assert_eq!(keys.len(), scopes.len());
}

#[test]
fn a_malformed_claim_is_an_error() {
    let mut store = MemoryStore::default();
    store.put(KEY, Expected::Absent, "{".into()).unwrap();
    assert!(run(&mut store, ClaimAttempt::new(1, 7), &[]).is_err());
    let text = String::from_utf8(Claim::new(1, 2).to_bytes().to_vec()).unwrap();
    assert!(text.contains("attempt_id"));
}
