//! Logs with one line of key=value pairs per event, and traces exported by OTLP
//! over HTTP.
//!
//! Spans go to the traces and events to the logs. Without a trace endpoint no
//! layer enables spans, so they cost almost nothing.

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

/// Name of the tracer, and first part of the service name in traces.
const SERVICE: &str = "reedford";
/// Filter of log events if the environment sets none.
const DEFAULT_FILTER: &str = "info,tarpc=warn,hyper=warn,jsonrpsee=warn,opentelemetry=warn";

/// Handle of the process's logs and traces. Traces are exported until
/// [`Telemetry::stop`].
#[derive(Debug)]
pub struct Telemetry {
    provider: Option<SdkTracerProvider>,
}

impl Telemetry {
    /// Sets up logs for the whole process, and traces if an endpoint is
    /// configured. The environment variable `RUST_LOG` sets the log filter.
    ///
    /// # Errors
    /// If the endpoint can't be used or logs have been set up before.
    ///
    /// # Panics
    /// If traces are configured and this is called outside a Tokio runtime.
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

    /// Exports the remaining spans and stops the exporter.
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
