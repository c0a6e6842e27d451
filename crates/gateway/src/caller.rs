//! Who sent a call: the workspace whose key it has, and the call's charge to the
//! workspace's limit.

use crate::call::Call;
use crate::dialect::{CallHead, CallerFields};
use crate::state::{Shared, State};
use reedford_fleet::Now;
use reedford_fleet::config::{Route, RouteTable};
use reedford_fleet::quota::NodeRefusal;
use reedford_fleet::scheduler::{PlacementId, Refusal, RefusalReason};
use reedford_fleet::workspaces::{Access, Charge, KeyDigest, WorkspaceName};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Retry delay of a call whose key was moved to another workspace while it waited.
const KEY_MOVED_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Who sent a call.
#[derive(Clone, Debug)]
pub(crate) enum Caller {
    /// Not known, because the configuration has no workspaces.
    Unidentified,
    /// Anyone, on a public route.
    Public,
    /// A workspace.
    Member(Arc<Member>),
}

/// A call's workspace.
#[derive(Debug)]
pub(crate) struct Member {
    workspace: WorkspaceName,
    key: KeyDigest,
    priority: Option<u8>,
    /// The call's charge, if the workspace has a limit.
    charge: Option<Charge>,
    is_charged: AtomicBool,
}

impl Caller {
    /// Returns who sent a call; `None` if it may not use the route.
    pub(crate) fn identify(head: &CallHead, route: &Route, routes: &RouteTable) -> Option<Self> {
        let workspace = match routes.access(route, head.key.as_ref()) {
            Access::Open => return Some(Self::Unidentified),
            Access::Public => return Some(Self::Public),
            Access::Denied => return None,
            Access::Granted(workspace) => workspace,
        };
        let tokens = u64::from(head.prompt_tokens) + u64::from(head.max_output_tokens);
        let tokens = head.names_tokens.then_some(tokens);
        let charge = workspace.limit.map(|limit| Charge {
            workspace: workspace.name.clone(),
            units: limit.cost(tokens),
        });
        Some(Self::Member(Arc::new(Member {
            workspace: workspace.name.clone(),
            key: head.key?,
            priority: workspace.priority,
            charge,
            is_charged: AtomicBool::new(false),
        })))
    }

    fn member(&self) -> Option<&Member> {
        match self {
            Self::Unidentified | Self::Public => None,
            Self::Member(member) => Some(member),
        }
    }

    /// Returns what an instance receives of the fields that identify the caller.
    pub(crate) fn fields(&self) -> CallerFields<'_> {
        match self {
            Self::Unidentified => CallerFields::Unchanged,
            Self::Public => CallerFields::Removed,
            Self::Member(member) => CallerFields::Workspace(&member.workspace),
        }
    }

    pub(crate) fn workspace(&self) -> Option<&WorkspaceName> {
        self.member().map(|m| &m.workspace)
    }

    pub(crate) fn key(&self) -> Option<&KeyDigest> {
        self.member().map(|m| &m.key)
    }

    /// Returns the priority of the workspace, if it has one.
    pub(crate) fn priority(&self) -> Option<u8> {
        self.member().and_then(|m| m.priority)
    }

    /// Returns the call's charge, unless it is charged already. A call is charged once,
    /// however often this node sends it.
    pub(crate) fn unpaid(&self) -> Option<&Charge> {
        let member = self.member()?;
        let is_charged = member.is_charged.load(Ordering::Relaxed);
        member.charge.as_ref().filter(|_| !is_charged)
    }

    /// Records that the call is charged.
    pub(crate) fn on_charged(&self) {
        if let Some(member) = self.member() {
            member.is_charged.store(true, Ordering::Relaxed);
        }
    }

    /// Returns the charge to put back because the call did not run, at most once.
    fn take_charge(&self) -> Option<&Charge> {
        let member = self.member()?;
        let was_charged = member.is_charged.swap(false, Ordering::Relaxed);
        member.charge.as_ref().filter(|_| was_charged)
    }
}

impl Shared {
    /// Returns the refusal of a call whose key has been withdrawn, or that is
    /// quarantined. Holds until the call is sent, and is checked before each attempt.
    pub(crate) fn standing_refusal(&self, call: &Call, now: Now) -> Option<Refusal> {
        let withdrawn = self.lock().key_refusal(call);
        withdrawn.or_else(|| self.quarantine_refusal(call, now))
    }

    /// Charges a call that no coordinator places.
    ///
    /// # Errors
    /// When its workspace has used up its limit, or that isn't known.
    pub(crate) fn charge_at_node(&self, call: &Call, now: Now) -> Result<(), Refusal> {
        let Some(charge) = call.caller.unpaid() else {
            return Ok(());
        };
        let admitted = self.lock().quotas.admit(charge, now);
        admitted.map_err(|refusal| limit_refusal(call, charge, refusal))?;
        call.caller.on_charged();
        self.usage_recorded.notify_one();
        Ok(())
    }

    /// Charges a call to this node's own reserve, because no coordinator can be reached.
    ///
    /// # Errors
    /// When the reserve is used up.
    pub(crate) fn charge_reserve(&self, call: &Call, now: Now) -> Result<(), Refusal> {
        let Some(charge) = call.caller.unpaid() else {
            return Ok(());
        };
        let taken = self.lock().quotas.take_reserve(charge, now);
        taken.map_err(|refusal| limit_refusal(call, charge, refusal))?;
        call.caller.on_charged();
        Ok(())
    }

    /// Puts back the charge of a call that did not run.
    pub(crate) fn put_back_charge(&self, call: &Call) {
        if let Some(charge) = call.caller.take_charge() {
            self.lock().quotas.put_back(charge);
            self.usage_recorded.notify_one();
        }
    }
}

impl State {
    /// Returns the refusal of a call whose key its workspace no longer holds.
    fn key_refusal(&self, call: &Call) -> Option<Refusal> {
        let key = call.caller.key()?;
        let routes = self.routes.as_ref()?;
        let workspaces = routes.config().workspaces.as_ref()?;
        let (reason, retry_after) = match workspaces.holder(key) {
            Some(holder) if Some(&holder.name) == call.caller.workspace() => return None,
            Some(_) => (RefusalReason::KeyMoved, KEY_MOVED_RETRY_AFTER),
            None => (RefusalReason::KeyWithdrawn, Duration::ZERO),
        };
        Some(Refusal {
            call: call.id.clone(),
            reason,
            retry_after,
        })
    }
}

fn limit_refusal(call: &Call, charge: &Charge, refusal: NodeRefusal) -> Refusal {
    let (reason, retry_after) = match refusal {
        NodeRefusal::Limit(wait) => (RefusalReason::Limit, wait),
        NodeRefusal::Unknown(wait) => (RefusalReason::LimitUnknown, wait),
    };
    tracing::info!(event = "limit_refused", id = %call.id, workspace = %charge.workspace,
        units = charge.units, reason = reason.name(), wait_ms = retry_after.as_millis() as u64);
    Refusal {
        call: PlacementId::from(&*call.id),
        reason,
        retry_after,
    }
}
