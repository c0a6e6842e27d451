//! Logs: one key=value line an event on standard output.
//!
//! Lines go through a bounded queue to a thread of their own, so that a slow
//! reader of the output never holds up a call. Lines that find the queue full
//! are dropped and counted.

use eyre::{Result, WrapErr as _};
use std::io::{self, Write as _};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread::{self, JoinHandle};
use tracing_subscriber::fmt::MakeWriter;
use tracing_subscriber::layer::SubscriberExt as _;
use tracing_subscriber::util::SubscriberInitExt as _;
use tracing_subscriber::{EnvFilter, Layer as _, Registry};

/// Lines that wait to be written at most; about half a megabyte.
const QUEUE_LINES: usize = 2_048;
/// Events that are logged when the environment names no filter. A call between
/// nodes that ends at its deadline is told by the node that made it, so that
/// tarpc's own line a call says nothing new.
const DEFAULT_FILTER: &str = "info,tarpc=off,hyper=warn";

/// Keeps logs flowing while it is held.
#[derive(Debug)]
pub(crate) struct Log {
    dropped: Arc<AtomicU64>,
    lines: Option<SyncSender<Vec<u8>>>,
    writer: Option<JoinHandle<()>>,
}

impl Log {
    /// Sets logs up for the whole process.
    ///
    /// # Errors
    /// When they were set up before.
    pub(crate) fn start() -> Result<Self> {
        let (lines, rx) = sync_channel(QUEUE_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let make = Lines {
            lines: lines.clone(),
            dropped: Arc::clone(&dropped),
        };
        let filter =
            EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new(DEFAULT_FILTER));
        let layer = tracing_logfmt::builder()
            .with_target(false)
            .layer()
            .with_writer(make);
        Registry::default()
            .with(layer.with_filter(filter))
            .try_init()
            .wrap_err("logs can't be set up")?;
        let writer = thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write(&rx))
            .wrap_err("the log thread can't be started")?;
        Ok(Self {
            dropped,
            lines: Some(lines),
            writer: Some(writer),
        })
    }

    /// Lines that were dropped.
    pub(crate) fn dropped(&self) -> Arc<AtomicU64> {
        Arc::clone(&self.dropped)
    }

    /// Writes what waits and ends the thread.
    pub(crate) fn stop(mut self) {
        if let Some(lines) = self.lines.take() {
            // An empty line tells the writer to end.
            if lines.send(Vec::new()).is_err() {
                return;
            }
        }
        if let Some(writer) = self.writer.take()
            && writer.join().is_err()
        {
            eprintln!("the log thread panicked");
        }
    }
}

fn write(lines: &Receiver<Vec<u8>>) {
    let mut out = io::stdout();
    while let Ok(mut buf) = lines.recv() {
        let mut last = buf.is_empty();
        while let Ok(more) = lines.try_recv() {
            last |= more.is_empty();
            buf.extend_from_slice(&more);
        }
        // Nothing can be told about an output that fails.
        if out.write_all(&buf).is_err() || last {
            return;
        }
    }
}

/// Makes the writer of one line.
struct Lines {
    lines: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

/// Collects one line.
struct Line<'a> {
    to: &'a Lines,
    buf: Vec<u8>,
}

impl<'a> MakeWriter<'a> for Lines {
    type Writer = Line<'a>;

    fn make_writer(&'a self) -> Self::Writer {
        Line {
            to: self,
            buf: Vec::new(),
        }
    }
}

impl io::Write for Line<'_> {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.buf.extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Drop for Line<'_> {
    fn drop(&mut self) {
        let line = std::mem::take(&mut self.buf);
        if !line.is_empty() && self.to.lines.try_send(line).is_err() {
            self.to.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}
