//! Accepts connections and applies the zone faults.

use crate::platform::routes;
use crate::platform::state::{FaultState, PlatformState};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use tokio::net::{TcpListener, TcpStream};

/// Serves one address.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) shared: Arc<PlatformState>,
    /// The zone; `None` for the control address, which is exempt from zone
    /// faults.
    pub(crate) zone: Option<Box<str>>,
}

/// One connection.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) shared: Arc<PlatformState>,
    zone: Option<Box<str>>,
    number: u64,
    /// Whether a call was received while the zone hung.
    hung: AtomicBool,
}

impl Server {
    /// Accepts connections until the stand-in shuts down.
    pub(crate) async fn accept(self, listener: TcpListener) {
        let accept = || self.shared.stop.run_until_cancelled(listener.accept());
        while let Some(accepted) = accept().await {
            // Errors of `accept` are ignored; a client whose connection failed
            // sees it closed.
            if let Ok((stream, _)) = accepted {
                self.shared.tasks.spawn(self.serve(stream));
            }
        }
    }

    fn serve(&self, stream: TcpStream) -> impl Future<Output = ()> + use<> {
        let connection = Arc::new(Connection {
            shared: Arc::clone(&self.shared),
            zone: self.zone.clone(),
            number: self.shared.next_connection_number(),
            hung: AtomicBool::new(false),
        });
        let stop = self.shared.stop.clone();
        async move {
            let zone_cut_off = connection.zone_cut_off();
            let service = service_fn(|req| routes::respond(Arc::clone(&connection), req));
            let serving = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            tokio::select! {
                biased;
                () = stop.cancelled() => {}
                () = zone_cut_off => {}
                // Errors are ignored: the client sees the closed connection.
                _ = serving => {}
            }
        }
    }
}

impl Connection {
    /// Completes when the zone is cut off.
    fn zone_cut_off(&self) -> impl Future<Output = ()> + use<> {
        let mut rx = self.shared.faults.subscribe();
        let zone = self.zone.clone();
        async move {
            let is_cut = |state: &FaultState| match &zone {
                Some(zone) => state.faults.cut_zones.contains(zone),
                None => false,
            };
            if rx.wait_for(is_cut).await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }

    /// Returns whether this connection must stay silent from now on. A call
    /// received while the zone hangs makes the connection silent permanently.
    pub(crate) fn must_stay_silent(&self) -> bool {
        let Some(zone) = &self.zone else {
            return false;
        };
        let state = self.shared.faults.borrow();
        if state.faults.hang_zones.contains(zone) {
            self.hung.store(true, Ordering::Relaxed);
        }
        let silenced = state
            .silent_below
            .get(zone)
            .is_some_and(|n| self.number < *n);
        silenced || self.hung.load(Ordering::Relaxed)
    }
}
