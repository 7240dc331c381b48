//! A fake network between two regions, which can be partitioned.
//!
//! A forwarder accepts TCP connections at its own address and forwards them to
//! another. Hosts send each other the address that they listen on, so a
//! forwarder between hosts also rewrites the addresses in their messages, like
//! network address translation. During a partition, no bytes are forwarded and
//! no connection is closed; bytes in transit are delivered afterwards.

use {
    anyhow::Result,
    std::{io, net::SocketAddr},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{
            tcp::{OwnedReadHalf, OwnedWriteHalf},
            TcpListener, TcpStream,
        },
        spawn,
        sync::watch,
    },
};

/// Maximum number of bytes that are read at once from a connection without frames.
const MAX_CHUNK_BYTES: usize = 64 * 1024;

/// Pairs of an address on the accepting side of a forwarder and on the target side.
#[derive(Clone, Debug, Default)]
pub struct AddressTranslation(Vec<(String, String)>);

/// The network between regions.
pub struct RegionNetwork {
    is_partitioned: watch::Sender<bool>,
}

/// Traffic of a forwarder.
#[derive(Clone, Debug)]
pub enum Traffic {
    /// Unchanged bytes.
    Bytes,
    /// Length-prefixed frames between hosts, whose addresses are translated.
    Frames(AddressTranslation),
}

impl AddressTranslation {
    /// Creates a translation from pairs of the address on the accepting and on the target side.
    pub fn new(pairs: impl IntoIterator<Item = (SocketAddr, SocketAddr)>) -> Self {
        // The quotes prevent an address from matching as a prefix of another.
        let quoted = |addr: SocketAddr| format!("\"{addr}\"");
        let pairs = pairs
            .into_iter()
            .map(|(accepted_addr, target_addr)| (quoted(accepted_addr), quoted(target_addr)));
        Self(pairs.collect())
    }

    fn reversed(&self) -> Self {
        let swapped = |(accepted_addr, target_addr): &(String, String)| {
            (target_addr.clone(), accepted_addr.clone())
        };
        Self(self.0.iter().map(swapped).collect())
    }

    fn apply(&self, frame: &[u8]) -> Vec<u8> {
        let text = String::from_utf8_lossy(frame).into_owned();
        let translate = |text: String, (accepted_addr, target_addr): &(String, String)| {
            text.replace(accepted_addr, target_addr)
        };
        self.0.iter().fold(text, translate).into_bytes()
    }
}

impl Traffic {
    fn reversed(&self) -> Self {
        match self {
            Self::Bytes => Self::Bytes,
            Self::Frames(translation) => Self::Frames(translation.reversed()),
        }
    }

    async fn read(&self, from: &mut OwnedReadHalf) -> io::Result<Vec<u8>> {
        match self {
            Self::Bytes => read_bytes(from).await,
            Self::Frames(translation) => {
                let frame = translation.apply(&read_frame(from).await?);
                let length = u32::try_from(frame.len()).map_err(io::Error::other)?;
                Ok([&length.to_be_bytes(), frame.as_slice()].concat())
            }
        }
    }
}

async fn read_bytes(from: &mut OwnedReadHalf) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::with_capacity(MAX_CHUNK_BYTES);
    match from.read_buf(&mut bytes).await? {
        0 => Err(io::ErrorKind::UnexpectedEof.into()),
        _ => Ok(bytes),
    }
}

async fn read_frame(from: &mut OwnedReadHalf) -> io::Result<Vec<u8>> {
    let length = usize::try_from(from.read_u32().await?).map_err(io::Error::other)?;
    let mut frame = vec![0; length];
    from.read_exact(&mut frame).await?;
    Ok(frame)
}

impl Default for RegionNetwork {
    fn default() -> Self {
        Self {
            is_partitioned: watch::Sender::new(false),
        }
    }
}

impl RegionNetwork {
    /// Partitions the network.
    pub fn partition(&self) {
        self.is_partitioned.send_replace(true);
    }

    /// Ends the partition.
    pub fn heal(&self) {
        self.is_partitioned.send_replace(false);
    }

    /// Forwards connections from `listen_addr` to `target_addr` for the lifetime of the runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if `listen_addr` cannot be bound.
    pub async fn forward(
        &self,
        listen_addr: SocketAddr,
        target_addr: SocketAddr,
        traffic: Traffic,
    ) -> Result<()> {
        let listener = TcpListener::bind(listen_addr).await?;
        let is_partitioned = self.is_partitioned.subscribe();
        spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawn(forward_connection(
                    stream,
                    target_addr,
                    traffic.clone(),
                    is_partitioned.clone(),
                ));
            }
        });
        Ok(())
    }
}

async fn forward_connection(
    accepted: TcpStream,
    target_addr: SocketAddr,
    traffic: Traffic,
    is_partitioned: watch::Receiver<bool>,
) {
    wait_while_partitioned(&mut is_partitioned.clone()).await;
    let Ok(target) = TcpStream::connect(target_addr).await else {
        return;
    };
    let (accepted_read, accepted_write) = accepted.into_split();
    let (target_read, target_write) = target.into_split();
    spawn(forward_direction(
        target_read,
        accepted_write,
        traffic.reversed(),
        is_partitioned.clone(),
    ));
    spawn(forward_direction(
        accepted_read,
        target_write,
        traffic,
        is_partitioned,
    ));
}

/// Forwards one direction of a connection until it ends.
async fn forward_direction(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    traffic: Traffic,
    mut is_partitioned: watch::Receiver<bool>,
) {
    loop {
        let read = traffic.read(&mut from).await;
        // The end of the connection is held back during a partition too.
        wait_while_partitioned(&mut is_partitioned).await;
        let Ok(bytes) = read else { return };
        if to.write_all(&bytes).await.is_err() {
            return;
        }
    }
}

async fn wait_while_partitioned(is_partitioned: &mut watch::Receiver<bool>) {
    // If the sender is dropped, there is no partition any more.
    let _ = is_partitioned
        .wait_for(|is_partitioned| !is_partitioned)
        .await;
}
