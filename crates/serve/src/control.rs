//! The control thread: it owns all control state of an entry instance and
//! drives the decisions of `reedford-core`.
//!
//! Traffic and peers send [`Command`]s. The thread starts tasks for its own
//! input and output and gets their ends as [`Event`]s. It alone changes the
//! state, so that a decision and the check of the lease that it rests on are
//! never interleaved with anything else.

mod claiming;
mod command;
mod exchange;
mod instances;
mod orders;
mod ownership;
mod report;
mod rules;
mod state;
mod stop;
mod turns;
mod view;
mod workers;

pub(crate) use command::{Command, CommandTx};
pub(crate) use state::{Control, FREQUENCY_HALF_LIFE, Identity, Outputs};

use command::Event;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{MissedTickBehavior, interval};

/// Interval at which time-outs are looked at.
const TICK: Duration = Duration::from_millis(25);
/// Interval at which all peers and workers are looked at.
const SURVEY_INTERVAL: Duration = Duration::from_millis(100);
/// Commands that may wait for the control thread.
pub(crate) const COMMAND_QUEUE: usize = 4_096;

impl Control {
    /// Runs until every sender of commands is gone, then joins its tasks.
    pub(crate) async fn run(mut self, mut rx: mpsc::Receiver<Command>) {
        let mut tick = interval(TICK);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                command = rx.recv() => match command {
                    Some(command) => self.on_command(command),
                    None => break,
                },
                Some(ended) = self.tasks.join_next() => {
                    let event = ended.unwrap_or_else(|e| panic!("a control task failed: {e}"));
                    self.on_event(event);
                }
                _ = tick.tick() => self.on_tick(),
            }
            self.carry_out();
        }
        self.tasks.shutdown().await;
    }

    fn on_command(&mut self, command: Command) {
        match command {
            Command::HandOver(handover) => self.on_hand_over(handover),
            Command::Permit { req, reply } => self.on_permit(req, reply),
            Command::Release(release) => self.on_release(&release),
            Command::Report { reply } => self.on_report(reply),
            Command::Revalue(req) => self.on_revalued(&req),
            Command::Rules { reply } => self.on_rules_asked(reply),
            Command::Stop { reply } => self.on_stop(reply),
            Command::Summary { summary, reply } => self.on_summary(summary, reply),
            Command::Turn { req, reply } => self.on_turn_asked(&req, reply),
            Command::TurnEnded(key) => self.on_turn_ended(&key),
        }
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::Done => {}
            Event::Evicted {
                worker,
                epoch,
                target,
                eviction,
            } => {
                self.on_evicted(&worker, epoch, &target, eviction);
            }
            Event::Exchanged { peer, sent, answer } => self.on_exchanged(&peer, sent, answer),
            Event::FenceRaised {
                worker,
                epoch,
                raised,
            } => {
                self.on_fence_raised(&worker, epoch, raised);
            }
            Event::Instances(result) => self.on_instances(result),
            Event::Intent {
                worker,
                epoch,
                taken,
            } => self.on_intent(&worker, epoch, taken),
            Event::Listing {
                worker,
                epoch,
                sent,
                facts,
            } => {
                self.on_listing(&worker, epoch, sent, facts);
            }
            Event::Loaded {
                worker,
                epoch,
                target,
                outcome,
            } => {
                self.on_loaded(&worker, epoch, &target, outcome);
            }
            Event::RulesRead(result) => self.on_rules_read(result),
            Event::Swapped { result } => self.on_swapped(result),
            Event::TableRead { sent, result } => self.on_table_read(sent, result),
            Event::Turn { key, said } => self.on_turn(&key, said),
        }
    }

    fn on_tick(&mut self) {
        self.note_pause();
        self.poll_platform();
        self.survey();
        self.exchange_summaries();
        self.poll_workers();
        self.tick_workers();
        self.start_turns();
        self.drop_abandoned();
        self.tick_stop();
    }

    /// Looks at all peers and workers, which costs more the more there are.
    fn survey(&mut self) {
        let now = self.clock.now();
        if now < self.timers.survey {
            return;
        }
        self.timers.survey = now + SURVEY_INTERVAL;
        self.watch_members();
        self.choose_broker();
        self.publish_view();
    }
}
