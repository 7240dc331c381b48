//! Ports for the processes of a test.
//!
//! A port that was found free can be taken before the process binds it, by
//! another test that runs at the same time. Each port given out is therefore
//! claimed by a listener on a second loopback address, which lives as long as
//! the test and which every user of this module looks at.
//!
//! A process that is being started holds a copy of every open socket until it
//! runs its own program, the one that looks whether a port is free included.
//! Looking and starting therefore exclude each other.

use {
    anyhow::{bail, Result},
    std::{
        net::{Ipv4Addr, SocketAddr, TcpListener},
        sync::{
            atomic::{AtomicU32, Ordering},
            Mutex, MutexGuard, PoisonError,
        },
    },
};

/// Ports of the fixture lie below those that the system gives out by itself.
const FIRST_PORT: u32 = 12_000;
const PORT_COUNT: u32 = 20_000;
/// Address on which a port is claimed.
const CLAIM_ADDR: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 2);

/// Held while a port is looked at, and while a process is being started.
static SOCKETS: Mutex<()> = Mutex::new(());
static NEXT: AtomicU32 = AtomicU32::new(0);
static CLAIMS: Mutex<Vec<TcpListener>> = Mutex::new(Vec::new());

/// Returns an address whose port is free, and stays so for other tests.
///
/// # Errors
///
/// Returns an error if no port is free.
pub fn free_addr() -> Result<SocketAddr> {
    let offset = std::process::id().wrapping_mul(97);
    for _ in 0..PORT_COUNT {
        let turn = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = u16::try_from(FIRST_PORT + offset.wrapping_add(turn) % PORT_COUNT)?;
        let Ok(claim) = TcpListener::bind((CLAIM_ADDR, port)) else {
            continue;
        };
        let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if is_free(addr) {
            let mut claims = CLAIMS.lock().unwrap_or_else(PoisonError::into_inner);
            claims.push(claim);
            return Ok(addr);
        }
    }
    bail!("no port is free")
}

fn is_free(addr: SocketAddr) -> bool {
    let _sockets = lock_sockets();
    TcpListener::bind(addr).is_ok()
}

/// Waits until no port is being looked at, and keeps it so.
pub(super) fn lock_sockets() -> MutexGuard<'static, ()> {
    SOCKETS.lock().unwrap_or_else(PoisonError::into_inner)
}
