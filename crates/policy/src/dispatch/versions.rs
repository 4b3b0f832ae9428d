//! When each version of a model was named, and what follows for engines that serve an older one.

use std::collections::HashMap;

use balsamjunction_directory::Directory;
use smol_str::SmolStr;

use crate::Moment;

/// The versions that were named while this process ran.
///
/// All of them are kept, since several may be named before the first is in force.
#[derive(Debug, Default)]
pub struct PublishedVersions(HashMap<SmolStr, Vec<(u64, Moment)>>);

impl PublishedVersions {
    /// Takes over the wanted versions, each from when it may have been named at the earliest.
    ///
    /// `found_since` is when a version is taken to have been named that was found by the first look at
    /// the facts, unless somebody has known it for longer. Tells whether any version counts from another time than before.
    pub fn note(&mut self, directory: &Directory, found_since: Moment) -> bool {
        let mut changed = false;
        for (model, wanted) in &directory.wanted {
            let version = wanted.version;
            let since = wanted.since.unwrap_or(found_since.min(wanted.learned));
            let named = self.0.entry(model.clone()).or_default();
            match named.last_mut() {
                Some((last, at)) if *last == version => {
                    changed |= since < *at;
                    *at = (*at).min(since);
                }
                Some((last, _)) if *last > version => {}
                _ => {
                    changed = true;
                    named.push((version, since));
                }
            }
        }
        changed
    }

    /// When the first version was named that is newer than `version`, if any is.
    pub fn overtaken_at(&self, model: &str, version: u64) -> Option<Moment> {
        let named = self.0.get(model)?.iter();
        let newer = named.filter(|(newer, _)| *newer > version);
        newer.map(|(_, at)| *at).min()
    }
}
