//! Stand-ins for the store, the model runners and the clients, and a small deployment of real processes.
//!
//! Only the standard library is used, so that `rustc` alone builds it.

#![allow(dead_code)]

use std::{
    collections::BTreeMap,
    fs::{self, File},
    io::{self, BufRead, BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex, OnceLock,
        atomic::{AtomicBool, AtomicI64, AtomicU8, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Heartbeat interval of runners, as in the settings of a small deployment.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Time that the store takes for an answer.
pub const STORE_ANSWER: Duration = Duration::from_millis(4);
/// History of the store.
pub const STORE_HISTORY: Duration = Duration::from_secs(20);

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

/// Ends the script as one that could not run.
pub fn cannot_run(why: &str) -> ! {
    eprintln!("cannot run: {why}");
    if let Some(record) = RECORD.get() {
        record.write(format!("cannot run: {why}"));
        record.save();
    }
    if let Some(deployment) = DEPLOYMENT.get() {
        deployment.end();
    }
    std::process::exit(2);
}

// ---------------------------------------------------------------------------------------------
// HTTP

#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self
            .headers
            .iter()
            .filter(|(key, _)| key.eq_ignore_ascii_case(name));
        found.next().map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target().split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find_map(|(key, value)| (key == name).then(|| value.to_owned()))
    }

    pub fn status(&self) -> u16 {
        self.first
            .split(' ')
            .nth(1)
            .and_then(|text| text.parse().ok())
            .unwrap_or(0)
    }
}

/// Reads a request or response; `Ok(None)` at a regular end of the connection before the first byte.
pub fn read_message(reader: &mut impl BufRead, is_response: bool) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    if read_line(reader, &mut message.first)? == 0 {
        return Ok(None);
    }
    loop {
        let mut line = String::new();
        if read_line(reader, &mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            message
                .headers
                .push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
    let chunked = message
        .header("transfer-encoding")
        .is_some_and(|value| value.eq_ignore_ascii_case("chunked"));
    if chunked {
        read_chunks(reader, &mut message.body)?;
    } else if let Some(length) = message.header("content-length") {
        let length: usize = length.parse().map_err(|_| io::ErrorKind::InvalidData)?;
        message.body.resize(length, 0);
        reader.read_exact(&mut message.body)?;
    } else if is_response {
        reader.read_to_end(&mut message.body)?;
    }
    Ok(Some(message))
}

fn read_line(reader: &mut impl BufRead, line: &mut String) -> io::Result<usize> {
    let count = reader.read_line(line)?;
    while line.ends_with('\n') || line.ends_with('\r') {
        line.pop();
    }
    Ok(count)
}

fn read_chunks(reader: &mut impl BufRead, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let mut line = String::new();
        if read_line(reader, &mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let size = usize::from_str_radix(line.split(';').next().unwrap_or_default().trim(), 16)
            .map_err(|_| io::ErrorKind::InvalidData)?;
        let from = body.len();
        body.resize(from + size, 0);
        reader.read_exact(&mut body[from..])?;
        let mut end = String::new();
        if read_line(reader, &mut end)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        if size == 0 {
            return Ok(());
        }
    }
}

pub fn response(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!(
        "HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Serves connections, each on its own thread, until the process ends.
pub fn listen(
    address: SocketAddr,
    serve: impl Fn(TcpStream, Instant) + Clone + Send + Sync + 'static,
) {
    let listener = match TcpListener::bind(address) {
        Ok(listener) => listener,
        Err(cause) => cannot_run(&format!("cannot listen on {address}: {cause}")),
    };
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let serve = serve.clone();
            let accepted_at = Instant::now();
            thread::spawn(move || serve(stream, accepted_at));
        }
    });
}

// ---------------------------------------------------------------------------------------------
// The store

#[derive(Clone, Debug)]
struct Write1 {
    version: u64,
    at: Instant,
    table: String,
    key: String,
    /// Base64; `None` if the row was removed.
    value: Option<String>,
}

struct StoreState {
    /// All writes, oldest first; the rows are what they leave behind.
    log: Vec<Write1>,
    version: u64,
    era: u64,
    away: bool,
    /// Connections that were opened before are silent for good.
    silent_before: Instant,
}

/// The platform's table store, with the calls that gateways and sidecars make.
pub struct Store {
    state: Mutex<StoreState>,
    changed: Condvar,
}

impl Store {
    pub fn start(address: SocketAddr) -> Arc<Self> {
        let state = StoreState {
            log: Vec::new(),
            version: 1,
            era: 1,
            away: false,
            silent_before: Instant::now(),
        };
        let store = Arc::new(Self {
            state: Mutex::new(state),
            changed: Condvar::new(),
        });
        let serving = Arc::clone(&store);
        listen(address, move |stream, accepted_at| {
            serving.serve(stream, accepted_at)
        });
        store
    }

    /// Writes a row, as the operator and the runners do; false while the store is away.
    pub fn put(&self, table: &str, key: &str, json: &str) -> bool {
        self.write(table, key, Some(base64(json.as_bytes())))
    }

    pub fn remove(&self, table: &str, key: &str) -> bool {
        self.write(table, key, None)
    }

    fn write(&self, table: &str, key: &str, value: Option<String>) -> bool {
        let mut state = self.state.lock().unwrap();
        if state.away {
            return false;
        }
        state.version += 1;
        let write = Write1 {
            version: state.version,
            at: Instant::now(),
            table: table.to_owned(),
            key: key.to_owned(),
            value,
        };
        state.log.push(write);
        self.changed.notify_all();
        true
    }

    /// Starts a store elsewhere with the same rows and versions.
    pub fn move_to(&self, address: SocketAddr) -> Arc<Self> {
        let store = Self::start(address);
        let state = self.state.lock().unwrap();
        let mut moved = store.state.lock().unwrap();
        moved.log.clone_from(&state.log);
        moved.version = state.version;
        drop(moved);
        drop(state);
        store
    }

    /// When a row was last written.
    pub fn last_write(&self, table: &str, key: &str) -> Option<Instant> {
        let state = self.state.lock().unwrap();
        let mut writes = state
            .log
            .iter()
            .filter(|write| write.table == table && write.key == key);
        writes.next_back().map(|write| write.at)
    }

    pub fn version(&self) -> u64 {
        self.state.lock().unwrap().version
    }

    /// The store is away: no call is answered any more.
    pub fn go_away(&self) {
        self.state.lock().unwrap().away = true;
        self.changed.notify_all();
    }

    /// The store comes back from the copy of `copied_at`; connections from before stay silent.
    pub fn come_back_from_copy(&self, copied_at: Instant) -> (u64, u64) {
        let mut state = self.state.lock().unwrap();
        let newest = state.version;
        state.log.retain(|write| write.at <= copied_at);
        state.version = state.log.last().map_or(1, |write| write.version);
        state.era += 1;
        state.away = false;
        state.silent_before = Instant::now();
        (newest, state.version)
    }

    fn serve(&self, stream: TcpStream, accepted_at: Instant) {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_message(&mut reader, false) {
            thread::sleep(STORE_ANSWER);
            let Some(answer) = self.answer(&request, accepted_at) else {
                // Silent for good, without a reset: the connection stays open and nothing follows.
                loop {
                    sleep_ms(1_000);
                }
            };
            if writer.write_all(&answer).is_err() {
                return;
            }
        }
    }

    /// `None` if there is no answer.
    fn answer(&self, request: &Message, accepted_at: Instant) -> Option<Vec<u8>> {
        let table = request.query("table").unwrap_or_default();
        let number = |name: &str| {
            request
                .query(name)
                .and_then(|text| text.parse::<u64>().ok())
        };
        let is_feed = request.path() == "/rows-feed";
        let after = number("after").unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
        let mut state = self.state.lock().unwrap();
        loop {
            if state.away || accepted_at < state.silent_before {
                return None;
            }
            let era = state.era.to_string();
            let headers = [
                ("Content-Type", "application/json"),
                ("Store-Era", era.as_str()),
            ];
            if !is_feed {
                if request.path() != "/rows-get" {
                    return Some(response(404, &headers, b"{}"));
                }
                return Some(response(200, &headers, state.page(&table, None).as_bytes()));
            }
            let oldest = Instant::now().checked_sub(STORE_HISTORY);
            let forgotten = oldest.and_then(|oldest| {
                let mut old = state.log.iter().filter(|write| write.at < oldest);
                old.next_back().map(|write| write.version)
            });
            if after > state.version || forgotten.is_some_and(|version| after < version) {
                return Some(response(410, &headers, b"{}"));
            }
            let has_change = state
                .log
                .iter()
                .any(|write| write.table == table && write.version > after);
            let now = Instant::now();
            if has_change || now >= until {
                return Some(response(
                    200,
                    &headers,
                    state.page(&table, Some(after)).as_bytes(),
                ));
            }
            state = self.changed.wait_timeout(state, until - now).unwrap().0;
        }
    }
}

impl StoreState {
    /// The rows of a table, or those that changed after a version.
    fn page(&self, table: &str, after: Option<u64>) -> String {
        let mut newest: BTreeMap<&str, &Write1> = BTreeMap::new();
        for write in self.log.iter().filter(|write| write.table == table) {
            newest.insert(&write.key, write);
        }
        let mut rows: Vec<&Write1> = newest.into_values().collect();
        rows.retain(|row| row.version > after.unwrap_or(0));
        rows.retain(|row| row.value.is_some() || after.is_some());
        if after.is_some() {
            rows.sort_by_key(|row| row.version);
        }
        let rows: Vec<String> = rows
            .into_iter()
            .map(|row| {
                let content = match &row.value {
                    Some(value) => format!("\"value\":\"{value}\""),
                    None => "\"removed\":true".to_owned(),
                };
                format!(
                    "{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{}\",{content},\"record_version\":{}}}",
                    row.key, row.version
                )
            })
            .collect();
        format!(
            "{{\"rows\":[{}],\"has_more\":false,\"record_version\":{},\"now_ms\":1}}",
            rows.join(","),
            self.version
        )
    }
}

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut bits = 0_u32;
        for index in 0..3 {
            bits = (bits << 8) | u32::from(group.get(index).copied().unwrap_or(0));
        }
        for index in 0..4 {
            if index <= group.len() {
                text.push(char::from(DIGITS[(bits >> (18 - 6 * index)) as usize & 63]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

// ---------------------------------------------------------------------------------------------
// The record

/// What was sent, answered and run, with times since the start of the script.
pub struct Record {
    path: PathBuf,
    started: Instant,
    lines: Mutex<Vec<(Duration, String)>>,
}

/// The record of this script, which is written however the script ends.
static RECORD: OnceLock<Arc<Record>> = OnceLock::new();

impl Record {
    /// Starts the record; the script's only argument is the path of its file.
    pub fn start() -> Arc<Self> {
        let Some(path) = std::env::args().nth(1) else {
            cannot_run("the path of the record is missing");
        };
        let record = Arc::new(Self {
            path: PathBuf::from(path),
            started: Instant::now(),
            lines: Mutex::default(),
        });
        let _ = RECORD.set(Arc::clone(&record));
        record
    }

    pub fn at(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.started).as_secs_f64()
    }

    pub fn write(&self, line: impl Into<String>) {
        let at = self.started.elapsed();
        self.lines.lock().unwrap().push((at, line.into()));
    }

    /// Like [`Self::write`], and shown.
    pub fn tell(&self, line: impl Into<String>) {
        let line = line.into();
        println!("{:8.3} {line}", self.started.elapsed().as_secs_f64());
        self.write(line);
    }

    /// Writes the record to its file.
    pub fn save(&self) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|(at, _)| *at);
        let text: String = lines
            .iter()
            .map(|(at, line)| format!("{:8.3} {line}\n", at.as_secs_f64()))
            .collect();
        if let Err(cause) = fs::write(&self.path, text) {
            eprintln!("cannot write {}: {cause}", self.path.display());
            std::process::exit(2);
        }
    }
}

// ---------------------------------------------------------------------------------------------
// Processes of the project

/// A folder and a loopback network of the script's own, and the processes that it started.
pub struct Deployment {
    pub network: u8,
    pub folder: PathBuf,
    _reservation: TcpListener,
    /// Last byte of the store's address, as new settings name it.
    store_host: AtomicU8,
    children: Mutex<Vec<(String, Child)>>,
}

/// Ports of the deployment, the same on all of its machines.
pub struct Ports {
    pub front: u16,
    pub ready: u16,
    pub control: u16,
    pub store: u16,
    pub app: u16,
    pub internal: u16,
}

/// Ports that were free when the script started.
pub fn ports() -> &'static Ports {
    static PORTS: OnceLock<Ports> = OnceLock::new();
    PORTS.get_or_init(|| {
        let listeners: Vec<TcpListener> = (0..6)
            .filter_map(|_| TcpListener::bind("127.0.0.1:0").ok())
            .collect();
        let ports: Vec<u16> = listeners
            .iter()
            .filter_map(|listener| listener.local_addr().ok().map(|address| address.port()))
            .collect();
        let [front, ready, control, store, app, internal] = ports[..] else {
            cannot_run("no ports are free");
        };
        Ports {
            front,
            ready,
            control,
            store,
            app,
            internal,
        }
    })
}

/// The deployment of this script, so that its processes are ended however the script ends.
static DEPLOYMENT: OnceLock<Arc<Deployment>> = OnceLock::new();
/// Longest time that a script runs.
const SCRIPT_TIME_MAX: Duration = Duration::from_secs(112);

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn signal(number: i32, handler: extern "C" fn(i32)) -> usize;
}

/// Whether the script itself was asked to stop.
static ASKED_TO_STOP: AtomicBool = AtomicBool::new(false);

extern "C" fn ask_to_stop(_signal: i32) {
    ASKED_TO_STOP.store(true, Ordering::SeqCst);
}

impl Deployment {
    pub fn prepare() -> Arc<Self> {
        let reserve = |network: u8| {
            let listener =
                TcpListener::bind(SocketAddr::from(([127, network, 0, 1], 7_379))).ok()?;
            Some((network, listener))
        };
        let Some((network, reservation)) = (20..=250).find_map(reserve) else {
            cannot_run("no loopback network is free");
        };
        let name = format!("radishpin-review-{}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        if let Err(cause) = fs::create_dir_all(&folder) {
            cannot_run(&format!("cannot create {}: {cause}", folder.display()));
        }
        let deployment = Arc::new(Self {
            network,
            folder,
            _reservation: reservation,
            store_host: AtomicU8::new(7),
            children: Mutex::default(),
        });
        let _ = DEPLOYMENT.set(Arc::clone(&deployment));
        std::panic::set_hook(Box::new(|panic| cannot_run(&panic.to_string())));
        for number in [1, 2, 15] {
            // SAFETY: the handler does nothing but set a flag.
            unsafe { signal(number, ask_to_stop) };
        }
        let until = Instant::now() + SCRIPT_TIME_MAX;
        thread::spawn(move || {
            while Instant::now() < until && !ASKED_TO_STOP.load(Ordering::SeqCst) {
                sleep_ms(50);
            }
            cannot_run("the script was stopped, or takes too long");
        });
        deployment
    }

    pub fn ip(&self, group: u8, number: u8) -> [u8; 4] {
        [127, self.network, group, number]
    }

    pub fn ip_text(&self, group: u8, number: u8) -> String {
        let [a, b, c, d] = self.ip(group, number);
        format!("{a}.{b}.{c}.{d}")
    }

    /// Address of the store, as settings that are written from now on name it.
    pub fn store_address(&self) -> SocketAddr {
        (
            self.ip(200, self.store_host.load(Ordering::SeqCst)),
            ports().store,
        )
            .into()
    }

    pub fn set_store_host(&self, host: u8) {
        self.store_host.store(host, Ordering::SeqCst);
    }

    pub fn front(&self, gateway: u8) -> SocketAddr {
        (self.ip(1, gateway), ports().front).into()
    }

    fn settings(
        &self,
        name: &str,
        ip: &str,
        role: &str,
        bootstrap: bool,
        memory_mb: u32,
    ) -> String {
        format!(
            r#"{{"node_name":"{name}","zone":"gondar","region":"amhara-highlands","zones":{{"gondar":"amhara-highlands"}},
"ip_address":"{ip}","internal_ports":[{internal},{internal}],"seeds":[],"bootstrap":{bootstrap},"in_tolerance":false,
"limits":{{"cpu_share":0.2,"cores":1,"memory_mb":{memory_mb},"file_descriptors":4100,"link_mbps":1000.0,"disk_mb":0}},
"data_directory":null,"discovery":"platform","entry":"virtual_ip","heartbeat_interval_ms":1200,
"contracts":["base","drain","config","cost","retry","recover","fleet","stream","engine","platform"],
"fault_tolerance":{{"machines":2,"zones":0,"regions":0}},
"bounds":{{"seed_lag_s":3,"reuse_after_s":2,"contact_ms":3000,"acknowledge_ms":4000,"catch_up_s":4,"drain_ms":2000,"grace_s":8,"loss_slack_ms":200,"configuration_ms":2000,"rollback_slack_ms":250,"stretch_maximum_ms":5000,"budget_ratio":0.2,"budget_window_s":10,"retry_slack":54,"recovery_s":12,"pass_ms":120,"retry_after_s":0,"require_fencing":false,"lease_ms":3000,"thaw_slack_ms":300,"ceiling_window_s":5,"ceiling_overshoot":1.1}},
"platform":{{"address":"{store}","form":"table","writes_per_s":400,"reads_per_s":2000,"transaction_ms":5.0,"part_writes_per_s":200,"row_bytes":65536,"across":false,"history_s":20,"blob_bytes":8388608,"blob_ms":25.0,"blob_mb_per_s":80.0}},
{role}}}"#,
            store = self.store_address(),
            internal = ports().internal,
        )
    }

    fn spawn(&self, name: &str, role: &str, settings: &str) -> u32 {
        let boot = self.folder.join(format!("{name}.json"));
        let log = self.folder.join(format!("{name}.log"));
        let written = fs::write(&boot, settings);
        let log = written.and_then(|()| File::options().create(true).append(true).open(log));
        let Ok(log) = log else {
            cannot_run("cannot write a settings file");
        };
        let child = Command::new("target/release/radishpin")
            .args([role, "--metrics-port", "9464"])
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("RADISHPIN_BOOT", &boot)
            .stdin(Stdio::null())
            .stderr(log.try_clone().map_or(Stdio::null(), Stdio::from))
            .stdout(log)
            .spawn();
        match child {
            Ok(child) => {
                let pid = child.id();
                self.children.lock().unwrap().push((name.to_owned(), child));
                pid
            }
            Err(cause) => cannot_run(&format!("cannot start target/release/radishpin: {cause}")),
        }
    }

    fn gateway_settings(&self, number: u8, bootstrap: bool) -> String {
        let ip = self.ip_text(1, number);
        let Ports {
            front,
            ready,
            control,
            ..
        } = ports();
        let role = format!(
            r#""role":"gateway","machine_class":"front","serves":["front"],"listen_addresses":{{"front":"{ip}:{front}","ready":"{ip}:{ready}","control":"{ip}:{control}"}}"#
        );
        self.settings(&format!("front-{number}"), &ip, &role, bootstrap, 260)
    }

    pub fn start_gateway(&self, number: u8, bootstrap: bool) -> u32 {
        let settings = self.gateway_settings(number, bootstrap);
        self.spawn(&format!("front-{number}"), "gateway", &settings)
    }

    /// Replaces the settings file of a gateway that runs.
    pub fn rewrite_gateway_settings(&self, number: u8) {
        let boot = self.folder.join(format!("front-{number}.json"));
        let new = self.folder.join(format!("front-{number}.json.new"));
        let written = fs::write(&new, self.gateway_settings(number, false));
        if written.and_then(|()| fs::rename(new, boot)).is_err() {
            cannot_run("cannot write a settings file");
        }
    }

    pub fn start_sidecar(&self, number: u8, service: &str, bootstrap: bool) -> u32 {
        let name = format!("side-{number}");
        let ip = self.ip_text(2, number);
        let app = ports().app;
        let role = format!(
            r#""role":"sidecar","machine_class":"side","serves":["side"],"listen_addresses":{{}},"app":"{ip}:{app}","service":"{service}""#
        );
        let settings = self.settings(&name, &ip, &role, bootstrap, 192);
        self.spawn(&name, "sidecar", &settings)
    }

    pub fn is_ready(&self, gateway: u8) -> bool {
        let address: SocketAddr = (self.ip(1, gateway), ports().ready).into();
        let request = "GET /readiness HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
        let asked = || -> io::Result<u16> {
            let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
            stream.set_read_timeout(Some(Duration::from_secs(1)))?;
            stream.write_all(request.as_bytes())?;
            let answer = read_message(&mut BufReader::new(stream), true)?;
            Ok(answer.map_or(0, |answer| answer.status()))
        };
        asked().is_ok_and(|status| status == 200)
    }

    pub fn wait_until_ready(&self, gateways: std::ops::RangeInclusive<u8>) {
        for gateway in gateways {
            let from = Instant::now();
            while !self.is_ready(gateway) {
                if from.elapsed() > Duration::from_secs(15) {
                    self.end();
                    cannot_run("a gateway does not get ready");
                }
                sleep_ms(50);
            }
        }
    }

    /// Sends a signal to a process that this script started.
    pub fn signal(&self, pid: u32, signal: &str) {
        let number = match signal {
            "HUP" => 1,
            "KILL" => 9,
            _ => 15,
        };
        if self.has_ended(pid) {
            return;
        }
        // SAFETY: the call takes two numbers; the process is a child that has not been waited for.
        let _ = unsafe { kill(pid as i32, number) };
    }

    /// Whether a process that this script started has ended.
    pub fn has_ended(&self, pid: u32) -> bool {
        let mut children = self.children.lock().unwrap();
        let child = children.iter_mut().find(|(_, child)| child.id() == pid);
        child.is_none_or(|(_, child)| child.try_wait().is_ok_and(|status| status.is_some()))
    }

    /// Ends all processes that this script started, and removes its folder unless KEEP is set.
    pub fn end(&self) {
        for (_, child) in self.children.lock().unwrap().iter_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Whether the script makes the trouble; `TROUBLE=0` leaves it out.
pub fn with_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

pub static STOP: AtomicBool = AtomicBool::new(false);

pub fn stopped() -> bool {
    STOP.load(Ordering::Relaxed)
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// A new id for an attempt of a client.
pub fn attempt_id() -> String {
    format!(
        "{:016x}",
        0x9c41_0000_0000_0000_u64 + NEXT_ID.fetch_add(1, Ordering::Relaxed)
    )
}

// ---------------------------------------------------------------------------------------------
// Runners

/// Runs that the runners saw: attempt id, method and path, runner, service.
pub type Runs = Arc<Mutex<Vec<Run>>>;

#[derive(Clone, Debug)]
pub struct Run {
    pub attempt: String,
    pub path: String,
    pub runner: String,
    pub service: String,
    pub at: Instant,
}

/// A runner of a plain service, sound in all it does.
#[derive(Clone, Debug)]
pub struct PlainRunner {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub born: u64,
}

impl PlainRunner {
    pub fn start(
        id: &str,
        service: &str,
        address: SocketAddr,
        work: Duration,
        runs: &Runs,
    ) -> Self {
        let runner = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address,
            born: unix_ms(),
        };
        let serving = runner.clone();
        let runs = Arc::clone(runs);
        listen(address, move |stream, _| serving.serve(stream, work, &runs));
        runner
    }

    pub fn entry(&self, state: &str, sequence: u64) -> String {
        format!(
            r#"{{"service":"{}","address":"{}","zone":"gondar","version":"v1","slots":6,"state":"{state}","cold_remaining_ms":0,"sequence":{sequence},"born":{}}}"#,
            self.service, self.address, self.born
        )
    }

    fn serve(&self, stream: TcpStream, work: Duration, runs: &Runs) {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_message(&mut reader, false) {
            let attempt = request
                .header("radishpin-attempt-id")
                .unwrap_or_default()
                .to_owned();
            let expected = request.header("radishpin-expected-instance");
            let answer = if expected.is_some_and(|expected| expected != self.id) {
                let headers = [
                    ("Radishpin-Attempt-Id", attempt.as_str()),
                    ("Radishpin-Instance-Id", self.id.as_str()),
                    ("Radishpin-Not-Executed", "1"),
                ];
                response(421, &headers, b"")
            } else {
                runs.lock().unwrap().push(Run {
                    attempt: attempt.clone(),
                    path: format!("{} {}", request.method(), request.target()),
                    runner: self.id.clone(),
                    service: self.service.clone(),
                    at: Instant::now(),
                });
                thread::sleep(work);
                let signature = format!("sig.{}.{attempt}", self.id);
                let headers = [
                    ("Radishpin-Attempt-Id", attempt.as_str()),
                    ("Radishpin-Response-Signature", signature.as_str()),
                    ("Keep-Alive", "timeout=5"),
                ];
                response(
                    200,
                    &headers,
                    format!("answer to {attempt} by {}", self.id).as_bytes(),
                )
            };
            if writer.write_all(&answer).is_err() {
                return;
            }
        }
    }
}

/// A model runner that keeps the models it has; it takes requests for its report alone.
pub fn start_engine(id: &str, service: &str, address: SocketAddr, models: &str) -> PlainRunner {
    let runner = PlainRunner {
        id: id.to_owned(),
        service: service.to_owned(),
        address,
        born: unix_ms(),
    };
    let report = format!(
        r#"{{"stage":"both","models":[{models}],"busy":false,"sequence":0,"waiting":0,"running":0,"kv_cache_used":0,"kv_cache_total":165548,"handles":0,"born":{},"at_hand":{{"in_memory":[],"on_disk":[]}},"coming":[]}}"#,
        runner.born
    );
    listen(address, move |stream, _| {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_message(&mut reader, false) {
            let json = [
                ("Content-Type", "application/json"),
                ("Keep-Alive", "timeout=5"),
            ];
            let answer = match request.path() {
                "/report" => response(200, &json, report.as_bytes()),
                _ => response(503, &[("Radishpin-Not-Executed", "1")], b""),
            };
            if writer.write_all(&answer).is_err() {
                return;
            }
        }
    });
    runner
}

/// Writes a runner's entry again and again, as runners do.
pub fn beat(store: &Arc<Store>, runner: &PlainRunner, models: &str, phase: Duration) {
    let (store, runner, models) = (Arc::clone(store), runner.clone(), models.to_owned());
    thread::spawn(move || {
        thread::sleep(phase);
        let mut sequence = 0;
        while !stopped() {
            sequence += 1;
            let mut entry = runner.entry("ready", sequence);
            if !models.is_empty() {
                entry.pop();
                entry.push_str(&format!(r#","stage":"both","models":[{models}]}}"#));
            }
            store.put("servers", &runner.id, &entry);
            thread::sleep(HEARTBEAT);
        }
    });
}

// ---------------------------------------------------------------------------------------------
// Clients

/// What a client sends, without the headers that each attempt has.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    pub method: &'static str,
    pub path: &'static str,
    pub deadline_ms: u64,
    pub body: &'static str,
}

/// A client with one connection that it keeps as long as the node does.
pub struct Client {
    pub node: SocketAddr,
    connection: Option<(TcpStream, BufReader<TcpStream>)>,
}

impl Client {
    pub fn new(node: SocketAddr) -> Self {
        Self {
            node,
            connection: None,
        }
    }

    /// Sends one attempt and waits for its answer until its deadline.
    pub fn send(&mut self, id: &str, request: &ClientRequest) -> io::Result<Message> {
        let limit = Duration::from_millis(request.deadline_ms);
        let (mut writer, mut reader) = match self.connection.take() {
            Some(connection) => connection,
            None => {
                let stream = TcpStream::connect_timeout(&self.node, Duration::from_secs(1))?;
                stream.set_nodelay(true)?;
                (stream.try_clone()?, BufReader::new(stream))
            }
        };
        writer.set_read_timeout(Some(limit))?;
        let text = format!(
            "{} {} HTTP/1.1\r\nHost: ficu95.example\r\nRadishpin-Attempt-Id: {id}\r\n\
             Radishpin-Deadline-Milliseconds: {}\r\nContent-Length: {}\r\n\r\n{}",
            request.method,
            request.path,
            request.deadline_ms,
            request.body.len(),
            request.body
        );
        writer.write_all(text.as_bytes())?;
        let answer = read_message(&mut reader, true)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let closes = answer
            .header("connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"));
        if !closes {
            self.connection = Some((writer, reader));
        }
        Ok(answer)
    }
}

/// Prefix of requests that take [`LONG_WORK`] at a [`Runner`].
pub const LONG_PATH: &str = "/summary/";
pub const LONG_WORK: Duration = Duration::from_millis(1_200);

/// A runner of a plain service that can crash, start again and leave.
pub struct Runner {
    pub id: &'static str,
    address: SocketAddr,
    /// Time that a request takes.
    work: Duration,
    /// What the time of day on its machine is off by, in milliseconds.
    pub clock_off_ms: AtomicI64,
    pub born: AtomicU64,
    sequence: AtomicU64,
    pub leaving: AtomicBool,
    /// Whether it has removed its entry.
    unlisted: AtomicBool,
    /// How much later the store performs the next write of the entry, in milliseconds; 0 if at once.
    pub next_beat_late_ms: AtomicU64,
    up: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
    /// Attempts that it began to run, and whether it was leaving.
    pub runs: Mutex<Vec<(Instant, String)>>,
    pub cut: Mutex<Vec<String>>,
}

impl Runner {
    pub fn new(id: &'static str, address: SocketAddr, work: Duration) -> Arc<Self> {
        Arc::new(Self {
            id,
            address,
            work,
            clock_off_ms: AtomicI64::new(0),
            born: AtomicU64::new(0),
            sequence: AtomicU64::new(0),
            leaving: AtomicBool::new(false),
            unlisted: AtomicBool::new(false),
            next_beat_late_ms: AtomicU64::new(0),
            up: AtomicBool::new(false),
            connections: Mutex::default(),
            runs: Mutex::default(),
            cut: Mutex::default(),
        })
    }

    pub fn start(self: &Arc<Self>, store: &Arc<Store>) {
        let now = unix_ms() as i64 + self.clock_off_ms.load(Ordering::SeqCst);
        self.born.store(now as u64, Ordering::SeqCst);
        self.sequence.store(0, Ordering::SeqCst);
        let Ok(listener) = TcpListener::bind(self.address) else {
            cannot_run("a runner cannot listen");
        };
        let _ = listener.set_nonblocking(true);
        self.up.store(true, Ordering::SeqCst);
        let runner = Arc::clone(self);
        thread::spawn(move || {
            while runner.up.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    sleep_ms(2);
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                if let Ok(copy) = stream.try_clone() {
                    runner.connections.lock().unwrap().push(copy);
                }
                let serving = Arc::clone(&runner);
                thread::spawn(move || serving.serve(stream));
            }
        });
        let (runner, store) = (Arc::clone(self), Arc::clone(store));
        let born = self.born.load(Ordering::SeqCst);
        thread::spawn(move || {
            while runner.up.load(Ordering::SeqCst) && runner.born.load(Ordering::SeqCst) == born {
                if !runner.unlisted.load(Ordering::SeqCst) {
                    runner.beat(&store);
                }
                thread::sleep(HEARTBEAT);
            }
        });
    }

    pub fn beat(&self, store: &Arc<Store>) {
        let state = if self.leaving.load(Ordering::SeqCst) {
            "draining"
        } else {
            "ready"
        };
        let entry = format!(
            r#"{{"service":"logbook-app","address":"{}","zone":"gondar","version":"v1","slots":6,"state":"{state}","cold_remaining_ms":0,"sequence":{},"born":{}}}"#,
            self.address,
            self.sequence.fetch_add(1, Ordering::SeqCst) + 1,
            self.born.load(Ordering::SeqCst)
        );
        let late_ms = self.next_beat_late_ms.swap(0, Ordering::SeqCst);
        if late_ms == 0 {
            store.put("servers", self.id, &entry);
            return;
        }
        // The answer is lost, and the store performs the call later.
        let (store, id) = (Arc::clone(store), self.id);
        thread::spawn(move || {
            sleep_ms(late_ms);
            store.put("servers", id, &entry);
        });
    }

    /// Reports `draining` at once, and with each write of the entry from now on.
    pub fn leave_announced(&self, store: &Arc<Store>) {
        self.leaving.store(true, Ordering::SeqCst);
        self.beat(store);
    }

    /// Leaves without reporting `draining`: its entry is removed.
    pub fn leave_unlisted(&self, store: &Store) {
        self.leaving.store(true, Ordering::SeqCst);
        self.unlisted.store(true, Ordering::SeqCst);
        store.remove("servers", self.id);
    }

    /// Ends the process: a crash, or the exit after the drain.
    pub fn end(&self) {
        self.up.store(false, Ordering::SeqCst);
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_message(&mut reader, false) {
            let attempt = request
                .header("radishpin-attempt-id")
                .unwrap_or_default()
                .to_owned();
            let expected = request.header("radishpin-expected-instance");
            if expected.is_some_and(|expected| expected != self.id) {
                let mut headers = vec![
                    ("Radishpin-Attempt-Id", attempt.as_str()),
                    ("Radishpin-Instance-Id", self.id),
                    ("Radishpin-Not-Executed", "1"),
                ];
                if self.leaving.load(Ordering::SeqCst) {
                    headers.push(("Server-Leaving", "1"));
                }
                let _ = writer.write_all(&response(421, &headers, b""));
                continue;
            }
            self.runs
                .lock()
                .unwrap()
                .push((Instant::now(), attempt.clone()));
            thread::sleep(match request.path().starts_with(LONG_PATH) {
                true => LONG_WORK,
                false => self.work,
            });
            let signature = format!("sig.{}.{attempt}", self.id);
            let mut headers = vec![
                ("Radishpin-Attempt-Id", attempt.as_str()),
                ("Radishpin-Response-Signature", signature.as_str()),
                ("Keep-Alive", "timeout=5"),
            ];
            if self.leaving.load(Ordering::SeqCst) {
                headers.push(("Server-Leaving", "1"));
            }
            let answered = self.up.load(Ordering::SeqCst)
                && writer.write_all(&response(200, &headers, b"done")).is_ok();
            if !answered {
                self.cut.lock().unwrap().push(attempt);
                return;
            }
        }
    }
}

/// A request of a client, and how it ended.
pub struct Sent {
    pub sent_at: Instant,
    pub ended_at: Instant,
    pub gateway: u8,
    pub id: String,
    pub answer: String,
    /// Whether the answer says that its runner leaves.
    pub leaving: bool,
}

pub type Answers = Arc<Mutex<Vec<Sent>>>;

/// Sends requests to each gateway at the same time, and waits for the answers.
pub fn wave(deployment: &Deployment, gateways: u8, per_gateway: usize, answers: &Answers) {
    wave_to("/work-order/2f", deployment, gateways, per_gateway, answers);
}

/// Like [`wave`], with another path.
pub fn wave_to(
    path: &'static str,
    deployment: &Deployment,
    gateways: u8,
    per_gateway: usize,
    answers: &Answers,
) {
    let mut clients = Vec::new();
    for gateway in 1..=gateways {
        for _ in 0..per_gateway {
            let (node, answers) = (deployment.front(gateway), Arc::clone(answers));
            clients.push(thread::spawn(move || {
                let request = ClientRequest {
                    method: "POST",
                    path,
                    deadline_ms: 3_000,
                    body: "roof",
                };
                let (id, sent_at) = (attempt_id(), Instant::now());
                let (answer, leaving) = match Client::new(node).send(&id, &request) {
                    Ok(answer) => (
                        answer.status().to_string(),
                        answer.header("server-leaving") == Some("1"),
                    ),
                    Err(cause) => (format!("none ({cause})"), false),
                };
                let ended_at = Instant::now();
                answers.lock().unwrap().push(Sent {
                    sent_at,
                    ended_at,
                    gateway,
                    id,
                    answer,
                    leaving,
                });
            }));
        }
    }
    for client in clients {
        let _ = client.join();
    }
}
