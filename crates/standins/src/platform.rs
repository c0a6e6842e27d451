//! Stand-in for the platform: key-value service, list of instances with a lag,
//! and weight store, with injectable faults.
//!
//! | call | effect or response |
//! |---|---|
//! | `POST /v3/...` | see [`reedford_wire::kv`] |
//! | `GET /instances` | the list as of `lag_ms` ago |
//! | `POST /weights/{base}/{adapter}/{version}` | 200 after the load time, 502 if the load fails |
//! | `POST /control/instances` with [`SetInstances`] | sets the current list and the lag |
//! | `PUT /control/instances/{id}` with an instance | adds or replaces one |
//! | `DELETE /control/instances/{id}` | removes one |
//! | `POST /control/faults` with [`Faults`] | replaces the faults |
//! | `GET /control/stats` | [`Stats`] |
//!
//! Every path is served at every address. The control paths are exempt from
//! faults, except the zone faults (`cut_zones`, `hang_zones`, `silence_zones`),
//! which affect every path at the zone's address.

mod config;
mod connection;
mod directory;
mod routes;
mod state;
mod store;
mod watch;
mod weights;

pub use config::{Faults, PlatformConfig, SetInstances, Stats};

use crate::platform::state::PlatformState;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::TcpListener;

/// A running platform stand-in.
#[derive(Debug)]
pub struct PlatformStandin {
    control: SocketAddr,
    zones: BTreeMap<Box<str>, SocketAddr>,
    shared: Arc<PlatformState>,
}

impl PlatformStandin {
    /// Binds all addresses and starts serving.
    ///
    /// # Errors
    /// When an address can't be bound.
    pub async fn start(cfg: PlatformConfig) -> io::Result<Self> {
        let control = TcpListener::bind(cfg.control).await?;
        let mut zones = BTreeMap::new();
        let mut listeners = Vec::new();
        for (zone, address) in &cfg.zones {
            let listener = TcpListener::bind(address).await?;
            zones.insert(zone.clone(), listener.local_addr()?);
            listeners.push((Some(zone.clone()), listener));
        }
        let control_address = control.local_addr()?;
        listeners.push((None, control));

        let shared = Arc::new(PlatformState::new(cfg));
        for (zone, listener) in listeners {
            let server = connection::Server {
                shared: Arc::clone(&shared),
                zone,
            };
            shared.tasks.spawn(server.accept(listener));
        }
        let leases = state::expire_leases(Arc::clone(&shared));
        shared.tasks.spawn(leases);
        Ok(Self {
            control: control_address,
            zones,
            shared,
        })
    }

    /// Returns the control address, which is exempt from zone faults.
    #[must_use]
    pub fn control(&self) -> SocketAddr {
        self.control
    }

    /// Returns the address of each zone.
    #[must_use]
    pub fn zones(&self) -> &BTreeMap<Box<str>, SocketAddr> {
        &self.zones
    }

    /// Closes all connections and joins all tasks.
    pub async fn shutdown(self) {
        self.shared.stop.cancel();
        self.shared.tasks.close();
        self.shared.tasks.wait().await;
    }
}
