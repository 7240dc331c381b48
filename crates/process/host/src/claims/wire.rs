//! Conversion of claims to and from the messages between hosts.

use {
    fleet::{ClaimCall, ClaimReply, WireOutcome, PROTOCOL_VERSION},
    kind::{Error, Kind, Ran, Result},
    std::time::Duration,
    store::{BatchOp, Claim, ClaimResult, Outcome},
};

pub(super) fn call_of(op: &BatchOp) -> ClaimCall {
    ClaimCall {
        protocol_version: PROTOCOL_VERSION,
        scope: format!("{:032x}", op.scope_hash),
        attempt_id: op.claim.attempt_id().to_owned(),
        fingerprint: op.claim.fingerprint().to_owned(),
        retention_s: op.retention.as_secs(),
        outcome: op.claim.outcome().map(wire_outcome),
    }
}

/// Returns the operation that a peer requests.
///
/// # Errors
///
/// Returns [`Kind::BadPeer`] if a number is malformed.
pub(super) fn op_of(call: ClaimCall) -> Result<BatchOp> {
    let claim = Claim::new(parse_hex(&call.attempt_id)?, parse_hex(&call.fingerprint)?);
    Ok(BatchOp {
        scope_hash: parse_hex(&call.scope)?,
        retention: Duration::from_secs(call.retention_s),
        claim: match call.outcome {
            Some(wire) => claim.with_outcome(outcome(wire)),
            None => claim,
        },
    })
}

pub(super) fn reply_of(claimed: ClaimResult<()>) -> ClaimReply {
    let finished = match claimed {
        ClaimResult::Held(()) => None,
        ClaimResult::Finished(outcome) => Some(wire_outcome(&outcome)),
    };
    ClaimReply { finished }
}

pub(super) fn claimed_of(reply: ClaimReply) -> ClaimResult<()> {
    match reply.finished {
        None => ClaimResult::Held(()),
        Some(wire) => ClaimResult::Finished(outcome(wire)),
    }
}

fn wire_outcome(outcome: &Outcome) -> WireOutcome {
    WireOutcome {
        ran: outcome.ran,
        answer: outcome.answer.clone(),
        failure: outcome.failure.clone(),
    }
}

fn outcome(wire: WireOutcome) -> Outcome {
    Outcome {
        ran: wire.ran,
        answer: wire.answer,
        failure: wire.failure,
    }
}

fn parse_hex(text: &str) -> Result<u128> {
    u128::from_str_radix(text, 16).map_err(|_| {
        let detail = format!("'{text}' is not a hexadecimal number");
        Error::new(Kind::BadPeer, detail).with_ran(Ran::No)
    })
}
