//! What rules have to agree on with each other.
//!
//! Rules may stand in any order, so what a rule needs is noted while reading
//! and checked at the end. A rule that has faults of its own still counts as
//! present: its faults are reported where they are, not at each rule that
//! refers to it.

use super::line::Line;
use crate::fault::{Fault, FaultKind};
use crate::rule::RuleId;
use std::collections::BTreeMap;

/// Rules seen, and what they need.
#[derive(Debug, Default)]
pub(super) struct Consistency {
    declared: BTreeMap<RuleId, usize>,
    needs: Vec<Need>,
}

/// Something that a rule needs.
#[derive(Debug)]
struct Need {
    present: bool,
    id: RuleId,
    fault: Fault,
}

impl Consistency {
    /// Notes a rule; answers with the line of an earlier rule about the same.
    pub(super) fn declare(&mut self, id: RuleId, line: usize) -> Option<usize> {
        let first_line = *self.declared.entry(id).or_insert(line);
        (first_line != line).then_some(first_line)
    }

    /// The group must be one of model engines.
    pub(super) fn needs_engines(&mut self, line: &Line<'_>, column: usize, group: Box<str>) {
        let id = RuleId::Group(group.clone());
        self.need(
            true,
            id,
            line.fault(column, FaultKind::UnknownGroup { group }),
        );
    }

    /// The group must not be one of model engines.
    pub(super) fn needs_no_engines(&mut self, line: &Line<'_>, column: usize, group: Box<str>) {
        let id = RuleId::Group(group.clone());
        self.need(
            false,
            id,
            line.fault(column, FaultKind::EngineGroup { group }),
        );
    }

    /// The adapter must have a rule.
    pub(super) fn needs_adapter(&mut self, line: &Line<'_>, column: usize, adapter: Box<str>) {
        let id = RuleId::Adapter(adapter.clone());
        self.need(
            true,
            id,
            line.fault(column, FaultKind::UnknownAdapter { adapter }),
        );
    }

    fn need(&mut self, present: bool, id: RuleId, fault: Fault) {
        self.needs.push(Need { present, id, fault });
    }

    /// Notes the needs that are not met.
    pub(super) fn check(self, faults: &mut Vec<Fault>) {
        for need in self.needs {
            if self.declared.contains_key(&need.id) != need.present {
                faults.push(need.fault);
            }
        }
    }
}
