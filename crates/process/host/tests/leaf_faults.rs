//! Tests that a response says `ran: no` only if no upstream ran the request,
//! wherever the connections to upstreams fail.
//!
//! A host runs in this process against a fake upstream on a plain TCP socket. The
//! fake fails at a chosen point of each call, and counts the calls that it read
//! in full and did not refuse as run.

use {
    anyhow::{ensure, Result},
    fakes::{client::TestClient, platform::FakePlatform},
    host::{RawSettings, RunningHost, Settings},
    http::Method,
    parking_lot::Mutex,
    quickcheck::{Arbitrary, Gen},
    serde_json::{json, Value},
    std::{collections::VecDeque, net::SocketAddr, sync::Arc},
    store::{ListedHost, Role},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        spawn,
    },
};

const SEED: u64 = 4;
const CASES: usize = 150;
const TOKEN: &str = "leaf-faults-token";
/// Bytes read, or left unwritten, when a connection is closed in the middle of a
/// message.
const CUT_BYTES: usize = 20;

/// The point at which a call fails.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Point {
    BeforeRead,
    MidRead,
    AfterRead,
    MidHead,
    MidBody,
    /// The body of the reply is not JSON.
    Malformed,
    /// The reply has the identifier of another attempt.
    Mismatched,
    Refused,
    /// The refusal has the identifier of another attempt.
    RefusalMismatched,
    /// The connection is closed after a complete reply.
    AfterReply,
    Nowhere,
}

const POINTS: [Point; 11] = [
    Point::BeforeRead,
    Point::MidRead,
    Point::AfterRead,
    Point::MidHead,
    Point::MidBody,
    Point::Malformed,
    Point::Mismatched,
    Point::Refused,
    Point::RefusalMismatched,
    Point::AfterReply,
    Point::Nowhere,
];

impl Arbitrary for Point {
    fn arbitrary(g: &mut Gen) -> Self {
        *g.choose(&POINTS).expect("a point")
    }
}

/// The fake upstream, with the failure points of the next calls and the number of
/// calls that ran.
#[derive(Default)]
struct FakeUpstream {
    points: Mutex<VecDeque<Point>>,
    run_count: Mutex<u64>,
}

impl FakeUpstream {
    async fn accept(self: Arc<Self>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            spawn(Arc::clone(&self).serve(stream));
        }
    }

    async fn serve(self: Arc<Self>, mut stream: TcpStream) {
        // Calls are served until one closes the connection.
        while self.serve_call(&mut stream).await.is_some() {}
    }

    /// Serves one call; `None` closes the connection.
    async fn serve_call(&self, stream: &mut TcpStream) -> Option<()> {
        let mut first = [0; CUT_BYTES];
        let mut method = [0; 1];
        // The host probes a new connection with a GET request before the first call.
        while stream.peek(&mut method).await.ok()? > 0 && method == *b"G" {
            answer_probe(stream).await?;
        }
        let point = self.points.lock().pop_front().unwrap_or(Point::Nowhere);
        if point == Point::BeforeRead {
            return None;
        }
        stream.read_exact(&mut first).await.ok()?;
        if point == Point::MidRead {
            return None;
        }
        let call = read_call(stream, &first).await?;
        // A refusal with the identifier of another attempt does not refuse this
        // call, which therefore counts as run.
        if point != Point::Refused {
            *self.run_count.lock() += 1;
        }
        let reply = reply_text(point, &call);
        let sent = match point {
            Point::AfterRead => return None,
            Point::MidHead => &reply[..CUT_BYTES],
            Point::MidBody => &reply[..reply.len() - CUT_BYTES],
            _ => &reply,
        };
        stream.write_all(sent.as_bytes()).await.ok()?;
        let is_closed = matches!(point, Point::MidHead | Point::MidBody | Point::AfterReply);
        (!is_closed).then_some(())
    }
}

async fn answer_probe(stream: &mut TcpStream) -> Option<()> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    let reply = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
    stream.write_all(reply.as_bytes()).await.ok()
}

async fn read_call(stream: &mut TcpStream, first: &[u8]) -> Option<Value> {
    let mut bytes = first.to_vec();
    let mut buffer = [0; 1_024];
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some((_, body)) = text.split_once("\r\n\r\n") {
            if let Ok(call) = serde_json::from_str(body) {
                return Some(call);
            }
        }
        let count = stream.read(&mut buffer).await.ok()?;
        if count == 0 {
            return None;
        }
        bytes.extend_from_slice(&buffer[..count]);
    }
}

fn reply_text(point: Point, call: &Value) -> String {
    let is_mismatched = matches!(point, Point::Mismatched | Point::RefusalMismatched);
    let is_refused = matches!(point, Point::Refused | Point::RefusalMismatched);
    let attempt_id = call["attempt_id"].as_u64().unwrap_or(0) + u64::from(is_mismatched);
    let body = match point {
        Point::Malformed => "this is not JSON, though it is long enough".to_owned(),
        _ if is_refused => json!({
            "request_id": call["request_id"],
            "attempt_id": attempt_id,
            "kind": "shed",
            "ran": "no",
        })
        .to_string(),
        _ => json!({
            "request_id": call["request_id"],
            "attempt_id": attempt_id,
            "shard": 0,
            "index_version": call["index_version"],
            "rows": [],
        })
        .to_string(),
    };
    let status = if is_refused { "503 Busy" } else { "200 OK" };
    let length = body.len();
    format!("HTTP/1.1 {status}\r\ncontent-type: application/json\r\ncontent-length: {length}\r\n\r\n{body}")
}

/// A host and a service with a single server.
struct Fixture {
    host: RunningHost,
    client: TestClient,
}

impl Fixture {
    async fn start(server: SocketAddr) -> Result<Self> {
        let platform = FakePlatform::new();
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let platform_addr = listener.local_addr()?;
        spawn(platform.clone().serve(listener));
        let host = host::run(settings(platform_addr)?).await?;
        platform.set_hosts(vec![ListedHost {
            role: Role::Wharf,
            id: "host-0".to_owned(),
            addr: host.peer_addr,
            region: "region-0".to_owned(),
            zone: "zone-0".to_owned(),
            leaving: false,
        }]);
        let fixture = Self {
            host,
            client: TestClient::default(),
        };
        fixture.put("desk", &service(server)).await?;
        fixture.put("search", &route()).await?;
        fixture.host.ready().await;
        Ok(fixture)
    }

    async fn put(&self, name: &str, record: &Value) -> Result<()> {
        let path = format!("/v1/admin/records/{name}/1");
        let token = format!("Bearer {TOKEN}");
        let headers = [("authorization", token.as_str())];
        let addr = self.host.admin_addr;
        let body = record.to_string();
        let sent = self.client.send(Method::PUT, addr, &path, &headers, body);
        let answer = sent.await?;
        ensure!(answer.status.is_success(), "{}", answer.text);
        Ok(())
    }

    async fn query(&self, body: String) -> Result<Value> {
        let headers = [("x-wharf-tenant", "clerks")];
        let addr = self.host.entry_addr;
        let sent = self
            .client
            .send(Method::POST, addr, "/v1/query/search", &headers, body);
        Ok(sent.await?.json())
    }
}

fn settings(platform_addr: SocketAddr) -> Result<Settings> {
    Settings::try_from(RawSettings {
        host_id: "host-0".to_owned(),
        region: "region-0".to_owned(),
        zone: "zone-0".to_owned(),
        entry_addr: "127.0.0.1:0".to_owned(),
        peer_addr: "127.0.0.1:0".to_owned(),
        admin_addr: "127.0.0.1:0".to_owned(),
        platform_addr: platform_addr.to_string(),
        admin_token: TOKEN.to_owned(),
        balancer_lag_ms: 0,
        max_body_bytes: 65_536,
        default_relays: 1,
        seed_peers: Vec::new(),
        max_drain_ms: 30_000,
    })
}

fn service(server: SocketAddr) -> Value {
    let servers = json!([{ "addr": server, "zone": "zone-0" }]);
    json!({
        "schema_version": 2,
        "name": "desk",
        "version": 1,
        "service": {
            "connection_limit": 4,
            "slots": 2,
            "indexes": [{ "version": 1, "shards": [{ "id": 0, "servers": servers }] }],
        },
    })
}

fn route() -> Value {
    json!({
        "schema_version": 2,
        "name": "search",
        "version": 1,
        "route": {
            "service": "desk",
            "repeatable": true,
            "default_deadline_ms": 5_000,
            "max_deadline_ms": 10_000,
        },
    })
}

#[tokio::test]
async fn response_says_ran_no_only_if_no_call_ran() -> Result<()> {
    let upstream = Arc::<FakeUpstream>::default();
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let addr = listener.local_addr()?;
    spawn(Arc::clone(&upstream).accept(listener));
    let fixture = Fixture::start(addr).await?;
    // Two passes, so that each point is tested on new and on reused connections.
    let mut ran_no_count = 0;
    for point in POINTS.iter().chain(&POINTS) {
        ran_no_count += u64::from(check_query(&fixture, &upstream, vec![*point; 3]).await?);
    }
    assert!(ran_no_count > 0, "no response says `ran: no`");
    let mut gen = Gen::from_size_and_seed(6, SEED);
    for _ in 0..CASES {
        check_query(&fixture, &upstream, Vec::arbitrary(&mut gen)).await?;
    }
    Ok(())
}

/// Sends a query, checks the response against the calls that ran, and returns
/// whether it says `ran: no`.
async fn check_query(
    fixture: &Fixture,
    upstream: &FakeUpstream,
    points: Vec<Point>,
) -> Result<bool> {
    let body = json!({ "points": format!("{points:?}") }).to_string();
    *upstream.points.lock() = points.iter().copied().collect();
    *upstream.run_count.lock() = 0;
    let answer = fixture.query(body).await?;
    let run_count = *upstream.run_count.lock();
    let says_no = answer["ran"] == "no";
    ensure!(
        !says_no || run_count == 0,
        "{points:?}: ran {run_count} times, {answer}"
    );
    ensure!(
        answer["coverage"]["is_complete"] != true || run_count > 0,
        "{points:?}: the coverage is complete, but no call ran: {answer}"
    );
    Ok(says_no)
}

#[tokio::test]
async fn unreachable_server_did_not_run_the_query() -> Result<()> {
    let unused = TcpListener::bind("127.0.0.1:0").await?.local_addr()?;
    let fixture = Fixture::start(unused).await?;
    let answer = fixture.query("{}".to_owned()).await?;
    assert_eq!(answer["ran"], "no", "{answer}");
    assert_eq!(answer["kind"], "unreachable");
    Ok(())
}
