//! The `key=value` words of a rule, and the forms of values.

use super::line::{Line, Word};
use crate::fault::{Fault, FaultKind};
use crate::names::{is_name, is_path};
use crate::words::Words;
use std::collections::{BTreeMap, BTreeSet};

/// Decimal places of a rate of loads.
const RATE_DECIMALS: usize = 3;

/// The `key=value` words of one rule. Each `take_*` removes a key, notes the
/// faults of its value and answers with the value when there is none.
#[derive(Debug)]
pub(super) struct Fields<'a, 'f> {
    line: &'a Line<'a>,
    rule: &'static str,
    values: BTreeMap<&'a str, Value<'a>>,
    faults: &'f mut Vec<Fault>,
}

/// A value with the column of its word.
#[derive(Clone, Copy, Debug)]
pub(super) struct Value<'a> {
    /// The text after `=`.
    pub(super) text: &'a str,
    /// Column of the `key=value` word.
    pub(super) column: usize,
}

impl<'a, 'f> Fields<'a, 'f> {
    /// Reads the words after the first `skip`.
    pub(super) fn read(
        line: &'a Line<'a>,
        rule: &'static str,
        skip: usize,
        faults: &'f mut Vec<Fault>,
    ) -> Self {
        let mut fields = Self {
            line,
            rule,
            values: BTreeMap::new(),
            faults,
        };
        for word in line.words.iter().skip(skip) {
            fields.add(*word);
        }
        fields
    }

    fn add(&mut self, word: Word<'a>) {
        let Some((key, text)) = word.text.split_once('=') else {
            let kind = FaultKind::UnexpectedWord {
                word: word.text.into(),
                rule: self.rule,
            };
            return self.note(word.column, kind);
        };
        let column = word.column;
        if self.values.contains_key(key) {
            return self.note(column, FaultKind::RepeatedKey { key: key.into() });
        }
        self.values.insert(key, Value { text, column });
    }

    fn note(&mut self, column: usize, kind: FaultKind) {
        self.faults.push(self.line.fault(column, kind));
    }

    /// Notes a bad value.
    fn bad<T>(&mut self, key: &str, value: Value<'_>, expected: &'static str) -> Option<T> {
        let kind = FaultKind::BadValue {
            key: key.into(),
            value: value.text.into(),
            expected,
        };
        self.note(value.column, kind);
        None
    }

    fn take(&mut self, key: &'static str) -> Option<Value<'a>> {
        let value = self.values.remove(key);
        if value.is_none() {
            let kind = FaultKind::MissingKey {
                key,
                rule: self.rule,
            };
            self.note(self.line.words[0].column, kind);
        }
        value
    }

    /// A name.
    pub(super) fn take_name(&mut self, key: &'static str) -> Option<(Box<str>, usize)> {
        let value = self.take(key)?;
        if !is_name(value.text) {
            let name = value.text.into();
            self.note(value.column, FaultKind::BadName { name });
            return None;
        }
        Some((value.text.into(), value.column))
    }

    /// Names with commas between them.
    pub(super) fn take_names(&mut self, key: &'static str) -> Option<BTreeSet<Box<str>>> {
        let value = self.take(key)?;
        if let Some(name) = value.text.split(',').find(|name| !is_name(name)) {
            let name = name.into();
            self.note(value.column, FaultKind::BadName { name });
            return None;
        }
        self.set(key, value)
    }

    /// Paths with commas between them; none when the key is absent.
    pub(super) fn take_paths(&mut self, key: &'static str) -> Option<BTreeSet<Box<str>>> {
        let Some(value) = self.values.remove(key) else {
            return Some(BTreeSet::new());
        };
        if !value.text.split(',').all(is_path) {
            return self.bad(key, value, "paths such as /prices,/stock");
        }
        self.set(key, value)
    }

    fn set(&mut self, key: &str, value: Value<'_>) -> Option<BTreeSet<Box<str>>> {
        let mut set = BTreeSet::new();
        for item in value.text.split(',') {
            if !set.insert(item.into()) {
                return self.bad(key, value, "each item once");
            }
        }
        Some(set)
    }

    /// A value of a closed set; the default when the key is absent.
    pub(super) fn take_word<T>(&mut self, key: &'static str) -> Option<T>
    where
        T: Default + Words,
    {
        let Some(value) = self.values.remove(key) else {
            return Some(T::default());
        };
        match T::of_word(value.text) {
            Some(word) => Some(word),
            None => self.bad(key, value, T::EXPECTED),
        }
    }

    /// Exactly this word.
    pub(super) fn take_exactly(&mut self, key: &'static str, word: &'static str) -> Option<()> {
        let value = self.take(key)?;
        if value.text == word {
            return Some(());
        }
        self.bad(key, value, word)
    }

    /// `yes` or `no`.
    pub(super) fn take_yes_no(&mut self, key: &'static str) -> Option<bool> {
        let value = self.take(key)?;
        match value.text {
            "yes" => Some(true),
            "no" => Some(false),
            _ => self.bad(key, value, "yes or no"),
        }
    }

    /// A whole number of at least 1.
    pub(super) fn take_count(&mut self, key: &'static str) -> Option<u32> {
        let value = self.take(key)?;
        match parse_count(value.text) {
            Some(count) => Some(count),
            None => self.bad(key, value, "a whole number of at least 1"),
        }
    }

    /// Whole requests a second, at least 1.
    pub(super) fn take_rate(&mut self, key: &'static str) -> Option<u32> {
        let value = self.take(key)?;
        match value.text.strip_suffix("/s").and_then(parse_count) {
            Some(rate) => Some(rate),
            None => self.bad(key, value, "a rate of at least 1/s, such as 20/s"),
        }
    }

    /// Thousandths of an event a second, at least 1.
    pub(super) fn take_fine_rate(&mut self, key: &'static str) -> Option<u32> {
        let value = self.take(key)?;
        match value.text.strip_suffix("/s").and_then(parse_thousandths) {
            Some(rate) => Some(rate),
            None => self.bad(key, value, "a rate of at least 0.001/s, such as 2.5/s"),
        }
    }

    /// Notes the keys that nobody took.
    pub(super) fn finish(mut self) {
        let rule = self.rule;
        for (key, value) in std::mem::take(&mut self.values) {
            let kind = FaultKind::UnknownKey {
                key: key.into(),
                rule,
            };
            self.note(value.column, kind);
        }
    }
}

fn parse_digits(text: &str) -> Option<u32> {
    if text.bytes().all(|b| b.is_ascii_digit()) {
        text.parse().ok()
    } else {
        None
    }
}

fn parse_count(text: &str) -> Option<u32> {
    parse_digits(text).filter(|count| *count > 0)
}

fn parse_thousandths(text: &str) -> Option<u32> {
    let (whole, decimals) = match text.split_once('.') {
        Some((_, "")) => return None,
        Some(parts) => parts,
        None => (text, "0"),
    };
    if decimals.len() > RATE_DECIMALS {
        return None;
    }
    let whole = parse_digits(whole)?.checked_mul(1_000)?;
    let thousandths = parse_digits(&format!("{decimals:0<RATE_DECIMALS$}"))?;
    whole.checked_add(thousandths).filter(|rate| *rate > 0)
}
