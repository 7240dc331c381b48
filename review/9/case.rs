//! A request that ends servers, while the two hosts that count its crashes are lost.
#[path = "../standin-2/standin.rs"]
#[macro_use]
mod standin;

use {
    standin::*,
    std::{
        collections::BTreeSet,
        sync::{
            atomic::{AtomicBool, Ordering},
            Arc, Mutex,
        },
        thread::{self, sleep},
        time::{Duration, Instant},
    },
};

const POISON: &str = "/booking/float-42";
const BODY: &[u8] = b"tow-slot=7";
const STABLE_WINDOW_S: f64 = 4.0;
const PAUSE: Duration = Duration::from_millis(1_250);
const PLAY: Duration = Duration::from_secs(40);

fn main() {
    open_record("review/9");
    let trouble = trouble();
    let store = Store::start(machine_ip(1));
    let runs = Arc::new(Mutex::new(Vec::<Run>::new()));
    let zones = [
        ("halle-muenchen-nord", "oberbayern"),
        ("halle-landshut", "niederbayern"),
        ("halle-augsburg", "schwaben"),
    ];
    let mut servers = Vec::new();
    for number in 0..10 {
        let decide: Arc<Decide> = Arc::new(|request: &Message, _: &ServerInfo| {
            if request.path() == POISON {
                return Act::Crash(ms(40), ms(3_000));
            }
            Act::Answer(ms(100 + random() % 200), b"record".to_vec())
        });
        let info = ServerInfo {
            service: "hallenwart-app".into(),
            zone: zones[number % 3].0.into(),
            number,
        };
        servers.push(Server::start(&store, machine_ip(2), info, 4, &runs, decide));
    }
    let route = RouteText {
        name: "booking",
        route_type: "non_idempotent",
        timeout_ms: 6_000,
        aim_ms: 2_000,
        attempts: 2,
        priority: 2,
        target: "\"backend\":\"hallenwart-app\"".into(),
    };
    store.put(
        "op/config",
        &config(3, &[route], &[("hallenwart-app".into(), 44)]),
    );
    let machines: Vec<(&str, &str)> = (0..8).map(|n| zones[n % 3]).collect();
    let mut fleet = Fleet::with_bounds(&store, &machines, WAGENHALLE_BOUNDS);
    fleet.start();
    sleep(ms(6_000));
    // The first attempt shows which hosts are told of the crash.
    let first = 0;
    let send = |front, host: &str, number: usize| {
        let id = new_id();
        let seen = ask(front, "POST", POISON, &id, 6_000, BODY);
        record!(
            "attempt {number}, {id}, at {host} is answered {}",
            seen.status()
        );
    };
    let began = Instant::now();
    send(fleet.hosts[first].front, &fleet.hosts[first].name, 0);
    sleep(ms(900));
    let told: Vec<usize> = (0..fleet.hosts.len())
        .filter(|n| fleet.hosts[*n].has_logged("has ended"))
        .collect();
    let mut owners: Vec<usize> = told.iter().copied().filter(|n| *n != first).collect();
    if owners.len() == 1 {
        owners.push(first);
    }
    record!(
        "hosts that count the crashes: {:?}",
        owners
            .iter()
            .map(|n| &fleet.hosts[*n].name)
            .collect::<Vec<_>>()
    );
    if owners.len() != 2 {
        finish(
            2,
            "could not run: the hosts that count the crashes are not known",
        );
    }
    if trouble {
        for owner in &owners {
            fleet.hosts[*owner].signal(SIGKILL);
        }
    }
    // The request comes again at the machines that are left, in turn. The same ones
    // without the disruption.
    let mut left: Vec<usize> = (0..fleet.hosts.len())
        .filter(|n| !owners.contains(n) && *n != first)
        .collect();
    if !owners.contains(&first) {
        left.push(first);
    }
    // Bookings of other requesters, each with a path of its own.
    let stop = Arc::new(AtomicBool::new(false));
    let cut = Arc::new(Mutex::new((0, 0)));
    let others: Vec<_> = left
        .iter()
        .flat_map(|n| [*n, *n])
        .enumerate()
        .map(|(n, host)| {
            let (front, stop, cut) = (fleet.hosts[host].front, stop.clone(), cut.clone());
            thread::spawn(move || {
                let mut count = 0;
                while !stop.load(Ordering::SeqCst) {
                    count += 1;
                    let seen = ask(
                        front,
                        "POST",
                        &format!("/booking/other-{n}-{count}"),
                        &new_id(),
                        6_000,
                        BODY,
                    );
                    let mut cut = cut.lock().unwrap();
                    cut.0 += 1;
                    cut.1 += usize::from(seen.status() == 502);
                    drop(cut);
                    sleep(ms(360));
                }
            })
        })
        .collect();
    let mut number = 1;
    while began.elapsed() < PLAY {
        let at = began + PAUSE * number as u32;
        sleep(at.saturating_duration_since(Instant::now()));
        let host = &fleet.hosts[left[(number - 1) % left.len()]];
        send(host.front, &host.name, number);
        number += 1;
    }
    stop.store(true, Ordering::SeqCst);
    for other in others {
        let _ = other.join();
    }
    let ended = left.iter().any(|n| fleet.hosts[*n].has_ended());
    fleet.stop();
    if ended {
        finish(2, "could not judge: a host has ended by itself");
    }
    let runs = runs.lock().unwrap();
    let mut begun: Vec<f64> = runs
        .iter()
        .filter(|r| r.path == POISON && r.has_run)
        .map(|r| r.at_s)
        .collect();
    begun.sort_by(f64::total_cmp);
    let Some(third) = begun.get(2).map(|at| at + 0.05) else {
        finish(2, "could not judge: fewer than three servers have ended");
    };
    let late: BTreeSet<&str> = runs
        .iter()
        .filter(|r| r.path == POISON && r.has_run && r.at_s > third + STABLE_WINDOW_S + 0.2)
        .map(|r| r.id.as_str())
        .collect();
    let cut = *cut.lock().unwrap();
    record!(
        "other bookings: {} sent, {} lost with a server that ended while it ran them",
        cut.0,
        cut.1
    );
    record!(
        "{} ends of servers, the third at {third:.1} s; begun at {begun:.1?}",
        begun.len()
    );
    let line = format!(
        "{} retries have reached servers later than 4 s after the third end",
        late.len()
    );
    if late.len() > 3 {
        finish(1, &format!("BROKEN: {line}"));
    }
    finish(0, &format!("held: {line}"));
}
