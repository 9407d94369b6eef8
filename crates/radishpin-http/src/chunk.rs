//! Finds the data in a chunked body; sizes are parsed by `httparse`.

/// Longest line with a chunk's size and extensions.
const SIZE_LINE_BYTES: usize = 256;
/// Most bytes of trailers.
const TRAILER_BYTES: usize = 8 * 1024;
/// End of a line and of a chunk's data.
const LINE_END: &[u8] = b"\r\n";

/// The body breaks the chunked coding.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct BadChunk;

/// What the next bytes of a chunked body are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    /// More bytes are needed to tell.
    Need,
    /// This many bytes are framing.
    Skip(usize),
    /// This many bytes are data.
    Data(usize),
    /// This many bytes are framing, and end the body.
    End(usize),
}

/// Place within a chunked body.
#[derive(Clone, Copy, Debug)]
enum State {
    Size,
    Data { left: u64 },
    DataEnd,
    Trailers { seen_bytes: usize },
}

/// Reader of the chunked coding that holds no bytes itself.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ChunkScanner {
    state: State,
}

impl ChunkScanner {
    /// A scanner at the start of a body.
    pub(crate) fn new() -> Self {
        Self { state: State::Size }
    }

    /// Tells what the first bytes of `input` are; the caller passes the bytes after them next.
    ///
    /// # Errors
    /// The bytes are no chunked body.
    pub(crate) fn next(&mut self, input: &[u8]) -> Result<Step, BadChunk> {
        match self.state {
            State::Size => self.size(input),
            State::Data { left } => Ok(self.data(left, input)),
            State::DataEnd => self.data_end(input),
            State::Trailers { seen_bytes } => self.trailers(seen_bytes, input),
        }
    }

    fn size(&mut self, input: &[u8]) -> Result<Step, BadChunk> {
        let Some(first) = input.first() else {
            return Ok(Step::Need);
        };
        if !first.is_ascii_hexdigit() {
            return Err(BadChunk);
        }
        match httparse::parse_chunk_size(input) {
            Err(_) => Err(BadChunk),
            Ok(httparse::Status::Partial) if input.len() > SIZE_LINE_BYTES => Err(BadChunk),
            Ok(httparse::Status::Partial) => Ok(Step::Need),
            Ok(httparse::Status::Complete((length, _))) if length > SIZE_LINE_BYTES => {
                Err(BadChunk)
            }
            Ok(httparse::Status::Complete((length, 0))) => {
                self.state = State::Trailers { seen_bytes: 0 };
                Ok(Step::Skip(length))
            }
            Ok(httparse::Status::Complete((length, left))) => {
                self.state = State::Data { left };
                Ok(Step::Skip(length))
            }
        }
    }

    fn data(&mut self, left: u64, input: &[u8]) -> Step {
        if input.is_empty() {
            return Step::Need;
        }
        let limit = usize::try_from(left).unwrap_or(usize::MAX);
        let count = input.len().min(limit);
        let left = left - count as u64;
        self.state = match left {
            0 => State::DataEnd,
            _ => State::Data { left },
        };
        Step::Data(count)
    }

    fn data_end(&mut self, input: &[u8]) -> Result<Step, BadChunk> {
        if input.starts_with(LINE_END) {
            self.state = State::Size;
            return Ok(Step::Skip(LINE_END.len()));
        }
        match LINE_END.starts_with(input) {
            true => Ok(Step::Need),
            false => Err(BadChunk),
        }
    }

    fn trailers(&mut self, seen_bytes: usize, input: &[u8]) -> Result<Step, BadChunk> {
        if input.starts_with(LINE_END) {
            return Ok(Step::End(LINE_END.len()));
        }
        let line = input.iter().position(|byte| *byte == b'\n');
        let length = line.map_or(input.len(), |end| end + 1);
        if seen_bytes + length > TRAILER_BYTES {
            return Err(BadChunk);
        }
        if line.is_none() {
            return Ok(Step::Need);
        }
        self.state = State::Trailers {
            seen_bytes: seen_bytes + length,
        };
        Ok(Step::Skip(length))
    }
}
