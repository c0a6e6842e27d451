//! `reedford adapters`: prints the workers where adapters are resident.

use crate::flags::Adapters;
use crate::input::read_token;
use crate::outcome::Outcome;
use crate::rollout::INSTANCE_CALL_TIMEOUT;
use reedford_operator::{AdapterStatus, OperatorRpcClient as _, client};
use std::net::SocketAddr;

pub(crate) async fn run(flags: Adapters) -> eyre::Result<Outcome> {
    let token = read_token(&flags.token_file)?;
    let mut outcome = Outcome::Done;
    for address in flags.operators.0 {
        let client = client(address, &token, INSTANCE_CALL_TIMEOUT)?;
        match client.adapters().await {
            Ok(adapters) => print_adapters(address, &adapters),
            Err(e) => {
                eprintln!("{address}: {e}");
                outcome = Outcome::Failed;
            }
        }
    }
    Ok(outcome)
}

fn print_adapters(address: SocketAddr, adapters: &[AdapterStatus]) {
    for adapter in adapters {
        println!(
            "instance={address} adapter={}@{} workers={} waiting={}",
            adapter.adapter,
            adapter.version,
            adapter.workers.join(","),
            adapter.waiting,
        );
    }
}
