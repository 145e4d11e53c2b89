//! Parser for server-sent events.

/// Incremental parser that accepts arbitrary chunks of a stream and returns complete events.
#[derive(Clone, Debug, Default)]
pub struct SseParser {
    pending: Vec<u8>,
    event_type: String,
    data: String,
    has_data: bool,
}

impl SseParser {
    /// Adds a chunk and returns the type and data of each event that it completes.
    ///
    /// The type is `message` if the event does not name one.
    pub fn push(&mut self, chunk: &[u8]) -> Vec<(String, String)> {
        self.pending.extend_from_slice(chunk);
        let mut events = Vec::new();
        let mut start = 0;
        while let Some(length) = self.pending[start..].iter().position(|b| *b == b'\n') {
            let line = String::from_utf8_lossy(&self.pending[start..start + length]).into_owned();
            start += length + 1;
            events.extend(self.parse_line(line.trim_end_matches('\r')));
        }
        self.pending.drain(..start);
        events
    }

    fn parse_line(&mut self, line: &str) -> Option<(String, String)> {
        if line.is_empty() {
            return self.dispatch();
        }
        let (name, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match name {
            "event" => self.event_type = value.to_owned(),
            "data" => {
                if self.has_data {
                    self.data.push('\n');
                }
                self.has_data = true;
                self.data.push_str(value);
            }
            _ => {}
        }
        None
    }

    fn dispatch(&mut self) -> Option<(String, String)> {
        let mut event_type = std::mem::take(&mut self.event_type);
        let data = std::mem::take(&mut self.data);
        if event_type.is_empty() {
            "message".clone_into(&mut event_type);
        }
        std::mem::take(&mut self.has_data).then_some((event_type, data))
    }
}
