//! What an engine is assumed to keep of the prompts that it processed.
//!
//! Engines keep the parts of recent prompts by base model, adapter and version, and
//! do not process a part again if all parts before it are kept as well. The least
//! recently used parts give way. This view is derived from grants alone. Where it
//! is wrong, a wait is misjudged, but no call depends on it.

use super::request::PromptPart;
use crate::{Now, WeightVersion};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// Identifies a part of a prompt together with the weights and all parts before
/// it.
type PathHash = u64;

/// The parts of one prompt, each identified by its whole path.
#[derive(Clone, Debug, Default)]
pub(super) struct PromptPath {
    parts: Vec<(PathHash, u32)>,
}

/// Parts that an engine is assumed to keep.
#[derive(Clone, Debug, Default)]
pub(super) struct PromptCache {
    parts: BTreeMap<PathHash, KeptPart>,
    tokens: u64,
}

#[derive(Clone, Copy, Debug)]
struct KeptPart {
    tokens: u32,
    last_used: Now,
}

impl PromptPath {
    /// Returns the path of a prompt for an adapter, whose name includes its model,
    /// in a version.
    pub(super) fn new(adapter: &str, version: Option<WeightVersion>, parts: &[PromptPart]) -> Self {
        let mut hash = xxh3_64(adapter.as_bytes()) ^ version.unwrap_or(0);
        let parts = parts.iter().map(|part| {
            let mut bytes = [0; 16];
            bytes[..8].copy_from_slice(&hash.to_le_bytes());
            bytes[8..].copy_from_slice(&part.id.to_le_bytes());
            hash = xxh3_64(&bytes);
            (hash, part.tokens)
        });
        Self {
            parts: parts.collect(),
        }
    }
}

impl PromptCache {
    /// Returns the number of tokens at the beginning of a prompt that need not be
    /// processed.
    pub(super) fn kept_tokens(&self, path: &PromptPath) -> u32 {
        let kept = path
            .parts
            .iter()
            .take_while(|(hash, _)| self.parts.contains_key(hash));
        kept.fold(0, |sum, (_, tokens)| sum.saturating_add(*tokens))
    }

    /// Records that a prompt is processed. Parts beyond `capacity` tokens in total
    /// are dropped, the least recently used ones first.
    pub(super) fn record(&mut self, path: &PromptPath, capacity: u64, now: Now) {
        for (hash, tokens) in &path.parts {
            let part = KeptPart {
                tokens: *tokens,
                last_used: now,
            };
            if self.parts.insert(*hash, part).is_none() {
                self.tokens += u64::from(*tokens);
            }
        }
        while self.tokens > capacity {
            let oldest = self.parts.iter().min_by_key(|(_, part)| part.last_used);
            let Some((hash, tokens)) = oldest.map(|(hash, part)| (*hash, part.tokens)) else {
                return;
            };
            self.parts.remove(&hash);
            self.tokens -= u64::from(tokens);
        }
    }
}
