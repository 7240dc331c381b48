//! Parts of a query that this host asks servers for in place of a peer.
//!
//! The reply goes out a round trip before the peer answers its caller, with
//! what there is; a second step brings what comes late, while somebody waits.

use {
    crate::{
        adapter::Reply,
        answer::Piece,
        exchange::Outgoing,
        peer::{GatherCall, GatherReply},
        serve::{Job, HEDGE_AFTER},
        shared::Shared,
        view::Relaying,
        Adapter, Protocol,
    },
    fleet::Phase,
    http::{HeaderName, HeaderValue, Method, Request, Uri},
    kind::{Error, Kind, Ran, Result},
    routing::{Route, ServiceName, Table, Target},
    scatter::{greatest_records, Bundle, Plan},
    std::{
        rc::Rc,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{select, sync::oneshot, task::spawn_local, time::sleep},
};

/// Time for which the rest of a reply is kept for a peer that comes for it: a
/// long round trip and a delay in both processes. The caller may have left
/// meanwhile, and servers work for it no longer than this and `call::LINGER`.
const REST_MEMORY: Duration = Duration::from_millis(100);

/// Asks servers near this host for the parts that a peer wants.
///
/// # Errors
///
/// Returns an error with `ran: no` if the peer has to ask for itself.
pub(crate) async fn gather<A: Adapter>(
    shared: &Rc<Shared<A>>,
    call: GatherCall,
) -> Result<GatherReply> {
    let _in_flight = shared.life.hold();
    if shared.life.phase() > Phase::Leaving {
        return Err(Error::new(Kind::Draining, "the relay is leaving"));
    }
    let table = shared
        .table()
        .filter(|table| table.version() == call.table_version);
    let table = table.ok_or_else(|| Error::new(Kind::UnknownVersion, "another one is in force"))?;
    let route = table.route(&call.route).cloned();
    let route = route.ok_or_else(|| Error::new(Kind::UnknownRoute, call.route.clone()))?;
    let Target::Shards(set) = &route.target else {
        return Err(Error::new(Kind::UnknownRoute, "the route has no shards"));
    };
    let now = Instant::now();
    let deadline = now + Duration::from_millis(call.time_left_ms.into());
    let answer_at = now + Duration::from_millis(call.answer_in_ms.into());
    let positions = call.positions.iter().map(|position| usize::from(*position));
    let services: Option<Vec<ServiceName>> = positions
        .map(|position| set.services.get(position).cloned())
        .collect();
    let services = services.ok_or_else(|| Error::new(Kind::BadPeer, "there are fewer shards"))?;
    let gathering = Gathering {
        keep_records: set.keep_records,
        positions: call.positions.clone(),
        max_attempts: usize::from(call.max_attempts).min(route.max_attempts),
        outgoing: Rc::new(outgoing::<A>(call, deadline)?),
        table,
        route: Arc::clone(&route),
        services,
        answer_at: answer_at.min(deadline),
        deadline,
    };
    let (first, first_end) = oneshot::channel();
    let (rest, rest_end) = oneshot::channel();
    spawn_local(gathering.run(Rc::clone(shared), first, rest));
    let mut reply = first_end
        .await
        .map_err(|_| Error::new(Kind::Internal, "no end"))?;
    if reply.rest.is_some() {
        let number = shared.next_call();
        reply.rest = Some(number);
        shared.relays.borrow_mut().rests.insert(number, rest_end);
        let shared = Rc::clone(shared);
        spawn_local(async move {
            sleep(REST_MEMORY).await;
            shared.relays.borrow_mut().rests.remove(&number);
        });
    }
    Ok(reply)
}

/// Waits for the parts that were missing from a reply of this host.
///
/// # Errors
///
/// Returns [`Kind::NotFound`] if nothing is kept under `number`.
pub(crate) async fn rest<A: Adapter>(shared: &Rc<Shared<A>>, number: u64) -> Result<GatherReply> {
    let _in_flight = shared.life.hold();
    let gone = || Error::new(Kind::NotFound, "the rest is gone").with_ran(Ran::Unknown);
    let end = shared.relays.borrow_mut().rests.remove(&number);
    end.ok_or_else(gone)?.await.map_err(|_| gone())
}

/// The parts of a query that this host asks for in place of a peer.
struct Gathering {
    table: Arc<Table>,
    route: Arc<Route>,
    outgoing: Rc<Outgoing>,
    services: Vec<ServiceName>,
    /// Position of each part within the route.
    positions: Vec<u16>,
    keep_records: usize,
    max_attempts: usize,
    answer_at: Instant,
    deadline: Instant,
}

impl Gathering {
    /// Sends what there is in time, and what comes late after it, while somebody waits.
    async fn run<A: Adapter>(
        self,
        shared: Rc<Shared<A>>,
        mut first: oneshot::Sender<GatherReply>,
        mut rest: oneshot::Sender<GatherReply>,
    ) {
        let job = Job {
            shared: &shared,
            table: &self.table,
            route: &self.route,
            outgoing: &self.outgoing,
            relaying: Relaying::Own,
        };
        let plan = Plan {
            deadline: self.deadline,
            answer_at: self.deadline,
            in_time_until: self.deadline,
            late_answer_at: self.deadline,
            // The peer knows what is enough, over the parts of all relays.
            min_share: 0.0,
            max_attempts: self.max_attempts,
            is_repeatable: true,
            hedge_after: Some(HEDGE_AFTER),
            hedge_until: Some(self.answer_at),
        };
        let mut running = job.begin(plan, &self.services);
        let has_ended = select! {
            has_ended = running.run(&job, Some(self.answer_at)) => has_ended,
            // The peer gave the call up, as when its caller has left.
            () = first.closed() => return,
        };
        let reply = self.reply(&shared, running.query.take_bundles(), !has_ended);
        if first.send(reply).is_err() || has_ended {
            return;
        }
        select! {
            _ = running.run(&job, None) => {}
            () = rest.closed() => return,
        }
        let reply = self.reply(&shared, running.query.take_bundles(), false);
        // Nobody may wait any more.
        let _ = rest.send(reply);
    }

    fn reply<A: Adapter>(
        &self,
        shared: &Shared<A>,
        bundles: Vec<Bundle<Piece>>,
        has_rest: bool,
    ) -> GatherReply {
        let now = Instant::now();
        let typical_ms = shared.works.borrow().typical_ms(&self.route.name);
        let replicas = shared.replicas.borrow();
        let delays = self.services.iter().map(|service| {
            let delay = replicas.delay(service, typical_ms, now);
            let delay_ms = delay.map_or(u128::MAX, |delay| delay.as_millis());
            u16::try_from(delay_ms).unwrap_or(u16::MAX)
        });
        let delays_ms = delays.collect();
        let mut proofs = Vec::with_capacity(bundles.len());
        let mut bodies = Vec::with_capacity(bundles.len());
        for bundle in bundles {
            let Piece::Own(Reply { word, body, .. }) = bundle.reply else {
                continue;
            };
            if let (Some(proof), Some(index)) = (word.proof, bundle.positions.first()) {
                proofs.push((self.positions[*index], proof.as_bytes().to_vec()));
                bodies.push(body);
            }
        }
        GatherReply {
            proofs,
            records: greatest_records(&bodies, self.keep_records).to_vec(),
            may_have_run: true,
            delays_ms,
            // The number is given once the reply goes out.
            rest: has_rest.then_some(0),
        }
    }
}

fn outgoing<A: Adapter>(call: GatherCall, deadline: Instant) -> Result<Outgoing> {
    let bad = |what: &str| Error::new(Kind::BadPeer, format!("the {what} cannot be read"));
    let method: Method = call.method.parse().map_err(|_| bad("method"))?;
    let uri: Uri = call.path.parse().map_err(|_| bad("path"))?;
    let (mut head, ()) = Request::new(()).into_parts();
    head.method = method;
    head.uri = uri;
    for (name, value) in &call.headers {
        let name: HeaderName = name.parse().map_err(|_| bad("name of a header"))?;
        let value = HeaderValue::from_bytes(value).map_err(|_| bad("value of a header"))?;
        head.headers.append(name, value);
    }
    let ask = A::Protocol::read_ask_headers(&head.headers);
    Ok(Outgoing {
        head,
        body: call.body.into(),
        ask,
        deadline,
        needs_success: true,
    })
}
