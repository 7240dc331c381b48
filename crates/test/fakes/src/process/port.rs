//! Allocation of ports for the processes of a test.
//!
//! A port that was found free can be taken by a concurrent test before the
//! process binds it. Each allocated port is therefore reserved by a listener on
//! a second loopback address, which lives as long as the test process and which
//! every user of this module checks.
//!
//! Between fork and exec, a child process holds a copy of every open socket,
//! including the one that probes whether a port is free. Probing a port and
//! starting a process are therefore mutually exclusive.

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

/// First port to allocate; the range lies below the ephemeral ports of the system.
const FIRST_PORT: u32 = 12_000;
const PORT_COUNT: u32 = 20_000;
/// Address on which allocated ports are reserved.
const RESERVATION_ADDR: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 2);

/// Held while a port is probed and while a process is started.
static SOCKETS: Mutex<()> = Mutex::new(());
static NEXT_SEQUENCE: AtomicU32 = AtomicU32::new(0);
static RESERVATIONS: Mutex<Vec<TcpListener>> = Mutex::new(Vec::new());

/// Returns an address with a free port, and reserves the port against other tests.
///
/// # Errors
///
/// Returns an error if no port is free.
pub fn free_addr() -> Result<SocketAddr> {
    let offset = std::process::id().wrapping_mul(97);
    for _ in 0..PORT_COUNT {
        let sequence = NEXT_SEQUENCE.fetch_add(1, Ordering::Relaxed);
        let port = u16::try_from(FIRST_PORT + offset.wrapping_add(sequence) % PORT_COUNT)?;
        let Ok(reservation) = TcpListener::bind((RESERVATION_ADDR, port)) else {
            continue;
        };
        let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if is_free(addr) {
            let mut reservations = RESERVATIONS.lock().unwrap_or_else(PoisonError::into_inner);
            reservations.push(reservation);
            return Ok(addr);
        }
    }
    bail!("no port is free")
}

fn is_free(addr: SocketAddr) -> bool {
    let _sockets = lock_sockets();
    TcpListener::bind(addr).is_ok()
}

/// Blocks probing of ports and starting of processes while the guard is held.
pub(super) fn lock_sockets() -> MutexGuard<'static, ()> {
    SOCKETS.lock().unwrap_or_else(PoisonError::into_inner)
}
