//! Calls to relays that are under way, which may have run their request.
//!
//! Load: a query over shards ends as soon as its minimum share is out of reach, as when
//! a request has ended servers, and often before its relays report that no byte has
//! reached a server. The query then waits for these reports for a moment, since a
//! request that has certainly not run may be repeated by its caller.

use {
    crate::exchange::OutgoingRequest,
    std::{
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::time::timeout_at,
};

/// A call to a relay that has not reported yet whether the request may have run.
pub(crate) struct OpenRelayCall<'a> {
    outgoing: &'a OutgoingRequest,
    is_open: bool,
}

impl<'a> OpenRelayCall<'a> {
    /// Records that a call is sent to a relay from now on; `transit_time` is the time
    /// that the call and its reply are on their way.
    pub(crate) fn new(outgoing: &'a OutgoingRequest, transit_time: Duration) -> Self {
        let mut evidence = outgoing.evidence.borrow_mut();
        evidence.open_relay_calls += 1;
        evidence.relay_transit_time = evidence.relay_transit_time.max(transit_time);
        drop(evidence);
        Self {
            outgoing,
            is_open: true,
        }
    }

    /// Records whether the request may have run through the relay, as its last reply says.
    pub(crate) fn on_reported(mut self, may_have_run: bool) {
        self.close(may_have_run);
    }

    fn close(&mut self, may_have_run: bool) {
        if !self.is_open {
            return;
        }
        self.is_open = false;
        let mut evidence = self.outgoing.evidence.borrow_mut();
        evidence.open_relay_calls -= 1;
        evidence.possible_runs += usize::from(may_have_run);
        evidence.relay_reported.notify_waiters();
    }
}

impl Drop for OpenRelayCall<'_> {
    /// A call that is left without a report may have run.
    fn drop(&mut self) {
        self.close(true);
    }
}

/// Waits until all relays have reported whether a request may have run that is not sent
/// to any further server, or one of them may have run it; at most twice the transit time
/// of a relay, and not longer than until `deadline`. Returns at once if a call to a server
/// may have run.
pub(crate) async fn wait_for_reports(outgoing: &OutgoingRequest, deadline: Instant) {
    // Calls that wait for a connection must not be sent in the meantime.
    outgoing.has_ended.set(true);
    let transit_time = outgoing.evidence.borrow().relay_transit_time;
    let until = deadline.min(Instant::now() + 2 * transit_time);
    let reported = async {
        loop {
            let relay_reported = {
                let evidence = outgoing.evidence.borrow();
                if evidence.possible_runs > 0 || evidence.open_relay_calls == 0 {
                    return;
                }
                Rc::clone(&evidence.relay_reported)
            };
            relay_reported.notified().await;
        }
    };
    // A request of which a relay has not reported in time counts as possibly run.
    if timeout_at(until.into(), reported).await.is_err() {
        log::debug!(
            target: "relay",
            id = outgoing.options.log_id();
            "A relay has not reported in time whether the request may have run."
        );
    }
}
