//! Parser of the words of a line as a rule.

use super::consistency::Consistency;
use super::fields::Fields;
use super::line::{Line, Span};
use crate::fault::{Fault, FaultKind};
use crate::keywords::Keyword;
use crate::model::{AdapterRule, Class, GroupRule, LimitRule, LimitScope, LoadsRule, ServiceRule};
use crate::names::is_name;
use crate::rule::{Rule, RuleId};

/// Parses a rule, reports its faults, and records its references to other rules.
pub(super) fn parse_rule(
    line: &Line<'_>,
    consistency: &mut Consistency,
    faults: &mut Vec<Fault>,
) -> Option<Rule> {
    let mut parser = RuleParser {
        line,
        consistency,
        faults,
    };
    match line.words[0].text {
        "adapter" => parser.parse_adapter(),
        "group" => parser.parse_group(),
        "limit" => parser.parse_limit(),
        "loads" => parser.parse_loads(),
        "service" => parser.parse_service(),
        word => {
            let word = word.into();
            parser.report(line.words[0].column, FaultKind::UnknownWord { word });
            None
        }
    }
}

/// Parser of one line.
struct RuleParser<'a, 'f> {
    line: &'a Line<'a>,
    consistency: &'f mut Consistency,
    faults: &'f mut Vec<Fault>,
}

impl<'a> RuleParser<'a, '_> {
    fn parse_adapter(&mut self) -> Option<Rule> {
        let name = self.parse_name("adapter");
        self.declare(name.clone().map(RuleId::Adapter));
        let mut fields = self.fields("adapter", 2);
        let group = fields.take_name("group");
        let versions = fields.take_names("versions");
        let repeatable = fields.take_yes_no("repeatable");
        fields.finish();
        let (group, column) = group?;
        self.consistency
            .require_engine_group(self.line, column, group.clone());
        let rule = AdapterRule {
            group,
            versions: versions?,
            repeatable: repeatable?,
        };
        Some(Rule::Adapter(name?, rule))
    }

    fn parse_group(&mut self) -> Option<Rule> {
        let name = self.parse_name("group");
        self.declare(name.clone().map(RuleId::Group));
        let mut fields = self.fields("group", 2);
        let kind = fields.take_exactly("kind", "engine");
        let base = fields.take_name("base");
        let objective = fields.take_keyword("objective");
        let eviction = fields.take_keyword("eviction");
        let load_ordering = fields.take_keyword("load-ordering");
        let placement = fields.take_keyword("placement");
        let admission = fields.take_keyword("admission");
        fields.finish();
        kind?;
        let rule = GroupRule {
            base: base?.0,
            objective: objective?,
            eviction: eviction?,
            load_ordering: load_ordering?,
            placement: placement?,
            admission: admission?,
        };
        Some(Rule::Group(name?, rule))
    }

    fn parse_limit(&mut self) -> Option<Rule> {
        let scope = self.parse_scope();
        self.declare(scope.clone().map(RuleId::Limit));
        let mut fields = self.fields("limit", 2);
        let rate = fields.take_rate("rate");
        let burst = fields.take_count("burst");
        fields.finish();
        let rule = LimitRule {
            rate: rate?,
            burst: burst?,
        };
        Some(Rule::Limit(scope?, rule))
    }

    fn parse_loads(&mut self) -> Option<Rule> {
        self.declare(Some(RuleId::Loads));
        let mut fields = self.fields("loads", 1);
        let per_1000_s = fields.take_fractional_rate("rate");
        let in_flight = fields.take_count("in-flight");
        fields.finish();
        let rule = LoadsRule {
            per_1000_s: per_1000_s?,
            in_flight: in_flight?,
        };
        Some(Rule::Loads(rule))
    }

    fn parse_service(&mut self) -> Option<Rule> {
        let name = self.parse_name("service");
        self.declare(name.clone().map(RuleId::Service));
        let mut fields = self.fields("service", 2);
        let group = fields.take_name("group");
        let repeatable_paths = fields.take_paths("repeatable-paths");
        fields.finish();
        let (group, column) = group?;
        self.consistency
            .forbid_engine_group(self.line, column, group.clone());
        let rule = ServiceRule {
            group,
            repeatable_paths: repeatable_paths?,
        };
        Some(Rule::Service(name?, rule))
    }

    /// Parses the second word as a name.
    fn parse_name(&mut self, rule: &'static str) -> Option<Box<str>> {
        let word = self.second_word(rule, "a name")?;
        self.valid_name(word.column, word.text)
    }

    /// Parses the second word as the scope of a limit.
    fn parse_scope(&mut self) -> Option<LimitScope> {
        let word = self.second_word("limit", "each-adapter, adapter=NAME or class=CLASS")?;
        match word.text.split_once('=') {
            None if word.text == "each-adapter" => Some(LimitScope::EachAdapter),
            Some(("adapter", name)) => {
                let name = self.valid_name(word.column, name)?;
                self.consistency
                    .require_adapter(self.line, word.column, name.clone());
                Some(LimitScope::Adapter(name))
            }
            Some(("class", class)) => self.parse_class(word.column, class),
            _ => {
                let kind = FaultKind::BadValue {
                    key: "limit".into(),
                    value: word.text.into(),
                    expected: "each-adapter, adapter=NAME or class=CLASS",
                };
                self.report(word.column, kind);
                None
            }
        }
    }

    fn parse_class(&mut self, column: usize, word: &str) -> Option<LimitScope> {
        let class = Class::from_keyword(word);
        if class.is_none() {
            let kind = FaultKind::BadValue {
                key: "class".into(),
                value: word.into(),
                expected: Class::EXPECTED,
            };
            self.report(column, kind);
        }
        class.map(LimitScope::Class)
    }

    /// Returns the second word; reports a fault when there is none.
    fn second_word(&mut self, rule: &'static str, expected: &'static str) -> Option<Span<'a>> {
        let word = self.line.words.get(1).copied();
        if word.is_none() {
            let kind = FaultKind::MissingName { rule, expected };
            self.report(self.line.words[0].column, kind);
        }
        word
    }

    /// Returns the name if it is valid; reports a fault otherwise.
    fn valid_name(&mut self, column: usize, name: &str) -> Option<Box<str>> {
        if !is_name(name) {
            let name = name.into();
            self.report(column, FaultKind::BadName { name });
            return None;
        }
        Some(name.into())
    }

    /// Declares the rule; reports it when an earlier rule has the same identity.
    fn declare(&mut self, id: Option<RuleId>) {
        let Some(id) = id else {
            return;
        };
        let word = self.line.words.get(1).unwrap_or(&self.line.words[0]);
        let column = match id {
            RuleId::Loads => self.line.words[0].column,
            _ => word.column,
        };
        let rule = id.to_string().into();
        if let Some(first_line) = self.consistency.declare(id, self.line.number) {
            self.report(column, FaultKind::DuplicateRule { rule, first_line });
        }
    }

    fn report(&mut self, column: usize, kind: FaultKind) {
        self.faults.push(self.line.fault(column, kind));
    }

    fn fields(&mut self, rule: &'static str, skip: usize) -> Fields<'a, '_> {
        Fields::read(self.line, rule, skip, self.faults)
    }
}
