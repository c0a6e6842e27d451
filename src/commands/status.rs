//! `reedford status`: prints the state of entry instances.

use crate::flags::Status;
use crate::input::read_token;
use crate::outcome::Outcome;
use crate::rollout::INSTANCE_CALL_TIMEOUT;
use reedford_operator::{
    InstanceStatus, LeaseStatus, OperatorRpcClient as _, WorkerStatus, client,
};

pub(crate) async fn run(flags: Status) -> eyre::Result<Outcome> {
    let token = read_token(&flags.token_file)?;
    let mut outcome = Outcome::Done;
    for address in flags.operators.0 {
        let client = client(address, &token, INSTANCE_CALL_TIMEOUT)?;
        match client.status().await {
            Ok(status) => print_status(&status),
            Err(e) => {
                eprintln!("{address}: {e}");
                outcome = Outcome::Failed;
            }
        }
    }
    Ok(outcome)
}

fn print_status(status: &InstanceStatus) {
    println!(
        "instance={} zone={} ready={} revision={} lease={} requests_running={} members={}",
        status.instance,
        status.zone,
        status.ready,
        status.revision,
        lease_text(status.lease),
        status.requests_running,
        status.members.join(","),
    );
    for worker in &status.workers {
        print_worker(worker);
    }
}

fn print_worker(worker: &WorkerStatus) {
    println!(
        "  worker={} zone={} owner={} epoch={} running={} waiting={} free_slots={} resident={}",
        worker.worker,
        worker.zone,
        worker.owner.as_deref().unwrap_or("none"),
        worker.epoch,
        worker.running,
        worker.waiting,
        worker.free_slots,
        worker.resident.join(","),
    );
}

fn lease_text(lease: LeaseStatus) -> String {
    match lease {
        LeaseStatus::Held { left_ms } => format!("held_for_{left_ms}_ms"),
        LeaseStatus::Lapsed => "lapsed".to_owned(),
    }
}
