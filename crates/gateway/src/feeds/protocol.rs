//! Messages by which nodes poll a coordinator's feeds.

use reedford_fleet::Era;
use reedford_fleet::departures::LeavingInstances;
use reedford_fleet::quarantine::EvidenceReport;
use reedford_fleet::rate_limits::LimitsReport;
use reedford_fleet::transfer::{BodyInfo, Digest};
use serde::{Deserialize, Serialize};

/// A part of the store that the coordinator passes on.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub(crate) enum Feed {
    /// Entries of the instances.
    Instances,
    /// Keys of the zones' coordinators.
    Members,
    /// Keys that operators write.
    Operators,
}

impl Feed {
    /// Name in logs and metrics.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Instances => "instances",
            Self::Members => "members",
            Self::Operators => "operators",
        }
    }
}

/// A key and its value in a feed, within a response.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct FeedItem {
    pub(crate) key: Box<str>,
    /// Value as text; `None` if the key was deleted. Values that are not UTF-8
    /// are converted lossily, because the receiver can't parse them either.
    pub(crate) value: Option<Box<str>>,
    pub(crate) revision: i64,
}

/// Data sent with every response, whatever the feed.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub(crate) struct FeedMetadata {
    /// Newest revision of the keys that operators write, in the era of the
    /// response; 0 if none is known in it.
    pub(crate) operators: i64,
    /// Number of nodes in the fleet, 0 if not known.
    pub(crate) nodes: usize,
    /// Instances that are leaving although the store does not show it.
    #[serde(default)]
    pub(crate) leaving: LeavingInstances,
    /// What nodes learned from responses, if the requesting node has another revision
    /// of it.
    #[serde(default)]
    pub(crate) notices: Option<NoticesNews>,
}

/// What nodes learned from responses of instances.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct NoticesNews {
    /// Unique among all revisions of the node that sends it.
    pub(crate) revision: u64,
    /// Calls under which instances crash.
    pub(crate) crashes: EvidenceReport,
    /// Limits on calls that instances name.
    pub(crate) limits: LimitsReport,
}

/// What a node that polls a feed knows already of the data beside it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KnownMetadata {
    /// How it can get large values; `None` if only within the response.
    pub(crate) body: Option<BodyRequest>,
    /// Newest revision of operators' keys in the era of the known position.
    pub(crate) operators: i64,
    /// Revision of this node's notices that the requesting node has, 0 if none;
    /// `None` if it wants none.
    pub(crate) notices: Option<u64>,
}

/// How a node that polls a feed can get large values.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub(crate) struct BodyRequest {
    /// Hash of a value that the node has, to compress a body against.
    pub(crate) base: Option<Digest>,
}

/// Response to a poll of a feed.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) enum FeedResponse {
    /// All keys of the feed.
    Listing {
        #[serde(default)]
        era: Era,
        revision: i64,
        items: Vec<FeedItem>,
        /// The items, if they are too large for a response.
        #[serde(default)]
        body: Option<BodyInfo>,
        /// Whether the store was unreachable shortly before, so that entries
        /// may have expired although their instances run.
        lapsed: bool,
        #[serde(rename = "aside")]
        metadata: FeedMetadata,
    },
    /// Changes since the revision of the request.
    Changes {
        #[serde(default)]
        era: Era,
        revision: i64,
        items: Vec<FeedItem>,
        #[serde(default)]
        body: Option<BodyInfo>,
        #[serde(rename = "aside")]
        metadata: FeedMetadata,
    },
    /// This node has no recent state of the feed.
    Unknown,
}

impl FeedResponse {
    /// Returns whether the response has nothing new for a node that knows
    /// operators' keys up to this revision.
    pub(super) fn has_nothing_after(&self, known: i64) -> bool {
        match self {
            Self::Changes {
                items,
                body,
                metadata,
                ..
            } => {
                items.is_empty()
                    && body.is_none()
                    && metadata.operators <= known
                    && metadata.notices.is_none()
            }
            Self::Listing { .. } | Self::Unknown => false,
        }
    }
}
