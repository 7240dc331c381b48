//! A loopback TCP proxy that injects network faults.
//!
//! It forwards connections to one address. The fault in effect can be changed at
//! any time and applies to open and to new connections.

use {
    anyhow::Result,
    std::{io, net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{
            tcp::{ReadHalf, WriteHalf},
            TcpListener, TcpStream,
        },
        select, spawn,
        sync::watch::{Receiver, Sender},
        time::sleep,
        try_join,
    },
};

/// Maximum number of bytes forwarded at once.
const MAX_CHUNK_BYTES: usize = 16 * 1_024;

/// Network condition of the connections.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum NetworkCondition {
    /// Bytes are forwarded.
    #[default]
    Pass,
    /// Bytes are forwarded after this delay in milliseconds, in each direction.
    Delay(u64),
    /// No bytes from the caller are forwarded, and connections stay open.
    BlockFromCaller,
    /// No bytes to the caller are forwarded, and connections stay open.
    BlockToCaller,
    /// Open and new connections are reset.
    Reset,
    /// Connections that are already open never forward a byte again; new ones work.
    SilenceOpen,
}

/// A proxy for one address, which runs for the lifetime of the runtime.
#[derive(Debug)]
pub struct Proxy {
    /// Address at which the proxy accepts connections.
    pub addr: SocketAddr,
    condition: Sender<NetworkCondition>,
    /// Number of times that open connections were silenced. A connection is silent if the number
    /// has changed since it was opened.
    silence_count: Sender<u64>,
}

/// State of the proxy as a connection observes it.
#[derive(Clone)]
struct ConditionView {
    condition: Receiver<NetworkCondition>,
    silence_count: Receiver<u64>,
    silence_count_at_open: u64,
}

#[derive(Clone, Copy, Eq, PartialEq)]
enum Direction {
    FromCaller,
    ToCaller,
}

impl Proxy {
    /// Starts a proxy at `listen_addr` that forwards connections to `target_addr`.
    ///
    /// # Errors
    ///
    /// Returns an error if `listen_addr` cannot be bound.
    pub async fn start(listen_addr: SocketAddr, target_addr: SocketAddr) -> Result<Self> {
        let listener = TcpListener::bind(listen_addr).await?;
        let proxy = Self {
            addr: listener.local_addr()?,
            condition: Sender::default(),
            silence_count: Sender::default(),
        };
        let (condition, silence_count) =
            (proxy.condition.subscribe(), proxy.silence_count.subscribe());
        spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let silence_count_at_open = *silence_count.borrow();
                let view = ConditionView {
                    condition: condition.clone(),
                    silence_count: silence_count.clone(),
                    silence_count_at_open,
                };
                spawn(forward_connection(stream, target_addr, view));
            }
        });
        Ok(proxy)
    }

    /// Sets the network condition.
    pub fn set(&self, condition: NetworkCondition) {
        if condition == NetworkCondition::SilenceOpen {
            self.silence_count
                .send_modify(|silence_count| *silence_count += 1);
        } else {
            self.condition.send_replace(condition);
        }
    }
}

async fn forward_connection(mut accepted: TcpStream, target_addr: SocketAddr, view: ConditionView) {
    let Ok(mut target) = TcpStream::connect(target_addr).await else {
        return;
    };
    let is_reset = {
        let (accepted_read, accepted_write) = accepted.split();
        let (target_read, target_write) = target.split();
        // The end of one direction leaves the other open; an error ends both.
        let directions = async {
            try_join!(
                forward_direction(
                    accepted_read,
                    target_write,
                    view.clone(),
                    Direction::FromCaller
                ),
                forward_direction(
                    target_read,
                    accepted_write,
                    view.clone(),
                    Direction::ToCaller
                ),
            )
        };
        let mut reset_view = view.clone();
        select! {
            () = reset_view.wait_for_reset() => true,
            ended = directions => ended.is_err(),
        }
    };
    if is_reset {
        // With zero linger, the peers see a reset instead of an orderly close.
        let _ = accepted.set_zero_linger();
        let _ = target.set_zero_linger();
    }
}

async fn forward_direction(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    mut view: ConditionView,
    direction: Direction,
) -> io::Result<()> {
    let mut bytes = vec![0; MAX_CHUNK_BYTES];
    loop {
        let length = from.read(&mut bytes).await?;
        view.wait_until_forwardable(direction).await;
        if length == 0 {
            return to.shutdown().await;
        }
        to.write_all(&bytes[..length]).await?;
    }
}

impl ConditionView {
    async fn wait_for_reset(&mut self) {
        let is_reset = |condition: &NetworkCondition| *condition == NetworkCondition::Reset;
        let is_dropped = self.condition.wait_for(is_reset).await.is_err();
        if is_dropped {
            std::future::pending::<()>().await;
        }
    }

    /// Waits until bytes may be forwarded in `direction`.
    async fn wait_until_forwardable(&mut self, direction: Direction) {
        let silence_count = *self.silence_count.borrow();
        if silence_count != self.silence_count_at_open {
            std::future::pending::<()>().await;
        }
        let blocking_condition = match direction {
            Direction::FromCaller => NetworkCondition::BlockFromCaller,
            Direction::ToCaller => NetworkCondition::BlockToCaller,
        };
        let condition = *self.condition.borrow();
        if let NetworkCondition::Delay(time_ms) = condition {
            sleep(Duration::from_millis(time_ms)).await;
        }
        // An error means that the proxy was dropped at the end of a test; bytes are forwarded then.
        let _ = self
            .condition
            .wait_for(|condition| *condition != blocking_condition)
            .await
            .is_ok();
    }
}
