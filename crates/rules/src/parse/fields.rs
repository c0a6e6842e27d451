//! Parser of the `key=value` words of a rule.

use super::line::{Line, Span};
use crate::fault::{Fault, FaultKind};
use crate::keywords::Keyword;
use crate::names::{is_name, is_repeatable_path};
use std::collections::{BTreeMap, BTreeSet};

/// Decimal places allowed in a rate of loads.
const RATE_DECIMALS: usize = 3;

/// The `key=value` words of one rule. Each `take_*` removes a key, reports the
/// faults of its value and returns the value when it has none.
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
    /// Collects the fields from the words after the first `skip`.
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

    fn add(&mut self, word: Span<'a>) {
        let Some((key, text)) = word.text.split_once('=') else {
            let kind = FaultKind::UnexpectedWord {
                word: word.text.into(),
                rule: self.rule,
            };
            return self.report(word.column, kind);
        };
        let column = word.column;
        if self.values.contains_key(key) {
            return self.report(column, FaultKind::RepeatedKey { key: key.into() });
        }
        self.values.insert(key, Value { text, column });
    }

    fn report(&mut self, column: usize, kind: FaultKind) {
        self.faults.push(self.line.fault(column, kind));
    }

    /// Reports an invalid value.
    fn bad_value<T>(&mut self, key: &str, value: Value<'_>, expected: &'static str) -> Option<T> {
        let kind = FaultKind::BadValue {
            key: key.into(),
            value: value.text.into(),
            expected,
        };
        self.report(value.column, kind);
        None
    }

    /// Takes a required value; reports the key as missing when it is absent.
    fn take(&mut self, key: &'static str) -> Option<Value<'a>> {
        let value = self.values.remove(key);
        if value.is_none() {
            let kind = FaultKind::MissingKey {
                key,
                rule: self.rule,
            };
            self.report(self.line.words[0].column, kind);
        }
        value
    }

    /// Takes a name; returns it with the column of its word.
    pub(super) fn take_name(&mut self, key: &'static str) -> Option<(Box<str>, usize)> {
        let value = self.take(key)?;
        if !is_name(value.text) {
            let name = value.text.into();
            self.report(value.column, FaultKind::BadName { name });
            return None;
        }
        Some((value.text.into(), value.column))
    }

    /// Takes names separated by commas.
    pub(super) fn take_names(&mut self, key: &'static str) -> Option<BTreeSet<Box<str>>> {
        let value = self.take(key)?;
        if let Some(name) = value.text.split(',').find(|name| !is_name(name)) {
            let name = name.into();
            self.report(value.column, FaultKind::BadName { name });
            return None;
        }
        self.parse_set(key, value)
    }

    /// Takes paths separated by commas; returns an empty set when the key is absent.
    pub(super) fn take_paths(&mut self, key: &'static str) -> Option<BTreeSet<Box<str>>> {
        let Some(value) = self.values.remove(key) else {
            return Some(BTreeSet::new());
        };
        if !value.text.split(',').all(is_repeatable_path) {
            return self.bad_value(key, value, "paths such as /prices,/stock");
        }
        self.parse_set(key, value)
    }

    fn parse_set(&mut self, key: &str, value: Value<'_>) -> Option<BTreeSet<Box<str>>> {
        let mut set = BTreeSet::new();
        for item in value.text.split(',') {
            if !set.insert(item.into()) {
                return self.bad_value(key, value, "each item once");
            }
        }
        Some(set)
    }

    /// Takes an enum value; returns the default when the key is absent.
    pub(super) fn take_keyword<T>(&mut self, key: &'static str) -> Option<T>
    where
        T: Default + Keyword,
    {
        let Some(value) = self.values.remove(key) else {
            return Some(T::default());
        };
        match T::from_keyword(value.text) {
            Some(found) => Some(found),
            None => self.bad_value(key, value, T::EXPECTED),
        }
    }

    /// Takes a value that has to be `word`.
    pub(super) fn take_exactly(&mut self, key: &'static str, word: &'static str) -> Option<()> {
        let value = self.take(key)?;
        if value.text == word {
            return Some(());
        }
        self.bad_value(key, value, word)
    }

    /// Takes `yes` or `no`.
    pub(super) fn take_yes_no(&mut self, key: &'static str) -> Option<bool> {
        let value = self.take(key)?;
        match value.text {
            "yes" => Some(true),
            "no" => Some(false),
            _ => self.bad_value(key, value, "yes or no"),
        }
    }

    /// Takes a whole number of at least 1.
    pub(super) fn take_count(&mut self, key: &'static str) -> Option<u32> {
        let value = self.take(key)?;
        match parse_count(value.text) {
            Some(count) => Some(count),
            None => self.bad_value(key, value, "a whole number of at least 1"),
        }
    }

    /// Takes a rate in whole requests per second, at least 1.
    pub(super) fn take_rate(&mut self, key: &'static str) -> Option<u32> {
        let value = self.take(key)?;
        match value.text.strip_suffix("/s").and_then(parse_count) {
            Some(rate) => Some(rate),
            None => self.bad_value(key, value, "a rate of at least 1/s, such as 20/s"),
        }
    }

    /// Takes a rate with decimals; returns events per 1,000 seconds, at least 1.
    pub(super) fn take_fractional_rate(&mut self, key: &'static str) -> Option<u32> {
        let value = self.take(key)?;
        match value.text.strip_suffix("/s").and_then(parse_thousandths) {
            Some(rate) => Some(rate),
            None => self.bad_value(key, value, "a rate of at least 0.001/s, such as 2.5/s"),
        }
    }

    /// Reports each key that was not taken as unknown.
    pub(super) fn finish(mut self) {
        let rule = self.rule;
        for (key, value) in std::mem::take(&mut self.values) {
            let kind = FaultKind::UnknownKey {
                key: key.into(),
                rule,
            };
            self.report(value.column, kind);
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
