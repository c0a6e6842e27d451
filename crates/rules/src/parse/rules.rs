//! Reading the words of a line into a rule.

use super::consistency::Consistency;
use super::fields::Fields;
use super::line::{Line, Word};
use crate::fault::{Fault, FaultKind};
use crate::model::{AdapterRule, Class, GroupRule, LimitRule, LimitScope, LoadsRule, ServiceRule};
use crate::names::is_name;
use crate::rule::{Rule, RuleId};
use crate::words::Words;

/// Reads a rule, notes its faults, and what has to agree with other rules.
pub(super) fn read(
    line: &Line<'_>,
    consistency: &mut Consistency,
    faults: &mut Vec<Fault>,
) -> Option<Rule> {
    let mut cx = Cx {
        line,
        consistency,
        faults,
    };
    match line.words[0].text {
        "adapter" => cx.adapter(),
        "group" => cx.group(),
        "limit" => cx.limit(),
        "loads" => cx.loads(),
        "service" => cx.service(),
        word => {
            let word = word.into();
            cx.note(line.words[0].column, FaultKind::UnknownWord { word });
            None
        }
    }
}

/// What reading one line works on.
struct Cx<'a, 'f> {
    line: &'a Line<'a>,
    consistency: &'f mut Consistency,
    faults: &'f mut Vec<Fault>,
}

impl<'a> Cx<'a, '_> {
    fn adapter(&mut self) -> Option<Rule> {
        let name = self.name("adapter");
        self.declare(name.clone().map(RuleId::Adapter));
        let mut fields = self.fields("adapter", 2);
        let group = fields.take_name("group");
        let versions = fields.take_names("versions");
        let repeatable = fields.take_yes_no("repeatable");
        fields.finish();
        let (group, column) = group?;
        self.consistency
            .needs_engines(self.line, column, group.clone());
        let rule = AdapterRule {
            group,
            versions: versions?,
            repeatable: repeatable?,
        };
        Some(Rule::Adapter(name?, rule))
    }

    fn group(&mut self) -> Option<Rule> {
        let name = self.name("group");
        self.declare(name.clone().map(RuleId::Group));
        let mut fields = self.fields("group", 2);
        let kind = fields.take_exactly("kind", "engine");
        let base = fields.take_name("base");
        let objective = fields.take_word("objective");
        let eviction = fields.take_word("eviction");
        let load_ordering = fields.take_word("load-ordering");
        let placement = fields.take_word("placement");
        let admission = fields.take_word("admission");
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

    fn limit(&mut self) -> Option<Rule> {
        let scope = self.scope();
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

    fn loads(&mut self) -> Option<Rule> {
        self.declare(Some(RuleId::Loads));
        let mut fields = self.fields("loads", 1);
        let per_1000_s = fields.take_fine_rate("rate");
        let in_flight = fields.take_count("in-flight");
        fields.finish();
        let rule = LoadsRule {
            per_1000_s: per_1000_s?,
            in_flight: in_flight?,
        };
        Some(Rule::Loads(rule))
    }

    fn service(&mut self) -> Option<Rule> {
        let name = self.name("service");
        self.declare(name.clone().map(RuleId::Service));
        let mut fields = self.fields("service", 2);
        let group = fields.take_name("group");
        let repeatable_paths = fields.take_paths("repeatable-paths");
        fields.finish();
        let (group, column) = group?;
        self.consistency
            .needs_no_engines(self.line, column, group.clone());
        let rule = ServiceRule {
            group,
            repeatable_paths: repeatable_paths?,
        };
        Some(Rule::Service(name?, rule))
    }

    /// The second word, a name.
    fn name(&mut self, rule: &'static str) -> Option<Box<str>> {
        let word = self.second(rule, "a name")?;
        self.valid_name(word.column, word.text)
    }

    /// The second word, a scope of limits.
    fn scope(&mut self) -> Option<LimitScope> {
        let word = self.second("limit", "each-adapter, adapter=NAME or class=CLASS")?;
        match word.text.split_once('=') {
            None if word.text == "each-adapter" => Some(LimitScope::EachAdapter),
            Some(("adapter", name)) => {
                let name = self.valid_name(word.column, name)?;
                self.consistency
                    .needs_adapter(self.line, word.column, name.clone());
                Some(LimitScope::Adapter(name))
            }
            Some(("class", class)) => self.class(word.column, class),
            _ => {
                let kind = FaultKind::BadValue {
                    key: "limit".into(),
                    value: word.text.into(),
                    expected: "each-adapter, adapter=NAME or class=CLASS",
                };
                self.note(word.column, kind);
                None
            }
        }
    }

    fn class(&mut self, column: usize, word: &str) -> Option<LimitScope> {
        let class = Class::of_word(word);
        if class.is_none() {
            let kind = FaultKind::BadValue {
                key: "class".into(),
                value: word.into(),
                expected: Class::EXPECTED,
            };
            self.note(column, kind);
        }
        class.map(LimitScope::Class)
    }

    fn second(&mut self, rule: &'static str, expected: &'static str) -> Option<Word<'a>> {
        let word = self.line.words.get(1).copied();
        if word.is_none() {
            let kind = FaultKind::MissingName { rule, expected };
            self.note(self.line.words[0].column, kind);
        }
        word
    }

    fn valid_name(&mut self, column: usize, name: &str) -> Option<Box<str>> {
        if !is_name(name) {
            let name = name.into();
            self.note(column, FaultKind::BadName { name });
            return None;
        }
        Some(name.into())
    }

    /// Notes a second rule about the same.
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
            self.note(column, FaultKind::DuplicateRule { rule, first_line });
        }
    }

    fn note(&mut self, column: usize, kind: FaultKind) {
        self.faults.push(self.line.fault(column, kind));
    }

    fn fields(&mut self, rule: &'static str, skip: usize) -> Fields<'a, '_> {
        Fields::read(self.line, rule, skip, self.faults)
    }
}
