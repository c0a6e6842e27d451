//! A rule of the file with its comment, and the canonical form of rules.

use crate::model::{
    AdapterName, AdapterRule, GroupName, GroupRule, LimitRule, LimitScope, LoadsRule, Rules,
    ServiceName, ServiceRule,
};
use std::collections::BTreeMap;
use std::fmt;

/// A line that holds a rule.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RuleLine {
    /// Number of the line, counted from 1.
    pub number: usize,
    /// The rule.
    pub rule: Rule,
    /// The comment without its `#`, trimmed; it names who requested the rule.
    pub comment: Box<str>,
}

/// One rule.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Rule {
    /// An adapter that callers may name.
    Adapter(AdapterName, AdapterRule),
    /// A group of model engines.
    Group(GroupName, GroupRule),
    /// A limit on requests.
    Limit(LimitScope, LimitRule),
    /// Limits on adapter loads from the weight store.
    Loads(LoadsRule),
    /// A plain service.
    Service(ServiceName, ServiceRule),
}

/// Identity of a rule. A file holds at most one rule with each identity.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum RuleId {
    /// An adapter.
    Adapter(AdapterName),
    /// A group of model engines.
    Group(GroupName),
    /// The limit of a scope.
    Limit(LimitScope),
    /// The limits on adapter loads from the weight store.
    Loads,
    /// A plain service.
    Service(ServiceName),
}

impl Rule {
    /// Returns the identity of the rule.
    #[must_use]
    pub fn id(&self) -> RuleId {
        match self {
            Self::Adapter(name, _) => RuleId::Adapter(name.clone()),
            Self::Group(name, _) => RuleId::Group(name.clone()),
            Self::Limit(scope, _) => RuleId::Limit(scope.clone()),
            Self::Loads(_) => RuleId::Loads,
            Self::Service(name, _) => RuleId::Service(name.clone()),
        }
    }
}

impl Rules {
    /// Returns the rules as a list: groups, limits on adapter loads, adapters,
    /// services, limits on requests, each kind ordered by name.
    #[must_use]
    pub fn to_list(&self) -> Vec<Rule> {
        let mut list = Vec::new();
        list.extend(rules_of(&self.groups, Rule::Group));
        list.push(Rule::Loads(self.loads));
        list.extend(rules_of(&self.adapters, Rule::Adapter));
        list.extend(rules_of(&self.services, Rule::Service));
        list.extend(rules_of(&self.limits, Rule::Limit));
        list
    }

    /// Adds a rule, or replaces the one with the same identity.
    pub fn insert(&mut self, rule: Rule) {
        match rule {
            Rule::Adapter(name, rule) => drop(self.adapters.insert(name, rule)),
            Rule::Group(name, rule) => drop(self.groups.insert(name, rule)),
            Rule::Limit(scope, rule) => drop(self.limits.insert(scope, rule)),
            Rule::Loads(rule) => self.loads = rule,
            Rule::Service(name, rule) => drop(self.services.insert(name, rule)),
        }
    }
}

fn rules_of<K, V, F>(map: &BTreeMap<K, V>, make: F) -> impl Iterator<Item = Rule> + use<'_, K, V, F>
where
    K: Clone,
    V: Clone,
    F: Fn(K, V) -> Rule,
{
    map.iter().map(move |(k, v)| make(k.clone(), v.clone()))
}

/// Writes rules in their canonical form, one on each line, with the comment
/// `asked by REQUESTER`. Parsing the text yields the same rules if they are valid and
/// `requester` has a letter before any `,`, `;` or `(`.
#[must_use]
pub fn render(rules: &Rules, requester: &str) -> String {
    let mut text = String::new();
    for rule in rules.to_list() {
        text.push_str(&format!("{rule}  # asked by {requester}\n"));
    }
    text
}

impl fmt::Display for Rule {
    /// Writes the canonical form, without the comment.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Adapter(_, rule) => write!(f, "{} {rule}", self.id()),
            Self::Group(_, rule) => write!(f, "{} {rule}", self.id()),
            Self::Limit(_, rule) => write!(f, "{} {rule}", self.id()),
            Self::Loads(rule) => write!(f, "{} {rule}", self.id()),
            Self::Service(_, rule) => write!(f, "{}{rule}", self.id()),
        }
    }
}

impl fmt::Display for RuleId {
    /// Writes the first words of the canonical form.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Adapter(name) => write!(f, "adapter {name}"),
            Self::Group(name) => write!(f, "group {name}"),
            Self::Limit(scope) => write!(f, "limit {scope}"),
            Self::Loads => f.write_str("loads"),
            Self::Service(name) => write!(f, "service {name}"),
        }
    }
}

impl fmt::Display for LimitScope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::EachAdapter => f.write_str("each-adapter"),
            Self::Adapter(name) => write!(f, "adapter={name}"),
            Self::Class(class) => write!(f, "class={class}"),
        }
    }
}

impl fmt::Display for AdapterRule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let repeatable = if self.repeatable { "yes" } else { "no" };
        write!(f, "group={} versions=", self.group)?;
        write_list(f, &self.versions)?;
        write!(f, " repeatable={repeatable}")
    }
}

impl fmt::Display for GroupRule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "kind=engine base={}", self.base)?;
        write!(f, " objective={}", self.objective)?;
        write!(f, " eviction={}", self.eviction)?;
        write!(f, " load-ordering={}", self.load_ordering)?;
        write!(f, " placement={}", self.placement)?;
        write!(f, " admission={}", self.admission)
    }
}

impl fmt::Display for LimitRule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "rate={}/s burst={}", self.rate, self.burst)
    }
}

impl fmt::Display for LoadsRule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let whole = self.per_1000_s / 1_000;
        let thousandths = self.per_1000_s % 1_000;
        write!(f, "rate={whole}")?;
        if thousandths > 0 {
            write!(f, ".{thousandths:03}")?;
        }
        write!(f, "/s in-flight={}", self.in_flight)
    }
}

impl fmt::Display for ServiceRule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, " group={}", self.group)?;
        if self.repeatable_paths.is_empty() {
            return Ok(());
        }
        f.write_str(" repeatable-paths=")?;
        write_list(f, &self.repeatable_paths)
    }
}

fn write_list<'a, I>(f: &mut fmt::Formatter<'_>, items: I) -> fmt::Result
where
    I: IntoIterator<Item = &'a Box<str>>,
{
    for (i, item) in items.into_iter().enumerate() {
        if i > 0 {
            f.write_str(",")?;
        }
        f.write_str(item)?;
    }
    Ok(())
}
