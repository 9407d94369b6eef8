//! Serves the operator API of a node on a free port and runs the binary against it.

use radishpin_http::{Server, Shutdown};
use radishpin_platform::{ClientSettings, PlatformClient, PlatformMetrics, ViewReader};
use radishpin_runtime::Runtime;
use radishpin_server::{
    Token,
    operator::{OperatorApi, OperatorContext, StatusCache, Table, operator_limits},
};
use radishpin_standin::MemoryPlatform;
use smol::net::TcpListener;
use std::{
    env, fs,
    net::SocketAddr,
    path::PathBuf,
    process::Command,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
};

pub const TOKEN: &str = "0123456789abcdef";
pub const PROFILE: &str = r#"{"format":1,"min_loaded":0,"max_replicas":2,"idle_unload_ms":90000,"patience_ms":5000,"priority":5,"class":"interactive","idempotent":true}"#;

static NEXT_DIRECTORY: AtomicU32 = AtomicU32::new(0);

/// A running operator API with an in-memory platform.
pub struct Cluster {
    pub platform: MemoryPlatform,
    pub address: SocketAddr,
    directory: PathBuf,
    reader: ViewReader,
    _runtime: Runtime,
}

impl Cluster {
    pub fn start() -> Self {
        let platform = MemoryPlatform::new(1);
        let settings = ClientSettings::default();
        let metrics = PlatformMetrics::unregistered().expect("metrics");
        let client = PlatformClient::new(Arc::new(platform.clone()), settings, metrics, 1);
        let reader = ViewReader::new(client.clone());
        let handle = reader.handle();
        let context = OperatorContext {
            node: "node-1".to_owned(),
            token: Token::new(TOKEN).expect("a token"),
            view: Arc::new(move || handle.current()),
            table: Table::new(client),
            status_cache: Arc::new(StatusCache::default()),
            clock: std::time::SystemTime::now,
        };
        let api = OperatorApi::new(context, &prometheus::Registry::new()).expect("an API");
        let runtime = Runtime::start(2).expect("threads");
        let listener = smol::block_on(TcpListener::bind("127.0.0.1:0")).expect("a port");
        let address = listener.local_addr().expect("an address");
        let serving = Server::serve(
            runtime.clone(),
            listener,
            Arc::new(api),
            operator_limits(),
            Shutdown::default(),
        );
        runtime.spawn(serving).detach();
        Self {
            platform,
            address,
            directory: directory(),
            reader,
            _runtime: runtime,
        }
    }

    /// Polls the platform once, so that the node's view includes its latest rows.
    pub fn poll(&mut self) {
        smol::block_on(self.reader.poll()).expect("a poll");
    }

    /// Writes a file into the directory of this test and returns its path.
    pub fn file(&self, name: &str, text: &str) -> String {
        let path = self.directory.join(name);
        fs::write(&path, text).expect("a file");
        path.display().to_string()
    }

    /// Runs `radishpin` with `args` against this API; replaces the test's directory by `DIR`.
    pub fn run(&self, args: &str) -> String {
        let text = run(self.address, TOKEN, args);
        text.replace(&self.directory.display().to_string(), "DIR")
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.directory);
    }
}

fn directory() -> PathBuf {
    let number = NEXT_DIRECTORY.fetch_add(1, Ordering::Relaxed);
    let name = format!("radishpin-operator-{}-{number}", std::process::id());
    let directory = env::temp_dir().join(name);
    fs::create_dir_all(&directory).expect("a directory");
    directory
}

/// Runs `radishpin` against the API at `address` and returns its exit code and output.
///
/// Request ids are removed and the address is replaced, because both differ between runs.
pub fn run(address: SocketAddr, token: &str, args: &str) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_radishpin"))
        .args(args.split_whitespace())
        .env("RADISHPIN_SERVER", address.to_string())
        .env("RADISHPIN_TOKEN", token)
        .output()
        .expect("the binary runs");
    let code = output.status.code().unwrap_or(-1);
    let out = String::from_utf8_lossy(&output.stdout);
    let err = String::from_utf8_lossy(&output.stderr);
    let text = format!("exit {code}\n{out}{err}");
    let lines = text
        .lines()
        .filter(|line| !line.starts_with("request id: "))
        .map(|line| line.replace(&address.to_string(), "ADDRESS"));
    lines.collect::<Vec<_>>().join("\n")
}
