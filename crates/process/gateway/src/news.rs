//! What stands in the store, read by one host and told by host to host.
//!
//! `fleet::reader_duty` says whom a host asks and how old the answer may be.
//! Peers answer as soon as something has changed, or after a while to say that
//! nothing has. A host that finds nobody to ask reads the store itself.

use {
    crate::{
        apply, follow,
        peer::{self, NewsCall, NewsReply, WireItem, PROTOCOL_VERSION},
        pulse::Link,
        shared::Shared,
        Adapter, Layout,
    },
    fleet::{reader_duty, Member},
    kind::{Error, Kind, Result},
    record::HostId,
    std::{
        collections::HashMap,
        net::SocketAddr,
        rc::Rc,
        time::{Duration, Instant},
    },
    store::{Fault, Item, KeyEvent},
    tokio::{
        select,
        time::{sleep, timeout, timeout_at},
    },
};

/// Time for which a peer waits for news before it answers that there are none.
const NEWS_WAIT: Duration = Duration::from_millis(500);
/// Time beyond that for the way to a peer of another region and back.
const NEWS_SLACK: Duration = Duration::from_millis(400);
/// Time for which a peer that did not answer well is not asked again.
const FAILURE_MEMORY: Duration = Duration::from_secs(3);
/// Hosts that a starting host asks before it reads for itself.
const START_CANDIDATES: usize = 2;
/// Time for each host of the fleet for which it asks them, who may be starting
/// as well: so long a weak one takes to tell another everything.
const START_WAIT_PER_HOST: Duration = Duration::from_millis(20);
/// Longest time for which it asks them; callers wait meanwhile.
const MOST_START_WAIT: Duration = Duration::from_millis(1_200);
/// Time within which all hosts of a new fleet start.
const START_SPREAD: Duration = Duration::from_millis(350);
/// Pause before it asks the same one again.
const START_PAUSE: Duration = Duration::from_millis(40);
/// Time for which a starting host waits for the store before it asks seeds: a
/// store that is well answers in a few milliseconds.
const SEED_PAUSE: Duration = Duration::from_millis(300);
/// Age up to which a host that knows nothing takes the word of a seed: longer
/// than any outage of the store so far, in which nobody knows better.
const SEED_PATIENCE: Duration = Duration::from_secs(600);
/// Pause between looks whether somebody can be asked.
const DUTY_PAUSE: Duration = Duration::from_millis(500);
/// Time since a fault of the store for which this host counts as cut from it.
const CUT_MEMORY: Duration = Duration::from_secs(2);

/// Tells a peer what has changed, as soon as something has.
pub(crate) async fn tell<A: Adapter>(shared: &Shared<A>, call: &NewsCall) -> NewsReply {
    let wait = Duration::from_millis(call.wait_ms.into()).min(NEWS_WAIT);
    let changed = async {
        loop {
            let notified = shared.has_news.notified();
            // A host that has just started knows nothing yet, but soon will.
            if shared.is_informed() && shared.catalog.borrow().has_news(call.epoch, call.after) {
                return;
            }
            notified.await;
        }
    };
    // No news in time is an answer as well: it says how old the knowledge is.
    let _ = timeout(wait, changed).await;
    let catalog = shared.catalog.borrow();
    catalog.tell(call.epoch, call.after, Instant::now())
}

/// Whom this host asks, and what it has taken of that one.
#[derive(Default)]
struct Sources {
    failed: HashMap<HostId, Instant>,
    epoch: u64,
    after: u64,
    cut_at: Option<Instant>,
}

impl Sources {
    /// Returns whom this host asks, and how old their knowledge may be.
    fn duty(&mut self, own: &Member, readers: &[Member], now: Instant) -> (Vec<Member>, Duration) {
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < FAILURE_MEMORY;
        self.failed.retain(|_, at| is_recent(at));
        let is_cut = self
            .cut_at
            .is_some_and(|at| now.saturating_duration_since(at) < CUT_MEMORY);
        let duty = reader_duty(own, readers, is_cut);
        let candidates = duty.candidates.into_iter();
        let sound = candidates.filter(|member| !self.failed.contains_key(&member.id));
        (sound.cloned().collect(), duty.patience)
    }
}

/// Keeps this host informed for as long as the process lives.
pub(crate) async fn follow<A: Adapter>(shared: Rc<Shared<A>>) {
    let mut link = Link::new("configuration, the hosts and the servers");
    let mut sources = Sources::default();
    let has_met = select! {
        () = meet_in_the_end(&shared, &mut link) => true,
        () = learn_from_seeds(&shared, &mut sources) => false,
    };
    if has_met {
        begin(&shared, &mut sources).await;
    }
    loop {
        // A host that knows nothing reads at once, whoever else might know.
        if shared.is_informed() && ask_peers(&shared, &mut sources).await {
            continue;
        }
        let mut on_answer = || link.on_success();
        let fault = select! {
            read = follow::read(&shared, &mut on_answer) => read.err(),
            () = somebody_to_ask(&shared, &mut sources) => None,
        };
        // What was read in the store has no number among a peer's news, so
        // that the next peer tells everything.
        sources.epoch = 0;
        if let Some(fault) = fault {
            sources.cut_at = Some(Instant::now());
            let pause = link.on_fault(&fault);
            if !ask_peers(&shared, &mut sources).await {
                sleep(pause).await;
            }
        }
    }
}

/// Meets the other hosts, however often the store has to be asked.
async fn meet_in_the_end<A: Adapter>(shared: &Shared<A>, link: &mut Link) {
    while let Err(fault) = meet(shared).await {
        sleep(link.on_fault(&fault)).await;
    }
}

/// Learns everything from a seed, if the store takes its time.
async fn learn_from_seeds<A: Adapter>(shared: &Shared<A>, sources: &mut Sources) {
    let own = shared.settings.member.peer_addr;
    loop {
        sleep(SEED_PAUSE).await;
        for seed in shared.settings.seeds.iter().filter(|seed| **seed != own) {
            match ask(shared, sources, *seed, SEED_PATIENCE).await {
                Ok(()) => {
                    log::info!(target: "fleet", "The store does not answer; the host at {seed} told what stands there.");
                    return;
                }
                Err(error) => log::info!(target: "fleet", "Seed not used: {error}."),
            }
        }
    }
}

/// Learns of the other hosts, so that one of them can be asked for all else.
///
/// A host that finds nobody looks again: of a new fleet, whose callers are yet
/// to come, one host is to read and not all.
///
/// # Errors
///
/// Returns the fault of the call to the store.
async fn meet<A: Adapter>(shared: &Shared<A>) -> Result<(), Fault> {
    follow::list(shared, apply::HOST_PREFIX).await?;
    let own = &shared.settings.member;
    if shared.members.borrow().has_other_than(&own.id) {
        return Ok(());
    }
    sleep(START_SPREAD).await;
    follow::list(shared, apply::HOST_PREFIX).await.map(|_| ())
}

/// Learns everything from a host of the own region, if one knows it soon.
///
/// Other regions are left out: all hosts may have started together, and then
/// the first one of each region reads without waiting for another.
async fn begin<A: Adapter>(shared: &Shared<A>, sources: &mut Sources) {
    let own = &shared.settings.member;
    let readers = shared.members.borrow().readers();
    let hosts = u32::try_from(shared.hosts.get()).unwrap_or(u32::MAX);
    let wait = START_WAIT_PER_HOST
        .saturating_mul(hosts)
        .min(MOST_START_WAIT);
    let wait_each = wait / START_CANDIDATES as u32;
    let duty = reader_duty(own, &readers, false);
    let near = duty
        .candidates
        .into_iter()
        .filter(|peer| peer.region == own.region);
    for peer in near.take(START_CANDIDATES) {
        let until = Instant::now() + wait_each;
        while Instant::now() < until {
            if timeout_at(
                until.into(),
                ask(shared, sources, peer.peer_addr, duty.patience),
            )
            .await
                == Ok(Ok(()))
            {
                return;
            }
            sleep(START_PAUSE).await;
        }
    }
}

/// Waits until a peer can be asked in place of the store.
async fn somebody_to_ask<A: Adapter>(shared: &Shared<A>, sources: &mut Sources) {
    loop {
        sleep(DUTY_PAUSE).await;
        let readers = shared.members.borrow().readers();
        let own = &shared.settings.member;
        let (candidates, _) = sources.duty(own, &readers, Instant::now());
        if !candidates.is_empty() {
            return;
        }
    }
}

/// Takes the news of the first peer that has good ones; returns whether there was one.
async fn ask_peers<A: Adapter>(shared: &Shared<A>, sources: &mut Sources) -> bool {
    let readers = shared.members.borrow().readers();
    let own = &shared.settings.member;
    let (candidates, patience) = sources.duty(own, &readers, Instant::now());
    for peer in candidates {
        match ask(shared, sources, peer.peer_addr, patience).await {
            Ok(()) => return true,
            Err(error) => {
                log::info!(target: "fleet", "Host {} is not asked for a while: {error}.", peer.id);
                sources.failed.insert(peer.id, Instant::now());
            }
        }
    }
    false
}

async fn ask<A: Adapter>(
    shared: &Shared<A>,
    sources: &mut Sources,
    peer_addr: SocketAddr,
    patience: Duration,
) -> Result<()> {
    let call = NewsCall {
        protocol_version: PROTOCOL_VERSION,
        epoch: sources.epoch,
        after: sources.after,
        wait_ms: u32::try_from(NEWS_WAIT.as_millis()).unwrap_or(u32::MAX),
    };
    let deadline = Instant::now() + NEWS_WAIT + NEWS_SLACK;
    let lost = |detail: &str| Error::new(Kind::HostLost, detail.to_owned());
    let asked = peer::ask_news(shared, peer_addr, call, deadline);
    let reply = timeout(NEWS_WAIT + NEWS_SLACK, asked).await;
    let reply = reply.map_err(|_| lost("no answer in time"))??;
    let age = Duration::from_millis(reply.age_ms.into());
    if age > patience {
        return Err(lost(&format!("its knowledge is {} ms old", reply.age_ms)));
    }
    (sources.epoch, sources.after) = (reply.epoch, reply.last);
    take(shared, reply);
    let read_at = Instant::now().checked_sub(age);
    shared.on_read(read_at.unwrap_or_else(Instant::now));
    Ok(())
}

fn take<A: Adapter>(shared: &Shared<A>, reply: NewsReply) {
    let events = reply.items.into_iter().map(key_event);
    if !reply.is_full {
        events.for_each(|event| apply::event(shared, &event));
        return;
    }
    let items = events.filter_map(|event| match event {
        KeyEvent::Written(item) => Some(item),
        KeyEvent::Removed(_) => None,
    });
    let items: Vec<Item> = items.collect();
    for prefix in [
        apply::HOST_PREFIX,
        A::Layout::CONFIG_KEY,
        A::Layout::SERVER_PREFIX,
    ] {
        let of_prefix = items.iter().filter(|item| item.key.starts_with(prefix));
        apply::listing(shared, prefix, of_prefix.cloned().collect());
    }
}

fn key_event(item: WireItem) -> KeyEvent {
    match item.value {
        Some(value) => KeyEvent::Written(Item {
            key: item.key,
            bytes: value.into(),
        }),
        None => KeyEvent::Removed(item.key),
    }
}
