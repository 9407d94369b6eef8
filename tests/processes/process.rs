//! Starts `radishpin` processes and sends requests to them.

use http_types::{Method, Request, Url};
use radishpin_http::{Client, ClientLimits};
use radishpin_runtime::Runtime;
use std::{
    io::{BufRead, BufReader, Read},
    net::SocketAddr,
    process::{Child, ChildStdout, Command, Stdio},
    time::Duration,
};

/// Number of attempts to get a response with status 200, 20 ms apart, before a test fails.
const MAX_POLLS: u32 = 1_000;

/// Operator token and internal token of all processes in these tests.
pub const TOKEN: &str = "0123456789abcdef";

/// A process that has printed its `ready` line; it is killed when dropped.
pub struct Process {
    child: Child,
    stdout: BufReader<ChildStdout>,
    /// Address from the `ready` line.
    pub address: SocketAddr,
}

impl Process {
    /// Starts `radishpin` and waits for its `ready` line.
    pub fn start(args: &str) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_radishpin"))
            .args(args.split_whitespace())
            .args(["--log-level", "error"])
            .env("RADISHPIN_TOKEN", TOKEN)
            .env("RADISHPIN_INTERNAL_TOKEN", TOKEN)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the binary starts");
        let mut stdout = BufReader::new(child.stdout.take().expect("its output"));
        let mut line = String::new();
        stdout.read_line(&mut line).expect("its first line");
        let address = line
            .trim()
            .strip_prefix("ready ")
            .map(|address| address.trim_start_matches("http://"))
            .and_then(|address| address.parse().ok());
        let Some(address) = address else {
            panic!("{args}: first line {line:?}");
        };
        Self {
            child,
            stdout,
            address,
        }
    }

    /// Reads the next line of standard output, without surrounding whitespace.
    pub fn line(&mut self) -> String {
        let mut line = String::new();
        self.stdout.read_line(&mut line).expect("its output");
        line.trim().to_owned()
    }

    /// Reads lines of standard output up to the next blank line.
    pub fn paragraph(&mut self) -> Vec<String> {
        let mut lines = Vec::new();
        loop {
            let line = self.line();
            if line.is_empty() {
                return lines;
            }
            lines.push(line);
        }
    }

    /// Sends SIGTERM; returns the exit code and the rest of standard output.
    pub fn terminate(mut self) -> (Option<i32>, String) {
        let sent = Command::new("kill")
            .args(["-TERM", &self.child.id().to_string()])
            .status()
            .expect("kill runs");
        assert!(sent.success());
        let mut rest = String::new();
        self.stdout.read_to_string(&mut rest).expect("its output");
        let status = self.child.wait().expect("its end");
        (status.code(), rest)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Status and body of a response.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub body: String,
}

/// Sends a request; returns `None` if the connection fails or the response is incomplete.
pub fn send(address: SocketAddr, method: Method, path: &str, body: &str) -> Option<Answer> {
    let url = Url::parse(&format!("http://{address}{path}")).expect("a URL");
    let mut request = Request::new(method, url);
    request.insert_header("authorization", format!("Bearer {TOKEN}"));
    request.insert_header("content-type", "application/json");
    request.set_body(body);
    smol::block_on(async {
        let client = Client::new(ClientLimits::default());
        let mut response = client.send(address, request).await.ok()?;
        Some(Answer {
            status: u16::from(response.status()),
            body: response.body_string().await.ok()?,
        })
    })
}

/// Retries a request until the response has status 200.
pub fn send_until_served(address: SocketAddr, method: Method, path: &str, body: &str) -> Answer {
    let mut last = None;
    for _ in 0..MAX_POLLS {
        last = send(address, method, path, body);
        if let Some(answer) = last.take_if(|answer| answer.status == 200) {
            return answer;
        }
        smol::block_on(Runtime::sleep(Duration::from_millis(20)));
    }
    panic!("{path}: no response with status 200 after {MAX_POLLS} attempts: {last:?}");
}
