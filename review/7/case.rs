//! A raised limit of the configuration does not reach connections that are kept.
#[path = "../standin-2/standin.rs"]
#[macro_use]
mod standin;

use {
    standin::*,
    std::{
        collections::BTreeMap,
        net::TcpStream,
        sync::{
            atomic::{AtomicBool, Ordering},
            Arc, Mutex,
        },
        thread::{self, sleep},
    },
};

const REQUESTERS: usize = 40;
const CONFIG_APPLY_MS: u64 = 3_000;
/// Size of the long heads: above the old limit of 16,384 bytes, well below the new one.
const LONG_HEAD: usize = 24_000;

fn text(id: &str, path: &str, long: bool) -> Vec<u8> {
    let cookie = if long {
        format!("Cookie: basket={}\r\n", "x".repeat(LONG_HEAD))
    } else {
        String::new()
    };
    format!("GET {path} HTTP/1.1\r\nHost: {HOST_NAME}\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 3000\r\n{cookie}\r\n").into_bytes()
}

fn main() {
    open_record("review/7");
    let trouble = trouble();
    let store = Store::start(machine_ip(1));
    let runs = Arc::new(Mutex::new(Vec::<Run>::new()));
    let mut servers = Vec::new();
    for number in 0..5 {
        let decide: Arc<Decide> = Arc::new(|_: &Message, _: &ServerInfo| {
            Act::Answer(ms(10 + random() % 40), b"record".to_vec())
        });
        let info = ServerInfo {
            service: "vendor-portal".into(),
            zone: "piedmont-a".into(),
            number,
        };
        servers.push(Server::start(&store, machine_ip(2), info, 4, &runs, decide));
    }
    let version = |version: u64, max_header: u64| {
        let route = RouteText {
            name: "lookup",
            route_type: "safe",
            timeout_ms: 3_000,
            aim_ms: 1_000,
            attempts: 2,
            priority: 2,
            target: "\"backend\":\"vendor-portal\"".into(),
        };
        config(version, &[route], &[("vendor-portal".into(), 100)]).replace(
            "\"maxHeaderBytes\":16384",
            &format!("\"maxHeaderBytes\":{max_header}"),
        )
    };
    store.put(
        "op/config",
        &version(3, if trouble { 16_384 } else { 65_536 }),
    );
    let mut fleet = Fleet::new(
        &store,
        &[
            ("piedmont-a", "piedmont"),
            ("piedmont-a", "piedmont"),
            ("piedmont-a", "piedmont"),
        ],
    );
    fleet.start();
    sleep(ms(6_000));
    let fronts: Vec<_> = fleet.hosts.iter().map(|h| h.front).collect();
    let (stop, long) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(AtomicBool::new(false)),
    );
    let seen = Arc::new(Mutex::new(BTreeMap::<String, usize>::new()));
    let threads: Vec<_> = (0..REQUESTERS).map(|n| {
        let (front, stop, long, seen) = (fronts[n % fronts.len()], stop.clone(), long.clone(), seen.clone());
        thread::spawn(move || {
            let mut kept: Option<Reader> = None;
            let mut count = 0;
            while !stop.load(Ordering::SeqCst) {
                let is_kept = kept.is_some();
                let mut reader = match kept.take() {
                    Some(reader) => reader,
                    None => match TcpStream::connect_timeout(&front, ms(1_000)) {
                        Ok(stream) => Reader::new(stream),
                        Err(_) => continue,
                    },
                };
                count += 1;
                let (id, path) = (new_id(), format!("/lookup/supplier-{n}-{count}"));
                let is_long = long.load(Ordering::SeqCst);
                let _ = reader.stream.set_read_timeout(Some(ms(3_100)));
                use std::io::Write;
                let written = reader.stream.write_all(&text(&id, &path, is_long));
                let answer = reader.message(true);
                let what = match (&written, &answer) {
                    (_, Ok(Some(m))) => m.status().to_string(),
                    (_, other) => format!("{other:?}"),
                };
                let close = !matches!(&answer, Ok(Some(m)) if m.header("connection").is_none_or(|v| !v.eq_ignore_ascii_case("close")));
                let size = if is_long { "long" } else { "short" };
                let on = if is_kept { "a kept" } else { "a new" };
                if is_long || what != "200" {
                    record!("request {id} with a {size} head on {on} connection is answered {what}");
                }
                *seen.lock().unwrap().entry(format!("{size} head, {on} connection: {what}")).or_default() += 1;
                if !close {
                    kept = Some(reader);
                }
                sleep(ms(1_700 + random() % 200));
            }
        })
    }).collect();
    sleep(ms(3_000));
    if trouble {
        store.put("op/config", &version(8, 65_536));
        record!(
            "the store acknowledges version 8, which raises maxHeaderBytes from 16,384 to 65,536"
        );
    }
    // Heads that only the new version allows are sent from configApplyMs and a second after the ack.
    sleep(ms(CONFIG_APPLY_MS + 1_000));
    long.store(true, Ordering::SeqCst);
    sleep(ms(10_000));
    stop.store(true, Ordering::SeqCst);
    for thread in threads {
        let _ = thread.join();
    }
    let ended = fleet.hosts.iter_mut().any(Host::has_ended);
    fleet.stop();
    if ended {
        finish(2, "could not judge: a host has ended by itself");
    }
    let seen = seen.lock().unwrap();
    let total: usize = seen.values().sum();
    for (what, count) in seen.iter() {
        record!("{count} x {what}");
    }
    let denied: usize = seen
        .iter()
        .filter(|(what, _)| {
            what.rsplit(' ')
                .next()
                .and_then(|s| s.parse::<u16>().ok())
                .is_some_and(|s| (300..500).contains(&s) && ![408, 421, 429].contains(&s))
        })
        .map(|(_, count)| count)
        .sum();
    let most = 5 + total / 500;
    let line = format!("{denied} of {total} requests were ended with a 3xx or 4xx of the system's own; the most is {most}");
    if denied > most {
        finish(1, &format!("BROKEN: {line}"));
    }
    finish(0, &format!("held: {line}"));
}
