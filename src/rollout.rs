//! Waiting until a revision of the rules is in force at all instances.

use reedford_operator::{ClientError, InstanceStatus, OperatorRpcClient, client};
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until, timeout_at};

/// Time for one call to an instance.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause between two calls to an instance.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// What an instance that is behind showed last.
#[derive(Debug)]
pub(crate) struct Behind {
    address: SocketAddr,
    seen: Seen,
}

/// The last answer of an instance.
#[derive(Debug)]
enum Seen {
    /// It has another revision.
    Revision(InstanceStatus),
    /// It gave no answer.
    Silent(Box<str>),
}

/// The instances to ask.
pub(crate) struct Instances<C> {
    clients: Vec<(SocketAddr, C)>,
}

/// Clients of the instances at `addresses`.
///
/// # Errors
/// When the token can't be sent.
pub(crate) fn instances(
    addresses: &[SocketAddr],
    token: &str,
) -> Result<Instances<impl OperatorRpcClient + Send + Sync + use<>>, ClientError> {
    let mut clients = Vec::new();
    for address in addresses {
        clients.push((*address, client(*address, token, CALL_TIMEOUT)?));
    }
    Ok(Instances { clients })
}

impl<C> Instances<C>
where
    C: OperatorRpcClient + Send + Sync + 'static,
{
    /// Number of instances.
    pub(crate) const fn count(&self) -> usize {
        self.clients.len()
    }

    /// Waits until every instance reports at least `revision`, and prints each
    /// as it does. Answers with those that are behind at `deadline`.
    pub(crate) async fn wait(self, revision: u64, deadline: Instant) -> Vec<Behind> {
        let mut tasks = JoinSet::new();
        for (address, client) in self.clients {
            tasks.spawn(poll(address, client, revision, deadline));
        }
        let polled = tasks.join_all().await;
        let mut all_behind: Vec<Behind> = polled.into_iter().flatten().collect();
        all_behind.sort_by_key(|behind| behind.address);
        all_behind
    }
}

async fn poll<C>(address: SocketAddr, client: C, revision: u64, deadline: Instant) -> Option<Behind>
where
    C: OperatorRpcClient + Sync,
{
    let mut seen = Seen::Silent("no answer".into());
    while Instant::now() < deadline {
        match timeout_at(deadline, client.status()).await {
            Ok(Ok(status)) if status.revision >= revision => {
                println!("{} ({address}): in force", status.instance);
                return None;
            }
            Ok(Ok(status)) => seen = Seen::Revision(status),
            Ok(Err(e)) => seen = Seen::Silent(e.to_string().into()),
            Err(_elapsed) => break,
        }
        sleep_until(deadline.min(Instant::now() + POLL_INTERVAL)).await;
    }
    Some(Behind { address, seen })
}

impl fmt::Display for Behind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.seen {
            Seen::Revision(status) => {
                let (instance, revision) = (&status.instance, status.revision);
                write!(
                    f,
                    "{instance} ({}): still at revision {revision}",
                    self.address
                )
            }
            Seen::Silent(message) => write!(f, "{}: {message}", self.address),
        }
    }
}
