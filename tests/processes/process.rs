//! A running `radishpin` process, and callers' requests to it.

use http_types::{Method, Request, Url};
use radishpin_http::{Client, ClientLimits};
use radishpin_runtime::Runtime;
use std::{
    io::{BufRead, BufReader, Read},
    net::SocketAddr,
    process::{Child, ChildStdout, Command, Stdio},
    time::Duration,
};

/// Looks at a state that must come, 20 ms apart.
const MAX_POLLS: u32 = 1_000;

/// Tokens for every process of the tests.
pub const TOKEN: &str = "0123456789abcdef";

/// A process that has said that it is ready; it is killed when dropped.
pub struct Process {
    child: Child,
    stdout: BufReader<ChildStdout>,
    /// Address in its first line.
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

    /// Reads the next line.
    pub fn line(&mut self) -> String {
        let mut line = String::new();
        self.stdout.read_line(&mut line).expect("its output");
        line.trim().to_owned()
    }

    /// Reads lines until one is empty.
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

    /// Asks it to stop by SIGTERM; exit code and the rest of its output.
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

/// An answer's status and body.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub body: String,
}

/// Sends a request; `None` where there is no connection or answer.
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

/// Sends a request until it is answered with 200.
pub fn send_until_served(address: SocketAddr, method: Method, path: &str, body: &str) -> Answer {
    let mut last = None;
    for _ in 0..MAX_POLLS {
        last = send(address, method, path, body);
        if let Some(answer) = last.take_if(|answer| answer.status == 200) {
            return answer;
        }
        smol::block_on(Runtime::sleep(Duration::from_millis(20)));
    }
    panic!("{path} was never served: {last:?}");
}
