//! Faults, how they are induced and how they end.

use crate::scene::{LEAVING_CLOSED, Scene, ZONES};
use reedford_standins::engine::EngineFaults;
use reedford_standins::plain::PlainFaults;
use reedford_standins::platform::Faults;
use reedford_wire::instances::{Instance, InstanceKind, InstanceState};
use std::net::SocketAddr;
use std::time::Duration;

/// A write that comes late does so long after its sender gave up.
const LATE_MS: u64 = 900;
/// Delay of the answers of an engine: longer than its entry waits.
const ANSWER_DELAY_MS: u64 = 800;
/// Time for which a fault that concerns leases lasts at least: longer than the
/// lease and than the 5 s for which an owner goes on alone after it.
const OUTLASTS_LEASE: Duration = Duration::from_millis(6_500);

/// A fault.
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
    /// The targets themselves leave, and the list says so when it may.
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
    pub async fn strike(self, scene: &mut Scene) {
        match self {
            Self::EntryStopped => scene.stop_entry("e-1").await,
            Self::EngineRestarted => scene.site.engines["engine-1"].restart(),
            Self::LoadsFail => loads_fail(scene).await,
            Self::TargetsLeave => targets_leave(scene).await,
            Self::EngineLeaving | Self::PlainLeaving => self.leave(scene).await,
            Self::EngineSilent | Self::AnswersCrossed | Self::AnswersLate | Self::AnswersWrong => {
                let order = self.engine_order(true);
                scene.site.engines["engine-1"].set_faults(&order).await;
            }
            Self::PlainSilent | Self::PlainLosesAnswers => {
                let faults = PlainFaults {
                    silent_connections: Some(self == Self::PlainSilent),
                    lose_answers: (self == Self::PlainLosesAnswers).then_some(10),
                    ..PlainFaults::default()
                };
                scene.site.plains["shop-1"].set_faults(&faults).await;
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

    /// Adds what the fault asks of the platform.
    pub fn ask_platform(self, faults: &mut Faults) {
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

    /// Ends the fault.
    pub async fn end(self, scene: &Scene) {
        let engine = &scene.site.engines["engine-1"];
        match self {
            Self::AnswersCrossed | Self::AnswersLate | Self::AnswersWrong => {
                engine.set_faults(&self.engine_order(false)).await;
            }
            Self::LoadsFail => {
                for engine in scene.site.engines.values() {
                    let order = EngineFaults {
                        fail_load_percent: Some(0),
                        ..EngineFaults::default()
                    };
                    engine.set_faults(&order).await;
                }
            }
            _ => {}
        }
    }

    /// How long it lasts at least.
    pub const fn lasts(self) -> Duration {
        match self {
            Self::KvDown | Self::ZoneCut | Self::ZoneHangs => OUTLASTS_LEASE,
            Self::EngineLeaving | Self::PlainLeaving | Self::TargetsLeave => {
                LEAVING_CLOSED.saturating_add(Duration::from_millis(500))
            }
            _ => Duration::ZERO,
        }
    }

    /// Whether only calls that begin at an entry instance of the first zone
    /// are concerned.
    pub const fn is_of_zone(self) -> bool {
        matches!(self, Self::ZoneCut | Self::ZoneHangs | Self::ZoneSilent)
    }

    fn engine_order(self, on: bool) -> EngineFaults {
        EngineFaults {
            silent_connections: (self == Self::EngineSilent).then_some(on),
            delay_answers_ms: (self == Self::AnswersLate).then_some(if on {
                ANSWER_DELAY_MS
            } else {
                0
            }),
            cross_answers: (self == Self::AnswersCrossed).then_some(on),
            wrong_model: (self == Self::AnswersWrong).then_some(on),
            ..EngineFaults::default()
        }
    }

    /// The platform lists a target as leaving; the target itself takes
    /// everything, so that work sent there shows.
    async fn leave(self, scene: &mut Scene) {
        let instance = match self {
            Self::EngineLeaving => {
                let engine = &scene.site.engines["engine-1"];
                leaving("engine-1", "engines", InstanceKind::Engine, engine.addr())
            }
            _ => {
                let shop = &scene.site.plains["shop-1"];
                leaving("shop-1", "shop", InstanceKind::Plain, shop.addr())
            }
        };
        scene.list(&instance).await;
        scene.closes(&instance.id, LEAVING_CLOSED);
    }
}

async fn loads_fail(scene: &Scene) {
    for engine in scene.site.engines.values() {
        let order = EngineFaults {
            fail_load_percent: Some(50),
            ..EngineFaults::default()
        };
        engine.set_faults(&order).await;
        engine.restart();
    }
}

/// A target that leaves refuses by itself; what it has taken, it finishes.
async fn targets_leave(scene: &mut Scene) {
    let order = EngineFaults {
        leaving: Some(true),
        ..EngineFaults::default()
    };
    scene.site.engines["engine-1"].set_faults(&order).await;
    let faults = PlainFaults {
        leaving: Some(true),
        ..PlainFaults::default()
    };
    scene.site.plains["shop-1"].set_faults(&faults).await;
    scene.closes("engine-1", LEAVING_CLOSED);
    scene.closes("shop-1", LEAVING_CLOSED);
}

/// Both are in the second zone, as their numbers are odd.
fn leaving(id: &str, group: &str, kind: InstanceKind, address: SocketAddr) -> Instance {
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
