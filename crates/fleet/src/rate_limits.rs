//! Limits on calls, and on rejections, that instances name in their responses.
//!
//! An instance in trouble names in its responses how many calls a second it takes
//! from all nodes together, for as long as the limit holds, or how many it can reject in a
//! second for want of room without falling over. What counts is the last response of its
//! incarnation, to whichever node.
//!
//! The coordinator that grants the calls to an engine paces them. Calls that no
//! coordinator grants are sent by each node in turns of its own, which divide the
//! limit between the nodes.

mod pace;
mod rejections;

pub use pace::Pace;

use crate::{InstanceId, Now};
use pace::Turns;
use rejections::Rejections;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// How long a limit is remembered after it was last named or ended.
const RETENTION: Duration = Duration::from_secs(600);
/// Limit on the remembered statements; the oldest is dropped beyond it.
const MAX_STATEMENTS: usize = 1_024;

/// What instances last stated about their limits.
#[derive(Clone, Debug, Default)]
pub struct RateLimits {
    by_instance: BTreeMap<InstanceId, Statement>,
    /// Distinguishes the turns and pauses of this node from those of others.
    seed: u64,
}

/// Statements by instance.
pub type Statements = BTreeMap<InstanceId, Statement>;

/// Limits that an instance names in a response.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Limits {
    /// Calls per second that it takes; `None` if it names no limit.
    pub per_s: Option<f64>,
    /// Calls that it can reject in a second for want of room; `None` if it names no limit.
    #[serde(default)]
    pub rejections: Option<f64>,
}

/// What an instance stated in a response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Statement {
    born: u64,
    limits: Limits,
    at: Now,
    /// Whether the response came to this node.
    own: bool,
    /// When this node last sent a call to the instance on its own.
    last_sent: Option<Now>,
    /// Calls of this node that the instance rejected.
    rejected: Rejections,
}

/// Statements as nodes send them to each other.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct LimitsReport {
    statements: Vec<StatementReport>,
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct StatementReport {
    instance: InstanceId,
    born: u64,
    #[serde(flatten)]
    limits: Limits,
    /// Age of the response in milliseconds.
    age_ms: u64,
}

impl LimitsReport {
    /// Creates the report of statements to other nodes.
    #[must_use]
    pub fn new(statements: &Statements, now: Now) -> Self {
        let statements = statements.iter();
        let statements = statements.map(|(instance, statement)| StatementReport {
            instance: instance.clone(),
            born: statement.born,
            limits: statement.limits,
            age_ms: now.saturating_sub(statement.at).as_millis() as u64,
        });
        Self {
            statements: statements.collect(),
        }
    }
}

/// Which nodes an event concerns.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Changed {
    /// Whether a limit is another one now.
    pub limits: bool,
    /// Whether other nodes have to learn of this node's statements.
    pub own: bool,
}

impl RateLimits {
    /// Creates a record without limits; `seed` differs from node to node.
    #[must_use]
    pub const fn new(seed: u64) -> Self {
        Self {
            by_instance: BTreeMap::new(),
            seed,
        }
    }

    /// Records the limits that the incarnation with the start time `born` named in a
    /// response. A response without a limit ends one only if the call was sent, at
    /// `sent_at`, after the limit was last named.
    pub fn on_response(
        &mut self,
        id: &str,
        born: u64,
        named: Limits,
        sent_at: Now,
        now: Now,
    ) -> Changed {
        let known = self.by_instance.get(id);
        if known.is_some_and(|k| k.born > born) {
            return Changed::default();
        }
        let known = known.filter(|k| k.born == born);
        let before = known.map_or_else(Limits::default, |k| k.limits);
        let ends = known.is_some_and(|k| sent_at > k.at);
        let limits = Limits {
            per_s: named.per_s.or(before.per_s.filter(|_| !ends)),
            rejections: named.rejections.or(before.rejections.filter(|_| !ends)),
        };
        if named == Limits::default() && limits == before {
            return Changed::default();
        }
        let statement = Statement {
            born,
            limits,
            at: now,
            own: true,
            last_sent: None,
            rejected: Rejections::default(),
        };
        self.insert(id, statement, now);
        let changed = before != limits;
        Changed {
            limits: changed,
            own: changed,
        }
    }

    /// Adds what another node reported.
    pub fn merge(&mut self, report: &LimitsReport, now: Now) -> Changed {
        let mut changed = Changed::default();
        for reported in report.statements.iter().take(MAX_STATEMENTS) {
            let Limits { per_s, rejections } = reported.limits;
            let is_valid = |limit: f64| limit >= 0.0;
            if [per_s, rejections]
                .into_iter()
                .flatten()
                .any(|l| !is_valid(l))
            {
                continue;
            }
            let statement = Statement {
                born: reported.born,
                limits: reported.limits,
                at: now.saturating_sub(Duration::from_millis(reported.age_ms)),
                own: false,
                last_sent: None,
                rejected: Rejections::default(),
            };
            let known = self.by_instance.get(&reported.instance).copied();
            match known {
                Some(k) if (k.born, k.at) >= (statement.born, statement.at) => {
                    changed.own |= k.own && k.limits != statement.limits;
                }
                Some(_) | None => {
                    let before = known.map_or_else(Limits::default, |k| k.limits);
                    changed.limits |= before != statement.limits;
                    self.insert(&reported.instance, statement, now);
                }
            }
        }
        changed
    }

    /// Returns the limit of the incarnation with the start time `born`, in calls per
    /// second.
    #[must_use]
    pub fn per_s(&self, id: &str, born: u64) -> Option<f64> {
        let statement = self.by_instance.get(id)?;
        statement.limits.per_s.filter(|_| statement.born == born)
    }

    /// Whether the incarnation with the start time `born` falls over if it has to reject
    /// too many calls.
    #[must_use]
    pub fn is_brittle(&self, id: &str, born: u64) -> bool {
        let statement = self.by_instance.get(id).filter(|s| s.born == born);
        statement.is_some_and(|s| s.limits.rejections.is_some())
    }

    /// Records that an instance rejected, for want of room, a call that this node sent at
    /// `sent_at`. `nodes` nodes share the rejections that it bears. Returns until when
    /// this node sends it nothing, if it is brittle.
    pub fn on_rejected(
        &mut self,
        id: &str,
        born: u64,
        nodes: usize,
        sent_at: Now,
        now: Now,
    ) -> Option<Now> {
        let seed = self.seed ^ now.as_nanos() as u64;
        let draw = xxh3_64_with_seed(id.as_bytes(), seed) as f64 / u64::MAX as f64;
        let statement = self.by_instance.get_mut(id).filter(|s| s.born == born)?;
        let per_s = statement.limits.rejections?;
        Some(statement.rejected.record(per_s, nodes, draw, sent_at, now))
    }

    /// Returns until when this node sends nothing to a brittle instance that rejected a
    /// call; `now` if it may send one.
    #[must_use]
    pub fn rejected_until(&self, id: &str, born: u64, now: Now) -> Now {
        let statement = self.by_instance.get(id).filter(|s| s.born == born);
        let brittle = statement.filter(|s| s.limits.rejections.is_some());
        brittle.map_or(now, |s| s.rejected.until().max(now))
    }

    /// Returns when this node may send a call that no coordinator grants, if `nodes`
    /// nodes share the limit; `now` if at once.
    #[must_use]
    pub fn available_at(&self, id: &str, born: u64, nodes: usize, now: Now) -> Now {
        let last_sent = self.by_instance.get(id).and_then(|s| s.last_sent);
        let turns = self.turns(id, born, nodes);
        turns.map_or(now, |turns| turns.next(last_sent, now))
    }

    /// Returns how many such calls this node may send per second, if the instance
    /// names a limit.
    #[must_use]
    pub fn turns_per_s(&self, id: &str, born: u64, nodes: usize) -> Option<f64> {
        let turns = self.turns(id, born, nodes)?;
        Some(1.0 / turns.interval.as_secs_f64().max(f64::MIN_POSITIVE))
    }

    fn turns(&self, id: &str, born: u64, nodes: usize) -> Option<Turns> {
        let per_s = self.per_s(id, born)?;
        let phase = xxh3_64_with_seed(id.as_bytes(), self.seed) as f64 / u64::MAX as f64;
        Some(Turns::new(per_s, nodes, phase))
    }

    /// Counts a call that this node sends without a coordinator.
    pub fn on_sent(&mut self, id: &str, now: Now) {
        if let Some(statement) = self.by_instance.get_mut(id) {
            statement.last_sent = Some(now);
        }
    }

    /// Whether no limit is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_instance.is_empty()
    }

    /// Returns all statements.
    #[must_use]
    pub const fn statements(&self) -> &Statements {
        &self.by_instance
    }

    /// Returns the statements that this node received itself.
    #[must_use]
    pub fn own_statements(&self) -> Statements {
        let own = self.by_instance.iter().filter(|(_, s)| s.own);
        own.map(|(id, s)| (id.clone(), *s)).collect()
    }

    fn insert(&mut self, id: &str, statement: Statement, now: Now) {
        if self.by_instance.len() >= MAX_STATEMENTS && !self.by_instance.contains_key(id) {
            let oldest = self.by_instance.iter().min_by_key(|(_, s)| s.at);
            if let Some(oldest) = oldest.map(|(id, _)| id.clone()) {
                self.by_instance.remove(&oldest);
            }
        }
        self.by_instance
            .retain(|_, s| now.saturating_sub(s.at) < RETENTION);
        let before = self.by_instance.insert(id.into(), statement);
        if let (Some(before), Some(current)) = (before, self.by_instance.get_mut(id)) {
            current.last_sent = before.last_sent;
            if before.born == current.born {
                current.rejected = before.rejected;
            }
        }
    }
}
