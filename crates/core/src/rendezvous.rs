//! Rendezvous hashing: every instance computes the same order of candidates
//! from their names alone, and removing a candidate moves only the keys that
//! were assigned to it.

use xxhash_rust::xxh3::Xxh3;

/// Separates the key from the candidate in the hashed bytes; names never
/// contain it.
const SEPARATOR: u8 = 0;

/// Returns the weight of a candidate for a key; the highest weight is chosen.
#[must_use]
pub fn weight(key: &str, candidate: &str) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(key.as_bytes());
    hasher.update(&[SEPARATOR]);
    hasher.update(candidate.as_bytes());
    hasher.digest()
}

/// Returns the candidate with the highest weight.
#[must_use]
pub fn first<'a, I>(key: &str, candidates: I) -> Option<&'a str>
where
    I: IntoIterator<Item = &'a str>,
{
    candidates.into_iter().max_by_key(|c| (weight(key, c), *c))
}

/// Returns all candidates, highest weight first.
#[must_use]
pub fn order<'a, I>(key: &str, candidates: I) -> Vec<&'a str>
where
    I: IntoIterator<Item = &'a str>,
{
    let mut ranked: Vec<&str> = candidates.into_iter().collect();
    ranked.sort_by_key(|c| std::cmp::Reverse((weight(key, c), *c)));
    ranked
}
