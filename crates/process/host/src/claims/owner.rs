//! Selects the host that batches the claims of a range.
//!
//! Claims of a range are sent to one host, its owner, so that they share
//! batches. Ownership is only a hint: hosts may disagree on the owner, and the
//! owner may crash, hang or be partitioned off. A host that gets no answer from
//! the owner writes the claim itself. Both write the same attempt id to the same
//! log, so a claim that the owner wrote although its answer was lost is
//! recognized as the host's own.

use {
    crate::{
        claims::{batcher, wire},
        peer::PeerHealth,
        shared::Shared,
    },
    fleet::{relay_set, Member},
    kind::Kind,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    store::{claim_range, BatchAnswer, BatchOp, ClaimRange},
};

/// Minimum timeout for a call to the owner.
const MIN_OWNER_TIMEOUT: Duration = Duration::from_millis(500);

/// Writes a claim or an outcome through the owner of its range.
///
/// This host writes it itself if it is the owner, or if the owner does not answer.
pub(super) async fn write(shared: &Arc<Shared>, op: BatchOp, deadline: Instant) -> BatchAnswer {
    let owner = owner_of(shared, claim_range(op.scope_hash));
    if let Some(owner) = owner.filter(|owner| owner.id != shared.settings.member.id) {
        if let Some(answer) = write_through(shared, &owner, &op, deadline).await {
            return answer;
        }
    }
    batcher::write(shared, op).await
}

/// Returns whether this host is the owner of a range according to its own view.
pub(super) fn is_owner(shared: &Shared, range: ClaimRange) -> bool {
    let owner = owner_of(shared, range);
    owner.is_none_or(|owner| owner.id == shared.settings.member.id)
}

fn owner_of(shared: &Shared, range: ClaimRange) -> Option<Member> {
    let view = shared.members.view();
    let is_suspect = |member: &Member| view.suspects.contains(&member.id);
    let members = view.members.iter().filter(|member| !is_suspect(member));
    let members: Vec<_> = members.cloned().collect();
    let owner = relay_set(&format!("claims/{range}"), &members, 1);
    owner.first().copied().cloned()
}

/// Writes through the owner and returns its answer.
///
/// Returns `None` if this host has to write the operation itself.
async fn write_through(
    shared: &Arc<Shared>,
    owner: &Member,
    op: &BatchOp,
    deadline: Instant,
) -> Option<BatchAnswer> {
    let now = Instant::now();
    // The rest is reserved for a write by this host.
    let timeout = (deadline.saturating_duration_since(now) / 2).max(MIN_OWNER_TIMEOUT);
    let call = wire::call_of(op);
    let peers = &shared.claims.peers;
    let answer = peers
        .claim(shared, owner.peer_addr, call, now + timeout)
        .await;
    match answer {
        Ok(Ok(reply)) => Some(Ok(wire::claimed_of(reply))),
        Ok(Err(error)) if is_final(error.kind()) => Some(Err(error)),
        Ok(Err(error)) => {
            log::debug!(target: "claims", "Owner {} refused a claim: {error}.", owner.id);
            shared.metrics.on_event("claims", "owner-refused");
            None
        }
        Err(failure) => {
            log::debug!(target: "claims", "No answer from owner {}: {}.", owner.id, failure.error);
            shared.metrics.on_event("claims", "owner-lost");
            if failure.health == PeerHealth::Silent {
                shared.members.on_no_response(&owner.id);
            }
            None
        }
    }
}

/// Returns whether the error follows from the log, so that any host would return it.
fn is_final(kind: Kind) -> bool {
    matches!(kind, Kind::KeyReused | Kind::AlreadyClaimed)
}
