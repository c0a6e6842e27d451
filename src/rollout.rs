//! Waits until a revision of the rules is in force at all instances.

use reedford_operator::{CreateClientError, InstanceStatus, OperatorRpcClient, client};
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until, timeout_at};

/// Time limit of one call to an instance.
pub(crate) const INSTANCE_CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between two calls to an instance.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// An instance that has not reported the revision, or a later one, as in force.
#[derive(Debug)]
pub(crate) struct UnconfirmedInstance {
    address: SocketAddr,
    last_result: CallResult,
}

/// Result of the last call to an instance.
#[derive(Debug)]
enum CallResult {
    /// The instance reported an older revision.
    Status(InstanceStatus),
    /// The call failed, with the message of its error.
    Error(Box<str>),
}

/// Clients of the instances to poll.
pub(crate) struct InstanceClients<C> {
    clients: Vec<(SocketAddr, C)>,
}

/// Creates clients of the instances at `addresses`.
///
/// # Errors
/// When the token can't be sent in a header, or the HTTP client rejects an address.
pub(crate) fn instance_clients(
    addresses: &[SocketAddr],
    token: &str,
) -> Result<InstanceClients<impl OperatorRpcClient + Send + Sync + use<>>, CreateClientError> {
    let mut clients = Vec::new();
    for address in addresses {
        clients.push((*address, client(*address, token, INSTANCE_CALL_TIMEOUT)?));
    }
    Ok(InstanceClients { clients })
}

impl<C> InstanceClients<C>
where
    C: OperatorRpcClient + Send + Sync + 'static,
{
    /// Returns the number of instances.
    pub(crate) const fn count(&self) -> usize {
        self.clients.len()
    }

    /// Waits until every instance reports at least `revision`, and prints each
    /// instance when it does. Returns the instances that have not reported it by
    /// `deadline`, ordered by address.
    pub(crate) async fn wait(self, revision: u64, deadline: Instant) -> Vec<UnconfirmedInstance> {
        let mut tasks = JoinSet::new();
        for (address, client) in self.clients {
            tasks.spawn(poll(address, client, revision, deadline));
        }
        let polled = tasks.join_all().await;
        let mut unconfirmed: Vec<UnconfirmedInstance> = polled.into_iter().flatten().collect();
        unconfirmed.sort_by_key(|instance| instance.address);
        unconfirmed
    }
}

async fn poll<C>(
    address: SocketAddr,
    client: C,
    revision: u64,
    deadline: Instant,
) -> Option<UnconfirmedInstance>
where
    C: OperatorRpcClient + Sync,
{
    let mut last_result = CallResult::Error("no answer".into());
    while Instant::now() < deadline {
        match timeout_at(deadline, client.status()).await {
            Ok(Ok(status)) if status.revision >= revision => {
                println!("{} ({address}): in force", status.instance);
                return None;
            }
            Ok(Ok(status)) => last_result = CallResult::Status(status),
            Ok(Err(e)) => last_result = CallResult::Error(e.to_string().into()),
            Err(_elapsed) => break,
        }
        sleep_until(deadline.min(Instant::now() + POLL_INTERVAL)).await;
    }
    Some(UnconfirmedInstance {
        address,
        last_result,
    })
}

impl fmt::Display for UnconfirmedInstance {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.last_result {
            CallResult::Status(status) => {
                let (instance, revision) = (&status.instance, status.revision);
                write!(
                    f,
                    "{instance} ({}): still at revision {revision}",
                    self.address
                )
            }
            CallResult::Error(message) => write!(f, "{}: {message}", self.address),
        }
    }
}
