//! Logs as one key=value line an event, and traces sent by OTLP over HTTP.
//!
//! Spans go to the traces and events to the logs; where no traces are sent, no
//! layer takes spans and they cost next to nothing.

mod exporter;

use crate::spans;
use exporter::RuntimeExporter;
use eyre::{Result, WrapErr as _};
use opentelemetry::trace::TracerProvider as _;
use opentelemetry_otlp::{Protocol, SpanExporter, WithExportConfig as _};
use opentelemetry_sdk::Resource;
use opentelemetry_sdk::trace::SdkTracerProvider;
use reedford_settings::Settings;
use tracing_subscriber::filter::{FilterExt as _, filter_fn};
use tracing_subscriber::layer::SubscriberExt as _;
use tracing_subscriber::util::SubscriberInitExt as _;
use tracing_subscriber::{EnvFilter, Layer as _, Registry};

/// Name of the service in traces.
const SERVICE: &str = "reedford";
/// Events that are logged when the environment names no filter.
const DEFAULT_FILTER: &str = "info,tarpc=warn,hyper=warn,jsonrpsee=warn,opentelemetry=warn";

/// Keeps traces flowing while it is held.
#[derive(Debug)]
pub struct Telemetry {
    provider: Option<SdkTracerProvider>,
}

impl Telemetry {
    /// Sets logs up for the whole process, and traces if an endpoint is set.
    /// The filter comes from the variable `RUST_LOG`.
    ///
    /// # Errors
    /// When the endpoint can't be used or logs were set up before.
    ///
    /// # Panics
    /// When called outside a runtime.
    pub fn start(cfg: &Settings) -> Result<Self> {
        let filter =
            EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new(DEFAULT_FILTER));
        let provider = cfg
            .trace_endpoint
            .as_deref()
            .map(|url| provider(cfg, url))
            .transpose()?;
        let tracer = provider.as_ref().map(|p| p.tracer(SERVICE));
        let traces = tracer.map(|tracer| {
            let layer = tracing_opentelemetry::layer()
                .with_location(false)
                .with_threads(false)
                .with_target(false);
            layer
                .with_tracer(tracer)
                .with_filter(filter_fn(|m| m.target() == spans::TARGET))
        });
        let events = filter_fn(|m| m.target() != spans::TARGET);
        Registry::default()
            .with(tracing_logfmt::layer().with_filter(filter.and(events)))
            .with(traces)
            .try_init()
            .wrap_err("logs can't be set up")?;
        Ok(Self { provider })
    }

    /// Sends what is left.
    pub fn stop(self) {
        let Some(provider) = self.provider else {
            return;
        };
        if let Err(error) = provider.shutdown() {
            tracing::warn!(event = "traces_lost", %error);
        }
    }
}

fn provider(cfg: &Settings, url: &str) -> Result<SdkTracerProvider> {
    let exporter = SpanExporter::builder()
        .with_http()
        .with_protocol(Protocol::HttpBinary)
        .with_endpoint(url)
        .build()
        .wrap_err("trace_endpoint can't be used")?;
    let resource = Resource::builder()
        .with_service_name(format!("{SERVICE}/{}", cfg.instance))
        .build();
    Ok(SdkTracerProvider::builder()
        .with_batch_exporter(RuntimeExporter::new(exporter))
        .with_resource(resource)
        .build())
}
