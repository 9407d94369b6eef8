//! Requests as bytes, for what no HTTP client would send.

use radishpin_local::LocalCluster;
use serde_json::Value;
use std::{
    fmt,
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// Longest wait for an answer; a bound on hanging, not on speed.
const ANSWER_WAIT: Duration = Duration::from_secs(60);

/// What came back on a connection.
#[derive(Debug)]
pub struct RawAnswer {
    pub status: u16,
    pub head: String,
    pub body: String,
}

impl RawAnswer {
    /// What a refusal says of whether the call ran; empty for an answer.
    pub fn ran(&self) -> String {
        let json: Value = serde_json::from_str(&self.body).unwrap_or(Value::Null);
        json["error"]["ran"].as_str().unwrap_or_default().to_owned()
    }
}

impl fmt::Display for RawAnswer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let json: Value = serde_json::from_str(&self.body).unwrap_or(Value::Null);
        match json["error"]["code"].as_u64() {
            Some(code) => write!(f, "{} {code} ran={}", self.status, self.ran()),
            None => write!(f, "{} ok", self.status),
        }
    }
}

/// The address for callers of the first node.
pub fn callers_address(cluster: &LocalCluster) -> SocketAddr {
    cluster.addresses()[0]
}

/// Sends a request line, header lines and a body on a connection of its own.
pub fn exchange(address: SocketAddr, line: &[u8], headers: &[&[u8]], body: &[u8]) -> RawAnswer {
    let mut bytes = [line, b" HTTP/1.1\r\nhost: node\r\nconnection: close\r\n"].concat();
    for header in headers {
        bytes.extend_from_slice(header);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(format!("content-length: {}\r\n\r\n", body.len()).as_bytes());
    bytes.extend_from_slice(body);
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(ANSWER_WAIT)).unwrap();
    stream.write_all(&bytes).unwrap();
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).unwrap();
    let text = String::from_utf8_lossy(&answer).into_owned();
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    let status = head
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    RawAnswer {
        status: status.unwrap_or_else(|| panic!("no answer: {text:?}")),
        head: head.to_owned(),
        body: body.to_owned(),
    }
}
