//! A zone's part of the workspaces' limits.

use super::bucket::{Bucket, Oversized};
use super::{QuotaTolerance, ZONE_SLACK_SHARE};
use crate::workspaces::{Charge, Workspace, WorkspaceName};
use crate::{Now, ZoneId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time in which a zone earns its part up to which refused calls are told to come back
/// one after the other. Callers that would have to wait longer ask again or give up.
const MAX_PROMISED: Duration = Duration::from_secs(4);
/// Time in which a zone earns its part by which plain calls, which are charged
/// afterwards, may overdraw it before they are refused.
const PLAIN_OVERDRAFT: Duration = Duration::from_millis(500);

/// Answer to a request to charge a call.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ChargeOutcome {
    /// The call is charged.
    Charged,
    /// The zone's part is used up.
    Short {
        /// Time after which the call may be charged.
        wait: Duration,
    },
}

/// Use of a zone's part of one limit, for logs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneUse {
    /// Units that are left; negative while overdrawn.
    pub left: f64,
    /// The zone's part of the limit, in units per second.
    pub per_s: f64,
    /// Units charged since the term began, without those put back.
    pub charged: f64,
    /// Units of calls for which nothing was left.
    pub refused: f64,
}

/// A zone's part of the limits of all workspaces. Workspaces without a limit have no
/// account.
#[derive(Clone, Debug)]
pub struct ZoneQuotas {
    zones: usize,
    tolerance: QuotaTolerance,
    accounts: BTreeMap<WorkspaceName, Account>,
}

#[derive(Clone, Debug)]
struct Account {
    bucket: Bucket,
    /// Units of calls that were told to come back later, and still have to.
    promised: f64,
    promised_at: Now,
    /// Until when other zones can't charge calls.
    short_elsewhere: BTreeMap<ZoneId, Now>,
    charged: f64,
    refused: f64,
}

impl ZoneQuotas {
    /// Creates the part of one of `zones` zones, without accounts.
    #[must_use]
    pub fn new(zones: usize, tolerance: QuotaTolerance) -> Self {
        Self {
            zones: zones.max(1),
            tolerance,
            accounts: BTreeMap::new(),
        }
    }

    /// Applies the limits of a configuration.
    pub fn configure(&mut self, workspaces: &[Workspace], now: Now) {
        let share = 1.0 / self.zones as f64;
        let overdraft = self.tolerance.slack * ZONE_SLACK_SHARE * share;
        let limited = workspaces.iter().filter_map(|w| Some((w, w.limit?)));
        let mut accounts = BTreeMap::new();
        for (workspace, limit) in limited {
            let (per_s, capacity) = (limit.per_s * share, limit.burst * share);
            let account = match self.accounts.remove(&workspace.name) {
                Some(mut account) => {
                    account.bucket.resize(per_s, capacity, overdraft, now);
                    account
                }
                None => {
                    let oversized = Oversized::WhenFull;
                    Account::new(Bucket::new(per_s, capacity, overdraft, oversized, now))
                }
            };
            accounts.insert(workspace.name.clone(), account);
        }
        self.accounts = accounts;
    }

    /// Whether no workspace has a limit.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// Charges a call to this zone's part.
    pub fn charge(&mut self, charge: &Charge, now: Now) -> ChargeOutcome {
        let Some(account) = self.accounts.get_mut(&charge.workspace) else {
            return ChargeOutcome::Charged;
        };
        let units = charge.units as f64;
        match account.bucket.try_take(units, now) {
            Ok(()) => {
                account.charged += units;
                ChargeOutcome::Charged
            }
            Err(wait) => ChargeOutcome::Short { wait },
        }
    }

    /// Records that a call is refused because of its workspace's limit. Returns when the
    /// caller should come back, behind those that were refused before.
    pub fn on_refused(&mut self, charge: &Charge, wait: Duration, now: Now) -> Duration {
        let Some(account) = self.accounts.get_mut(&charge.workspace) else {
            return wait;
        };
        let promised = account.promised(now);
        let after = wait.saturating_add(account.bucket.time_for(promised));
        let most = account.bucket.per_s() * MAX_PROMISED.as_secs_f64();
        account.promised = (promised + charge.units as f64).min(most);
        account.promised_at = now;
        account.refused += charge.units as f64;
        after
    }

    /// Puts back what was charged for a call that did not run.
    pub fn put_back(&mut self, charge: &Charge, now: Now) {
        if let Some(account) = self.accounts.get_mut(&charge.workspace) {
            let units = charge.units as f64;
            account.bucket.put_back(units, now);
            account.charged -= units;
        }
    }

    /// Charges calls that were admitted already.
    pub fn record_used(&mut self, charge: &Charge, now: Now) {
        if let Some(account) = self.accounts.get_mut(&charge.workspace) {
            let units = charge.units as f64;
            account.bucket.take_used(units, now);
            account.charged += units;
        }
    }

    /// Returns for how long nodes have to refuse a workspace's plain calls.
    #[must_use]
    pub fn refuse_plain_for(&self, workspace: &str, now: Now) -> Duration {
        let Some(account) = self.accounts.get(workspace) else {
            return Duration::ZERO;
        };
        let bucket = &account.bucket;
        let overdraft = bucket.overdraft() + bucket.per_s() * PLAIN_OVERDRAFT.as_secs_f64();
        if bucket.level(now) >= -overdraft {
            return Duration::ZERO;
        }
        bucket.time_until(-bucket.overdraft(), now)
    }

    /// Records that another zone can't charge calls for a time.
    pub fn on_short_elsewhere(&mut self, workspace: &str, zone: &str, wait: Duration, now: Now) {
        if let Some(account) = self.accounts.get_mut(workspace) {
            let until = now.saturating_add(wait);
            account.short_elsewhere.insert(zone.into(), until);
        }
    }

    /// Whether another zone may have something left for a workspace.
    #[must_use]
    pub fn may_charge_at(&self, workspace: &str, zone: &str, now: Now) -> bool {
        let account = self.accounts.get(workspace);
        let until = account.and_then(|a| a.short_elsewhere.get(zone));
        until.is_none_or(|until| now >= *until)
    }

    /// Returns the use of each limit.
    pub fn uses(&self, now: Now) -> impl Iterator<Item = (&WorkspaceName, ZoneUse)> {
        self.accounts.iter().map(move |(name, account)| {
            let zone_use = ZoneUse {
                left: account.bucket.level(now),
                per_s: account.bucket.per_s(),
                charged: account.charged,
                refused: account.refused,
            };
            (name, zone_use)
        })
    }
}

impl Account {
    const fn new(bucket: Bucket) -> Self {
        Self {
            bucket,
            promised: 0.0,
            promised_at: Now::ZERO,
            short_elsewhere: BTreeMap::new(),
            charged: 0.0,
            refused: 0.0,
        }
    }

    /// Returns the units promised to callers that have yet to come back.
    fn promised(&self, now: Now) -> f64 {
        let earned = self.bucket.per_s() * now.saturating_sub(self.promised_at).as_secs_f64();
        (self.promised - earned).max(0.0)
    }
}
