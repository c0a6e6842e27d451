//! Tests of links to instances.

use super::{InstanceDialer, RELAY_DELAY, Target};
use rand::seq::IteratorRandom as _;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Tests of links that a node runs at once. One that finds no place is due again later.
pub(crate) const MAX_CONCURRENT_TESTS: usize = 16;
/// Instances among which those are sought whose links are tested when one breaks.
const SAMPLED_LINKS: usize = 8;

/// What a test of a link tries.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum LinkTest {
    /// A direct connection.
    Direct,
    /// One through another node as well, if the direct one fails.
    Relayed,
}

impl InstanceDialer {
    /// Tests the link to an instance that sends nothing, unless a test is under way.
    pub(crate) fn check_link(&self, instance: &str) {
        let now = self.shared.now();
        let mut state = self.shared.lock();
        let target = state.directory.get(instance).map(Target::new);
        let is_due = state.links.start_test(instance, now);
        drop(state);
        if let Some(target) = target.filter(|_| is_due) {
            self.spawn_test(target, LinkTest::Relayed);
        }
    }

    /// Tests a link until the node stops, if there is a place for the test.
    pub(super) fn spawn_test(&self, target: Target, test: LinkTest) {
        let Ok(place) = Arc::clone(&self.tests).try_acquire_owned() else {
            tracing::debug!(event = "link_untested", instance = %target.id);
            return;
        };
        let dialer = self.clone();
        let stop = self.stop.clone();
        self.tasks.spawn(async move {
            let testing = async {
                if !dialer.test_direct(&target).await && test == LinkTest::Relayed {
                    // The outcome is recorded.
                    let _ = dialer.relay(&target).await;
                }
            };
            stop.run_until_cancelled(testing).await;
            drop(place);
        });
    }

    /// Connects directly; returns whether that succeeds.
    async fn test_direct(&self, target: &Target) -> bool {
        match timeout(RELAY_DELAY * 2, TcpStream::connect(target.addr)).await {
            Ok(Ok(_connected)) => {
                self.on_connected(target);
                true
            }
            failed => {
                self.on_failed(target, failed.is_err());
                false
            }
        }
    }

    /// Tests the broken links whose test is due, those of `relayed` through another node,
    /// too: their connections are used as long as another node reaches the instance.
    pub(super) fn test_broken_links(&self, relayed: &[SocketAddr]) {
        let now = self.shared.now();
        let targets: Vec<Target> = {
            let mut state = self.shared.lock();
            let due = state.links.start_due_tests(now);
            let known = due.iter().filter_map(|id| state.directory.get(id));
            known.map(Target::new).collect()
        };
        for target in targets {
            let test = if relayed.contains(&target.addr) {
                LinkTest::Relayed
            } else {
                LinkTest::Direct
            };
            self.spawn_test(target, test);
        }
    }

    /// Tests the links to a few instances, so that a cut is known before callers meet it.
    pub(super) fn test_others(&self) {
        let now = self.shared.now();
        let targets: Vec<Target> = {
            let mut state = self.shared.lock();
            let known = state.directory.all().map(|i| i.id.clone());
            let sampled = known.sample(&mut rand::rng(), SAMPLED_LINKS);
            let due = state.links.start_tests_of_others(sampled, now);
            let known = due.iter().filter_map(|id| state.directory.get(id));
            known.map(Target::new).collect()
        };
        for target in targets {
            self.spawn_test(target, LinkTest::Relayed);
        }
    }
}
