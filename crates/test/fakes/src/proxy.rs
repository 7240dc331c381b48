//! A loopback proxy that misbehaves as networks do.
//!
//! It carries connections to one address. What happens to them is set from
//! outside, at any time, for those that are open and for new ones.

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

/// Largest number of bytes carried at once.
const MAX_CHUNK_BYTES: usize = 16 * 1_024;

/// What happens to connections.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Mood {
    /// Bytes pass.
    #[default]
    Pass,
    /// Bytes pass after this time in milliseconds, each way.
    Delay(u64),
    /// Nothing passes from the caller, and no connection ends.
    CutThere,
    /// Nothing passes to the caller, and no connection ends.
    CutBack,
    /// Open connections are reset, and new ones as soon as they carry bytes.
    Reset,
    /// Connections that are open now never carry a byte again; new ones work.
    Silence,
}

/// A proxy for one address; lives as long as the runtime.
#[derive(Debug)]
pub struct Proxy {
    /// Address at which it takes connections.
    pub addr: SocketAddr,
    mood: Sender<Mood>,
    /// Rises with each silence, so that older connections know that they are meant.
    silences: Sender<u64>,
}

/// What a connection sees of the proxy.
#[derive(Clone)]
struct View {
    mood: Receiver<Mood>,
    silences: Receiver<u64>,
    opened_at: u64,
}

#[derive(Clone, Copy, Eq, PartialEq)]
enum Direction {
    There,
    Back,
}

impl Proxy {
    /// Starts a proxy at `near` for connections to `far`.
    ///
    /// # Errors
    ///
    /// Returns an error if `near` cannot be bound.
    pub async fn start(near: SocketAddr, far: SocketAddr) -> Result<Self> {
        let listener = TcpListener::bind(near).await?;
        let proxy = Self {
            addr: listener.local_addr()?,
            mood: Sender::default(),
            silences: Sender::default(),
        };
        let (mood, silences) = (proxy.mood.subscribe(), proxy.silences.subscribe());
        spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let opened_at = *silences.borrow();
                let view = View {
                    mood: mood.clone(),
                    silences: silences.clone(),
                    opened_at,
                };
                spawn(carry(stream, far, view));
            }
        });
        Ok(proxy)
    }

    /// Changes what happens to connections.
    pub fn set(&self, mood: Mood) {
        if mood == Mood::Silence {
            self.silences.send_modify(|silences| *silences += 1);
        } else {
            self.mood.send_replace(mood);
        }
    }
}

async fn carry(mut near: TcpStream, far: SocketAddr, view: View) {
    let Ok(mut far) = TcpStream::connect(far).await else {
        return;
    };
    let is_reset = {
        let (near_read, near_write) = near.split();
        let (far_read, far_write) = far.split();
        // An end of one side leaves the other open; an error ends both.
        let both = async {
            try_join!(
                copy(near_read, far_write, view.clone(), Direction::There),
                copy(far_read, near_write, view.clone(), Direction::Back),
            )
        };
        let mut watched = view.clone();
        select! {
            () = watched.is_reset() => true,
            ended = both => ended.is_err(),
        }
    };
    if is_reset {
        // Whoever holds the other end sees a reset and no orderly close.
        let _ = near.set_zero_linger();
        let _ = far.set_zero_linger();
    }
}

async fn copy(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    mut view: View,
    direction: Direction,
) -> io::Result<()> {
    let mut bytes = vec![0; MAX_CHUNK_BYTES];
    loop {
        let length = from.read(&mut bytes).await?;
        view.passable(direction).await;
        if length == 0 {
            return to.shutdown().await;
        }
        to.write_all(&bytes[..length]).await?;
    }
}

impl View {
    async fn is_reset(&mut self) {
        let is_reset = |mood: &Mood| *mood == Mood::Reset;
        let is_gone = self.mood.wait_for(is_reset).await.is_err();
        if is_gone {
            std::future::pending::<()>().await;
        }
    }

    /// Waits until bytes may pass.
    async fn passable(&mut self, direction: Direction) {
        let silences = *self.silences.borrow();
        if silences != self.opened_at {
            std::future::pending::<()>().await;
        }
        let held = match direction {
            Direction::There => Mood::CutThere,
            Direction::Back => Mood::CutBack,
        };
        let mood = *self.mood.borrow();
        if let Mood::Delay(time_ms) = mood {
            sleep(Duration::from_millis(time_ms)).await;
        }
        // The proxy is gone at the end of a test, and then everything may pass.
        let _ = self.mood.wait_for(|mood| *mood != held).await.is_ok();
    }
}
