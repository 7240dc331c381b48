//! Stand-ins for the second review's scripts: the platform's store, servers,
//! requesters, and the starting of `wharf` processes. Uses the standard library
//! only, real sockets on loopback addresses and the real clock.
#![allow(dead_code)]

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    fs::{self, File},
    io::{self, Read, Write},
    net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
        Arc, Condvar, Mutex, OnceLock,
    },
    thread::{self, sleep},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Whether the script runs with the disruption (`TROUBLE` is not 0).
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

// ---- the record ----

static RECORD: OnceLock<(Instant, Mutex<File>)> = OnceLock::new();

/// Opens `record.txt` in the folder of the case.
pub fn open_record(folder: &str) {
    let file = File::create(format!("{folder}/record.txt")).expect("record.txt");
    let _ = RECORD.set((Instant::now(), Mutex::new(file)));
}

/// Seconds since the record was opened.
pub fn now_s() -> f64 {
    RECORD
        .get()
        .map_or(0.0, |(at, _)| at.elapsed().as_secs_f64())
}

pub fn log(line: &str) {
    if let Some((at, file)) = RECORD.get() {
        let mut file = file.lock().unwrap();
        let _ = writeln!(file, "{:9.3} {line}", at.elapsed().as_secs_f64());
    }
}

#[macro_export]
macro_rules! record { ($($arg:tt)*) => { $crate::standin::log(&format!($($arg)*)) } }

/// Processes that the script has started and that may still run.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Writes the last line, ends the processes that still run, and ends the script.
pub fn finish(code: i32, line: &str) -> ! {
    for pid in STARTED.lock().unwrap().drain(..) {
        unsafe { kill(pid as i32, SIGKILL) };
    }
    log(line);
    println!("{line}");
    std::process::exit(code)
}

// ---- small helpers: random numbers, base64, JSON ----

pub fn random() -> u64 {
    static STATE: AtomicU64 = AtomicU64::new(0);
    let mut x = STATE.load(Ordering::Relaxed);
    if x == 0 {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        x = now.as_nanos() as u64 ^ (u64::from(std::process::id()) << 32) | 1;
    }
    x ^= x << 13;
    x ^= x >> 7;
    x ^= x << 17;
    STATE.store(x, Ordering::Relaxed);
    x.wrapping_mul(0x2545_F491_4F6C_DD1D)
}

pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64
}

pub fn base64(bytes: &[u8]) -> String {
    const CHARS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let n = chunk.iter().fold(0u32, |n, b| n << 8 | u32::from(*b)) << (8 * (3 - chunk.len()));
        for i in 0..4 {
            if i <= chunk.len() {
                text.push(CHARS[(n >> (18 - 6 * i) & 63) as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let mut position = 0;
        Json::value(text.as_bytes(), &mut position)
    }
    fn skip(b: &[u8], p: &mut usize) {
        while *p < b.len() && b[*p].is_ascii_whitespace() {
            *p += 1;
        }
    }
    fn value(b: &[u8], p: &mut usize) -> Option<Json> {
        Json::skip(b, p);
        match *b.get(*p)? {
            b'{' => {
                *p += 1;
                let mut table = Vec::new();
                loop {
                    Json::skip(b, p);
                    match *b.get(*p)? {
                        b'}' => {
                            *p += 1;
                            return Some(Json::Table(table));
                        }
                        b',' => *p += 1,
                        _ => {
                            let Json::Text(key) = Json::value(b, p)? else {
                                return None;
                            };
                            Json::skip(b, p);
                            *p += 1; // the colon
                            table.push((key, Json::value(b, p)?));
                        }
                    }
                }
            }
            b'[' => {
                *p += 1;
                let mut list = Vec::new();
                loop {
                    Json::skip(b, p);
                    match *b.get(*p)? {
                        b']' => {
                            *p += 1;
                            return Some(Json::List(list));
                        }
                        b',' => *p += 1,
                        _ => list.push(Json::value(b, p)?),
                    }
                }
            }
            b'"' => {
                *p += 1;
                let mut text = Vec::new();
                loop {
                    match *b.get(*p)? {
                        b'"' => {
                            *p += 1;
                            return String::from_utf8(text).ok().map(Json::Text);
                        }
                        b'\\' => {
                            text.push(match *b.get(*p + 1)? {
                                b'n' => b'\n',
                                b't' => b'\t',
                                c => c,
                            });
                            *p += 2;
                        }
                        c => {
                            text.push(c);
                            *p += 1;
                        }
                    }
                }
            }
            _ => {
                let begin = *p;
                while *p < b.len() && !b",]} \n\r\t".contains(&b[*p]) {
                    *p += 1;
                }
                let word = std::str::from_utf8(&b[begin..*p]).ok()?;
                Some(match word {
                    "null" => Json::Null,
                    "true" => Json::Bool(true),
                    "false" => Json::Bool(false),
                    _ => Json::Number(word.parse().ok()?),
                })
            }
        }
    }
    pub fn get(&self, key: &str) -> &Json {
        match self {
            Json::Table(table) => table
                .iter()
                .find(|(k, _)| k == key)
                .map_or(&Json::Null, |(_, v)| v),
            _ => &Json::Null,
        }
    }
    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }
    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }
    pub fn number(&self) -> u64 {
        match self {
            Json::Number(number) => *number as u64,
            _ => 0,
        }
    }
}

// ---- HTTP ----

#[derive(Clone, Debug, Default)]
pub struct Message {
    /// First line.
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(n, _)| n.eq_ignore_ascii_case(name))
            .map(|(_, v)| v.as_str())
    }
    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or("")
    }
    pub fn path(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }
    pub fn status(&self) -> u16 {
        self.line
            .split(' ')
            .nth(1)
            .and_then(|s| s.parse().ok())
            .unwrap_or(0)
    }
}

/// Reads from a stream with a buffer for what follows a message.
pub struct Reader {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }
    fn fill(&mut self) -> io::Result<bool> {
        let mut chunk = [0; 16_384];
        let n = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..n]);
        Ok(n > 0)
    }
    /// Reads a head; `None` at an orderly end before its first byte.
    pub fn head(&mut self) -> io::Result<Option<Message>> {
        loop {
            if let Some(end) = self.buffer.windows(4).position(|w| w == b"\r\n\r\n") {
                let head: Vec<u8> = self.buffer.drain(..end + 4).collect();
                let head = String::from_utf8_lossy(&head).into_owned();
                let mut lines = head.split("\r\n");
                let line = lines.next().unwrap_or("").to_owned();
                let headers = lines.filter_map(|l| l.split_once(':'));
                let headers = headers
                    .map(|(n, v)| (n.to_owned(), v.trim().to_owned()))
                    .collect();
                return Ok(Some(Message {
                    line,
                    headers,
                    body: Vec::new(),
                }));
            }
            if !self.fill()? {
                if self.buffer.is_empty() {
                    return Ok(None);
                }
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }
    fn take(&mut self, n: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < n {
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..n).collect())
    }
    fn chunk_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|w| w == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }
    /// Reads the body that belongs to `head`, which is a response if `is_response`.
    pub fn body(&mut self, head: &Message, is_response: bool) -> io::Result<Vec<u8>> {
        let chunked = head
            .header("transfer-encoding")
            .is_some_and(|v| v.contains("chunked"));
        if chunked {
            let mut body = Vec::new();
            loop {
                let line = self.chunk_line()?;
                let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16)
                    .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
                if size == 0 {
                    while !self.chunk_line()?.is_empty() {}
                    return Ok(body);
                }
                body.extend(self.take(size)?);
                self.take(2)?;
            }
        }
        match head.header("content-length").and_then(|v| v.parse().ok()) {
            Some(length) => self.take(length),
            None if is_response => {
                while self.fill()? {}
                Ok(std::mem::take(&mut self.buffer))
            }
            None => Ok(Vec::new()),
        }
    }
    /// Reads a whole request or response.
    pub fn message(&mut self, is_response: bool) -> io::Result<Option<Message>> {
        loop {
            let Some(mut head) = self.head()? else {
                return Ok(None);
            };
            if is_response && (100..200).contains(&head.status()) {
                continue;
            }
            head.body = self.body(&head, is_response)?;
            return Ok(Some(head));
        }
    }
}

pub fn response(status: u16, headers: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += "\r\n";
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

// ---- the platform's store ----

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    items: BTreeMap<String, Item>,
    log: VecDeque<(u64, String, Option<Item>)>,
    leases: HashMap<u64, (Instant, Duration)>,
    last_lease: u64,
}

impl StoreState {
    fn write(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let created = self
            .items
            .get(key)
            .map_or(self.revision, |item| item.created);
        let item = Item {
            value,
            revision: self.revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.log
            .push_back((self.revision, key.to_owned(), Some(item)));
    }
    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.log.push_back((self.revision, key.to_owned(), None));
        }
    }
    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, i)| i.lease == lease)
            .map(|(k, _)| k.clone())
            .collect();
        for key in keys {
            self.remove(&key);
        }
    }
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
        item.value, item.revision, item.created, item.lease
    )
}

/// The platform's key-value store.
pub struct Store {
    state: Mutex<StoreState>,
    changed: Condvar,
    pub addr: SocketAddr,
}

fn percent_decode(text: &str) -> String {
    let b = text.as_bytes();
    let (mut out, mut i) = (Vec::new(), 0);
    while i < b.len() {
        if b[i] == b'%' && i + 2 < b.len() + 0 {
            if let Ok(n) = u8::from_str_radix(&text[i + 1..i + 3], 16) {
                out.push(n);
                i += 3;
                continue;
            }
        }
        out.push(b[i]);
        i += 1;
    }
    String::from_utf8_lossy(&out).into_owned()
}

impl Store {
    pub fn start(ip: Ipv4Addr) -> Arc<Store> {
        let listener = TcpListener::bind((ip, 0)).expect("store");
        let addr = listener.local_addr().unwrap();
        let state = StoreState {
            revision: 100,
            ..StoreState::default()
        };
        let store = Arc::new(Store {
            state: Mutex::new(state),
            changed: Condvar::new(),
            addr,
        });
        let serving = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&serving);
                thread::spawn(move || store.serve(stream));
            }
        });
        let expiring = Arc::clone(&store);
        thread::spawn(move || loop {
            sleep(ms(50));
            let mut state = expiring.state.lock().unwrap();
            let now = Instant::now();
            let ended: Vec<u64> = state
                .leases
                .iter()
                .filter(|(_, (at, _))| *at <= now)
                .map(|(l, _)| *l)
                .collect();
            for lease in ended {
                state.end_lease(lease);
            }
            expiring.changed.notify_all();
        });
        store
    }
    pub fn put(&self, key: &str, json: &str) {
        self.state
            .lock()
            .unwrap()
            .write(key, base64(json.as_bytes()), 0);
        self.changed.notify_all();
    }
    pub fn delete(&self, key: &str) {
        self.state.lock().unwrap().remove(key);
        self.changed.notify_all();
    }
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.state.lock().unwrap();
        state
            .items
            .keys()
            .filter(|k| k.starts_with(prefix))
            .cloned()
            .collect()
    }
    fn serve(&self, stream: TcpStream) {
        let mut reader = Reader::new(stream);
        while let Ok(Some(request)) = reader.message(false) {
            let (status, body) = self.answer(&request);
            let bytes = response(
                status,
                &[("Content-Type", "application/json".into())],
                body.as_bytes(),
            );
            if reader.stream.write_all(&bytes).is_err() {
                return;
            }
        }
    }
    fn answer(&self, request: &Message) -> (u16, String) {
        let (path, query) = request
            .path()
            .split_once('?')
            .unwrap_or((request.path(), ""));
        let query: HashMap<String, String> = query
            .split('&')
            .filter_map(|p| p.split_once('='))
            .map(|(k, v)| (k.to_owned(), percent_decode(v)))
            .collect();
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        let number = |name: &str| text(name).parse::<u64>().unwrap_or(0);
        let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        let Some(call) = path.strip_prefix("/greengagewharf/") else {
            return (404, "{}".into());
        };
        let mut state = self.state.lock().unwrap();
        if call == "kv-key" {
            let key = text("key");
            return match state.items.get(&key) {
                Some(item) => (200, item_json(&key, item)),
                None => (404, "{}".into()),
            };
        }
        if call == "kv-range" {
            let (prefix, after) = (text("prefix"), text("after"));
            let items = state
                .items
                .iter()
                .filter(|(k, _)| k.starts_with(&prefix) && **k > after);
            let mut rows: Vec<String> = items.map(|(k, i)| item_json(k, i)).collect();
            let more = rows.len() > 500;
            rows.truncate(500);
            return (
                200,
                format!(
                    "{{\"items\":[{}],\"hasMore\":{more},\"currentRev\":{}}}",
                    rows.join(","),
                    state.revision
                ),
            );
        }
        if call == "kv-watch" {
            let (prefix, after) = (text("prefix"), number("after"));
            let until = Instant::now() + ms(number("waitMs").min(30_000));
            loop {
                let events = state
                    .log
                    .iter()
                    .filter(|(r, k, _)| *r > after && k.starts_with(&prefix));
                let rows: Vec<String> = events
                    .map(|(r, k, item)| match item {
                        Some(item) => item_json(k, item),
                        None => format!("{{\"key\":\"{k}\",\"revision\":{r},\"tombstone\":true}}"),
                    })
                    .collect();
                let now = Instant::now();
                if !rows.is_empty() || now >= until {
                    return (
                        200,
                        format!(
                            "{{\"events\":[{}],\"currentRev\":{}}}",
                            rows.join(","),
                            state.revision
                        ),
                    );
                }
                state = self.changed.wait_timeout(state, until - now).unwrap().0;
            }
        }
        if call == "kv-txn" {
            let held = |state: &StoreState, row: &Json| {
                state
                    .items
                    .get(row.get("key").text())
                    .map_or(0, |i| i.revision)
                    == row.get("revision").number()
            };
            if !body
                .get("expect")
                .list()
                .iter()
                .all(|row| held(&state, row))
            {
                return (412, "{\"items\":[]}".into());
            }
            let leases = body
                .get("writes")
                .list()
                .iter()
                .map(|w| w.get("lease").number());
            if leases
                .into_iter()
                .any(|l| l != 0 && !state.leases.contains_key(&l))
            {
                return (404, "{}".into());
            }
            for write in body.get("writes").list() {
                let key = write.get("key").text().to_owned();
                if key.starts_with("op/") || key.starts_with("servers/") {
                    return (403, "{}".into());
                }
                state.write(
                    &key,
                    write.get("value").text().to_owned(),
                    write.get("lease").number(),
                );
            }
            for key in body.get("deletes").list() {
                let key = key.text().to_owned();
                state.remove(&key);
            }
            self.changed.notify_all();
            return (200, format!("{{\"revision\":{}}}", state.revision));
        }
        if call == "kv-lease" {
            let ttl = ms(body.get("ttlMs").number().clamp(1_000, 600_000));
            state.last_lease += 1;
            let lease = state.last_lease;
            state.leases.insert(lease, (Instant::now() + ttl, ttl));
            return (
                200,
                format!("{{\"lease\":{lease},\"ttlMs\":{}}}", ttl.as_millis()),
            );
        }
        if let Some(lease) = call
            .strip_prefix("kv-keep/")
            .and_then(|l| l.parse::<u64>().ok())
        {
            return match state.leases.get_mut(&lease) {
                Some((at, ttl)) => {
                    *at = Instant::now() + *ttl;
                    (200, "{}".into())
                }
                None => (404, "{}".into()),
            };
        }
        if let Some(lease) = call
            .strip_prefix("kv-lease-end/")
            .and_then(|l| l.parse::<u64>().ok())
        {
            state.end_lease(lease);
            self.changed.notify_all();
            return (200, "{}".into());
        }
        (404, "{}".into())
    }
}

// ---- servers ----

/// What a server does with a request that it has begun to run.
#[derive(Clone, Debug)]
pub enum Act {
    /// Works for this long, then answers 200 with this body.
    Answer(Duration, Vec<u8>),
    /// Works for this long, then writes these bytes and keeps the connection.
    Raw(Duration, Vec<u8>),
    /// Works for this long, writes these bytes, and after the second time, the others.
    RawThen(Duration, Vec<u8>, Duration, Vec<u8>),
    /// Works for this long, then ends: every connection is closed, and the server
    /// comes back after the second time with a new id.
    Crash(Duration, Duration),
    /// Works for this long, then closes the connection without an answer.
    Close(Duration),
}

/// A request as a server has seen it.
#[derive(Clone, Debug)]
pub struct Run {
    pub at_s: f64,
    pub server: String,
    pub service: String,
    pub id: String,
    pub path: String,
    pub method: String,
    pub body: Vec<u8>,
    /// Whether the server has begun to run it.
    pub has_run: bool,
}

pub type Decide = dyn Fn(&Message, &ServerInfo) -> Act + Send + Sync;

#[derive(Clone, Debug)]
pub struct ServerInfo {
    pub service: String,
    pub zone: String,
    pub number: usize,
}

struct Life {
    id: String,
    born: u64,
    is_up: bool,
    is_draining: bool,
    /// Open connections by number, to end them all at once.
    connections: HashMap<u64, TcpStream>,
    running: usize,
    waiting: usize,
}

/// A server of a service, which registers itself and beats.
pub struct Server {
    pub info: ServerInfo,
    pub addr: SocketAddr,
    slots: usize,
    queue: usize,
    beat: Duration,
    /// Whether it goes on with a request whose connection has closed.
    pub works_on: AtomicBool,
    /// Whether it starts again under the id that it had.
    pub keeps_id: AtomicBool,
    store: Arc<Store>,
    life: Mutex<Life>,
    free: Condvar,
    runs: Arc<Mutex<Vec<Run>>>,
    decide: Arc<Decide>,
    pub crashes: AtomicUsize,
}

pub fn stamp(server: &str, request: &str) -> String {
    format!("st-{server}-{request}")
}

impl Server {
    pub fn start(
        store: &Arc<Store>,
        ip: Ipv4Addr,
        info: ServerInfo,
        slots: usize,
        runs: &Arc<Mutex<Vec<Run>>>,
        decide: Arc<Decide>,
    ) -> Arc<Server> {
        let listener = TcpListener::bind((ip, 0)).expect("server");
        let addr = listener.local_addr().unwrap();
        let life = Life {
            id: format!("i-{:08x}", random() as u32),
            born: unix_ms(),
            is_up: true,
            is_draining: false,
            connections: HashMap::new(),
            running: 0,
            waiting: 0,
        };
        let server = Arc::new(Server {
            info,
            addr,
            slots,
            queue: 12,
            beat: ms(1_200),
            works_on: AtomicBool::new(false),
            keeps_id: AtomicBool::new(false),
            store: Arc::clone(store),
            life: Mutex::new(life),
            free: Condvar::new(),
            runs: Arc::clone(runs),
            decide,
            crashes: AtomicUsize::new(0),
        });
        let beating = Arc::clone(&server);
        thread::spawn(move || beating.keep_listed());
        let accepting = Arc::clone(&server);
        thread::spawn(move || accepting.accept(listener));
        server
    }
    pub fn id(&self) -> String {
        self.life.lock().unwrap().id.clone()
    }
    pub fn drain(&self) {
        self.life.lock().unwrap().is_draining = true;
    }
    fn keep_listed(&self) {
        let mut sequence = 0;
        let mut last_id = String::new();
        loop {
            let entry = {
                let life = self.life.lock().unwrap();
                life.is_up
                    .then(|| (life.id.clone(), life.born, life.is_draining))
            };
            if let Some((id, born, is_draining)) = entry {
                if id != last_id {
                    (sequence, last_id) = (0, id.clone());
                }
                sequence += 1;
                let state = if is_draining { "draining" } else { "ready" };
                self.store.put(
                    &format!("servers/{id}"),
                    &format!(
                        "{{\"backend\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"capacity\":{},\
                         \"state\":\"{state}\",\"warmupLeftMs\":0,\"sequence\":{sequence},\"born\":{born}}}",
                        self.info.service, self.addr, self.info.zone, self.slots
                    ),
                );
            }
            sleep(self.beat);
        }
    }
    /// Accepts connections; while the server is down, nobody listens at its address.
    fn accept(self: Arc<Self>, listener: TcpListener) {
        let mut listener = Some(listener);
        loop {
            if !self.life.lock().unwrap().is_up {
                listener = None;
                sleep(ms(2));
                continue;
            }
            let Some(open) = &listener else {
                listener = TcpListener::bind(self.addr).ok();
                continue;
            };
            let _ = open.set_nonblocking(true);
            let Ok((stream, _)) = open.accept() else {
                sleep(ms(1));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            let number = random();
            let id = {
                let mut life = self.life.lock().unwrap();
                if !life.is_up {
                    continue;
                }
                if let Ok(copy) = stream.try_clone() {
                    life.connections.insert(number, copy);
                }
                life.id.clone()
            };
            let server = Arc::clone(&self);
            thread::spawn(move || {
                Arc::clone(&server).serve(stream, &id);
                server.life.lock().unwrap().connections.remove(&number);
            });
        }
    }
    /// Ends the server; its entry goes after three beats, and it is back after `down`.
    pub fn crash(self: &Arc<Self>, down: Duration) {
        let id = {
            let mut life = self.life.lock().unwrap();
            if !life.is_up {
                return;
            }
            life.is_up = false;
            for (_, stream) in life.connections.drain() {
                let _ = stream.shutdown(Shutdown::Both);
            }
            (life.running, life.waiting) = (0, 0);
            life.id.clone()
        };
        self.crashes.fetch_add(1, Ordering::SeqCst);
        log(&format!("server {id} of {} ends", self.info.service));
        let server = Arc::clone(self);
        let gone = Arc::clone(self);
        let old = id.clone();
        thread::spawn(move || {
            sleep(gone.beat * 3);
            if gone.id() != old {
                gone.store.delete(&format!("servers/{old}"));
            }
        });
        thread::spawn(move || {
            sleep(down);
            let mut life = server.life.lock().unwrap();
            if !server.keeps_id.load(Ordering::SeqCst) {
                life.id = format!("i-{:08x}", random() as u32);
            }
            life.born = unix_ms();
            life.is_up = true;
            log(&format!(
                "server {} of {} is back after {id}",
                life.id, server.info.service
            ));
        });
    }
    fn is_alive(&self, id: &str) -> bool {
        let life = self.life.lock().unwrap();
        life.is_up && life.id == id
    }
    /// Works, and returns whether the request is still wanted at the end.
    fn work(&self, stream: &TcpStream, id: &str, time: Duration) -> bool {
        let until = Instant::now() + time;
        let works_on = self.works_on.load(Ordering::SeqCst);
        loop {
            let now = Instant::now();
            if !self.is_alive(id) {
                return false;
            }
            if now >= until {
                return true;
            }
            sleep((until - now).min(ms(10)));
            if !works_on {
                let mut byte = [0];
                let _ = stream.set_nonblocking(true);
                let peeked = stream.peek(&mut byte);
                let _ = stream.set_nonblocking(false);
                match peeked {
                    Ok(0) => return false,
                    Err(e) if e.kind() != io::ErrorKind::WouldBlock => return false,
                    _ => {}
                }
            }
        }
    }
    fn serve(self: Arc<Self>, stream: TcpStream, id: &str) {
        let mut reader = Reader::new(stream);
        loop {
            let request = match reader.message(false) {
                Ok(Some(request)) => request,
                _ => return,
            };
            if !self.is_alive(id) {
                return;
            }
            let request_id = request.header("x-request-id").unwrap_or("").to_owned();
            let mut run = Run {
                at_s: now_s(),
                server: id.to_owned(),
                service: self.info.service.clone(),
                id: request_id.clone(),
                path: request.path().to_owned(),
                method: request.method().to_owned(),
                body: request.body.clone(),
                has_run: false,
            };
            let refuse = |status: u16| {
                response(
                    status,
                    &[
                        ("X-Request-Id", request_id.clone()),
                        ("X-Not-Executed", "1".into()),
                        ("Keep-Alive", "timeout=10".into()),
                    ],
                    b"",
                )
            };
            let refused = if request_id.is_empty() {
                Some(400)
            } else if request.header("x-expect-instance").is_some_and(|e| e != id) {
                Some(421)
            } else {
                let mut life = self.life.lock().unwrap();
                if life.running >= self.slots && life.waiting >= self.queue {
                    Some(503)
                } else {
                    life.waiting += 1;
                    while life.running >= self.slots && life.is_up && life.id == id {
                        life = self.free.wait_timeout(life, ms(20)).unwrap().0;
                    }
                    life.waiting = life.waiting.saturating_sub(1);
                    if !life.is_up || life.id != id {
                        return;
                    }
                    life.running += 1;
                    None
                }
            };
            if let Some(status) = refused {
                self.runs.lock().unwrap().push(run);
                if reader.stream.write_all(&refuse(status)).is_err() {
                    return;
                }
                continue;
            }
            run.has_run = true;
            let act = (self.decide)(&request, &self.info);
            if !matches!(act, Act::Answer(..)) {
                log(&format!(
                    "server {id} of {} begins to run {request_id} {}",
                    self.info.service,
                    request.path()
                ));
            }
            self.runs.lock().unwrap().push(run);
            let time = match &act {
                Act::Answer(time, _)
                | Act::Raw(time, _)
                | Act::Crash(time, _)
                | Act::Close(time) => *time,
                Act::RawThen(time, ..) => *time,
            };
            let is_wanted = self.work(&reader.stream, id, time);
            let (running, waiting) = {
                let mut life = self.life.lock().unwrap();
                if life.is_up && life.id == id {
                    life.running = life.running.saturating_sub(1);
                }
                (life.running, life.waiting)
            };
            self.free.notify_one();
            if !is_wanted {
                if !matches!(act, Act::Answer(..)) {
                    log(&format!(
                        "server {id} of {} drops {request_id}",
                        self.info.service
                    ));
                }
                return;
            }
            let bytes = match act {
                Act::Answer(_, body) => response(
                    200,
                    &[
                        ("X-Request-Id", request_id.clone()),
                        ("X-Server-Stamp", stamp(id, &request_id)),
                        (
                            "X-Server-Load",
                            format!("{running},{waiting},{}", self.slots),
                        ),
                        ("Keep-Alive", "timeout=10".into()),
                    ],
                    &body,
                ),
                Act::Raw(_, bytes) => bytes,
                Act::RawThen(_, bytes, pause, more) => {
                    if reader.stream.write_all(&bytes).is_err() {
                        return;
                    }
                    sleep(pause);
                    more
                }
                Act::Crash(_, down) => {
                    self.crash(down);
                    return;
                }
                Act::Close(_) => {
                    let _ = reader.stream.shutdown(Shutdown::Both);
                    return;
                }
            };
            if reader.stream.write_all(&bytes).is_err() {
                return;
            }
        }
    }
}

// ---- processes of the project ----

/// A host: a `wharf` process with its settings file.
pub struct Host {
    pub name: String,
    pub ip: Ipv4Addr,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    settings: PathBuf,
    folder: PathBuf,
    child: Option<Child>,
    starts: usize,
}

/// Path of the repository, which the scripts run in.
pub fn repository() -> PathBuf {
    std::env::current_dir().unwrap()
}

/// The command of the role in the deploy file.
pub fn deploy_command() -> Vec<String> {
    let text =
        fs::read_to_string(repository().join("deploy/system.toml")).expect("deploy/system.toml");
    let line = text
        .lines()
        .find_map(|l| l.strip_prefix("run = \""))
        .expect("run");
    line.trim_end_matches('"')
        .split(' ')
        .map(str::to_owned)
        .collect()
}

/// Removes a process that has ended from those to end.
fn forget(pid: u32) {
    STARTED.lock().unwrap().retain(|started| *started != pid);
}

/// Returns three free ports, which differ.
fn free_ports(ip: Ipv4Addr) -> [u16; 3] {
    let open = [0; 3].map(|_| TcpListener::bind((ip, 0)).expect("a free port"));
    open.each_ref()
        .map(|listener| listener.local_addr().unwrap().port())
}

/// Loopback addresses of this run, one for each machine.
pub fn machine_ip(number: u8) -> Ipv4Addr {
    static BASE: OnceLock<(u8, u8)> = OnceLock::new();
    let (a, b) = *BASE.get_or_init(|| {
        let pid = std::process::id();
        (1 + (pid >> 8) as u8 % 250, pid as u8)
    });
    Ipv4Addr::new(127, a, b, number + 1)
}

impl Host {
    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            log(&format!("signal {signal} to {}", self.name));
            unsafe { kill(child.id() as i32, signal) };
        }
    }
    /// Lets the settings name another address of the store, before the start.
    pub fn set_store(&self, store: SocketAddr, door: SocketAddr) {
        let text = fs::read_to_string(&self.settings).expect("settings file");
        fs::write(
            &self.settings,
            text.replace(&store.to_string(), &door.to_string()),
        )
        .expect("settings file");
    }
    pub fn start(&mut self) {
        self.starts += 1;
        let log_file = File::create(
            self.folder
                .join(format!("{}-{}.log", self.name, self.starts)),
        )
        .unwrap();
        let command = deploy_command();
        let child = Command::new(repository().join(&command[0]))
            .args(&command[1..])
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("GREENGAGEWHARF_BOOT", &self.settings)
            .current_dir(repository())
            .stdin(Stdio::null())
            .stdout(log_file.try_clone().unwrap())
            .stderr(log_file)
            .spawn();
        match child {
            Ok(child) => {
                STARTED.lock().unwrap().push(child.id());
                self.child = Some(child);
            }
            Err(error) => finish(
                2,
                &format!("could not run: {} does not start: {error}", command[0]),
            ),
        }
    }
    /// Returns whether the process has written a line with these words.
    pub fn has_logged(&self, words: &str) -> bool {
        let path = self
            .folder
            .join(format!("{}-{}.log", self.name, self.starts));
        fs::read_to_string(path).is_ok_and(|text| text.contains(words))
    }
    /// Returns whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        let Some(child) = self.child.as_mut() else {
            return false;
        };
        let has_ended = child.try_wait().ok().flatten().is_some();
        if has_ended {
            forget(child.id());
        }
        has_ended
    }
    pub fn wait(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.wait();
            forget(child.id());
        }
    }
    pub fn is_ready(&self) -> bool {
        let Ok(stream) = TcpStream::connect_timeout(&self.ready, ms(500)) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(ms(500)));
        let mut reader = Reader::new(stream);
        let text = format!(
            "GET /greengagewharf/ready HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n\r\n",
            self.ready
        );
        if reader.stream.write_all(text.as_bytes()).is_err() {
            return false;
        }
        matches!(reader.message(true), Ok(Some(m)) if m.status() == 200)
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            forget(child.id());
        }
    }
}

/// Bounds of the sheets of `tvpub-grab` and `wagenhalle-suche`.
pub const TVPUB_BOUNDS: &str = "\"seedLagS\":3,\"reuseAfterS\":2,\"stableWindowMs\":5000,\"ackMs\":6000,\"catchUpS\":4,\"drainMs\":3000,\"graceS\":6,\"lossSlackMs\":200,\"configApplyMs\":3000,\"rollbackSlackMs\":250,\"outerMs\":15000,\"retryBudgetRatio\":0.2,\"budgetWindowS\":10,\"retrySlack\":54,\"recoveryS\":12";
pub const WAGENHALLE_BOUNDS: &str = "\"seedLagS\":3,\"reuseAfterS\":2,\"stableWindowMs\":4000,\"ackMs\":5000,\"catchUpS\":4,\"drainMs\":3000,\"graceS\":6,\"lossSlackMs\":200,\"configApplyMs\":3000,\"rollbackSlackMs\":250,\"outerMs\":12000,\"retryBudgetRatio\":0.2,\"budgetWindowS\":10,\"retrySlack\":56,\"recoveryS\":12";

pub struct Fleet {
    pub hosts: Vec<Host>,
    folder: PathBuf,
}

impl Fleet {
    /// Prepares hosts in `zones`, each a name and its region, with the bounds of `tvpub-grab`.
    pub fn new(store: &Store, zones: &[(&str, &str)]) -> Fleet {
        Fleet::with_bounds(store, zones, TVPUB_BOUNDS)
    }
    pub fn with_bounds(store: &Store, zones: &[(&str, &str)], bounds: &str) -> Fleet {
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("temporary folder");
        let mut hosts: Vec<Host> = Vec::new();
        for (number, (zone, _)) in zones.iter().enumerate() {
            let ip = machine_ip(10 + number as u8);
            let addr = |port| SocketAddr::new(IpAddr::V4(ip), port);
            let [front, ready, control] = free_ports(ip);
            let name = format!("front-{zone}-{}", number + 1);
            hosts.push(Host {
                settings: folder.join(format!("{name}.json")),
                folder: folder.clone(),
                name,
                ip,
                front: addr(front),
                ready: addr(ready),
                control: addr(control),
                child: None,
                starts: 0,
            });
        }
        let seeds: Vec<String> = hosts
            .iter()
            .take(3)
            .map(|h| format!("\"{}\"", h.control))
            .collect();
        let mut table: Vec<String> = zones
            .iter()
            .map(|(z, r)| format!("\"{z}\":\"{r}\""))
            .collect();
        table.sort();
        table.dedup();
        for (host, (zone, region)) in hosts.iter().zip(zones) {
            let text = format!(
                "{{\"nodeName\":\"{}\",\"role\":\"wharf\",\"machineClass\":\"front\",\"serves\":[\"front\",\"control\"],\
                 \"ip\":\"{}\",\"zone\":\"{zone}\",\"region\":\"{region}\",\"zones\":{{{}}},\
                 \"listen\":{{\"front\":\"{}\",\"ready\":\"{}\",\"control\":\"{}\"}},\"internalPorts\":[7380,7395],\
                 \"seedNodes\":[{}],\"bootstrap\":false,\"inTolerance\":false,\
                 \"limits\":{{\"cpuShare\":0.25,\"cpuSpeed\":1,\"memoryMb\":260,\"maxFds\":4100,\"linkMbps\":1000.0,\"diskMb\":0}},\
                 \"dataDir\":null,\"discovery\":\"platform\",\"entry\":\"virtual_ip\",\"heartbeatMs\":1200,\
                 \"invariants\":[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"scatter\",\"platform\"],\
                 \"faultTolerance\":{{\"machines\":1,\"zones\":0,\"regions\":0}},\
                 \"bounds\":{{{}}},\
                 \"platform\":{{\"address\":\"{}\",\"form\":\"kv\",\"writesPerS\":400,\"readsPerS\":2000,\"historyS\":20,\
                 \"valueBytes\":1048576,\"ttlMinMs\":1000}}}}",
                host.name, host.ip, table.join(","), host.front, host.ready, host.control, seeds.join(","), bounds, store.addr
            );
            fs::write(&host.settings, text).expect("settings file");
        }
        Fleet { hosts, folder }
    }
    pub fn start(&mut self) {
        for host in &mut self.hosts {
            host.start();
        }
        let until = Instant::now() + ms(15_000);
        while !self.hosts.iter().all(Host::is_ready) {
            if Instant::now() > until {
                finish(2, "could not run: the hosts are not ready in time");
            }
            sleep(ms(100));
        }
        log(&format!("{} hosts are ready", self.hosts.len()));
    }
    pub fn stop(&mut self) {
        if std::env::var("KEEP_LOGS").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            println!("logs in {}", self.folder.display());
        }
        self.hosts.clear();
    }
}

// ---- configuration ----

pub struct RouteText {
    pub name: &'static str,
    pub route_type: &'static str,
    pub timeout_ms: u64,
    pub aim_ms: u64,
    pub attempts: u32,
    pub priority: u32,
    /// `"backend":"x"` or `"fanout":[..],"topK":..,"minCoverage":..`
    pub target: String,
}

pub const HOST_NAME: &str = "pupu76.example";

pub fn config(version: u64, routes: &[RouteText], services: &[(String, u32)]) -> String {
    let routes: Vec<String> = routes
        .iter()
        .map(|r| {
            format!(
                "{{\"name\":\"{0}\",\"hostname\":\"{HOST_NAME}\",\"prefix\":\"/{0}/\",\"routeType\":\"{1}\",\"timeoutMs\":{2},\
                 \"targetLatencyMs\":{3},\"maxAttempts\":{4},\"priority\":{5},{6}}}",
                r.name, r.route_type, r.timeout_ms, r.aim_ms, r.attempts, r.priority, r.target
            )
        })
        .collect();
    let services: Vec<String> = services
        .iter()
        .map(|(name, limit)| {
            format!("{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConnections\":{limit},\"protocol\":\"h1\",\"tls\":false}}")
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
        routes.join(","),
        services.join(",")
    )
}

// ---- requesters ----

pub fn new_id() -> String {
    format!("{:016x}", random())
}

/// What a requester sees.
#[derive(Clone, Debug)]
pub enum Seen {
    Answer(Message),
    NoConnection,
    /// The connection ended, or the time was over, without a whole answer.
    Nothing(String),
}

impl Seen {
    pub fn status(&self) -> u16 {
        match self {
            Seen::Answer(m) => m.status(),
            _ => 0,
        }
    }
}

pub fn request_text(method: &str, path: &str, id: &str, deadline_ms: u64, body: &[u8]) -> Vec<u8> {
    let mut text = format!("{method} {path} HTTP/1.1\r\nHost: {HOST_NAME}\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {deadline_ms}\r\n");
    if method == "POST" {
        text += &format!("Content-Length: {}\r\n", body.len());
    }
    text += "\r\n";
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Sends a request on a connection of its own and waits until its time limit.
pub fn ask(
    addr: SocketAddr,
    method: &str,
    path: &str,
    id: &str,
    deadline_ms: u64,
    body: &[u8],
) -> Seen {
    let Ok(stream) = TcpStream::connect_timeout(&addr, ms(1_000)) else {
        return Seen::NoConnection;
    };
    let mut reader = Reader::new(stream);
    ask_on(&mut reader, method, path, id, deadline_ms, body)
}

/// Sends a request on a kept connection.
pub fn ask_on(
    reader: &mut Reader,
    method: &str,
    path: &str,
    id: &str,
    deadline_ms: u64,
    body: &[u8],
) -> Seen {
    let _ = reader.stream.set_read_timeout(Some(ms(deadline_ms + 100)));
    if let Err(error) = reader
        .stream
        .write_all(&request_text(method, path, id, deadline_ms, body))
    {
        return Seen::Nothing(format!("write: {error}"));
    }
    match reader.message(true) {
        Ok(Some(message)) => Seen::Answer(message),
        Ok(None) => Seen::Nothing("closed".into()),
        Err(error) => Seen::Nothing(error.to_string()),
    }
}
