//! The faults that tests induce in a site.

use crate::test_site::{LEAVING_GRACE, TestSite, ZONES};
use reedford_standins::engine::EngineFaults;
use reedford_standins::plain::PlainFaults;
use reedford_standins::platform::Faults;
use reedford_wire::instances::{Instance, InstanceKind, InstanceState};
use std::net::SocketAddr;
use std::time::Duration;

/// Delay of late writes: longer than the timeout of their sender.
const LATE_MS: u64 = 900;
/// Delay of an engine's responses: longer than the first-byte timeout.
const RESPONSE_DELAY_MS: u64 = 800;
/// Minimum duration of a fault that prevents lease renewal: longer than the lease
/// and the 5 s for which an owner continues on its own after it.
const OUTLASTS_LEASE: Duration = Duration::from_millis(6_500);

/// A fault of a site.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    EntryStopped,
    EngineRestarted,
    LoadsFail,
    KvDown,
    KvSlow,
    KvLosesAnswers,
    KvLateWrites,
    EngineLeaving,
    PlainLeaving,
    /// The targets themselves start to leave; the list of instances shows it
    /// after its lag.
    TargetsLeave,
    ZoneCut,
    ZoneHangs,
    ZoneSilent,
    EngineSilent,
    PlainSilent,
    PlainLosesAnswers,
    AnswersCrossed,
    AnswersLate,
    AnswersWrong,
}

impl Fault {
    /// Induces the fault.
    pub async fn induce(self, test: &mut TestSite) {
        match self {
            Self::EntryStopped => test.stop_entry("e-1").await,
            Self::EngineRestarted => test.site.engines["engine-1"].restart(),
            Self::LoadsFail => make_loads_fail(test).await,
            Self::TargetsLeave => make_targets_leave(test).await,
            Self::EngineLeaving | Self::PlainLeaving => self.list_as_leaving(test).await,
            Self::EngineSilent | Self::AnswersCrossed | Self::AnswersLate | Self::AnswersWrong => {
                let faults = self.engine_faults(true);
                test.site.engines["engine-1"].set_faults(&faults).await;
            }
            Self::PlainSilent | Self::PlainLosesAnswers => {
                let faults = PlainFaults {
                    silent_connections: Some(self == Self::PlainSilent),
                    lose_answers: (self == Self::PlainLosesAnswers).then_some(10),
                    ..PlainFaults::default()
                };
                test.site.plains["shop-1"].set_faults(&faults).await;
            }
            Self::KvDown
            | Self::KvLateWrites
            | Self::KvLosesAnswers
            | Self::KvSlow
            | Self::ZoneCut
            | Self::ZoneHangs
            | Self::ZoneSilent => {}
        }
    }

    /// Adds the platform's share of the fault to the platform's faults.
    pub fn add_platform_faults(self, faults: &mut Faults) {
        let zone: Box<str> = ZONES[0].into();
        match self {
            Self::KvDown => faults.down = true,
            Self::KvSlow => faults.slow_ms = 100,
            Self::KvLosesAnswers => faults.lose_next_answers = 40,
            Self::KvLateWrites => {
                faults.late_next_writes = 20;
                faults.late_ms = LATE_MS;
            }
            Self::ZoneCut => _ = faults.cut_zones.insert(zone),
            Self::ZoneHangs => _ = faults.hang_zones.insert(zone),
            Self::ZoneSilent => _ = faults.silence_zones.insert(zone),
            _ => {}
        }
    }

    /// Clears wrong, crossed and late responses and failing loads. Other faults
    /// of targets end by themselves or last until the end of the test.
    pub async fn end(self, test: &TestSite) {
        let engine = &test.site.engines["engine-1"];
        match self {
            Self::AnswersCrossed | Self::AnswersLate | Self::AnswersWrong => {
                engine.set_faults(&self.engine_faults(false)).await;
            }
            Self::LoadsFail => {
                for engine in test.site.engines.values() {
                    let faults = EngineFaults {
                        fail_load_percent: Some(0),
                        ..EngineFaults::default()
                    };
                    engine.set_faults(&faults).await;
                }
            }
            _ => {}
        }
    }

    /// Returns the minimum duration of the fault.
    pub const fn min_duration(self) -> Duration {
        match self {
            Self::KvDown | Self::ZoneCut | Self::ZoneHangs => OUTLASTS_LEASE,
            Self::EngineLeaving | Self::PlainLeaving | Self::TargetsLeave => {
                LEAVING_GRACE.saturating_add(Duration::from_millis(500))
            }
            _ => Duration::ZERO,
        }
    }

    /// Returns whether the fault affects only calls that begin at an entry
    /// instance of the first zone.
    pub const fn affects_first_zone_only(self) -> bool {
        matches!(self, Self::ZoneCut | Self::ZoneHangs | Self::ZoneSilent)
    }

    fn engine_faults(self, on: bool) -> EngineFaults {
        EngineFaults {
            silent_connections: (self == Self::EngineSilent).then_some(on),
            delay_answers_ms: (self == Self::AnswersLate).then_some(if on {
                RESPONSE_DELAY_MS
            } else {
                0
            }),
            cross_answers: (self == Self::AnswersCrossed).then_some(on),
            wrong_model: (self == Self::AnswersWrong).then_some(on),
            ..EngineFaults::default()
        }
    }

    /// Lists a target as leaving. The target itself still accepts calls, so that
    /// calls wrongly sent there are recorded.
    async fn list_as_leaving(self, test: &mut TestSite) {
        let instance = match self {
            Self::EngineLeaving => {
                let engine = &test.site.engines["engine-1"];
                leaving_instance("engine-1", "engines", InstanceKind::Engine, engine.addr())
            }
            _ => {
                let shop = &test.site.plains["shop-1"];
                leaving_instance("shop-1", "shop", InstanceKind::Plain, shop.addr())
            }
        };
        test.set_listed_instance(&instance).await;
        test.forbid_runs_after(&instance.id, LEAVING_GRACE);
    }
}

async fn make_loads_fail(test: &TestSite) {
    for engine in test.site.engines.values() {
        let faults = EngineFaults {
            fail_load_percent: Some(50),
            ..EngineFaults::default()
        };
        engine.set_faults(&faults).await;
        engine.restart();
    }
}

/// Makes the targets leave: they refuse new calls and finish accepted ones.
async fn make_targets_leave(test: &mut TestSite) {
    let faults = EngineFaults {
        leaving: Some(true),
        ..EngineFaults::default()
    };
    test.site.engines["engine-1"].set_faults(&faults).await;
    let faults = PlainFaults {
        leaving: Some(true),
        ..PlainFaults::default()
    };
    test.site.plains["shop-1"].set_faults(&faults).await;
    test.forbid_runs_after("engine-1", LEAVING_GRACE);
    test.forbid_runs_after("shop-1", LEAVING_GRACE);
}

/// Returns the entry of a leaving instance in the second zone, which is the zone
/// of `engine-1` and `shop-1`.
fn leaving_instance(id: &str, group: &str, kind: InstanceKind, address: SocketAddr) -> Instance {
    Instance {
        id: id.into(),
        group: group.into(),
        kind,
        zone: ZONES[1].into(),
        address,
        state: InstanceState::Leaving,
        checks_fence: false,
    }
}
