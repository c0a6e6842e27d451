//! The protocol between entry instances, over tarpc.

mod clients;
mod server;

pub(crate) use clients::PeerClients;
pub(crate) use server::PeerServer;

use reedford_core::messages::{
    Handover, PermitAnswer, PermitRequest, Release, Summary, SummaryAnswer, TurnAnswer, TurnRequest,
};
use reedford_core::{AdapterVersion, WorkerId};
use serde::{Deserialize, Serialize};

/// A revision of the rules, as peers pass it on.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct RulesText {
    pub(crate) revision: u64,
    pub(crate) text: Box<str>,
}

/// What entry instances ask of each other.
#[tarpc::service]
pub(crate) trait Peer {
    /// Asks the owner of a worker for a permit; answers once it is decided.
    /// `traceparent` is the asker's span, when it is traced.
    async fn permit(req: PermitRequest, traceparent: Option<Box<str>>) -> PermitAnswer;
    /// Gives a permit back.
    async fn release(release: Release);
    /// Tells what the sender owns and knows.
    async fn exchange(summary: Summary) -> SummaryAnswer;
    /// Asks the zone's broker for the turn to load; answers when it comes.
    async fn turn(req: TurnRequest) -> TurnAnswer;
    /// Changes the value of a load that waits for its turn.
    async fn revalue(req: TurnRequest);
    /// Ends a turn, or withdraws the ask for one.
    async fn turn_ended(worker: WorkerId, target: AdapterVersion);
    /// Hands a worker over to its next owner.
    async fn hand_over(handover: Handover);
    /// The rules in force.
    async fn rules() -> Option<RulesText>;
}
