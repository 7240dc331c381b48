//! Claims on idempotency keys, which ensure that a request is dispatched at most once.
//!
//! A claim is one key of the platform's store, written by compare-and-swap
//! before the request is dispatched. It contains the unique identifier of the
//! attempt, so that after a lost reply the attempt can read back whether its
//! write took effect. The attempt whose identifier the claim contains dispatches
//! the request, once. Leases only remove old claims; they never decide who may
//! dispatch.
//!
//! [`ClaimAttempt`] is a state machine without I/O that receives the result of each
//! call; [`claim`] executes its steps.

use {
    crate::{Expected, Fault, KeyRevision, LeaseId, Platform, Value},
    bytes::Bytes,
    kind::{Error, Kind, Ran, Result},
    record::TenantId,
    serde::{Deserialize, Serialize},
    xxhash_rust::xxh3::xxh3_128,
};

/// Maximum number of writes of one attempt to claim a key.
const MAX_WRITES: u32 = 3;
/// Maximum number of attempts to write an outcome.
const MAX_OUTCOME_WRITES: u32 = 4;
/// Maximum size of an answer that is stored with a claim, in bytes.
pub const MAX_STORED_ANSWER_BYTES: usize = 16 * 1024;

/// Unique identifier of one attempt to run a request.
pub type ClaimAttemptId = u128;
/// Hash of the body of a request.
pub type Fingerprint = u128;
/// Hash of a [`ClaimScope`].
pub type ScopeHash = u128;

/// Scope within which a claim is unique.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct ClaimScope {
    /// Tenant.
    pub tenant: TenantId,
    /// Name of the route; all versions of a route share its claims.
    pub route: String,
    /// The caller's idempotency key.
    pub key: String,
}

impl ClaimScope {
    /// Returns the hash that identifies the scope in the platform's store.
    pub fn hash(&self) -> ScopeHash {
        // Each length prefix keeps different scopes from yielding the same text.
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
    /// The answer that the caller received, unless the request failed or the answer
    /// exceeds [`MAX_STORED_ANSWER_BYTES`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub answer: Option<String>,
    /// Name of the error kind, if the request failed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub failure: Option<String>,
}

/// A claim as it is stored.
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
    /// Creates a claim of an attempt, without an outcome.
    pub fn new(attempt_id: ClaimAttemptId, fingerprint: Fingerprint) -> Self {
        Self {
            attempt_id: format!("{attempt_id:032x}"),
            fingerprint: format!("{fingerprint:032x}"),
            outcome: None,
        }
    }

    /// Sets the outcome of the request.
    pub fn with_outcome(mut self, outcome: Outcome) -> Self {
        self.outcome = Some(outcome);
        self
    }

    /// Returns the serialized claim as it is stored.
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

    /// Returns whether both claims belong to the same attempt.
    pub(crate) fn is_of_same_attempt(&self, other: &Self) -> bool {
        self.attempt_id == other.attempt_id
    }

    /// Returns how the stored claim `found` affects this one.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::KeyReused`] or [`Kind::AlreadyClaimed`].
    pub(crate) fn compare_with_existing(&self, found: Self) -> Result<ExistingClaim> {
        if self.is_of_same_attempt(&found) {
            return Ok(ExistingClaim::Own);
        }
        if found.fingerprint != self.fingerprint {
            return Err(Error::new(
                Kind::KeyReused,
                "the idempotency key was already used with a different body",
            ));
        }
        match found.outcome {
            // The request provably did not run, so this attempt may take over the key.
            Some(outcome) if outcome.ran == Ran::No => Ok(ExistingClaim::Available),
            Some(outcome) => Ok(ExistingClaim::Finished(outcome)),
            None => Err(Error::new(
                Kind::AlreadyClaimed,
                "another attempt holds the key and its outcome is not known",
            )),
        }
    }
}

/// How a stored claim affects a new one for the same key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum ExistingClaim {
    /// It belongs to the same attempt.
    Own,
    /// Its request did not run, so it may be replaced.
    Available,
    /// Its request has this outcome.
    Finished(Outcome),
}

/// A claim that the attempt holds, which permits it to dispatch the request once.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct HeldClaim {
    /// The claim as it is stored.
    pub claim: Claim,
    /// Revision of the key at which the claim was written or read back.
    pub key_revision: KeyRevision,
}

/// The result of an attempt to claim a key.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum ClaimResult<W = HeldClaim> {
    /// This attempt holds the claim and may dispatch the request.
    Held(W),
    /// Another attempt has finished with this outcome.
    Finished(Outcome),
}

/// The next action that a [`ClaimAttempt`] requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimStep {
    /// Read the key.
    Read,
    /// Write the key.
    Write {
        /// Precondition of the write.
        expected: Expected,
        /// The serialized claim.
        bytes: Bytes,
    },
    /// The attempt has ended with this result.
    Done(Result<ClaimResult>),
}

/// The result of a [`ClaimStep`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimEvent {
    /// The key was read.
    Read(Result<Option<Value>, Fault>),
    /// The key was written.
    Written(Result<KeyRevision, Fault>),
}

/// State machine of one attempt to claim a key.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct ClaimAttempt {
    claim: Claim,
    expected: Expected,
    writes: u32,
    /// Whether the reply to a write was lost, so that it may have taken effect.
    has_uncertain_write: bool,
    has_conflict: bool,
}

impl From<Claim> for ClaimAttempt {
    fn from(claim: Claim) -> Self {
        Self {
            claim,
            expected: Expected::Absent,
            writes: 0,
            has_uncertain_write: false,
            has_conflict: false,
        }
    }
}

impl ClaimAttempt {
    /// Creates an attempt to claim a key for a request with `fingerprint`.
    pub fn new(attempt_id: ClaimAttemptId, fingerprint: Fingerprint) -> Self {
        Self::from(Claim::new(attempt_id, fingerprint))
    }

    /// Returns the first step.
    pub fn start(&mut self) -> ClaimStep {
        self.write(Expected::Absent)
    }

    /// Processes the result of the last step and returns the next one.
    pub fn on_event(&mut self, event: ClaimEvent) -> ClaimStep {
        match event {
            ClaimEvent::Written(Ok(key_revision)) => self.won(key_revision),
            ClaimEvent::Written(Err(Fault::Conflict)) => {
                self.has_conflict = true;
                ClaimStep::Read
            }
            ClaimEvent::Written(Err(Fault::Unknown(_))) => {
                self.has_uncertain_write = true;
                ClaimStep::Read
            }
            ClaimEvent::Written(Err(Fault::Unreachable(detail))) => self.fail(&detail),
            ClaimEvent::Read(Ok(value)) => self.on_value(value),
            ClaimEvent::Read(Err(fault)) => {
                let detail = Error::from(fault).detail().to_owned();
                self.fail(&detail)
            }
        }
    }

    fn write(&mut self, expected: Expected) -> ClaimStep {
        self.writes += 1;
        if self.writes > MAX_WRITES {
            return self.fail("the key kept changing");
        }
        self.expected = expected;
        ClaimStep::Write {
            expected,
            bytes: self.claim.to_bytes(),
        }
    }

    fn won(&self, key_revision: KeyRevision) -> ClaimStep {
        ClaimStep::Done(Ok(ClaimResult::Held(HeldClaim {
            claim: self.claim.clone(),
            key_revision,
        })))
    }

    fn on_value(&mut self, value: Option<Value>) -> ClaimStep {
        let Some(value) = value else {
            // An earlier write with a lost reply may still arrive; this write then
            // conflicts, and the next read finds the claim of this attempt.
            return self.write(Expected::Absent);
        };
        let found = match Claim::from_bytes(&value.bytes) {
            Ok(found) => found,
            Err(error) => return ClaimStep::Done(Err(error)),
        };
        match self.claim.compare_with_existing(found) {
            Ok(ExistingClaim::Own) => self.won(value.key_revision),
            Ok(ExistingClaim::Available) => self.write(Expected::At(value.key_revision)),
            Ok(ExistingClaim::Finished(outcome)) => {
                ClaimStep::Done(Ok(ClaimResult::Finished(outcome)))
            }
            Err(error) => ClaimStep::Done(Err(error)),
        }
    }

    /// Ends the attempt without the claim; it has not dispatched the request.
    fn fail(&self, detail: &str) -> ClaimStep {
        let error = if self.has_conflict && !self.has_uncertain_write {
            Error::new(
                Kind::AlreadyClaimed,
                format!("another attempt holds the key: {detail}"),
            )
        } else if self.has_uncertain_write {
            Error::new(Kind::StoreUnknown, detail).with_ran(Ran::No)
        } else {
            Error::new(Kind::StoreDown, detail).with_ran(Ran::No)
        };
        ClaimStep::Done(Err(error))
    }
}

/// Executes the steps of `claiming`; the key is removed when the lease `lease_id` ends.
///
/// # Errors
///
/// Returns [`Kind::StoreDown`] or [`Kind::StoreUnknown`] with [`Ran::No`],
/// [`Kind::KeyReused`] or [`Kind::AlreadyClaimed`].
pub async fn claim<P: Platform>(
    platform: &P,
    store_key: &str,
    lease_id: Option<LeaseId>,
    mut claiming: ClaimAttempt,
) -> Result<ClaimResult> {
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

/// Stores the outcome of a request with the claim `won`.
///
/// # Errors
///
/// Returns [`Kind::StoreDown`] if the outcome could not be written. The key then
/// stays claimed, and repeated requests are told that the outcome is unknown.
pub async fn record_outcome<P: Platform>(
    platform: &P,
    store_key: &str,
    lease_id: Option<LeaseId>,
    won: HeldClaim,
    outcome: Outcome,
) -> Result<()> {
    let bytes = won.claim.with_outcome(outcome).to_bytes();
    let mut last_fault = Fault::Conflict;
    for _ in 0..MAX_OUTCOME_WRITES {
        let expected = Expected::At(won.key_revision);
        match platform
            .put_leased(store_key, expected, bytes.clone(), lease_id)
            .await
        {
            // A conflict means that an earlier write with a lost reply took effect.
            Ok(_) | Err(Fault::Conflict) => return Ok(()),
            Err(fault) => last_fault = fault,
        }
    }
    Err(Error::new(
        Kind::StoreDown,
        Error::from(last_fault).detail(),
    ))
}
