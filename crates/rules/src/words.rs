//! Words of the closed sets of values, as the rules file writes them.

use crate::model::{Admission, Class, Eviction, LoadOrdering, Objective, Placement};
use std::fmt;

/// A closed set of values that have one word each.
pub(crate) trait Words: Copy + 'static {
    /// The values.
    const ALL: &'static [Self];
    /// The words, for messages.
    const EXPECTED: &'static str;

    /// The word of the value.
    fn word(self) -> &'static str;

    /// The value of a word.
    fn of_word(word: &str) -> Option<Self> {
        Self::ALL.iter().find(|v| v.word() == word).copied()
    }
}

impl Words for Objective {
    const ALL: &'static [Self] = &[Self::LoadStalls, Self::BatchEfficiency];
    const EXPECTED: &'static str = "load-stalls or batch-efficiency";

    fn word(self) -> &'static str {
        match self {
            Self::LoadStalls => "load-stalls",
            Self::BatchEfficiency => "batch-efficiency",
        }
    }
}

impl Words for Eviction {
    const ALL: &'static [Self] = &[Self::Frequency, Self::Lru];
    const EXPECTED: &'static str = "frequency or lru";

    fn word(self) -> &'static str {
        match self {
            Self::Frequency => "frequency",
            Self::Lru => "lru",
        }
    }
}

impl Words for LoadOrdering {
    const ALL: &'static [Self] = &[Self::Value, Self::Fifo];
    const EXPECTED: &'static str = "value or fifo";

    fn word(self) -> &'static str {
        match self {
            Self::Value => "value",
            Self::Fifo => "fifo",
        }
    }
}

impl Words for Placement {
    const ALL: &'static [Self] = &[Self::Home, Self::Random];
    const EXPECTED: &'static str = "home or random";

    fn word(self) -> &'static str {
        match self {
            Self::Home => "home",
            Self::Random => "random",
        }
    }
}

impl Words for Admission {
    const ALL: &'static [Self] = &[Self::On, Self::Off];
    const EXPECTED: &'static str = "on or off";

    fn word(self) -> &'static str {
        match self {
            Self::On => "on",
            Self::Off => "off",
        }
    }
}

impl Words for Class {
    const ALL: &'static [Self] = &[Self::Lookup, Self::Standard, Self::Writing];
    const EXPECTED: &'static str = "lookup, standard or writing";

    fn word(self) -> &'static str {
        match self {
            Self::Lookup => "lookup",
            Self::Standard => "standard",
            Self::Writing => "writing",
        }
    }
}

impl fmt::Display for Objective {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.word())
    }
}

impl fmt::Display for Eviction {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.word())
    }
}

impl fmt::Display for LoadOrdering {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.word())
    }
}

impl fmt::Display for Placement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.word())
    }
}

impl fmt::Display for Admission {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.word())
    }
}

impl fmt::Display for Class {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.word())
    }
}
