//! What calls of this host show about upstreams.

use {
    crate::{
        relay::{exchange::Exchanged, news},
        shared::Shared,
    },
    link::{DrainSign, Evidence, Refusal},
    plan::{LeafFault, Reason},
    record::ServerAddr,
    std::time::Instant,
};

/// One call in flight; its end becomes evidence about its server.
pub(crate) struct CallGuard<'a> {
    shared: &'a Shared,
    server: ServerAddr,
    is_repeatable: bool,
    began: Instant,
    evidence: Option<Evidence>,
}

impl<'a> CallGuard<'a> {
    pub(crate) fn new(shared: &'a Shared, server: ServerAddr, is_repeatable: bool) -> Self {
        let began = Instant::now();
        shared.servers.on_begin(server, began);
        Self {
            shared,
            server,
            is_repeatable,
            began,
            evidence: None,
        }
    }

    /// Takes a reply or a refusal with what the server said about itself.
    pub(crate) fn on_exchanged(&mut self, exchanged: &Exchanged, fault: Option<LeafFault>) {
        let is_refusal = matches!(
            fault,
            Some(LeafFault::Refused(refusal)) if refusal.reason == Reason::Draining
        );
        if is_refusal || exchanged.stated.is_draining {
            on_drain(self.shared, self.server, DrainSign::Own);
        }
        let servers = &self.shared.servers;
        servers.on_report(self.server, exchanged.stated, Instant::now());
        self.evidence = Some(match fault {
            None => Evidence::Replied(exchanged.first_byte),
            Some(fault) => evidence_of(fault),
        });
    }

    /// Takes the point at which the call failed.
    pub(crate) fn on_fault(&mut self, fault: LeafFault) {
        self.evidence = Some(evidence_of(fault));
    }
}

impl Drop for CallGuard<'_> {
    fn drop(&mut self) {
        let now = Instant::now();
        let evidence = self.evidence.unwrap_or(if self.is_repeatable {
            Evidence::Cancelled(now.saturating_duration_since(self.began))
        } else {
            // It may have been sent on a connection gone silent, which is no fault of the server.
            Evidence::Inconclusive
        });
        let servers = &self.shared.servers;
        servers.on_end(self.server, evidence, rand::random(), now);
    }
}

/// Takes a sign that a server drains.
pub(crate) fn on_drain(shared: &Shared, server: ServerAddr, sign: DrainSign) {
    if shared.servers.on_drain(server, sign, Instant::now()) {
        log::info!(target: "link", "Upstream {server} drains, first sign: {sign:?}.");
        shared.metrics.on_event("link", "drain");
        if sign != DrainSign::Peer {
            news::tell_drain(shared, server);
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
