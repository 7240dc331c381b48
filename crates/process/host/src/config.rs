//! Adoption of configuration from the platform's store and from peers.
//!
//! `record::check_adoption` decides whether a head replaces the one in force. This
//! module passes it the heads of the store and of peers, and puts those that it
//! accepts in force. Only a few hosts watch the head in the store
//! (`fleet::head_access`); the others learn of a change from their peers. Queries
//! in flight keep the snapshot that they started with.

use {
    crate::{
        members::NewerPeer,
        peer::{self, CONNECT_TIMEOUT, EXCHANGE_TIMEOUT},
        shared::Shared,
    },
    fleet::{
        first_read_pause, head_access, next_read_pause, HeadAccess, LifecycleEvent, Member,
        RetryBackoff, ROUND_PAUSE,
    },
    kind::{Kind, Result},
    parking_lot::Mutex,
    record::{check_adoption, Adoption, Bundle, Head, HeadId, InForce, Source, WireBundle},
    std::{sync::Arc, time::Duration},
    store::{load_bundle, Fault, Platform, Value, HEAD_KEY},
    tokio::{select, time::sleep},
};

/// Time after which the store ends a watch without a change.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);

/// Longest time between the starts of two exchanges with random peers, apart
/// from the jitter of the pause.
pub const MAX_EXCHANGE_INTERVAL: Duration = ROUND_PAUSE
    .saturating_add(CONNECT_TIMEOUT)
    .saturating_add(EXCHANGE_TIMEOUT);

/// The last head of the store that was refused, so that each is logged once.
#[derive(Default)]
pub(crate) struct RefusedHead(Mutex<Option<HeadId>>);

/// Watches or polls the head in the store, as the membership requires. Never
/// returns.
pub(crate) async fn follow_head(shared: Arc<Shared>) {
    let mut after = 0;
    loop {
        let members = shared.members.all();
        match duty(&shared, &members) {
            HeadAccess::Watch => {
                select! {
                    () = watch_head(&shared, &mut after) => {}
                    () = until_duty_ends(&shared, members) => {}
                }
            }
            HeadAccess::Read { pause } => {
                select! {
                    () = read_head(&shared, &mut after, pause) => {}
                    () = until_duty_ends(&shared, members) => {}
                }
            }
        }
    }
}

fn duty(shared: &Shared, members: &[Member]) -> HeadAccess {
    head_access(HEAD_KEY, &shared.settings.member.id, members)
}

/// Waits until a membership change gives this host another duty than among
/// `members`.
async fn until_duty_ends(shared: &Shared, mut members: Arc<Vec<Member>>) {
    let current = duty(shared, &members);
    while duty(shared, &members) == current {
        shared.members.wait_for_change(&members).await;
        members = shared.members.all();
    }
}

/// Watches the head for changes.
async fn watch_head(shared: &Shared, after: &mut u64) {
    let mut retry_pause = RetryBackoff::default();
    loop {
        let watched = select! {
            watched = shared.platform.watch(HEAD_KEY, *after, WATCH_TIMEOUT) => watched,
            () = store_returned(shared) => Ok(None),
        };
        let read = match watched {
            // Restoring a backup may lower the revision, which a watch does not report.
            Ok(None) => shared.platform.get(HEAD_KEY).await,
            other => other,
        };
        match adopt_read(shared, read).await {
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

/// Waits until the store has returned from a copy, as another call may tell.
async fn store_returned(shared: &Shared) {
    let eras = shared.platform.eras();
    let era = eras.wait_until_known().await;
    let newer = eras.wait_above(era).await;
    log::warn!(target: "config", "The store has returned from a copy, era {newer} begins; the head is read again.");
}

/// Reads the head at random intervals around `pause`.
async fn read_head(shared: &Shared, after: &mut u64, pause: Duration) {
    let mut next_pause = first_read_pause(pause, &mut rand::rng());
    loop {
        sleep(next_pause).await;
        let read = shared.platform.get(HEAD_KEY).await;
        if let Some(key_revision) = adopt_read(shared, read).await {
            *after = key_revision;
        }
        next_pause = next_read_pause(pause, &mut rand::rng());
    }
}

/// Adopts the head that was read, and returns the key revision to watch from, or
/// `None` on failure.
async fn adopt_read(shared: &Shared, read: Result<Option<Value>, Fault>) -> Option<u64> {
    match read {
        Ok(value) => {
            let key_revision = value.as_ref().map_or(0, |value| value.key_revision);
            match adopt_from_store(shared, value).await {
                Ok(()) => Some(key_revision),
                Err(error) => {
                    log::error!(target: "config", "Head of the store not adopted: {error}.");
                    None
                }
            }
        }
        Err(fault) => {
            log::warn!(target: "config", "Head of the store not read: {fault:?}.");
            None
        }
    }
}

async fn adopt_from_store(shared: &Shared, value: Option<Value>) -> Result<()> {
    let head = value.map_or(Ok(Head::default()), |value| Head::from_json(&value.bytes))?;
    let current = shared.in_force();
    match check_adoption(&current.head().id(), &head, Source::Store) {
        Adoption::Adopt => {
            let bundle = load_bundle(&shared.platform, head, current.bundle()).await?;
            put_in_force(shared, bundle, Source::Store)
        }
        Adoption::Same => {
            clear_alarm(shared);
            Ok(())
        }
        Adoption::Lagging | Adoption::Reverted | Adoption::Forked => {
            raise_alarm(shared, &head);
            Ok(())
        }
    }
}

/// Fetches and adopts the configuration of peers that the exchange reports to have
/// a newer one. Never returns.
pub(crate) async fn follow_peers(shared: Arc<Shared>) {
    let mut newer = shared.members.newer_peer();
    // The sender lives in `shared`, so waiting cannot fail.
    while newer.changed().await.is_ok() {
        let Some(NewerPeer { revision, addr }) = *newer.borrow_and_update() else {
            continue;
        };
        let in_force = shared.in_force().revision();
        if revision <= in_force {
            continue;
        }
        // Membership handles peers that do not answer; the next exchange reports
        // another one.
        let Ok(reply) = peer::fetch_config(&shared, addr, in_force).await else {
            continue;
        };
        let Some(bundle) = reply.bundle else { continue };
        if let Err(error) = adopt_from_peer(&shared, bundle) {
            log::warn!(target: "config", "Configuration of peer {addr} not adopted: {error}.");
        }
        // The configuration of the peer may match the store, which ends the alarm.
        if shared.refused_head.0.lock().is_some() {
            check_store_head(&shared).await;
        }
    }
}

/// Puts the bundle of a peer in force if it supersedes the current one.
///
/// # Errors
///
/// Returns [`Kind::BadRecord`] for an invalid bundle.
pub(crate) fn adopt_from_peer(shared: &Shared, wire: WireBundle) -> Result<()> {
    put_in_force(shared, Bundle::try_from(wire)?, Source::Peer)
}

/// Puts a bundle in force unless a newer one was put in force meanwhile.
fn put_in_force(shared: &Shared, bundle: Bundle, source: Source) -> Result<()> {
    let in_force = Arc::new(InForce::try_from(bundle)?);
    let mut verdict = Adoption::Same;
    shared.config.send_if_modified(|current| {
        // Judged again under the lock: the store and peers may deliver heads
        // concurrently.
        verdict = check_adoption(&current.head().id(), in_force.head(), source);
        if verdict != Adoption::Adopt {
            return false;
        }
        *current = Arc::clone(&in_force);
        true
    });
    match verdict {
        Adoption::Adopt => on_adopted(shared, &in_force, source),
        Adoption::Forked => raise_alarm(shared, in_force.head()),
        Adoption::Same | Adoption::Lagging | Adoption::Reverted => {}
    }
    Ok(())
}

fn on_adopted(shared: &Shared, in_force: &InForce, source: Source) {
    let revision = in_force.revision();
    shared.metrics.on_revision(revision);
    if source == Source::Store {
        clear_alarm(shared);
    }
    log::info!(target: "config", "Revision {revision} in force, learned from {source:?}.");
    if in_force.has_routes() {
        shared.life.on_event(LifecycleEvent::Configured);
    }
}

/// Raises the alarm for a store whose head is older than the one in force or has
/// diverged from it.
fn raise_alarm(shared: &Shared, head: &Head) {
    let in_force = shared.in_force().revision();
    shared.metrics.on_store_reverted(true);
    let previous = shared.refused_head.0.lock().replace(head.id());
    if previous.as_ref() != Some(&head.id()) {
        let kind = Kind::StoreReverted.answer().title;
        log::error!(
            target: "config",
            "{kind}: revision {} by operation '{}' is refused, revision {in_force} stays in force; \
             restore the configuration of the hosts to the store with 'wharfctl recover'.",
            head.revision, head.operation_id
        );
    }
}

/// Reads the head of the store, and adopts it or raises the alarm.
pub(crate) async fn check_store_head(shared: &Shared) {
    match shared.platform.get(HEAD_KEY).await {
        Ok(value) => {
            if let Err(error) = adopt_from_store(shared, value).await {
                log::error!(target: "config", "Head of the store not adopted: {error}.");
            }
        }
        Err(fault) => log::warn!(target: "config", "Head of the store not read: {fault:?}."),
    }
}

fn clear_alarm(shared: &Shared) {
    shared.metrics.on_store_reverted(false);
    if shared.refused_head.0.lock().take().is_some() {
        log::info!(target: "config", "The head of the store is consistent with the revision in force again.");
    }
}
