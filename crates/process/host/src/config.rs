//! Adoption of configuration from the platform's store.

use {
    crate::shared::Shared,
    fleet::LifeEvent,
    kind::Result,
    record::{Head, InForce},
    std::{sync::Arc, time::Duration},
    store::{load_in_force, Platform, HEAD_KEY},
    tokio::time::sleep,
};

/// Time for which one watch waits.
const WATCH_WAIT: Duration = Duration::from_secs(20);
/// Pause after a failed call to the store.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Follows the head for as long as the process lives.
pub(crate) async fn follow_head(shared: Arc<Shared>) {
    let mut after = 0;
    loop {
        match shared.platform.watch(HEAD_KEY, after, WATCH_WAIT).await {
            Ok(None) => {}
            Ok(Some(value)) => match adopt(&shared, &value.bytes).await {
                Ok(()) => after = value.key_revision,
                Err(error) => {
                    log::error!(target: "config", "Head not adopted: {error}.");
                    sleep(RETRY_PAUSE).await;
                }
            },
            Err(fault) => {
                log::warn!(target: "config", "Watch failed: {fault:?}.");
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

async fn adopt(shared: &Shared, text: &[u8]) -> Result<()> {
    let head = Head::from_json(text)?;
    let current = shared.in_force().revision();
    if head.revision <= current {
        log::warn!(target: "config", "Revision {} ignored, {current} is in force.", head.revision);
        return Ok(());
    }
    let in_force = load_in_force(&shared.platform, &head).await?;
    put_in_force(shared, in_force);
    Ok(())
}

fn put_in_force(shared: &Shared, in_force: InForce) {
    let revision = in_force.revision();
    let has_routes = in_force.has_routes();
    shared.config.send_replace(Arc::new(in_force));
    shared.metrics.on_revision(revision);
    log::info!(target: "config", "Revision {revision} in force.");
    if has_routes {
        shared.life.on_event(LifeEvent::Configured);
    }
}
