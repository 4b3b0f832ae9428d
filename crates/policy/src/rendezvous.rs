//! Rendezvous hashing: all processes that know the same names select the same owner of a key.

use std::collections::HashMap;

use xxhash_rust::xxh3::Xxh3;

/// Separator between the two hashed parts, so that ("ab", "c") and ("a", "bc") differ.
const SEPARATOR: [u8; 1] = [0xff];

/// Returns the weight of `node` for `key`; the node with the highest weight owns the key.
pub fn weight(key: &[u8], node: &str) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(key);
    hasher.update(&SEPARATOR);
    hasher.update(node.as_bytes());
    hasher.digest()
}

/// Returns the owner of `key` among `nodes`.
pub fn owner<'a>(key: &[u8], nodes: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    nodes.max_by_key(|node| (weight(key, node), *node))
}

/// Returns `nodes` by descending weight for `key`; the first one owns the key.
pub fn rank<'a>(key: &[u8], nodes: impl Iterator<Item = &'a str>) -> Vec<&'a str> {
    let mut nodes: Vec<&str> = nodes.collect();
    nodes.sort_by_cached_key(|node| std::cmp::Reverse((weight(key, node), *node)));
    nodes
}

/// Returns the first `count` of `nodes` by descending weight for `key`; see [`rank`].
pub fn first<'a>(key: &[u8], nodes: &[&'a str], count: usize) -> Vec<&'a str> {
    let mut weighted: Vec<(u64, &str)> = nodes.iter().map(|n| (weight(key, n), *n)).collect();
    if count < weighted.len() {
        weighted.select_nth_unstable_by(count, |a, b| b.cmp(a));
        weighted.truncate(count);
    }
    weighted.sort_unstable_by(|a, b| b.cmp(a));
    weighted.into_iter().map(|(_, node)| node).collect()
}

/// Assigns an owner to each of `keys` keys, which are numbered from zero within `scope`, as
/// [`balanced_owners_of`] does.
pub fn balanced_owners(scope: &str, keys: usize, nodes: &[&str]) -> Vec<usize> {
    let keys: Vec<String> = (0..keys).map(|key| format!("{scope}/{key}")).collect();
    balanced_owners_of(&keys, nodes)
}

/// Assigns an owner to each of `keys` such that no node owns more than its equal share, rounded up.
/// Returns the owners as indices into `nodes`; empty if there are no nodes.
///
/// Plain rendezvous hashing gives some node about 1.5 times the mean, and the slowest uploader
/// determines when a burst ends. A key whose first node has its full share goes to the next in rank.
pub fn balanced_owners_of(keys: &[impl AsRef<[u8]>], nodes: &[&str]) -> Vec<usize> {
    if nodes.is_empty() {
        return Vec::new();
    }
    let share = keys.len().div_ceil(nodes.len());
    let mut owned: HashMap<usize, usize> = HashMap::new();
    let mut owners = Vec::with_capacity(keys.len());
    for key in keys {
        let key = key.as_ref();
        let available = (0..nodes.len()).filter(|n| owned.get(n).copied().unwrap_or(0) < share);
        let best = available.max_by_key(|n| (weight(key, nodes[*n]), nodes[*n]));
        let best = best.unwrap_or(0);
        *owned.entry(best).or_default() += 1;
        owners.push(best);
    }
    owners
}
