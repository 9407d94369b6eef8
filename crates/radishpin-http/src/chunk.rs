//! Incremental parser of the chunked transfer coding; `httparse` parses the chunk sizes.

/// Maximum length of a line with a chunk's size and extensions.
const MAX_SIZE_LINE_BYTES: usize = 256;
/// Maximum total size of the trailers.
const MAX_TRAILER_BYTES: usize = 8 * 1024;
/// Line break, which also follows the data of each chunk.
const LINE_END: &[u8] = b"\r\n";

/// The bytes violate the chunked coding or exceed its limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct InvalidChunk;

/// Meaning of the next bytes of a chunked body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    /// The input is too short to decide.
    NeedMore,
    /// This many bytes are framing.
    Skip(usize),
    /// This many bytes are data.
    Data(usize),
    /// This many bytes are framing, and the body ends after them.
    End(usize),
}

/// What the scanner expects next.
#[derive(Clone, Copy, Debug)]
enum State {
    Size,
    Data { remaining: u64 },
    DataEnd,
    Trailers { seen_bytes: usize },
}

/// Parser of the chunked coding that buffers no input.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ChunkScanner {
    state: State,
}

impl ChunkScanner {
    /// Creates a scanner that expects the start of a body.
    pub(crate) fn new() -> Self {
        Self { state: State::Size }
    }

    /// Classifies the first bytes of `input`; the next call takes the bytes that follow them.
    ///
    /// # Errors
    /// The bytes violate the chunked coding, or a size line or the trailers are too long.
    pub(crate) fn next(&mut self, input: &[u8]) -> Result<Step, InvalidChunk> {
        match self.state {
            State::Size => self.size(input),
            State::Data { remaining } => Ok(self.data(remaining, input)),
            State::DataEnd => self.data_end(input),
            State::Trailers { seen_bytes } => self.trailers(seen_bytes, input),
        }
    }

    fn size(&mut self, input: &[u8]) -> Result<Step, InvalidChunk> {
        let Some(first) = input.first() else {
            return Ok(Step::NeedMore);
        };
        if !first.is_ascii_hexdigit() {
            return Err(InvalidChunk);
        }
        match httparse::parse_chunk_size(input) {
            Err(_) => Err(InvalidChunk),
            Ok(httparse::Status::Partial) if input.len() > MAX_SIZE_LINE_BYTES => Err(InvalidChunk),
            Ok(httparse::Status::Partial) => Ok(Step::NeedMore),
            Ok(httparse::Status::Complete((length, _))) if length > MAX_SIZE_LINE_BYTES => {
                Err(InvalidChunk)
            }
            Ok(httparse::Status::Complete((length, 0))) => {
                self.state = State::Trailers { seen_bytes: 0 };
                Ok(Step::Skip(length))
            }
            Ok(httparse::Status::Complete((length, remaining))) => {
                self.state = State::Data { remaining };
                Ok(Step::Skip(length))
            }
        }
    }

    fn data(&mut self, remaining: u64, input: &[u8]) -> Step {
        if input.is_empty() {
            return Step::NeedMore;
        }
        let limit = usize::try_from(remaining).unwrap_or(usize::MAX);
        let count = input.len().min(limit);
        let remaining = remaining - count as u64;
        self.state = match remaining {
            0 => State::DataEnd,
            _ => State::Data { remaining },
        };
        Step::Data(count)
    }

    fn data_end(&mut self, input: &[u8]) -> Result<Step, InvalidChunk> {
        if input.starts_with(LINE_END) {
            self.state = State::Size;
            return Ok(Step::Skip(LINE_END.len()));
        }
        match LINE_END.starts_with(input) {
            true => Ok(Step::NeedMore),
            false => Err(InvalidChunk),
        }
    }

    fn trailers(&mut self, seen_bytes: usize, input: &[u8]) -> Result<Step, InvalidChunk> {
        if input.starts_with(LINE_END) {
            return Ok(Step::End(LINE_END.len()));
        }
        let line = input.iter().position(|byte| *byte == b'\n');
        let length = line.map_or(input.len(), |end| end + 1);
        if seen_bytes + length > MAX_TRAILER_BYTES {
            return Err(InvalidChunk);
        }
        if line.is_none() {
            return Ok(Step::NeedMore);
        }
        self.state = State::Trailers {
            seen_bytes: seen_bytes + length,
        };
        Ok(Step::Skip(length))
    }
}
