//! Checks of references between rules.
//!
//! Rules can refer to later lines, so references are recorded during parsing
//! and checked at the end. A rule with faults in its fields or comment still counts
//! as declared: its faults are reported on its line, not at each rule that refers to
//! it. A rule on a line that is too long or has control characters doesn't count.

use super::line::Line;
use crate::fault::{Fault, FaultKind};
use crate::rule::RuleId;
use std::collections::BTreeMap;

/// The declared rules, and the requirements of rules on other rules.
#[derive(Debug, Default)]
pub(super) struct Consistency {
    /// Line of the first rule with each identity.
    declared: BTreeMap<RuleId, usize>,
    requirements: Vec<Requirement>,
}

/// Requires that a rule is declared or is not declared.
#[derive(Debug)]
struct Requirement {
    declared: bool,
    id: RuleId,
    /// Reported when the requirement isn't met.
    fault: Fault,
}

impl Consistency {
    /// Records a rule. Returns the line of an earlier rule with the same identity.
    pub(super) fn declare(&mut self, id: RuleId, line: usize) -> Option<usize> {
        let first_line = *self.declared.entry(id).or_insert(line);
        (first_line != line).then_some(first_line)
    }

    /// Requires that the group is one of model engines.
    pub(super) fn require_engine_group(&mut self, line: &Line<'_>, column: usize, group: Box<str>) {
        let id = RuleId::Group(group.clone());
        self.require(
            true,
            id,
            line.fault(column, FaultKind::UnknownGroup { group }),
        );
    }

    /// Requires that the group is not one of model engines.
    pub(super) fn forbid_engine_group(&mut self, line: &Line<'_>, column: usize, group: Box<str>) {
        let id = RuleId::Group(group.clone());
        self.require(
            false,
            id,
            line.fault(column, FaultKind::EngineGroup { group }),
        );
    }

    /// Requires that the adapter has a rule.
    pub(super) fn require_adapter(&mut self, line: &Line<'_>, column: usize, adapter: Box<str>) {
        let id = RuleId::Adapter(adapter.clone());
        self.require(
            true,
            id,
            line.fault(column, FaultKind::UnknownAdapter { adapter }),
        );
    }

    fn require(&mut self, declared: bool, id: RuleId, fault: Fault) {
        self.requirements.push(Requirement {
            declared,
            id,
            fault,
        });
    }

    /// Reports the requirements that are not met.
    pub(super) fn check(self, faults: &mut Vec<Fault>) {
        for requirement in self.requirements {
            if self.declared.contains_key(&requirement.id) != requirement.declared {
                faults.push(requirement.fault);
            }
        }
    }
}
