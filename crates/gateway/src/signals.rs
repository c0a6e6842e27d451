//! Signals that stop a node or reload its settings.

use eyre::{Result, WrapErr as _};
use tokio::signal::unix::{Signal, SignalKind, signal};

/// The signals that a node handles. Those that come while it stops change nothing.
pub(crate) struct Signals {
    hangup: Signal,
    interrupt: Signal,
    terminate: Signal,
}

impl Signals {
    pub(crate) fn new() -> Result<Self> {
        Ok(Self {
            hangup: signal_handler(SignalKind::hangup(), "SIGHUP")?,
            interrupt: signal_handler(SignalKind::interrupt(), "SIGINT")?,
            terminate: signal_handler(SignalKind::terminate(), "SIGTERM")?,
        })
    }

    /// Waits for SIGINT or SIGTERM; SIGHUP reloads the settings.
    pub(crate) async fn wait_for_stop<R>(&mut self, reload: &R)
    where
        R: Fn(),
    {
        loop {
            tokio::select! {
                _ = self.hangup.recv() => reload(),
                _ = self.interrupt.recv() => return,
                _ = self.terminate.recv() => return,
            }
        }
    }
}

fn signal_handler(kind: SignalKind, name: &str) -> Result<Signal> {
    signal(kind).wrap_err_with(|| format!("can't install the handler for {name}"))
}
