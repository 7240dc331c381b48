//! The hint which host gathers the claims of a range.
//!
//! Claims go to one host, so that they meet in one batch. Hosts may disagree
//! on the owner, and an owner may be lost, frozen or cut off: whoever gets no
//! answer from it writes the claim alone. Both write the same attempt to the
//! same log, so that a claim which took effect unheard is found as its own.

use {
    crate::{
        claims::{batcher, wire},
        peer::Verdict,
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

/// Least time that the owner is given.
const MIN_OWNER_TIME: Duration = Duration::from_millis(500);

/// Writes a claim or an outcome, through the owner of its range if that answers.
pub(super) async fn write(shared: &Arc<Shared>, op: BatchOp, deadline: Instant) -> BatchAnswer {
    let owner = owner_of(shared, claim_range(op.scope_hash));
    if let Some(owner) = owner.filter(|owner| owner.id != shared.settings.member.id) {
        if let Some(answer) = ask(shared, &owner, &op, deadline).await {
            return answer;
        }
    }
    batcher::write(shared, op).await
}

/// Returns whether this host takes itself for the owner of a range.
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

/// Returns the answer of the owner, unless this host has to write alone.
async fn ask(
    shared: &Arc<Shared>,
    owner: &Member,
    op: &BatchOp,
    deadline: Instant,
) -> Option<BatchAnswer> {
    let now = Instant::now();
    // What is left is for this host's own write.
    let time = (deadline.saturating_duration_since(now) / 2).max(MIN_OWNER_TIME);
    let call = wire::call_of(op);
    let peers = &shared.claims.peers;
    let answer = peers.claim(shared, owner.peer_addr, call, now + time).await;
    match answer {
        Ok(Ok(reply)) => Some(Ok(wire::claimed_of(reply))),
        Ok(Err(error)) if is_final(error.kind()) => Some(Err(error)),
        Ok(Err(error)) => {
            log::debug!(target: "claims", "Owner {} refused: {error}.", owner.id);
            shared.metrics.on_event("claims", "owner-refused");
            None
        }
        Err(lost) => {
            log::debug!(target: "claims", "Owner {} lost: {}.", owner.id, lost.error);
            shared.metrics.on_event("claims", "owner-lost");
            if lost.verdict == Verdict::Silent {
                shared.members.on_silence(&owner.id);
            }
            None
        }
    }
}

/// Returns whether the log itself says so, whoever reads it.
fn is_final(kind: Kind) -> bool {
    matches!(kind, Kind::KeyReused | Kind::AlreadyClaimed)
}
