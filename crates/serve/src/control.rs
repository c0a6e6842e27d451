//! The control thread, which owns all control state of an entry instance and
//! drives the decisions of `reedford-core`.
//!
//! Traffic threads and peers send [`Command`]s. The control thread starts tasks
//! for its own I/O and receives their results as [`Event`]s. It alone changes the
//! state, so nothing can happen between the check of the lease and a decision
//! that depends on it.

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

/// Interval at which timeouts are checked.
const TICK_INTERVAL: Duration = Duration::from_millis(25);
/// Interval of the work that goes through all peers and workers, which is too
/// costly for every tick.
const REFRESH_INTERVAL: Duration = Duration::from_millis(100);
/// Capacity of the control thread's command queue.
pub(crate) const COMMAND_QUEUE_CAPACITY: usize = 4_096;

impl Control {
    /// Runs until all senders of commands are dropped, then aborts its tasks and
    /// waits for them.
    pub(crate) async fn run(mut self, mut rx: mpsc::Receiver<Command>) {
        let mut tick = interval(TICK_INTERVAL);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                command = rx.recv() => match command {
                    Some(command) => self.on_command(command),
                    None => break,
                },
                Some(joined) = self.tasks.join_next() => {
                    let event = joined.unwrap_or_else(|e| panic!("a control task failed: {e}"));
                    self.on_event(event);
                }
                _ = tick.tick() => self.on_tick(),
            }
            self.perform_actions();
        }
        self.tasks.shutdown().await;
    }

    fn on_command(&mut self, command: Command) {
        match command {
            Command::HandOver(handover) => self.on_hand_over(handover),
            Command::Permit { req, reply } => self.on_permit(req, reply),
            Command::Release(release) => self.on_release(&release),
            Command::Report { reply } => self.on_report(reply),
            Command::Revalue(req) => self.on_revalue(&req),
            Command::Rules { reply } => self.on_rules_request(reply),
            Command::Stop { reply } => self.on_stop(reply),
            Command::Summary { summary, reply } => self.on_summary(summary, reply),
            Command::Turn { req, reply } => self.on_turn_request(&req, reply),
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
            Event::Exchanged {
                peer,
                sent,
                response,
            } => self.on_exchanged(&peer, sent, response),
            Event::FenceRaised {
                worker,
                epoch,
                raised,
            } => {
                self.on_fence_raised(&worker, epoch, raised);
            }
            Event::Instances(result) => self.on_instances(result),
            Event::IntentsClaimed {
                worker,
                epoch,
                claimed,
            } => self.on_intents_claimed(&worker, epoch, claimed),
            Event::Listing {
                worker,
                epoch,
                sent,
                listing,
            } => {
                self.on_listing(&worker, epoch, sent, listing);
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
            Event::TableSwapped { result } => self.on_table_swapped(result),
            Event::TableRead { sent, result } => self.on_table_read(sent, result),
            Event::TurnResponse { key, response } => self.on_turn_response(&key, response),
        }
    }

    fn on_tick(&mut self) {
        self.detect_pause();
        self.poll_platform();
        self.refresh();
        self.exchange_summaries();
        self.poll_workers();
        self.tick_workers();
        self.grant_turns();
        self.drop_abandoned();
        self.tick_stop();
    }

    /// Updates the promises, the broker and the published view, at intervals of
    /// [`REFRESH_INTERVAL`].
    fn refresh(&mut self) {
        let now = self.clock.now();
        if now < self.periodic.next_refresh {
            return;
        }
        self.periodic.next_refresh = now + REFRESH_INTERVAL;
        self.update_promises();
        self.choose_broker();
        self.publish_view();
    }
}
