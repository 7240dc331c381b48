//! Hosts of the tier, taken from the platform's list.

use {
    crate::{relay, shared::Shared},
    fleet::Member,
    parking_lot::RwLock,
    std::{sync::Arc, time::Duration},
    store::{ListedHost, Platform, Role},
    tokio::time::sleep,
};

/// Pause between two reads of the list.
const LIST_PAUSE: Duration = Duration::from_secs(1);

/// The hosts known to this one, itself included.
pub(crate) struct Members(RwLock<Arc<Vec<Member>>>);

impl Members {
    pub(crate) fn new(own: Member) -> Self {
        Self(RwLock::new(Arc::new(vec![own])))
    }

    /// Returns the known hosts.
    pub(crate) fn all(&self) -> Arc<Vec<Member>> {
        Arc::clone(&self.0.read())
    }

    fn replace(&self, members: Vec<Member>) {
        *self.0.write() = Arc::new(members);
    }
}

/// Reads the platform's list for as long as the process lives.
pub(crate) async fn follow_list(shared: Arc<Shared>) {
    loop {
        match shared.platform.hosts().await {
            Ok(listed) => {
                relay::on_list(&shared, &listed);
                shared.members.replace(members_of(&shared, &listed));
            }
            Err(fault) => log::warn!(target: "members", "List not read: {fault:?}."),
        }
        sleep(LIST_PAUSE).await;
    }
}

fn members_of(shared: &Shared, listed: &[ListedHost]) -> Vec<Member> {
    let own = &shared.settings.member;
    let others = listed
        .iter()
        .filter(|host| host.role == Role::Wharf && !host.leaving && host.id != own.id)
        .map(|host| Member {
            id: host.id.clone(),
            peer_addr: host.addr,
            region: host.region.clone(),
            zone: host.zone.clone(),
        });
    std::iter::once(own.clone()).chain(others).collect()
}
