//! Keywords of the rules file for the values of enums.

use crate::model::{Admission, Class, Eviction, LoadOrdering, Objective, Placement};
use std::fmt;

/// An enum whose values each have a keyword in the rules file.
pub(crate) trait Keyword: Copy + 'static {
    /// All values.
    const ALL: &'static [Self];
    /// The valid keywords, for fault messages.
    const EXPECTED: &'static str;

    /// Returns the keyword of the value.
    fn keyword(self) -> &'static str;

    /// Returns the value of a keyword.
    fn from_keyword(keyword: &str) -> Option<Self> {
        Self::ALL.iter().find(|v| v.keyword() == keyword).copied()
    }
}

impl Keyword for Objective {
    const ALL: &'static [Self] = &[Self::LoadStalls, Self::BatchEfficiency];
    const EXPECTED: &'static str = "load-stalls or batch-efficiency";

    fn keyword(self) -> &'static str {
        match self {
            Self::LoadStalls => "load-stalls",
            Self::BatchEfficiency => "batch-efficiency",
        }
    }
}

impl Keyword for Eviction {
    const ALL: &'static [Self] = &[Self::Frequency, Self::Lru];
    const EXPECTED: &'static str = "frequency or lru";

    fn keyword(self) -> &'static str {
        match self {
            Self::Frequency => "frequency",
            Self::Lru => "lru",
        }
    }
}

impl Keyword for LoadOrdering {
    const ALL: &'static [Self] = &[Self::Value, Self::Fifo];
    const EXPECTED: &'static str = "value or fifo";

    fn keyword(self) -> &'static str {
        match self {
            Self::Value => "value",
            Self::Fifo => "fifo",
        }
    }
}

impl Keyword for Placement {
    const ALL: &'static [Self] = &[Self::Home, Self::Random];
    const EXPECTED: &'static str = "home or random";

    fn keyword(self) -> &'static str {
        match self {
            Self::Home => "home",
            Self::Random => "random",
        }
    }
}

impl Keyword for Admission {
    const ALL: &'static [Self] = &[Self::On, Self::Off];
    const EXPECTED: &'static str = "on or off";

    fn keyword(self) -> &'static str {
        match self {
            Self::On => "on",
            Self::Off => "off",
        }
    }
}

impl Keyword for Class {
    const ALL: &'static [Self] = &[Self::Lookup, Self::Standard, Self::Writing];
    const EXPECTED: &'static str = "lookup, standard or writing";

    fn keyword(self) -> &'static str {
        match self {
            Self::Lookup => "lookup",
            Self::Standard => "standard",
            Self::Writing => "writing",
        }
    }
}

impl fmt::Display for Objective {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.keyword())
    }
}

impl fmt::Display for Eviction {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.keyword())
    }
}

impl fmt::Display for LoadOrdering {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.keyword())
    }
}

impl fmt::Display for Placement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.keyword())
    }
}

impl fmt::Display for Admission {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.keyword())
    }
}

impl fmt::Display for Class {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.keyword())
    }
}
