//! Rendezvous hashing: every process that knows the same names picks the same owner.

use std::collections::HashMap;

use xxhash_rust::xxh3::Xxh3;

/// Separates the two hashed parts, so that ("ab", "c") and ("a", "bc") differ.
const SEPARATOR: [u8; 1] = [0xff];

/// The weight of `node` for `key`; the greatest weight owns the key.
pub fn weight(key: &[u8], node: &str) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(key);
    hasher.update(&SEPARATOR);
    hasher.update(node.as_bytes());
    hasher.digest()
}

/// The owner of `key` among `nodes`.
pub fn owner<'a>(key: &[u8], nodes: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    nodes.max_by_key(|node| (weight(key, node), *node))
}

/// `nodes` from the first owner of `key` to the last.
pub fn rank<'a>(key: &[u8], nodes: impl Iterator<Item = &'a str>) -> Vec<&'a str> {
    let mut nodes: Vec<&str> = nodes.collect();
    nodes.sort_by_cached_key(|node| std::cmp::Reverse((weight(key, node), *node)));
    nodes
}

/// Gives each of `keys` numbered keys an owner such that no node owns more than its even share.
pub fn balanced_owners(scope: &str, keys: usize, nodes: &[&str]) -> Vec<usize> {
    let keys: Vec<String> = (0..keys).map(|key| format!("{scope}/{key}")).collect();
    balanced_owners_of(&keys, nodes)
}

/// Gives each of `keys` an owner, by its place in `nodes`, such that no node owns more than its even
/// share.
///
/// Plain rendezvous leaves some node with about half as much again as the mean, and the slowest
/// uploader decides when a burst ends. A key whose favourite is full goes to its next rank.
pub fn balanced_owners_of(keys: &[impl AsRef<str>], nodes: &[&str]) -> Vec<usize> {
    if nodes.is_empty() {
        return Vec::new();
    }
    let share = keys.len().div_ceil(nodes.len());
    let mut held: HashMap<usize, usize> = HashMap::new();
    let mut owners = Vec::with_capacity(keys.len());
    for key in keys {
        let key = key.as_ref().as_bytes();
        let free = (0..nodes.len()).filter(|n| held.get(n).copied().unwrap_or(0) < share);
        let best = free.max_by_key(|n| (weight(key, nodes[*n]), nodes[*n]));
        let best = best.unwrap_or(0);
        *held.entry(best).or_default() += 1;
        owners.push(best);
    }
    owners
}
