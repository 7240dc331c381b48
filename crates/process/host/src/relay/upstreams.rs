//! Turns the results of calls into evidence about the state of upstreams.

use {
    crate::{
        relay::{exchange::HttpReply, gossip},
        shared::Shared,
    },
    link::{DrainSign, Evidence, Refusal},
    plan::{LeafFault, Reason},
    record::ServerAddr,
    std::time::Instant,
};

/// A call in flight. When dropped, it reports the result as evidence about the server.
pub(crate) struct CallGuard<'a> {
    shared: &'a Shared,
    server: ServerAddr,
    is_repeatable: bool,
    started_at: Instant,
    evidence: Option<Evidence>,
}

impl<'a> CallGuard<'a> {
    pub(crate) fn new(shared: &'a Shared, server: ServerAddr, is_repeatable: bool) -> Self {
        let started_at = Instant::now();
        shared.servers.on_begin(server, started_at);
        Self {
            shared,
            server,
            is_repeatable,
            started_at,
            evidence: None,
        }
    }

    /// Records a reply or a refusal, and the state that the server reported with it.
    pub(crate) fn on_reply(&mut self, reply: &HttpReply, fault: Option<LeafFault>) {
        let is_refusal = matches!(
            fault,
            Some(LeafFault::Refused(refusal)) if refusal.reason == Reason::Draining
        );
        if is_refusal || reply.report.is_draining {
            on_drain(self.shared, self.server, DrainSign::Own);
        }
        let servers = &self.shared.servers;
        servers.on_report(self.server, reply.report, Instant::now());
        self.evidence = Some(match fault {
            None => Evidence::Replied(reply.first_byte),
            Some(fault) => evidence_of(fault),
        });
    }

    /// Records that the call failed without a complete reply.
    pub(crate) fn on_fault(&mut self, fault: LeafFault) {
        self.evidence = Some(evidence_of(fault));
    }
}

impl Drop for CallGuard<'_> {
    fn drop(&mut self) {
        let now = Instant::now();
        let evidence = self.evidence.unwrap_or(if self.is_repeatable {
            Evidence::Cancelled(now.saturating_duration_since(self.started_at))
        } else {
            // The call may have been sent on a connection that had gone
            // silent, which says nothing about the server.
            Evidence::Inconclusive
        });
        let servers = &self.shared.servers;
        servers.on_end(self.server, evidence, rand::random(), now);
    }
}

/// Records that a server is draining, and tells peers unless one of them reported it.
pub(crate) fn on_drain(shared: &Shared, server: ServerAddr, sign: DrainSign) {
    if shared.servers.on_drain(server, sign, Instant::now()) {
        log::info!(target: "link", "Upstream {server} is draining, first reported by: {sign:?}.");
        shared.metrics.on_event("link", "drain");
        if sign != DrainSign::Peer {
            gossip::publish_drain(shared, server);
        }
    }
}

fn evidence_of(fault: LeafFault) -> Evidence {
    match fault {
        LeafFault::NoConnection => Evidence::Unreachable,
        LeafFault::LostAfterWrite | LeafFault::LostInReply => Evidence::ConnectionLost,
        LeafFault::NotWritten | LeafFault::Malformed | LeafFault::Mismatch => {
            Evidence::Inconclusive
        }
        LeafFault::Refused(refusal) => match refusal.reason {
            Reason::Shed => Evidence::Refused(Refusal::Shed),
            Reason::Draining => Evidence::Refused(Refusal::Draining),
            _ => Evidence::Refused(Refusal::Other),
        },
    }
}
