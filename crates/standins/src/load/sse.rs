//! Incremental parser of server-sent events.

/// A server-sent event.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Event {
    /// Value of the `event:` line.
    pub name: Option<Box<str>>,
    /// Value of the `id:` line, if it is a number.
    pub id: Option<u64>,
    /// Values of the `data:` lines, joined by line feeds.
    pub data: Box<str>,
}

/// Splits a response body into events.
#[derive(Debug, Default)]
pub struct EventReader {
    buf: Vec<u8>,
    event: Event,
    has_data: bool,
}

impl EventReader {
    /// Processes the next piece of the body and returns the events that it
    /// completes.
    pub fn push(&mut self, piece: &[u8]) -> Vec<Event> {
        let mut events = Vec::new();
        for byte in piece {
            match byte {
                b'\n' => events.extend(self.end_line()),
                b'\r' => (),
                _ => self.buf.push(*byte),
            }
        }
        events
    }

    fn end_line(&mut self) -> Option<Event> {
        let line = std::mem::take(&mut self.buf);
        if line.is_empty() {
            return self.end_event();
        }
        let line = String::from_utf8_lossy(&line);
        let (field, value) = line.split_once(':').unwrap_or((&line, ""));
        self.on_field(field, value.strip_prefix(' ').unwrap_or(value));
        None
    }

    fn on_field(&mut self, field: &str, value: &str) {
        match field {
            "event" => self.event.name = Some(value.into()),
            "id" => self.event.id = value.parse().ok(),
            "data" => self.on_data(value),
            _ => (),
        }
    }

    fn on_data(&mut self, value: &str) {
        self.event.data = match self.has_data {
            true => format!("{}\n{value}", self.event.data).into(),
            false => value.into(),
        };
        self.has_data = true;
    }

    fn end_event(&mut self) -> Option<Event> {
        let event = std::mem::take(&mut self.event);
        let has_data = std::mem::take(&mut self.has_data);
        has_data.then_some(event)
    }
}
