//! Connections to upstream servers, a few for each.

use {
    bytes::Bytes,
    http::HeaderValue,
    http_body_util::Full,
    hyper::client::conn::http1::{handshake, SendRequest},
    hyper_util::rt::TokioIo,
    parking_lot::Mutex,
    record::ServerAddr,
    std::{collections::HashMap, sync::Arc},
    tokio::{
        net::TcpStream,
        spawn,
        sync::{OwnedSemaphorePermit, Semaphore},
    },
};

type Sender = SendRequest<Full<Bytes>>;

/// Pools of all servers.
#[derive(Default)]
pub(crate) struct Pools(Mutex<HashMap<ServerAddr, Arc<Pool>>>);

/// Connections to one server.
pub(crate) struct Pool {
    addr: ServerAddr,
    permits: Arc<Semaphore>,
    idle: Arc<Mutex<Vec<Sender>>>,
}

/// A connection in use.
pub(crate) struct Connection {
    pub(crate) sender: Sender,
    idle: Arc<Mutex<Vec<Sender>>>,
    _permit: OwnedSemaphorePermit,
}

/// Why there is no connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CheckoutError {
    /// The server cannot be reached or accepts no further connection.
    Refused,
}

impl Pools {
    /// Returns the pool of a server, which may grow to `limit` connections.
    pub(crate) fn get(&self, addr: ServerAddr, limit: u32) -> Arc<Pool> {
        let mut pools = self.0.lock();
        let pool = pools.entry(addr).or_insert_with(|| {
            Arc::new(Pool {
                addr,
                permits: Arc::new(Semaphore::new(limit as usize)),
                idle: Arc::default(),
            })
        });
        Arc::clone(pool)
    }
}

impl Pool {
    /// Returns the value of the host header.
    pub(crate) fn host_header(&self) -> HeaderValue {
        HeaderValue::from_str(&self.addr.to_string())
            .unwrap_or_else(|_| HeaderValue::from_static("upstream"))
    }

    /// Takes an idle connection or opens one.
    pub(crate) async fn checkout(&self) -> Result<Connection, CheckoutError> {
        let permit = Arc::clone(&self.permits)
            .acquire_owned()
            .await
            .map_err(|_| CheckoutError::Refused)?;
        let sender = match self.take_idle() {
            Some(sender) => sender,
            None => self.open().await.ok_or(CheckoutError::Refused)?,
        };
        Ok(Connection {
            sender,
            idle: Arc::clone(&self.idle),
            _permit: permit,
        })
    }

    fn take_idle(&self) -> Option<Sender> {
        let mut idle = self.idle.lock();
        while let Some(sender) = idle.pop() {
            if !sender.is_closed() {
                return Some(sender);
            }
        }
        None
    }

    async fn open(&self) -> Option<Sender> {
        let stream = TcpStream::connect(self.addr).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
        spawn(connection);
        Some(sender)
    }
}

impl Connection {
    /// Gives the connection back once its reply has been read in full.
    pub(crate) fn give_back(self) {
        self.idle.lock().push(self.sender);
    }
}
