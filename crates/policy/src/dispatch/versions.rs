//! When each version of a model was published, which bounds how long engines may serve older ones.

use std::collections::HashMap;

use balsamjunction_directory::Directory;
use smol_str::SmolStr;

use crate::Moment;

/// The versions of each model that were published while this process ran, with their times.
///
/// All of them are kept, since several may be published before the first one is in force.
#[derive(Debug, Default)]
pub struct PublishedVersions(HashMap<SmolStr, Vec<(u64, Moment)>>);

impl PublishedVersions {
    /// Adds the target versions of the directory, each with the earliest time at which it may have been
    /// published. Returns whether the publication time of any version changed.
    ///
    /// `initial_published_at` is the time assumed for a version that the first read of the facts finds,
    /// unless another process has known it for longer.
    pub fn update(&mut self, directory: &Directory, initial_published_at: Moment) -> bool {
        let mut changed = false;
        for (model, target) in &directory.target_versions {
            let version = target.version;
            let published_at = target
                .not_before
                .unwrap_or(initial_published_at.min(target.known_since));
            let published = self.0.entry(model.clone()).or_default();
            match published.last_mut() {
                Some((last, at)) if *last == version => {
                    changed |= published_at < *at;
                    *at = (*at).min(published_at);
                }
                Some((last, _)) if *last > version => {}
                _ => {
                    changed = true;
                    published.push((version, published_at));
                }
            }
        }
        changed
    }

    /// Whether any version was published after a time.
    pub fn any_since(&self, time: Moment) -> bool {
        self.0.values().flatten().any(|(_, at)| *at > time)
    }

    /// When the first version newer than `version` was published, or `None` if there is none.
    pub fn superseded_at(&self, model: &str, version: u64) -> Option<Moment> {
        let published = self.0.get(model)?.iter();
        let newer = published.filter(|(newer, _)| *newer > version);
        newer.map(|(_, at)| *at).min()
    }
}
