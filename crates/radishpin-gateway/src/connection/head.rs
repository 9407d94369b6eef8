//! Reads the head of a request into a buffer that grows with it, before the HTTP library allocates its own.

use smol::{io::AsyncRead, net::TcpStream};
use std::{
    future::poll_fn,
    io,
    pin::Pin,
    task::{Context, Poll},
};

/// Bytes that are read at a time.
const READ_BYTES: usize = 4 * 1024;
/// Header fields that are parsed to find out whether the start of a head is malformed.
const CHECKED_FIELDS: usize = 16;

/// Bytes that a request takes on its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestLength {
    /// Head and body together.
    Known(u64),
    /// The body ends with its last chunk, or only the HTTP library can tell.
    Unknown,
}

/// The head of a request, as far as it matters to its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Head {
    pub(super) length: RequestLength,
    /// Upper bound on the number of header fields.
    pub(super) fields: usize,
}

impl Head {
    /// What the HTTP library is to reject: it is malformed, or too long.
    fn rejected(bytes: &[u8]) -> Self {
        Self {
            length: RequestLength::Unknown,
            fields: count_lines(bytes),
        }
    }

    /// Reads the framing of a complete head.
    fn parse(head: &[u8]) -> Self {
        let lines = head.split(|byte| *byte == b'\n').skip(1);
        let mut length = Some(0);
        let mut lengths = 0;
        for line in lines {
            if line
                .first()
                .is_some_and(|first| matches!(first, b' ' | b'\t'))
            {
                // A continued line; its field may be one of those below.
                length = None;
                continue;
            }
            let mut parts = line.splitn(2, |byte| *byte == b':');
            let name = parts.next().unwrap_or_default().trim_ascii();
            let value = parts.next().unwrap_or_default().trim_ascii();
            if name.eq_ignore_ascii_case(b"content-length") {
                lengths += 1;
                length = parse_length(value).filter(|_| lengths == 1 && length.is_some());
            } else if name.eq_ignore_ascii_case(b"transfer-encoding")
                || name.eq_ignore_ascii_case(b"upgrade")
            {
                length = None;
            }
        }
        let total = length.and_then(|body: u64| body.checked_add(head.len() as u64));
        let is_connect = head.starts_with(b"CONNECT");
        Self {
            length: match total.filter(|_| !is_connect) {
                Some(total) => RequestLength::Known(total),
                None => RequestLength::Unknown,
            },
            fields: count_lines(head),
        }
    }
}

fn parse_length(value: &[u8]) -> Option<u64> {
    let is_number = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
    str::from_utf8(value)
        .ok()
        .filter(|_| is_number)?
        .parse()
        .ok()
}

fn count_lines(bytes: &[u8]) -> usize {
    bytes.iter().filter(|byte| **byte == b'\n').count()
}

/// Looks for the end of a head in a buffer that grows.
#[derive(Debug, Default)]
pub(super) struct HeadScan {
    /// Bytes that contain no end of a head.
    scanned: usize,
    /// Length from which on the head is checked again, twice that of the last check.
    checked_from: usize,
}

impl HeadScan {
    /// Returns the head once the buffer holds all of it, or enough of it for the HTTP library to reject it.
    pub(super) fn scan(&mut self, buffer: &mut Vec<u8>, bytes_max: usize) -> Option<Head> {
        if self.scanned == 0 {
            let blank = buffer
                .iter()
                .take_while(|byte| matches!(byte, b'\r' | b'\n'));
            let blank = blank.count();
            buffer.drain(..blank);
        }
        if let Some(end) = self.find_end(buffer) {
            return Some(Head::parse(&buffer[..end]));
        }
        if buffer.len() >= bytes_max || self.is_malformed(buffer) {
            return Some(Head::rejected(buffer));
        }
        None
    }

    fn find_end(&mut self, buffer: &[u8]) -> Option<usize> {
        let from = self.scanned.saturating_sub(2);
        for (position, _) in buffer[from..]
            .iter()
            .enumerate()
            .filter(|(_, byte)| **byte == b'\n')
        {
            let position = from + position;
            match &buffer[position + 1..] {
                [b'\n', ..] => return Some(position + 2),
                [b'\r', b'\n', ..] => return Some(position + 3),
                _ => {}
            }
        }
        self.scanned = buffer.len();
        None
    }

    fn is_malformed(&mut self, buffer: &[u8]) -> bool {
        if buffer.is_empty() || buffer.len() < self.checked_from {
            return false;
        }
        self.checked_from = buffer.len() * 2;
        let mut fields = [httparse::EMPTY_HEADER; CHECKED_FIELDS];
        match httparse::Request::new(&mut fields).parse(buffer) {
            Ok(_) | Err(httparse::Error::TooManyHeaders) => false,
            Err(_) => true,
        }
    }
}

/// Reads what has arrived into `buffer`, which then has at most `bytes_max` bytes; returns their number.
pub(super) async fn read_more(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    bytes_max: usize,
) -> io::Result<usize> {
    poll_fn(|context| poll_read_more(stream, buffer, bytes_max, context)).await
}

/// The chunk lies on the stack, so that a connection that waits has no buffer for it.
fn poll_read_more(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    bytes_max: usize,
    context: &mut Context<'_>,
) -> Poll<io::Result<usize>> {
    let mut chunk = [0; READ_BYTES];
    let room = bytes_max.saturating_sub(buffer.len()).min(READ_BYTES);
    let read = Pin::new(stream).poll_read(context, &mut chunk[..room]);
    if let Poll::Ready(Ok(bytes)) = &read {
        buffer.extend_from_slice(&chunk[..*bytes]);
    }
    read
}
