//! Tests of the claiming, stepped by hand against a store in memory.

mod faults;

use {
    crate::faults::Fate,
    fakes::memory::MemoryStore,
    kind::{Kind, Ran, Result},
    store::{Claim, ClaimEvent, ClaimScope, ClaimStep, Claimed, Claiming, Expected, Outcome},
};

const KEY: &str = "wharf/claim/1";

fn run(store: &mut MemoryStore, mut claiming: Claiming, fates: &[Fate]) -> Result<Claimed> {
    let mut fates = fates.iter().copied();
    let mut step = claiming.start();
    loop {
        let fate = fates.next().unwrap_or(Fate::Fine);
        let event = match step {
            ClaimStep::Read => ClaimEvent::Read(fate.call(|| Ok(store.get(KEY)))),
            ClaimStep::Write { expected, bytes } => {
                ClaimEvent::Written(fate.call(|| store.put(KEY, expected, bytes)))
            }
            ClaimStep::Done(result) => return result,
        };
        step = claiming.on_event(event);
    }
}

struct Case {
    what: &'static str,
    fates: &'static [Fate],
    /// Kind and execution state of the refusal; `None` wins the claim.
    refusal: Option<(Kind, Ran)>,
}

const FREE_KEY: &[Case] = &[
    Case {
        what: "no fault",
        fates: &[],
        refusal: None,
    },
    Case {
        what: "reply lost",
        fates: &[Fate::ReplyLost],
        refusal: None,
    },
    Case {
        what: "request lost",
        fates: &[Fate::RequestLost],
        refusal: None,
    },
    Case {
        what: "store down",
        fates: &[Fate::Down],
        refusal: Some((Kind::StoreDown, Ran::No)),
    },
    Case {
        what: "reply lost, then down",
        fates: &[Fate::ReplyLost, Fate::Down],
        refusal: Some((Kind::StoreUnknown, Ran::No)),
    },
    Case {
        what: "every request lost",
        fates: &[
            Fate::RequestLost,
            Fate::Fine,
            Fate::RequestLost,
            Fate::Fine,
            Fate::RequestLost,
            Fate::Fine,
        ],
        refusal: Some((Kind::StoreUnknown, Ran::No)),
    },
];

const TAKEN_KEY: &[Case] = &[
    Case {
        what: "no fault",
        fates: &[],
        refusal: Some((Kind::AlreadyClaimed, Ran::Unknown)),
    },
    Case {
        what: "read fails",
        fates: &[Fate::Fine, Fate::Down],
        refusal: Some((Kind::AlreadyClaimed, Ran::Unknown)),
    },
    Case {
        what: "reply lost",
        fates: &[Fate::ReplyLost],
        refusal: Some((Kind::AlreadyClaimed, Ran::Unknown)),
    },
    Case {
        what: "store down",
        fates: &[Fate::Down],
        refusal: Some((Kind::StoreDown, Ran::No)),
    },
];

fn check(what: &str, result: Result<Claimed>, refusal: Option<(Kind, Ran)>) {
    match (result, refusal) {
        (Ok(Claimed::Won(_)), None) => {}
        (Err(error), Some(wanted)) => assert_eq!((error.kind(), error.ran()), wanted, "{what}"),
        (other, _) => panic!("{what}: {other:?}"),
    }
}

#[test]
fn a_free_key_is_won_or_refused_as_not_run() {
    for case in FREE_KEY {
        let mut store = MemoryStore::default();
        let result = run(&mut store, Claiming::new(1, 7), case.fates);
        check(case.what, result, case.refusal);
    }
}

#[test]
fn a_taken_key_is_never_won() {
    for case in TAKEN_KEY {
        let mut store = MemoryStore::default();
        run(&mut store, Claiming::new(1, 7), &[]).unwrap();
        let result = run(&mut store, Claiming::new(2, 7), case.fates);
        check(case.what, result, case.refusal);
    }
}

#[test]
fn another_body_under_the_same_key_is_refused() {
    let mut store = MemoryStore::default();
    run(&mut store, Claiming::new(1, 7), &[]).unwrap();
    let error = run(&mut store, Claiming::new(2, 8), &[]).unwrap_err();
    assert_eq!((error.kind(), error.ran()), (Kind::KeyReused, Ran::No));
}

fn finish(store: &mut MemoryStore, ran: Ran) -> Outcome {
    let outcome = Outcome {
        ran,
        answer: Some("{}".to_owned()),
        failure: None,
    };
    let Ok(Claimed::Won(won)) = run(store, Claiming::new(1, 7), &[]) else {
        panic!("not won");
    };
    let bytes = won.claim.with_outcome(outcome.clone()).to_bytes();
    store
        .put(KEY, Expected::At(won.key_revision), bytes)
        .expect("a valid value");
    outcome
}

#[test]
fn a_repeat_gets_the_recorded_outcome() {
    for ran in [Ran::Yes, Ran::Unknown] {
        let mut store = MemoryStore::default();
        let outcome = finish(&mut store, ran);
        let result = run(&mut store, Claiming::new(2, 7), &[]).unwrap();
        assert_eq!(result, Claimed::Finished(outcome));
    }
}

#[test]
fn a_repeat_takes_over_after_proof_that_nothing_ran() {
    let mut store = MemoryStore::default();
    finish(&mut store, Ran::No);
    let result = run(&mut store, Claiming::new(2, 7), &[Fate::Fine, Fate::Fine]);
    assert!(matches!(result, Ok(Claimed::Won(_))));
    let error = run(&mut store, Claiming::new(3, 7), &[]).unwrap_err();
    assert_eq!(error.kind(), Kind::AlreadyClaimed);
}

#[test]
fn scopes_do_not_run_together() {
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
fn a_malformed_claim_is_never_won() {
    let mut store = MemoryStore::default();
    store.put(KEY, Expected::Absent, "{".into()).unwrap();
    assert!(run(&mut store, Claiming::new(1, 7), &[]).is_err());
    let text = String::from_utf8(Claim::new(1, 2).to_bytes().to_vec()).unwrap();
    assert!(text.contains("attempt_id"));
}
