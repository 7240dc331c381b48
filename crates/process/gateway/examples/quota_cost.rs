//! Prints what quotas cost: time per decision, memory per workspace and per key, and
//! bytes between hosts.
//!
//! The messages have the shapes of those in `peer.rs`, which are private to the crate.

use {
    anyhow::{anyhow, bail, Result},
    quota::{Issuer, Limits, RawLimits},
    routing::{ApiKey, Quota, RawCallerLimits, RawTable, RawWorkspace, Table},
    serde::Serialize,
    std::{
        collections::HashMap,
        env, fs,
        hint::black_box,
        pin::pin,
        sync::Arc,
        time::{Duration, Instant},
    },
    tarpc::{
        context,
        tokio_serde::{formats::Bincode, Serializer},
        ClientMessage, Request, Response,
    },
};

/// Requests a second that a host gets at the users' sites.
const REQUESTS_PER_HOST: f64 = 0.33;
/// Messages of an issuer to its deputy, a second.
const BEATS_PER_S: f64 = 5.0;
/// Length of a frame and the headers of TCP and IP, in bytes.
const HEADER_BYTES: f64 = 4.0 + 52.0;
const DECISIONS: u32 = 2_000_000;
const KEYS: usize = 100_000;

#[derive(Serialize)]
struct PermitCall {
    method: u32,
    protocol_version: u16,
    slot: u8,
    is_passed_on: bool,
    asks: Vec<(String, u32)>,
}

#[derive(Serialize)]
struct CopyCall {
    method: u32,
    protocol_version: u16,
    slot: u8,
    term: u64,
    issuer: String,
    revision: u64,
    is_last: bool,
    is_full: bool,
    starts: Vec<(i64, u32)>,
    entries: Vec<(String, Vec<(u32, u32)>)>,
}

fn frame_bytes<T: Serialize>(message: &T) -> Result<f64> {
    let format = pin!(Bincode::<(), T>::default());
    let bytes = format.serialize(message)?;
    Ok(bytes.len() as f64 + HEADER_BYTES)
}

fn call_bytes<T: Serialize>(message: T) -> Result<f64> {
    frame_bytes(&ClientMessage::Request(Request {
        context: context::current(),
        id: 7,
        message,
    }))
}

fn reply_bytes<T: Serialize>(message: T) -> Result<f64> {
    let message: std::result::Result<T, ()> = Ok(message);
    // The number of the method precedes the result.
    frame_bytes(&Response {
        request_id: 7,
        message: Ok((7_u32, message)),
    })
}

/// Returns the memory of the process in bytes.
fn resident_bytes() -> Result<f64> {
    let status = fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let text = line.unwrap_or_default().trim().trim_end_matches(" kB");
    Ok(text.parse::<f64>()? * 1_024.0)
}

fn names(count: usize) -> Vec<Arc<str>> {
    let names = (0..count).map(|number| format!("workspace-{number}").into());
    names.collect()
}

fn print_decisions(limits: Limits, workspaces: usize, per_s: f64) -> Result<()> {
    let quota = Quota {
        rate_per_s: 10.0,
        burst: 20.0,
    };
    let names = names(workspaces);
    let before = resident_bytes()?;
    let mut issuer = Issuer::new(limits, Vec::new(), HashMap::new());
    let mut now = Instant::now();
    let pause = Duration::from_secs(1).div_f64(per_s * workspaces as f64);
    let mut granted = 0;
    let mut decide = |number: u32, now: Instant| {
        let name = &names[number as usize % names.len()];
        let answer = issuer.decide(black_box(name), Some(quota), 1, false, now);
        granted += u64::from(answer.granted);
    };
    let warm_up = (workspaces as f64 * per_s * 6.0) as u32;
    for number in 0..warm_up {
        now += pause;
        decide(number, now);
    }
    let began = Instant::now();
    for number in 0..DECISIONS {
        now += pause;
        decide(number, now);
    }
    let ns = began.elapsed().as_nanos() as f64 / f64::from(DECISIONS);
    let bytes = (resident_bytes()? - before) / workspaces as f64;
    println!("{workspaces} workspaces at {per_s}/s each, quota 10/s: {ns:.0} ns a decision, {bytes:.0} bytes a workspace, {granted} granted");
    Ok(())
}

fn print_keys() -> Result<()> {
    let workspaces = 1_000;
    let keys_of = |number: usize| {
        let keys = (0..KEYS / workspaces).map(|key| ApiKey::from(format!("{number:08}-{key:023}")));
        keys.collect()
    };
    let workspaces = (0..workspaces).map(|number| RawWorkspace {
        name: format!("workspace-{number}"),
        keys: keys_of(number),
        priority: None,
        rate_per_s: 10.0,
        burst: 0.0,
        allowed_regions: Vec::new(),
    });
    let before = resident_bytes()?;
    let table = Table::try_from(RawTable {
        version: 1,
        routes: Vec::new(),
        connection_limits: HashMap::new(),
        caller_limits: RawCallerLimits {
            max_header_bytes: 1,
            max_body_bytes: 1,
            header_timeout_ms: 1,
            idle_timeout_ms: 1,
        },
        warm_ups: HashMap::new(),
        workspaces: Some(workspaces.collect()),
    });
    let table = table.map_err(|error| anyhow!("{error}"))?;
    let bytes = (resident_bytes()? - before) / KEYS as f64;
    println!("{KEYS} keys of 32 bytes: {bytes:.0} bytes a key in the peak of the process, with the parsed input");
    drop(black_box(table));
    Ok(())
}

fn print_bytes() -> Result<()> {
    let call = call_bytes(PermitCall {
        method: 4,
        protocol_version: 7,
        slot: 1,
        is_passed_on: false,
        asks: vec![("workspace-17".to_owned(), 1)],
    })?;
    let reply = reply_bytes(vec![(1_u32, 0_u32, 0_u32)])?;
    println!("permit: {call} bytes a call, {reply} bytes a reply, with headers");
    for hosts in [68.0, 300.0, 1_300.0] {
        let per_issuer = hosts * REQUESTS_PER_HOST / 4.0;
        let per_beat = (per_issuer / BEATS_PER_S).ceil() as usize;
        let copy = call_bytes(CopyCall {
            method: 6,
            protocol_version: 7,
            slot: 1,
            term: 1,
            issuer: "host-17".to_owned(),
            revision: 1,
            is_last: false,
            is_full: false,
            starts: Vec::new(),
            entries: (0..per_beat.min(19))
                .map(|number| (format!("workspace-{number}"), vec![(0, 1)]))
                .collect(),
        })?;
        let beat = (copy + reply_bytes((0_u32, false))?) * BEATS_PER_S;
        let asking = (call + reply) * REQUESTS_PER_HOST;
        let issuing = (call + reply) * per_issuer + beat;
        println!("{hosts} hosts: {asking:.0} bytes/s a host for its own requests; {issuing:.0} more for an issuer, {beat:.0} more for a deputy");
    }
    Ok(())
}

fn main() -> Result<()> {
    let limits = Limits::try_from(RawLimits {
        window_s: 5.0,
        overage: 0.1,
        slack: 20.0,
    })?;
    // In separate processes, as memory that was freed is used again.
    match env::args().nth(1).as_deref() {
        Some("keys") => print_keys(),
        Some("bytes") => print_bytes(),
        Some("decisions") => {
            print_decisions(limits, 25_000, 1.0)?;
            print_decisions(limits, 19, 5.0)?;
            print_decisions(limits, 19, 50.0)
        }
        _ => bail!("keys, bytes or decisions"),
    }
}
