//! Tells other hosts that a server has become cold while it ran.
//!
//! Load: a server loses its caches while many hosts send to it at full rate. The host
//! that gets its next response knows at once, but the entry of the server reaches the
//! others only a second or two later. Until then they would send many times what the
//! cold server takes. Hosts that learn it from a response tell those that call the
//! server.

use {
    crate::{
        peer::{self, ColdNews, PROTOCOL_VERSION},
        shared::Shared,
        Adapter,
    },
    replica::{ReplicaKey, ServerEntry},
    std::{
        cell::RefCell,
        net::SocketAddr,
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::{sync::Notify, task::spawn_local},
};

/// Hosts that are told at most. The others learn from the entry.
const MAX_TOLD_HOSTS: usize = 64;
/// Time limit of one message.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(300);

/// News that have not been sent yet.
#[derive(Default)]
pub(crate) struct NewsQueue {
    news: RefCell<Vec<ColdNews>>,
    added: Notify,
}

impl NewsQueue {
    /// Adds that a server is cold for `left`.
    pub(crate) fn add(&self, server: &ServerEntry, left: Duration) {
        self.news.borrow_mut().push(ColdNews {
            protocol_version: PROTOCOL_VERSION,
            server: server.id.to_string(),
            started_at_ms: server.started_at_ms,
            left_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
        });
        self.added.notify_one();
    }
}

/// Sends the news of this host for as long as the process lives.
pub(crate) async fn run<A: Adapter>(shared: Rc<Shared<A>>) {
    loop {
        shared.cold_news.added.notified().await;
        for news in shared.cold_news.news.take() {
            for addr in told_hosts(&shared, &news) {
                spawn_local(send(Rc::clone(&shared), addr, news.clone()));
            }
        }
    }
}

/// Returns the addresses of hosts that call a server: first those in its region, where
/// most calls come from.
fn told_hosts<A: Adapter>(shared: &Shared<A>, news: &ColdNews) -> Vec<SocketAddr> {
    let servers = shared.servers.borrow();
    let key = servers.key(&news.server);
    let Some(zone) = key.and_then(|key| Some(&servers.entry(key)?.zone)) else {
        return Vec::new();
    };
    let locality = &shared.settings.locality;
    let members = shared.members.borrow();
    let others = members
        .listed()
        .map(|host| &host.member)
        .filter(|member| member.id != shared.settings.member.id);
    let (near, far): (Vec<_>, Vec<_>) =
        others.partition(|member| locality.is_same_region(&member.zone, zone));
    let addrs = near.into_iter().chain(far).map(|member| member.peer_addr);
    addrs.take(MAX_TOLD_HOSTS).collect()
}

async fn send<A: Adapter>(shared: Rc<Shared<A>>, addr: SocketAddr, news: ColdNews) {
    let deadline = Instant::now() + MESSAGE_TIMEOUT;
    if let Err(error) = peer::tell_cold(&shared, addr, news, deadline).await {
        log::debug!(target: "zones", "A host was not told of a cold server: {error}.");
    }
}

/// Takes news of another host. They are not passed on, since the host that has sent
/// them tells all.
pub(crate) fn on_told<A: Adapter>(shared: &Shared<A>, news: &ColdNews) {
    let key = known_server(shared, news);
    if let Some(key) = key {
        shared.on_warm_up(key, Duration::from_millis(news.left_ms));
    }
}

/// Returns the key of the server, unless it is unknown here or another incarnation.
fn known_server<A: Adapter>(shared: &Shared<A>, news: &ColdNews) -> Option<ReplicaKey> {
    let servers = shared.servers.borrow();
    let key = servers.key(&news.server)?;
    let is_same = servers.entry(key)?.started_at_ms == news.started_at_ms;
    is_same.then_some(key)
}
