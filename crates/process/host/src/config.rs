//! Adoption of configuration from the platform's store and from peers.
//!
//! The order of adoption is `record::judge`; this module feeds it from the
//! store and from what peers hold, and swaps what it lets through into force.
//! Only a few hosts watch the store's head (`fleet::head_duty`); the others
//! learn of a change from their peers. Queries in flight keep the snapshot
//! that they began with.

use {
    crate::{
        members::Newer,
        peer::{self, CONNECT_TIMEOUT, EXCHANGE_TIMEOUT},
        shared::Shared,
    },
    fleet::{
        first_read_pause, head_duty, next_read_pause, HeadDuty, LifeEvent, Member, RetryPause,
        ROUND_PAUSE,
    },
    kind::{Kind, Result},
    parking_lot::Mutex,
    record::{judge, Bundle, Head, HeadId, InForce, Source, Verdict, WireBundle},
    std::{sync::Arc, time::Duration},
    store::{load_bundle, Fault, Platform, Value, HEAD_KEY},
    tokio::{select, time::sleep},
};

/// Time for which one watch waits.
const WATCH_WAIT: Duration = Duration::from_secs(20);

/// Longest time from one look at a random peer to the next.
pub const MAX_LOOK_TIME: Duration = ROUND_PAUSE
    .saturating_add(CONNECT_TIMEOUT)
    .saturating_add(EXCHANGE_TIMEOUT);

/// Head of the store that was refused last, so that one alarm is raised for each.
#[derive(Default)]
pub(crate) struct Refused(Mutex<Option<HeadId>>);

/// Follows the head for as long as the process lives.
pub(crate) async fn follow_head(shared: Arc<Shared>) {
    let mut after = 0;
    loop {
        let members = shared.members.all();
        match duty(&shared, &members) {
            HeadDuty::Watch => {
                select! {
                    () = watch_head(&shared, &mut after) => {}
                    () = until_duty_ends(&shared, members) => {}
                }
            }
            HeadDuty::Read { pause } => {
                select! {
                    () = read_head(&shared, &mut after, pause) => {}
                    () = until_duty_ends(&shared, members) => {}
                }
            }
        }
    }
}

fn duty(shared: &Shared, members: &[Member]) -> HeadDuty {
    head_duty(HEAD_KEY, &shared.settings.member.id, members)
}

/// Waits until the duty of this host is another one than among `members`.
async fn until_duty_ends(shared: &Shared, mut members: Arc<Vec<Member>>) {
    let held = duty(shared, &members);
    while duty(shared, &members) == held {
        shared.members.changed_from(&members).await;
        members = shared.members.all();
    }
}

/// Holds a watch on the head.
async fn watch_head(shared: &Shared, after: &mut u64) {
    let mut retry_pause = RetryPause::default();
    loop {
        let seen = match shared.platform.watch(HEAD_KEY, *after, WATCH_WAIT).await {
            // A restored store may show a lower revision, which no watch tells of.
            Ok(None) => shared.platform.get(HEAD_KEY).await,
            other => other,
        };
        match take_seen(shared, seen).await {
            Some(key_revision) => {
                *after = key_revision;
                retry_pause.on_success();
            }
            None => {
                let pause = retry_pause.on_failure(&mut rand::rng());
                sleep(pause).await;
            }
        }
    }
}

/// Reads the head now and then.
async fn read_head(shared: &Shared, after: &mut u64, pause: Duration) {
    let mut until_read = first_read_pause(pause, &mut rand::rng());
    loop {
        sleep(until_read).await;
        let seen = shared.platform.get(HEAD_KEY).await;
        if let Some(key_revision) = take_seen(shared, seen).await {
            *after = key_revision;
        }
        until_read = next_read_pause(pause, &mut rand::rng());
    }
}

/// Takes what the store showed, and returns the revision to watch from.
async fn take_seen(shared: &Shared, seen: Result<Option<Value>, Fault>) -> Option<u64> {
    match seen {
        Ok(value) => {
            let key_revision = value.as_ref().map_or(0, |value| value.key_revision);
            match adopt_from_store(shared, value).await {
                Ok(()) => Some(key_revision),
                Err(error) => {
                    log::error!(target: "config", "Head not adopted: {error}.");
                    None
                }
            }
        }
        Err(fault) => {
            log::warn!(target: "config", "Head not seen: {fault:?}.");
            None
        }
    }
}

async fn adopt_from_store(shared: &Shared, value: Option<Value>) -> Result<()> {
    let head = value.map_or(Ok(Head::default()), |value| Head::from_json(&value.bytes))?;
    let held = shared.in_force();
    match judge(&held.head().id(), &head, Source::Store) {
        Verdict::Adopt => {
            let bundle = load_bundle(&shared.platform, head, held.bundle()).await?;
            put_in_force(shared, bundle, Source::Store)
        }
        Verdict::Same => {
            clear_alarm(shared);
            Ok(())
        }
        Verdict::Lagging | Verdict::Reverted | Verdict::Forked => {
            raise_alarm(shared, &head);
            Ok(())
        }
    }
}

/// Fetches the records of peers that the exchange finds to hold newer ones, for as
/// long as the process lives.
pub(crate) async fn follow_peers(shared: Arc<Shared>) {
    let mut newer = shared.members.newer();
    // The sender lives in `shared`, so waiting cannot fail.
    while newer.changed().await.is_ok() {
        let Some(Newer { revision, addr }) = *newer.borrow_and_update() else {
            continue;
        };
        let in_force = shared.in_force().revision();
        if revision <= in_force {
            continue;
        }
        // A peer that does not answer is the membership's concern; the next
        // exchange finds another.
        let Ok(held) = peer::held(&shared, addr, in_force).await else {
            continue;
        };
        let Some(bundle) = held.bundle else { continue };
        if let Err(error) = adopt_from_peer(&shared, bundle) {
            log::warn!(target: "config", "Bundle of {addr} not adopted: {error}.");
        }
        // What ended the alarm on the peer may end it here.
        if shared.refused.0.lock().is_some() {
            check_store(&shared).await;
        }
    }
}

/// Takes the bundle that a peer holds, if it goes before what is in force.
///
/// # Errors
///
/// Returns [`Kind::BadRecord`] for a bundle that does not pass its checks.
pub(crate) fn adopt_from_peer(shared: &Shared, wire: WireBundle) -> Result<()> {
    put_in_force(shared, Bundle::try_from(wire)?, Source::Peer)
}

/// Puts a bundle in force unless something newer came first.
fn put_in_force(shared: &Shared, bundle: Bundle, source: Source) -> Result<()> {
    let in_force = Arc::new(InForce::try_from(bundle)?);
    let mut verdict = Verdict::Same;
    shared.config.send_if_modified(|held| {
        // Judged again under the lock, since store and peers offer at once.
        verdict = judge(&held.head().id(), in_force.head(), source);
        if verdict != Verdict::Adopt {
            return false;
        }
        *held = Arc::clone(&in_force);
        true
    });
    match verdict {
        Verdict::Adopt => announce(shared, &in_force, source),
        Verdict::Forked => raise_alarm(shared, in_force.head()),
        Verdict::Same | Verdict::Lagging | Verdict::Reverted => {}
    }
    Ok(())
}

fn announce(shared: &Shared, in_force: &InForce, source: Source) {
    let revision = in_force.revision();
    shared.metrics.on_revision(revision);
    if source == Source::Store {
        clear_alarm(shared);
    }
    log::info!(target: "config", "Revision {revision} in force, learned from {source:?}.");
    if in_force.has_routes() {
        shared.life.on_event(LifeEvent::Configured);
    }
}

/// Alarms about a store that shows an older state or one of another origin.
fn raise_alarm(shared: &Shared, head: &Head) {
    let in_force = shared.in_force().revision();
    shared.metrics.on_store_reverted(true);
    let last = shared.refused.0.lock().replace(head.id());
    if last.as_ref() != Some(&head.id()) {
        let kind = Kind::StoreReverted.answer().title;
        log::error!(
            target: "config",
            "{kind}: revision {} by operation '{}' is refused, revision {in_force} stays in force; \
             give the store back what the hosts hold with 'wharfctl recover'.",
            head.revision, head.operation_id
        );
    }
}

/// Alarms about a store that a commit found to be reverted.
pub(crate) async fn check_store(shared: &Shared) {
    match shared.platform.get(HEAD_KEY).await {
        Ok(value) => {
            if let Err(error) = adopt_from_store(shared, value).await {
                log::error!(target: "config", "Head not adopted: {error}.");
            }
        }
        Err(fault) => log::warn!(target: "config", "Head not read: {fault:?}."),
    }
}

fn clear_alarm(shared: &Shared) {
    shared.metrics.on_store_reverted(false);
    if shared.refused.0.lock().take().is_some() {
        log::info!(target: "config", "The store shows the state in force again.");
    }
}
