//! Encodes the items of a feed as a body: a JSON index, a line feed, and the values one
//! after the other.

use super::{FeedEntry, FeedItem};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// What the index says of an item.
#[derive(Debug, Deserialize, Serialize)]
struct IndexItem<K> {
    key: K,
    /// Size of the value in bytes; `None` if the key was deleted.
    size: Option<usize>,
    revision: i64,
}

/// Encodes items.
pub(super) fn encode(entries: &[FeedEntry]) -> serde_json::Result<Vec<u8>> {
    let index = entries.iter().map(|entry| IndexItem {
        key: &*entry.key,
        size: entry.value.as_ref().map(|value| value.len()),
        revision: entry.revision,
    });
    let index: Vec<IndexItem<&str>> = index.collect();
    let mut block = serde_json::to_vec(&index)?;
    // Not within the index: JSON escapes line feeds in text.
    block.push(b'\n');
    for value in entries.iter().filter_map(|entry| entry.value.as_ref()) {
        block.extend_from_slice(value);
    }
    Ok(block)
}

/// Decodes items; `None` if they were not written by [`encode`].
pub(super) fn decode(block: &[u8]) -> Option<Vec<FeedEntry>> {
    let end = block.iter().position(|byte| *byte == b'\n')?;
    let index: Vec<IndexItem<Box<str>>> = serde_json::from_slice(&block[..end]).ok()?;
    let mut values = &block[end + 1..];
    let mut entries = Vec::with_capacity(index.len());
    for item in index {
        let value = match item.size {
            Some(size) => {
                let (value, rest) = values.split_at_checked(size)?;
                values = rest;
                Some(Arc::from(value))
            }
            None => None,
        };
        entries.push(FeedEntry {
            key: item.key,
            value,
            revision: item.revision,
        });
    }
    values.is_empty().then_some(entries)
}

/// Returns the items as they are within a response.
pub(super) fn to_items(entries: &[FeedEntry]) -> Vec<FeedItem> {
    let item = |entry: &FeedEntry| FeedItem {
        key: entry.key.clone(),
        value: entry
            .value
            .as_ref()
            .map(|value| String::from_utf8_lossy(value).into()),
        revision: entry.revision,
    };
    entries.iter().map(item).collect()
}
