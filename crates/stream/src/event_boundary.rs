//! Boundaries of events in a `text/event-stream`.

/// Follows the bytes of an event stream and tells whether they end inside an event.
///
/// An event ends with an empty line; a line ends with CR, LF or both.
#[derive(Clone, Copy, Debug)]
pub struct EventBoundary {
    line_is_empty: bool,
    after_cr: bool,
    is_inside: bool,
    events: u64,
}

impl Default for EventBoundary {
    fn default() -> Self {
        EventBoundary {
            line_is_empty: true,
            after_cr: false,
            is_inside: false,
            events: 0,
        }
    }
}

impl EventBoundary {
    /// Adds the next bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.push_byte(*byte);
        }
    }

    fn push_byte(&mut self, byte: u8) {
        let ends_crlf = byte == b'\n' && self.after_cr;
        self.after_cr = byte == b'\r';
        match byte {
            // The line has ended with the CR before.
            _ if ends_crlf => {}
            b'\r' | b'\n' => self.end_line(),
            _ => {
                self.line_is_empty = false;
                self.is_inside = true;
            }
        }
    }

    fn end_line(&mut self) {
        if self.line_is_empty && self.is_inside {
            self.is_inside = false;
            self.events += 1;
        }
        self.line_is_empty = true;
    }

    /// Returns whether the bytes end inside an event.
    pub fn is_inside(&self) -> bool {
        self.is_inside
    }

    /// Returns the number of whole events.
    pub fn events(&self) -> u64 {
        self.events
    }
}
