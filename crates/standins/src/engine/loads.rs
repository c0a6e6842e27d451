//! Execution of orders to load and unload adapters.

use super::Engine;
use super::record::{OrderKind, OrderOutcome};
use super::slots::{LoadNumber, LoadStart, SlotKey};
use super::state::LoadResult;
use crate::target_http::{self, CloseConnection, refusal};
use bytes::Bytes;
use hyper::{Method, StatusCode};
use reedford_wire::engine::{AdapterOrder, OrderResponse, Refusal, RefusalCode};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Executes an order and records its outcome.
///
/// # Errors
/// [`CloseConnection`] when the engine restarts before a load ends.
pub(super) async fn execute(
    engine: &Arc<Engine>,
    kind: OrderKind,
    order: AdapterOrder,
) -> Result<Result<OrderResponse, Refusal>, CloseConnection> {
    let (number, boot_id) = {
        let mut state = engine.state();
        (state.record_order(kind, &order), state.boot_id.clone())
    };
    let result = match kind {
        OrderKind::Load => load(engine, &boot_id, &order).await,
        OrderKind::Unload => Ok(unload(engine, &order)),
    };
    let outcome = match &result {
        Ok(Ok(())) => OrderOutcome::Done,
        Ok(Err(refusal)) => OrderOutcome::Refused(refusal.code),
        Err(CloseConnection) => OrderOutcome::Cut,
    };
    engine.state().end_order(number, outcome);
    Ok(result?.map(|()| OrderResponse { boot_id }))
}

fn unload(engine: &Engine, order: &AdapterOrder) -> Result<(), Refusal> {
    let result = engine.state().unload(order, Instant::now());
    engine.notify();
    result
}

async fn load(
    engine: &Arc<Engine>,
    boot_id: &str,
    order: &AdapterOrder,
) -> Result<Result<(), Refusal>, CloseConnection> {
    let key = SlotKey::of(order);
    let started = engine.state().begin_load(order);
    let load = match started {
        Err(refusal) => return Ok(Err(refusal)),
        Ok(LoadStart::Resident) => return Ok(Ok(())),
        Ok(LoadStart::Join(load)) => load,
        Ok(LoadStart::Fetch(load)) => {
            // The load continues when the connection of the order closes.
            engine.spawn(fetch(Arc::clone(engine), key.clone(), load));
            load
        }
    };
    let end = engine
        .wait_for(|state| state.load_result(boot_id, &key, load))
        .await;
    match end {
        LoadResult::Cut => Err(CloseConnection),
        LoadResult::Failed => Ok(Err(refusal(RefusalCode::LoadFailed, "the load failed"))),
        LoadResult::Loaded => Ok(Ok(())),
    }
}

async fn fetch(engine: Arc<Engine>, key: SlotKey, load: LoadNumber) {
    let fails = engine.state().next_load_fails();
    let fetched = fetch_weights(&engine, &key).await;
    engine.state().end_load(&key, load, fetched && !fails);
    engine.notify();
}

async fn fetch_weights(engine: &Engine, key: &SlotKey) -> bool {
    let Some(store) = engine.cfg.weights else {
        tokio::time::sleep(Duration::from_millis(engine.cfg.load_ms)).await;
        return true;
    };
    let base = &engine.cfg.base;
    let path = format!("/weights/{base}/{}/{}", key.adapter, key.version);
    let response = target_http::send_request(store, Method::POST, &path, Bytes::new()).await;
    matches!(response, Ok(StatusCode::OK))
}
