//! Finds the ends of events in a stream of server-sent events.

/// Incremental scanner for the blank lines that end events; lines end with LF, CRLF or CR.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventScanner {
    in_line: bool,
    in_event: bool,
    after_carriage_return: bool,
    events: u64,
    /// Bytes since the last event ended.
    event_bytes: u64,
}

impl EventScanner {
    /// Scans the next bytes of the stream; returns how many of them belong to events that are
    /// complete, 0 if no event ends within them.
    pub fn scan(&mut self, bytes: &[u8]) -> usize {
        let mut complete_bytes = 0;
        for (index, byte) in bytes.iter().enumerate() {
            self.advance(*byte);
            if !self.in_event {
                complete_bytes = index + 1;
            }
        }
        complete_bytes
    }

    fn advance(&mut self, byte: u8) {
        self.event_bytes += 1;
        let ends_pair = self.after_carriage_return && byte == b'\n';
        self.after_carriage_return = byte == b'\r';
        match byte {
            b'\n' if ends_pair => {}
            b'\n' | b'\r' if self.in_line => self.in_line = false,
            b'\n' | b'\r' => self.end_event(),
            _ => {
                self.in_line = true;
                self.in_event = true;
            }
        }
    }

    fn end_event(&mut self) {
        if self.in_event {
            self.events += 1;
        }
        self.in_event = false;
        self.event_bytes = 0;
    }

    /// Whether an event has begun and not ended.
    pub fn is_inside_event(&self) -> bool {
        self.in_event
    }

    /// Number of bytes since the last event ended.
    pub fn event_bytes(&self) -> u64 {
        self.event_bytes
    }

    /// Number of events that have ended.
    pub fn events(&self) -> u64 {
        self.events
    }
}
