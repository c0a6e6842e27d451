//! Exports spans on the process's Tokio runtime.
//!
//! The SDK's batch processor runs on a thread without a runtime, but the HTTP
//! client of the exporter needs one.

use opentelemetry_sdk::Resource;
use opentelemetry_sdk::error::{OTelSdkError, OTelSdkResult};
use opentelemetry_sdk::trace::{SpanData, SpanExporter};
use std::sync::Arc;
use std::time::Duration;
use tokio::runtime::Handle;

/// Runs each export of `inner` on a Tokio runtime and waits for its end.
#[derive(Debug)]
pub(super) struct RuntimeExporter {
    inner: Arc<opentelemetry_otlp::SpanExporter>,
    runtime: Handle,
}

impl RuntimeExporter {
    /// Creates an exporter that uses the current runtime.
    ///
    /// # Panics
    /// If called outside a Tokio runtime.
    pub(super) fn new(inner: opentelemetry_otlp::SpanExporter) -> Self {
        Self {
            inner: Arc::new(inner),
            runtime: Handle::current(),
        }
    }
}

impl SpanExporter for RuntimeExporter {
    async fn export(&self, batch: Vec<SpanData>) -> OTelSdkResult {
        let inner = Arc::clone(&self.inner);
        let export = self.runtime.spawn(async move { inner.export(batch).await });
        export
            .await
            .unwrap_or_else(|e| Err(OTelSdkError::InternalFailure(e.to_string())))
    }

    fn shutdown_with_timeout(&self, timeout: Duration) -> OTelSdkResult {
        self.inner.shutdown_with_timeout(timeout)
    }

    fn set_resource(&mut self, resource: &Resource) {
        // The exporter is shared only while an export runs, and the processor
        // sets the resource before the first one.
        if let Some(inner) = Arc::get_mut(&mut self.inner) {
            inner.set_resource(resource);
        }
    }
}
