//! Logging: one line of key=value pairs per event on standard output.
//!
//! Lines go through a bounded queue to a dedicated thread, so that a slow
//! reader of the output never delays a call. Lines that find the queue full are
//! dropped and counted.

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

/// Capacity of the queue of lines; about half a megabyte.
const QUEUE_CAPACITY: usize = 2_048;
/// Filter used when the environment sets none. tarpc's own events are off: the
/// node that makes a call to a peer logs its timeout, so tarpc's line for each
/// call adds nothing.
const DEFAULT_FILTER: &str = "info,tarpc=off,hyper=warn";

/// Handle to the log. Logging runs while the value exists.
#[derive(Debug)]
pub(crate) struct Log {
    dropped: Arc<AtomicU64>,
    lines: Option<SyncSender<Vec<u8>>>,
    writer: Option<JoinHandle<()>>,
}

impl Log {
    /// Sets up logging for the whole process.
    ///
    /// # Errors
    /// When it was set up before.
    pub(crate) fn start() -> Result<Self> {
        let (lines, rx) = sync_channel(QUEUE_CAPACITY);
        let dropped = Arc::new(AtomicU64::new(0));
        let make = LineQueue {
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
            .wrap_err("can't set up logging")?;
        let writer = thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(&rx))
            .wrap_err("can't start the log thread")?;
        Ok(Self {
            dropped,
            lines: Some(lines),
            writer: Some(writer),
        })
    }

    /// Returns the counter of dropped lines.
    pub(crate) fn dropped(&self) -> Arc<AtomicU64> {
        Arc::clone(&self.dropped)
    }

    /// Writes the queued lines and stops the thread.
    pub(crate) fn stop(mut self) {
        if let Some(lines) = self.lines.take() {
            // An empty line stops the writer.
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

fn write_lines(lines: &Receiver<Vec<u8>>) {
    let mut out = io::stdout();
    while let Ok(mut buf) = lines.recv() {
        let mut last = buf.is_empty();
        while let Ok(more) = lines.try_recv() {
            last |= more.is_empty();
            buf.extend_from_slice(&more);
        }
        // A failed write can't be reported, because this is the log's output.
        if out.write_all(&buf).is_err() || last {
            return;
        }
    }
}

/// Creates a writer for each line.
struct LineQueue {
    lines: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

/// Buffers one line, which its `Drop` queues.
struct LineWriter<'a> {
    queue: &'a LineQueue,
    buf: Vec<u8>,
}

impl<'a> MakeWriter<'a> for LineQueue {
    type Writer = LineWriter<'a>;

    fn make_writer(&'a self) -> Self::Writer {
        LineWriter {
            queue: self,
            buf: Vec::new(),
        }
    }
}

impl io::Write for LineWriter<'_> {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.buf.extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Drop for LineWriter<'_> {
    fn drop(&mut self) {
        let line = std::mem::take(&mut self.buf);
        if !line.is_empty() && self.queue.lines.try_send(line).is_err() {
            self.queue.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}
