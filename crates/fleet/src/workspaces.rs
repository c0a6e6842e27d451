//! Workspaces: customers that share a deployment, each with keys, a priority and a
//! limit of its own.
//!
//! A configuration that has workspaces requires a key of every call, except on
//! public routes. Keys are kept and compared as digests.

use crate::config::Route;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Name of a workspace.
pub type WorkspaceName = Box<str>;

/// SHA-256 digest of a key.
#[derive(Clone, Copy, Eq, Ord, PartialEq, PartialOrd)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Creates the digest from its bytes.
    #[must_use]
    pub const fn from_bytes(bytes: [u8; 32]) -> Self {
        Self(bytes)
    }

    /// Returns the bytes of the digest.
    #[must_use]
    pub const fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }
}

/// Digests stay out of logs, as keys do.
impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

/// A customer.
#[derive(Clone, Debug, PartialEq)]
pub struct Workspace {
    /// Name, which instances receive with its calls.
    pub name: WorkspaceName,
    /// Digests of its keys.
    pub keys: BTreeSet<KeyDigest>,
    /// Priority of its calls, 0 being the most urgent; `None` if that of the route
    /// applies.
    pub priority: Option<u8>,
    /// Limit on its calls over all nodes, if it has one.
    pub limit: Option<CallLimit>,
}

/// Limit on the calls of a workspace.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallLimit {
    /// Units per second.
    pub per_s: f64,
    /// Units that may be used at once in addition.
    pub burst: f64,
    /// What the limit counts.
    pub unit: LimitUnit,
}

/// What a limit counts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LimitUnit {
    /// Calls.
    Calls,
    /// Prompt tokens plus the maximum of output tokens.
    Tokens {
        /// Tokens that a call counts as which names none.
        unnamed: u32,
    },
}

impl CallLimit {
    /// Returns what a call counts as; `tokens` is the sum of its prompt tokens and
    /// the maximum of its output tokens, if it names them.
    #[must_use]
    pub fn cost(&self, tokens: Option<u64>) -> u64 {
        match self.unit {
            LimitUnit::Calls => 1,
            LimitUnit::Tokens { unnamed } => tokens.unwrap_or_else(|| unnamed.into()),
        }
    }
}

/// Share of a call in its workspace's limit, as nodes send it to coordinators.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Charge {
    /// The workspace.
    pub workspace: WorkspaceName,
    /// Units of its limit.
    pub units: u64,
}

/// Whether a call may use a route.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Access<'a> {
    /// The configuration has no workspaces.
    Open,
    /// The route is public.
    Public,
    /// The call has a key of this workspace.
    Granted(&'a Workspace),
    /// The call has no key, or one that no workspace holds.
    Denied,
}

/// The workspaces of a configuration, indexed by key.
#[derive(Clone, Debug, PartialEq)]
pub struct Workspaces {
    all: Vec<Workspace>,
    by_key: BTreeMap<KeyDigest, usize>,
}

/// Why workspaces contradict each other.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WorkspaceConflict {
    /// Two workspaces have this name.
    Name(WorkspaceName),
    /// Two workspaces, of which this is one, hold the same key.
    Key(WorkspaceName),
}

impl fmt::Display for WorkspaceConflict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Name(name) => write!(f, "two workspaces are named {name}"),
            Self::Key(name) => write!(f, "a key of {name} is also another workspace's"),
        }
    }
}

impl std::error::Error for WorkspaceConflict {}

impl Workspaces {
    /// Indexes workspaces by key.
    ///
    /// # Errors
    /// When two workspaces have the same name or hold the same key.
    pub fn new(all: Vec<Workspace>) -> Result<Self, WorkspaceConflict> {
        let mut names = BTreeSet::new();
        let mut by_key = BTreeMap::new();
        for (index, workspace) in all.iter().enumerate() {
            if !names.insert(workspace.name.clone()) {
                return Err(WorkspaceConflict::Name(workspace.name.clone()));
            }
            for key in &workspace.keys {
                if by_key.insert(*key, index).is_some() {
                    return Err(WorkspaceConflict::Key(workspace.name.clone()));
                }
            }
        }
        Ok(Self { all, by_key })
    }

    /// Returns all workspaces.
    #[must_use]
    pub fn all(&self) -> &[Workspace] {
        &self.all
    }

    /// Returns the workspace that holds a key.
    #[must_use]
    pub fn holder(&self, key: &KeyDigest) -> Option<&Workspace> {
        self.by_key.get(key).map(|index| &self.all[*index])
    }

    /// Returns whether a call with a key, or without one, may use a route.
    #[must_use]
    pub fn access(&self, route: &Route, key: Option<&KeyDigest>) -> Access<'_> {
        if route.public {
            return Access::Public;
        }
        key.and_then(|key| self.holder(key))
            .map_or(Access::Denied, Access::Granted)
    }
}
