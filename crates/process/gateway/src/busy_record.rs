//! The record in the store of workspaces that use much of their quota.
//!
//! An issuer writes it before it grants more than `quota::Limits::unrecorded` permits of
//! a workspace. It has no lease: it has to outlive all hosts. Few workspaces are busy,
//! and one is recorded once for as long as it is, so that writes are rare.

use {
    crate::{
        quota::SlotState,
        quota_issuer::{Issuership, Role},
        shared::Shared,
        Adapter,
    },
    bytes::Bytes,
    quota::{Slot, Term},
    std::{
        rc::Rc,
        sync::Arc,
        time::{Duration, Instant},
    },
    store::{Fault, Freshness, KeyPrefixStore, StoreRevision},
    tokio::{task::spawn_local, time::sleep},
};

/// Prefix of the keys of the records, one of each slot.
const BUSY_PREFIX: &str = "wharf/busy/";
/// Pause after a failed attempt to write a record.
const FAULT_PAUSE: Duration = Duration::from_millis(200);

/// Reads the workspaces that are recorded as busy, with the revision of the record, 0 if
/// there is none.
///
/// # Errors
///
/// Returns the fault of the store, or [`Fault::Unknown`] if the record cannot be read.
pub(crate) async fn read<A: Adapter>(
    shared: &Shared<A>,
    slot: Slot,
) -> Result<(Vec<Arc<str>>, StoreRevision), Fault> {
    let key = key(slot);
    let listing = shared.keys.list(&key, Freshness::Current).await?;
    let item = listing.items.into_iter().find(|item| item.key == key);
    let Some(item) = item else {
        return Ok((Vec::new(), 0));
    };
    let names: Vec<String> = serde_json::from_slice(&item.bytes)
        .map_err(|error| Fault::Unknown(format!("the entry {key} cannot be read: {error}")))?;
    let names = names.into_iter().map(Arc::from);
    Ok((names.collect(), item.revision))
}

/// Writes the record of a slot if this host issues its permits and workspaces have become
/// busy.
pub(crate) fn write_if_due<A: Adapter>(shared: &Rc<Shared<A>>, state: &Rc<SlotState>) {
    let term = match &*state.role.borrow() {
        Role::Issuer(held) if to_record(shared, held).is_some() => held.term(),
        Role::None | Role::Deputy(_) | Role::Issuer(_) => return,
    };
    if state.is_recording.replace(true) {
        return;
    }
    let (shared, state) = (Rc::clone(shared), Rc::clone(state));
    spawn_local(async move {
        while let Some(busy) = busy_in_term(&shared, &state, term) {
            match write(&shared, &state, &busy).await {
                Ok(true) => {
                    log::info!(target: "quota", "{} workspaces of slot {} are recorded as busy.", busy.len(), state.slot);
                    if let Role::Issuer(held) = &mut *state.role.borrow_mut() {
                        if held.term() == term {
                            held.issuer.on_busy_recorded(&busy);
                        }
                    }
                    state.confirmed.notify_waiters();
                }
                Ok(false) => {}
                Err(fault) => {
                    log::warn!(target: "quota", "The busy workspaces of slot {} are not recorded yet: {fault:?}.", state.slot);
                    sleep(FAULT_PAUSE).await;
                }
            }
        }
        state.is_recording.set(false);
    });
}

/// Returns the workspaces to record while the slot is held with `term`.
fn busy_in_term<A: Adapter>(
    shared: &Shared<A>,
    state: &SlotState,
    term: Term,
) -> Option<Vec<Arc<str>>> {
    match &*state.role.borrow() {
        Role::Issuer(held) if held.term() == term => to_record(shared, held),
        Role::None | Role::Deputy(_) | Role::Issuer(_) => None,
    }
}

fn to_record<A: Adapter>(shared: &Shared<A>, held: &Issuership) -> Option<Vec<Arc<str>>> {
    let table = shared.table()?;
    held.issuer
        .busy_to_record(|name| table.workspace(name).and_then(|known| known.quota))
}

/// Writes a record, and returns whether it was as this host knew it and has been written
/// in the current era of the store.
async fn write<A: Adapter>(
    shared: &Shared<A>,
    state: &SlotState,
    busy: &[Arc<str>],
) -> Result<bool, Fault> {
    let era = shared.keys.eras().current();
    let known = state.busy_revision.get();
    let known = known.filter(|(known_era, _)| *known_era == era);
    let expected = match known {
        Some((_, revision)) => revision,
        None => read(shared, state.slot).await?.1,
    };
    // Forgotten if the write fails, as it may have been done.
    state.busy_revision.set(None);
    let names: Vec<&str> = busy.iter().map(|name| &**name).collect();
    let value = serde_json::to_vec(&names).map_err(|e| Fault::Unreachable(e.to_string()))?;
    let key = key(state.slot);
    let began = Instant::now();
    let written = shared
        .keys
        .write_if(&key, expected, Bytes::from(value), None);
    let written = written.await?;
    log::debug!(target: "quota", "Recording took {} ms.", began.elapsed().as_millis());
    state
        .busy_revision
        .set(written.map(|revision| (era, revision)));
    Ok(written.is_some() && shared.keys.eras().current() == era)
}

fn key(slot: Slot) -> String {
    format!("{BUSY_PREFIX}{slot}")
}
