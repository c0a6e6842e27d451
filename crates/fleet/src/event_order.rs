//! Whether an event of another instance goes on with a stream.
//!
//! The ids of a stream's events increase. An instance that takes a stream over has to begin
//! after the last event that the caller has; one that begins elsewhere would make the
//! caller miss events or get some twice.

use crate::WeightVersion;

/// What the caller has of a stream.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EventOrder {
    last: Option<Box<str>>,
    /// Difference between the ids of two events, as long as it is the same for all.
    step: Step,
    /// Version of the weights that the last event came from.
    version: Option<WeightVersion>,
}

#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Step {
    #[default]
    Unknown,
    Constant(u64),
    Varying,
}

/// Why an event doesn't go on with a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mismatch {
    /// Its id is not the next one.
    Id,
    /// It comes from another version of the weights, which the stream doesn't show.
    Version,
}

impl EventOrder {
    /// Creates the order of a stream of which the caller has the events up to `last`.
    #[must_use]
    pub fn after(last: Option<Box<str>>) -> Self {
        Self {
            last,
            ..Self::default()
        }
    }

    /// Id of the last event that the caller has.
    #[must_use]
    pub fn last(&self) -> Option<&str> {
        self.last.as_deref()
    }

    /// Records an event that the caller gets. `version` is that of the weights, if the
    /// event or the head before it names it.
    pub fn record(&mut self, id: Option<Box<str>>, version: Option<WeightVersion>) {
        self.version = version.or(self.version);
        let Some(id) = id else { return };
        let difference = number(self.last()).zip(number(Some(&id)));
        let difference = difference.map(|(last, id)| id.checked_sub(last));
        self.step = match (difference, self.step) {
            (None, step) => step,
            (Some(Some(step)), Step::Unknown) => Step::Constant(step),
            (Some(Some(step)), Step::Constant(known)) if step == known => Step::Constant(step),
            (Some(_), _) => Step::Varying,
        };
        self.last = Some(id);
    }

    /// Checks the first event of a response: its id, the version that the head of the
    /// response names, and the one that the event itself names since it changes there.
    ///
    /// # Errors
    /// When the event doesn't go on with the stream.
    pub fn check(
        &self,
        id: Option<&str>,
        head: Option<WeightVersion>,
        event: Option<WeightVersion>,
    ) -> Result<(), Mismatch> {
        if !self.is_next(id) {
            return Err(Mismatch::Id);
        }
        let differs = self.version.zip(head).is_some_and(|(a, b)| a != b);
        if differs && event != head {
            return Err(Mismatch::Version);
        }
        Ok(())
    }

    fn is_next(&self, id: Option<&str>) -> bool {
        let Some(last) = self.last() else { return true };
        let Some(id) = id else { return true };
        match (number(Some(last)), number(Some(id)), self.step) {
            (Some(last), Some(id), Step::Constant(step)) => Some(id) == last.checked_add(step),
            (Some(last), Some(id), Step::Unknown | Step::Varying) => id > last,
            (None, _, _) | (_, None, _) => id != last,
        }
    }
}

fn number(id: Option<&str>) -> Option<u64> {
    id?.parse().ok()
}
