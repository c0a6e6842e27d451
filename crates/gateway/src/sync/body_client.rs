//! Receives bodies that coordinators offer in place of large values.

use super::StoreSync;
use crate::dialect::Dialect;
use crate::feeds::{Feed, FeedEntry};
use futures::StreamExt as _;
use reedford_fleet::transfer::{BodyInfo, DecodeError, PART_BYTES, Reception};
use reedford_rpc::PeerError;
use reedford_store::KeyValue;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{MutexGuard, PoisonError};

/// Timeout for one part, which may have to wait for the parts of other nodes, as a share
/// of the longest expected time of a transfer.
const PART_TIME_SHARE: f64 = 0.25;
/// Parts that are requested at a time, so that the link is used while a request is on its
/// way.
const MAX_PARTS_REQUESTED: usize = 2;
/// Failed requests for one part after which the transfer has failed.
const MAX_PART_FAILURES: u32 = 3;
/// Longest expected time of a transfer, as a share of the limit on staleness.
const TRANSFER_TIME_SHARE: f64 = 0.8;

/// Why a body was not received.
#[derive(Debug, thiserror::Error)]
enum BodyError {
    #[error("the coordinator no longer has the body")]
    Gone,
    #[error("the coordinator is too slow")]
    TooSlow,
    #[error(transparent)]
    Peer(#[from] PeerError),
    #[error(transparent)]
    Decode(#[from] DecodeError),
}

impl<D, K> StoreSync<D, K>
where
    D: Dialect,
    K: KeyValue,
{
    /// Receives a body from a coordinator, from where an earlier transfer of it ended.
    /// Returns `None` if it can't be received in time.
    pub(super) async fn receive_body(
        &self,
        addr: SocketAddr,
        feed: Feed,
        info: BodyInfo,
    ) -> Option<Vec<FeedEntry>> {
        let began_at = self.shared.now();
        let before = self.receptions().remove(&feed);
        let mut reception = before
            .filter(|before| *before.info() == info)
            .unwrap_or_else(|| Reception::new(info, began_at));
        reception.resume(began_at);
        let resumed_at = reception.next_offset();
        let received = self.receive_parts(addr, &mut reception).await;
        let entries =
            received.and_then(|()| Ok(self.shared.feeds.decode_body(feed, &reception)?));
        let took = self.shared.now().saturating_sub(began_at);
        let ms = took.as_millis() as u64;
        match entries {
            Ok(entries) => {
                tracing::info!(event = "body_received", feed = feed.name(), %addr, size = info.size,
                    decoded = info.decoded_size, has_base = info.base.is_some(), resumed_at, ms);
                Some(entries)
            }
            Err(error) => {
                tracing::info!(event = "body_lost", feed = feed.name(), %addr, size = info.size,
                    next = reception.next_offset(), ms, %error);
                if !matches!(error, BodyError::Decode(_)) {
                    self.receptions().insert(feed, reception);
                }
                None
            }
        }
    }

    async fn receive_parts(
        &self,
        addr: SocketAddr,
        reception: &mut Reception,
    ) -> Result<(), BodyError> {
        let body = reception.info().id;
        let limit = self.staleness_limit.mul_f64(TRANSFER_TIME_SHARE);
        let part_limit = limit.mul_f64(PART_TIME_SHARE);
        let mut failures = 0;
        while let Some(first) = reception.next_offset() {
            let offsets = (first..reception.info().size).step_by(PART_BYTES);
            let parts = offsets.map(|offset| async move {
                let part = self
                    .body_peers
                    .call(addr, part_limit, |peer, cx| async move {
                        peer.body_part(cx, body, offset).await
                    })
                    .await;
                (offset, part)
            });
            let mut parts = futures::stream::iter(parts).buffered(MAX_PARTS_REQUESTED);
            while let Some((offset, part)) = parts.next().await {
                match part {
                    // A part of another size came before.
                    Ok(Some(_)) if reception.next_offset() != Some(offset) => break,
                    Ok(Some(part)) => {
                        reception.push(&part.0)?;
                        failures = 0;
                    }
                    Ok(None) => return Err(BodyError::Gone),
                    Err(error) => {
                        failures += 1;
                        if failures == MAX_PART_FAILURES {
                            return Err(error.into());
                        }
                    }
                }
                if reception.is_too_slow(limit, self.shared.now()) {
                    return Err(BodyError::TooSlow);
                }
                if failures > 0 {
                    break;
                }
            }
        }
        Ok(())
    }

    fn receptions(&self) -> MutexGuard<'_, BTreeMap<Feed, Reception>> {
        self.receptions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
