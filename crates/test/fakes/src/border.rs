//! A stand-in for the network between two regions, which can be cut.
//!
//! A passage takes TCP connections at an address of its own and carries them
//! to another. Hosts tell each other the address that they listen on, so a
//! passage between hosts also translates addresses in their messages, as
//! address translation at the border of a network does. While the border is
//! cut, nothing passes and no connection ends; what was under way arrives late.

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

/// Largest number of bytes that a passage without frames carries at once.
const MAX_CHUNK_BYTES: usize = 64 * 1024;

/// Addresses as one side of a passage knows them, and as the other side does.
#[derive(Clone, Debug, Default)]
pub struct Translation(Vec<(String, String)>);

/// The border between regions.
pub struct Border {
    is_cut: watch::Sender<bool>,
}

/// What a passage carries.
#[derive(Clone, Debug)]
pub enum Cargo {
    /// Bytes as they come.
    Bytes,
    /// Frames of hosts, with addresses translated on the way to the listener.
    Frames(Translation),
}

impl Translation {
    /// Creates a translation from pairs of the near and the far address.
    pub fn new(pairs: impl IntoIterator<Item = (SocketAddr, SocketAddr)>) -> Self {
        // With its quotes, no address is the beginning of another.
        let quoted = |addr: SocketAddr| format!("\"{addr}\"");
        let pairs = pairs
            .into_iter()
            .map(|(near, far)| (quoted(near), quoted(far)));
        Self(pairs.collect())
    }

    fn reversed(&self) -> Self {
        let swapped = |(near, far): &(String, String)| (far.clone(), near.clone());
        Self(self.0.iter().map(swapped).collect())
    }

    fn apply(&self, frame: &[u8]) -> Vec<u8> {
        let text = String::from_utf8_lossy(frame).into_owned();
        let translate = |text: String, (near, far): &(String, String)| text.replace(near, far);
        self.0.iter().fold(text, translate).into_bytes()
    }
}

impl Cargo {
    fn back(&self) -> Self {
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

impl Default for Border {
    fn default() -> Self {
        Self {
            is_cut: watch::Sender::new(false),
        }
    }
}

impl Border {
    /// Lets nothing pass any more.
    pub fn cut(&self) {
        self.is_cut.send_replace(true);
    }

    /// Lets everything pass again.
    pub fn mend(&self) {
        self.is_cut.send_replace(false);
    }

    /// Opens a passage from `near` to `far`, for as long as the runtime lives.
    ///
    /// # Errors
    ///
    /// Returns an error if `near` cannot be bound.
    pub async fn open(&self, near: SocketAddr, far: SocketAddr, cargo: Cargo) -> Result<()> {
        let listener = TcpListener::bind(near).await?;
        let is_cut = self.is_cut.subscribe();
        spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawn(carry(stream, far, cargo.clone(), is_cut.clone()));
            }
        });
        Ok(())
    }
}

async fn carry(near: TcpStream, far: SocketAddr, cargo: Cargo, is_cut: watch::Receiver<bool>) {
    passable(&mut is_cut.clone()).await;
    let Ok(far) = TcpStream::connect(far).await else {
        return;
    };
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    spawn(pump(far_read, near_write, cargo.back(), is_cut.clone()));
    spawn(pump(near_read, far_write, cargo, is_cut));
}

/// Carries one way of a connection until it ends.
async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    cargo: Cargo,
    mut is_cut: watch::Receiver<bool>,
) {
    loop {
        let read = cargo.read(&mut from).await;
        // The end of a connection passes no cut either.
        passable(&mut is_cut).await;
        let Ok(bytes) = read else { return };
        if to.write_all(&bytes).await.is_err() {
            return;
        }
    }
}

async fn passable(is_cut: &mut watch::Receiver<bool>) {
    // Without the border nothing is cut any more.
    let _ = is_cut.wait_for(|is_cut| !is_cut).await;
}
