//! Claims of idempotency keys: who may dispatch a request that runs at most once.
//!
//! A claim is one key of the platform's store, written by compare-and-swap
//! before anything is dispatched. It carries the unique identifier of the
//! attempt, so that a lost reply is settled by reading back. The attempt that
//! finds its own identifier dispatches, once; no lease decides anything.
//!
//! The decisions are [`Claiming`], plain state that is fed with the outcome of
//! each call; [`claim`] carries its steps out.

use {
    crate::{Expected, Fault, KeyRevision, LeaseId, Platform, Value},
    bytes::Bytes,
    kind::{Error, Kind, Ran, Result},
    record::TenantId,
    serde::{Deserialize, Serialize},
    xxhash_rust::xxh3::xxh3_128,
};

/// Most writes within one claiming.
const MAX_WRITES: u32 = 3;
/// Most writes of an outcome.
const MAX_OUTCOME_WRITES: u32 = 4;
/// Largest answer that is kept with a claim, in bytes.
pub const MAX_KEPT_ANSWER_BYTES: usize = 16 * 1024;

/// Unique identifier of one attempt to run a request.
pub type ClaimAttemptId = u128;
/// Hash of what a request asks for.
pub type Fingerprint = u128;
/// Hash of what a claim is scoped to.
pub type ScopeHash = u128;

/// What a claim is scoped to.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct ClaimScope {
    /// Tenant.
    pub tenant: TenantId,
    /// Name of the route, whatever its version.
    pub route: String,
    /// The caller's idempotency key.
    pub key: String,
}

impl ClaimScope {
    /// Returns the hash that stands for the scope in the platform's store.
    pub fn hash(&self) -> ScopeHash {
        // The parts are led by their length, so that no two scopes run together.
        let text = format!(
            "{}:{}{}:{}{}",
            self.tenant.len(),
            self.tenant,
            self.route.len(),
            self.route,
            self.key
        );
        xxh3_128(text.as_bytes())
    }

    /// Returns the key of the claim in the platform's store.
    pub fn store_key(&self) -> String {
        format!("wharf/claim/{:032x}", self.hash())
    }
}

/// Returns the fingerprint of a request.
pub fn fingerprint(body: &[u8]) -> Fingerprint {
    xxh3_128(body)
}

/// How a dispatched request ended.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Outcome {
    /// Whether the request was executed.
    pub ran: Ran,
    /// The answer that the caller got, if it was one and is small.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub answer: Option<String>,
    /// Name of the kind of failure, if it was one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub failure: Option<String>,
}

/// A claim as it stands in the store.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Claim {
    /// Attempt that holds the claim, in hexadecimal.
    attempt_id: String,
    /// Fingerprint of the request, in hexadecimal.
    fingerprint: String,
    /// How the request ended, once that is known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    outcome: Option<Outcome>,
}

impl Claim {
    /// Creates the claim of an attempt.
    pub fn new(attempt_id: ClaimAttemptId, fingerprint: Fingerprint) -> Self {
        Self {
            attempt_id: format!("{attempt_id:032x}"),
            fingerprint: format!("{fingerprint:032x}"),
            outcome: None,
        }
    }

    /// Returns the claim with the outcome of its request.
    pub fn with_outcome(mut self, outcome: Outcome) -> Self {
        self.outcome = Some(outcome);
        self
    }

    /// Returns the bytes that stand in the store.
    pub fn to_bytes(&self) -> Bytes {
        Bytes::from(serde_json::to_vec(self).unwrap_or_default())
    }

    fn from_bytes(bytes: &[u8]) -> Result<Self> {
        serde_json::from_slice(bytes)
            .map_err(|e| Error::new(Kind::Internal, format!("malformed claim: {e}")))
    }

    /// Returns the attempt that holds the claim, in hexadecimal.
    pub fn attempt_id(&self) -> &str {
        &self.attempt_id
    }

    /// Returns the fingerprint of the request, in hexadecimal.
    pub fn fingerprint(&self) -> &str {
        &self.fingerprint
    }

    /// Returns how the request ended, once that is known.
    pub fn outcome(&self) -> Option<&Outcome> {
        self.outcome.as_ref()
    }

    /// Returns whether both claims are of one attempt.
    pub(crate) fn is_of_same_attempt(&self, other: &Self) -> bool {
        self.attempt_id == other.attempt_id
    }

    /// Returns what a claim that stands means for this one.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::KeyReused`] or [`Kind::AlreadyClaimed`].
    pub(crate) fn meet(&self, found: Self) -> Result<Met> {
        if self.is_of_same_attempt(&found) {
            return Ok(Met::Own);
        }
        if found.fingerprint != self.fingerprint {
            return Err(Error::new(
                Kind::KeyReused,
                "the key was used with another body",
            ));
        }
        match found.outcome {
            // Proof that nothing ran, so that the next attempt may take over.
            Some(outcome) if outcome.ran == Ran::No => Ok(Met::Free),
            Some(outcome) => Ok(Met::Finished(outcome)),
            None => Err(Error::new(
                Kind::AlreadyClaimed,
                "another attempt has taken the key, its outcome is not known",
            )),
        }
    }
}

/// What a claim that stands means for another one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Met {
    /// It is the same claim.
    Own,
    /// It may be taken over.
    Free,
    /// Its request has run.
    Finished(Outcome),
}

/// Permission to dispatch, once.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Won {
    /// Claim as it stands in the store.
    pub claim: Claim,
    /// Revision of its key, unless the reply was lost.
    pub key_revision: KeyRevision,
}

/// How a claiming ended.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Claimed<W = Won> {
    /// This attempt holds the claim and dispatches.
    Won(W),
    /// Another attempt has run the request, with this outcome.
    Finished(Outcome),
}

/// What a claiming wants done next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimStep {
    /// Read the key.
    Read,
    /// Write the key.
    Write {
        /// What the write expects to find.
        expected: Expected,
        /// Bytes of the claim.
        bytes: Bytes,
    },
    /// Nothing; the claiming has ended.
    Done(Result<Claimed>),
}

/// What happened to a step.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimEvent {
    /// The key was read.
    Read(Result<Option<Value>, Fault>),
    /// The key was written.
    Written(Result<KeyRevision, Fault>),
}

/// One attempt to claim a key.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Claiming {
    claim: Claim,
    expected: Expected,
    writes: u32,
    is_unsettled: bool,
    is_taken: bool,
}

impl From<Claim> for Claiming {
    fn from(claim: Claim) -> Self {
        Self {
            claim,
            expected: Expected::Absent,
            writes: 0,
            is_unsettled: false,
            is_taken: false,
        }
    }
}

impl Claiming {
    /// Creates an attempt to claim.
    pub fn new(attempt_id: ClaimAttemptId, fingerprint: Fingerprint) -> Self {
        Self::from(Claim::new(attempt_id, fingerprint))
    }

    /// Returns the first step.
    pub fn start(&mut self) -> ClaimStep {
        self.write(Expected::Absent)
    }

    /// Takes the outcome of the last step and returns the next one.
    pub fn on_event(&mut self, event: ClaimEvent) -> ClaimStep {
        match event {
            ClaimEvent::Written(Ok(key_revision)) => self.win(key_revision),
            ClaimEvent::Written(Err(Fault::Conflict)) => {
                self.is_taken = true;
                ClaimStep::Read
            }
            ClaimEvent::Written(Err(Fault::Unknown(_))) => {
                self.is_unsettled = true;
                ClaimStep::Read
            }
            ClaimEvent::Written(Err(Fault::Unreachable(detail))) => self.give_up(&detail),
            ClaimEvent::Read(Ok(value)) => self.on_value(value),
            ClaimEvent::Read(Err(fault)) => {
                let detail = Error::from(fault).detail().to_owned();
                self.give_up(&detail)
            }
        }
    }

    fn write(&mut self, expected: Expected) -> ClaimStep {
        self.writes += 1;
        if self.writes > MAX_WRITES {
            return self.give_up("the key changes all the time");
        }
        self.expected = expected;
        ClaimStep::Write {
            expected,
            bytes: self.claim.to_bytes(),
        }
    }

    fn win(&self, key_revision: KeyRevision) -> ClaimStep {
        ClaimStep::Done(Ok(Claimed::Won(Won {
            claim: self.claim.clone(),
            key_revision,
        })))
    }

    fn on_value(&mut self, value: Option<Value>) -> ClaimStep {
        let Some(value) = value else {
            // A lost write may still arrive, and then this one finds its own claim.
            return self.write(Expected::Absent);
        };
        let found = match Claim::from_bytes(&value.bytes) {
            Ok(found) => found,
            Err(error) => return ClaimStep::Done(Err(error)),
        };
        match self.claim.meet(found) {
            Ok(Met::Own) => self.win(value.key_revision),
            Ok(Met::Free) => self.write(Expected::At(value.key_revision)),
            Ok(Met::Finished(outcome)) => ClaimStep::Done(Ok(Claimed::Finished(outcome))),
            Err(error) => ClaimStep::Done(Err(error)),
        }
    }

    /// Ends without the claim; this attempt has dispatched nothing.
    fn give_up(&self, detail: &str) -> ClaimStep {
        let error = if self.is_taken && !self.is_unsettled {
            Error::new(
                Kind::AlreadyClaimed,
                format!("another attempt has taken the key: {detail}"),
            )
        } else if self.is_unsettled {
            Error::new(Kind::StoreUnknown, detail).with_ran(Ran::No)
        } else {
            Error::new(Kind::StoreDown, detail).with_ran(Ran::No)
        };
        ClaimStep::Done(Err(error))
    }
}

/// Carries a claiming out; `lease_id` bounds how long the key is kept.
///
/// # Errors
///
/// Returns [`Kind::StoreDown`] or [`Kind::StoreUnknown`] with [`Ran::No`],
/// [`Kind::KeyReused`] or [`Kind::AlreadyClaimed`].
pub async fn claim<P: Platform>(
    platform: &P,
    store_key: &str,
    lease_id: Option<LeaseId>,
    mut claiming: Claiming,
) -> Result<Claimed> {
    let mut step = claiming.start();
    loop {
        let event = match step {
            ClaimStep::Read => ClaimEvent::Read(platform.get(store_key).await),
            ClaimStep::Write { expected, bytes } => ClaimEvent::Written(
                platform
                    .put_leased(store_key, expected, bytes, lease_id)
                    .await,
            ),
            ClaimStep::Done(result) => return result,
        };
        step = claiming.on_event(event);
    }
}

/// Records how the request of a won claim ended.
///
/// # Errors
///
/// Returns [`Kind::StoreDown`] if the outcome could not be recorded; the claim
/// then stays taken with its outcome unknown.
pub async fn record_outcome<P: Platform>(
    platform: &P,
    store_key: &str,
    lease_id: Option<LeaseId>,
    won: Won,
    outcome: Outcome,
) -> Result<()> {
    let bytes = won.claim.with_outcome(outcome).to_bytes();
    let mut last = Fault::Conflict;
    for _ in 0..MAX_OUTCOME_WRITES {
        let expected = Expected::At(won.key_revision);
        match platform
            .put_leased(store_key, expected, bytes.clone(), lease_id)
            .await
        {
            // A conflict after a lost reply is this very write.
            Ok(_) | Err(Fault::Conflict) => return Ok(()),
            Err(fault) => last = fault,
        }
    }
    Err(Error::new(Kind::StoreDown, Error::from(last).detail()))
}
