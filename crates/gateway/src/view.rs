//! State of a fleet as the store holds it, for operators.

use crate::dialect::{Dialect, StoredItem};
use crate::membership::{NODE_PREFIX, NodeRecord, ZONE_PREFIX};
use reedford_fleet::directory::Instance;
use reedford_fleet::ownership::Fence;
use reedford_fleet::{Era, ServiceName, ZoneId};
use reedford_store::{Entry, KeyValue, KvError};
use std::collections::BTreeMap;
use std::fmt;

/// State of a fleet, read from the store.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    /// Era of the store.
    pub era: Era,
    /// Revision of the store.
    pub revision: i64,
    /// The current configuration.
    pub configuration: Option<ConfigurationView>,
    /// Number of adapters for which a version is set.
    pub versions_set: usize,
    /// Coordinators by availability zone, with their fencing tokens.
    pub coordinators: BTreeMap<ZoneId, (Box<str>, Fence)>,
    /// Nodes by availability zone.
    pub nodes: BTreeMap<ZoneId, Vec<Box<str>>>,
    /// Instances by service.
    pub instances: BTreeMap<ServiceName, Vec<Instance>>,
    /// Keys whose values can't be parsed, with the reason.
    pub unreadable: Vec<(Box<str>, Box<str>)>,
}

/// Summary of a configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConfigurationView {
    /// Version of the configuration.
    pub version: u64,
    /// Store revision at which it was written.
    pub revision: i64,
    /// Number of routes.
    pub routes: usize,
    /// Number of services.
    pub services: usize,
}

impl FleetView {
    /// Reads a fleet from the store.
    ///
    /// # Errors
    /// When a store request fails.
    pub async fn read<D, K>(dialect: &D, store: &K) -> Result<Self, KvError>
    where
        D: Dialect,
        K: KeyValue,
    {
        let mut view = Self::default();
        for prefix in [dialect.operator_prefix(), dialect.instance_prefix()] {
            let listing = store.list(prefix).await?;
            view.era = listing.era;
            view.revision = listing.revision;
            for entry in listing.entries {
                view.add_stored(dialect, &entry);
            }
        }
        let coordinators = store.list(ZONE_PREFIX).await?;
        for entry in &coordinators.entries {
            view.add_coordinator(entry, coordinators.era);
        }
        for entry in store.list(NODE_PREFIX).await?.entries {
            view.add_node(&entry);
        }
        Ok(view)
    }

    fn add_stored<D>(&mut self, dialect: &D, entry: &Entry)
    where
        D: Dialect,
    {
        match dialect.parse_stored(&entry.key, &entry.value) {
            Ok(StoredItem::Configuration(config)) => {
                self.configuration = Some(ConfigurationView {
                    version: config.version,
                    revision: entry.revision,
                    routes: config.routes.len(),
                    services: config.services.len(),
                });
            }
            Ok(StoredItem::AdapterVersion { .. }) => self.versions_set += 1,
            Ok(StoredItem::Instance(instance)) => {
                let service = instance.service.clone();
                self.instances.entry(service).or_default().push(instance);
            }
            Err(error) => self.unreadable.push((entry.key.clone(), error)),
        }
    }

    fn add_coordinator(&mut self, entry: &Entry, era: Era) {
        let zone = entry.key.strip_prefix(ZONE_PREFIX).unwrap_or(&entry.key);
        match serde_json::from_slice::<NodeRecord>(&entry.value) {
            Ok(record) => {
                if let Some(holder) = record.holder(era, entry.revision) {
                    let coordinator = (holder.node, holder.fence);
                    self.coordinators.insert(zone.into(), coordinator);
                }
            }
            Err(error) => self.unreadable(entry, &error),
        }
    }

    fn add_node(&mut self, entry: &Entry) {
        match serde_json::from_slice::<NodeRecord>(&entry.value) {
            Ok(record) => {
                let nodes = self.nodes.entry(record.zone).or_default();
                nodes.push(record.node);
            }
            Err(error) => self.unreadable(entry, &error),
        }
    }

    fn unreadable(&mut self, entry: &Entry, error: &serde_json::Error) {
        let reason = error.to_string().into();
        self.unreadable.push((entry.key.clone(), reason));
    }
}

impl fmt::Display for FleetView {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.configuration {
            Some(c) => writeln!(
                f,
                "configuration version={} revision={} routes={} services={} era={} store_revision={}",
                c.version, c.revision, c.routes, c.services, self.era, self.revision
            )?,
            None => writeln!(f, "no configuration")?,
        }
        writeln!(f, "adapters with a named version: {}", self.versions_set)?;
        for (zone, nodes) in &self.nodes {
            let coordinator = match self.coordinators.get(zone) {
                Some((node, fence)) => format!("{node} fence={fence}"),
                None => "none".to_owned(),
            };
            writeln!(
                f,
                "zone={zone} nodes={} coordinator={coordinator}",
                nodes.len()
            )?;
        }
        for (service, instances) in &self.instances {
            for instance in instances {
                write_instance(f, service, instance)?;
            }
        }
        for (key, reason) in &self.unreadable {
            writeln!(f, "unreadable key={key} reason={reason:?}")?;
        }
        Ok(())
    }
}

fn write_instance(f: &mut fmt::Formatter<'_>, service: &str, instance: &Instance) -> fmt::Result {
    write!(
        f,
        "service={service} instance={} zone={} addr={} state={:?}",
        instance.id, instance.zone, instance.addr, instance.state
    )?;
    for model in &instance.models {
        write!(f, " {}=", model.name)?;
        let adapters = model.adapters.iter();
        let labels: Vec<String> = adapters.map(|(name, v)| format!("{name}@{v}")).collect();
        write!(f, "[{}]", labels.join(","))?;
    }
    writeln!(f)
}
