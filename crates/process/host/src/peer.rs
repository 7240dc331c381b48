//! Calls between hosts over tarpc.

use {
    crate::{relay, shared::Shared},
    fleet::{Held, Peer, PeerClient, QueryAnswer, QueryCall, PROTOCOL_VERSION},
    futures::StreamExt,
    kind::{Error, Kind, Ran, Result},
    parking_lot::Mutex,
    record::{Revision, WireBundle},
    std::{
        collections::HashMap,
        io,
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tarpc::{
        client::{Config, RpcError},
        context::{self, Context},
        serde_transport::tcp,
        server::{BaseChannel, Channel},
        tokio_serde::formats::Json,
    },
    tokio::{spawn, time::timeout},
};

/// Time for opening a connection to a peer.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time for asking a peer what it holds.
pub(crate) const HELD_TIMEOUT: Duration = Duration::from_millis(750);
/// Largest message between hosts, in bytes.
const MAX_FRAME_BYTES: usize = 64 * 1024 * 1024;

/// Connections to peers, one for each.
#[derive(Default)]
pub(crate) struct Peers {
    clients: Mutex<HashMap<SocketAddr, PeerClient>>,
}

impl Peers {
    /// Sends a query to the relay at `addr`.
    pub(crate) async fn query(
        &self,
        addr: SocketAddr,
        call: QueryCall,
        deadline: Instant,
    ) -> Result<QueryAnswer> {
        let client = self.client(addr).await?;
        let mut context = context::current();
        context.deadline = deadline;
        match client.query(context, call).await {
            Ok(answer) => answer,
            Err(error) => {
                self.clients.lock().remove(&addr);
                Err(lost_host(addr, &error))
            }
        }
    }

    /// Asks a peer what it holds, with the records if they are newer than `revision`.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::HostLost`] if the peer does not answer in time.
    pub(crate) async fn held(&self, addr: SocketAddr, revision: Revision) -> Result<Held> {
        let client = self.client(addr).await?;
        let mut context = context::current();
        context.deadline = Instant::now() + HELD_TIMEOUT;
        client.held(context, revision).await.map_err(|error| {
            self.clients.lock().remove(&addr);
            Error::new(Kind::HostLost, format!("{addr}: {error}"))
        })
    }

    async fn client(&self, addr: SocketAddr) -> Result<PeerClient> {
        if let Some(client) = self.clients.lock().get(&addr) {
            return Ok(client.clone());
        }
        let unreachable = |detail: String| {
            Error::new(Kind::HostLost, format!("{addr}: {detail}")).with_ran(Ran::No)
        };
        let mut connect = tcp::connect(addr, Json::default);
        connect.config_mut().max_frame_length(MAX_FRAME_BYTES);
        let transport = timeout(CONNECT_TIMEOUT, connect)
            .await
            .map_err(|_| unreachable("no connection in time".to_owned()))?
            .map_err(|e| unreachable(e.to_string()))?;
        let client = PeerClient::new(Config::default(), transport).spawn();
        self.clients.lock().insert(addr, client.clone());
        Ok(client)
    }
}

fn lost_host(addr: SocketAddr, error: &RpcError) -> Error {
    match error {
        RpcError::DeadlineExceeded => Error::new(
            Kind::DeadlineExceeded,
            format!("relay {addr} did not answer in time"),
        ),
        _ => Error::new(Kind::HostLost, format!("relay {addr}: {error}")),
    }
}

#[derive(Clone)]
struct PeerServer(Arc<Shared>);

impl Peer for PeerServer {
    async fn query(self, _: Context, call: QueryCall) -> Result<QueryAnswer> {
        if call.protocol_version != PROTOCOL_VERSION {
            return Err(Error::new(
                Kind::BadPeer,
                format!("version {} is not spoken here", call.protocol_version),
            ));
        }
        relay::serve(&self.0, call).await
    }

    async fn held(self, _: Context, revision: Revision) -> Held {
        let in_force = self.0.in_force();
        let is_newer = in_force.revision() > revision;
        Held {
            host: self.0.settings.member.id.clone(),
            head: in_force.head().id(),
            bundle: is_newer.then(|| WireBundle::from(in_force.bundle().as_ref())),
        }
    }
}

/// Listens for peers; the returned future serves them.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub(crate) async fn listen(
    shared: Arc<Shared>,
    addr: SocketAddr,
) -> io::Result<(SocketAddr, impl std::future::Future<Output = ()>)> {
    let mut listener = tcp::listen(addr, Json::default).await?;
    listener.config_mut().max_frame_length(MAX_FRAME_BYTES);
    let bound = listener.local_addr();
    let serving = async move {
        while let Some(accepted) = listener.next().await {
            let Ok(transport) = accepted else { continue };
            let server = PeerServer(Arc::clone(&shared));
            spawn(
                BaseChannel::with_defaults(transport)
                    .execute(server.serve())
                    .for_each(|response| async {
                        spawn(response);
                    }),
            );
        }
    };
    Ok((bound, serving))
}
