//! The limits that upstreams state on the requests from all entries together, as this entry knows them.
//!
//! An entry learns a limit from a response of the upstream or from another entry. Entries have no common
//! clock, so observations travel with their age. See docs/ROUTING.md, "Limits".

use std::{cmp::Ordering, collections::HashMap};

use balsamjunction_protocol::mesh::LimitReport;
use smol_str::SmolStr;

use crate::Moment;

/// Time by which the order of observations of two entries is uncertain: an age does not include the transit
/// of its message. Of two limits that close to each other, the one with the higher revision holds, or the lower
/// limit.
const ORDER_UNCERTAINTY: Moment = Moment::from_secs(1);
/// Observations older than this are neither sent to other entries nor accepted from them.
const MAX_REPORT_AGE: Moment = Moment::from_secs(30);
/// Time for which the end of a limit is remembered. It exceeds [`MAX_REPORT_AGE`], so that no report of an
/// entry that was partitioned restores a limit that has ended.
const END_RETENTION: Moment = Moment::from_secs(60);
/// Most observations in one message, about 3 KB.
const MAX_REPORTS: usize = 64;
/// Most upstreams whose limits are known; those observed longest ago are dropped.
const MAX_UPSTREAMS: usize = 4_096;

/// An upstream's id, and its start in milliseconds since the Unix epoch.
pub type UpstreamId = (SmolStr, u64);

#[derive(Clone, Copy, Debug)]
struct Observation {
    /// Requests per second; absent if the limit has ended.
    per_s: Option<f64>,
    observed_at: Moment,
    /// When this entry learned `per_s`.
    changed_at: Moment,
    /// Increases with each change that was observed after the known limit.
    revision: u64,
}

/// The limit of an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StatedLimit {
    /// Requests per second, for all entries together.
    pub per_s: f64,
    /// When the upstream stated it last, as far as this entry knows.
    pub confirmed_at: Moment,
}

/// The limits by upstream.
#[derive(Debug, Default)]
pub struct StatedLimits {
    observations: HashMap<UpstreamId, Observation>,
}

impl StatedLimits {
    /// Records the limit that a response states, or that it states none. Returns whether the limit changed.
    ///
    /// The request was sent at `sent_at`. If the latest observation is more recent than that, the order of
    /// the two is unknown, and the lower limit holds.
    pub fn record_response(
        &mut self,
        now: Moment,
        sent_at: Moment,
        upstream: &UpstreamId,
        per_s: Option<f64>,
    ) -> bool {
        let mut observation = Observation {
            per_s,
            observed_at: now,
            changed_at: now,
            revision: 1,
        };
        let Some(known) = self.observations.get_mut(upstream) else {
            if per_s.is_some() {
                self.insert(upstream.clone(), observation);
            }
            return per_s.is_some();
        };
        let later = sent_at >= known.observed_at;
        if !later && !is_lower_or_equal(per_s, known.per_s) {
            return false;
        }
        let changed = known.per_s != per_s;
        observation.revision = known.revision + u64::from(changed && later);
        if !changed {
            observation.changed_at = known.changed_at;
        }
        *known = observation;
        changed
    }

    /// Merges the observations of another entry. Returns the limits that changed.
    pub fn merge(
        &mut self,
        now: Moment,
        reports: &[LimitReport],
    ) -> Vec<(UpstreamId, Option<f64>)> {
        let mut changed = Vec::new();
        for report in reports {
            let age = Moment::from_millis(report.age_ms);
            let valid = report.per_s.is_none_or(|l| l.is_finite() && l >= 0.0);
            if !valid || age > MAX_REPORT_AGE {
                continue;
            }
            let observation = Observation {
                per_s: report.per_s,
                observed_at: now.saturating_sub(age),
                changed_at: now,
                revision: report.revision,
            };
            let upstream = (report.upstream.clone(), report.started_at_ms);
            if self.merge_one(&upstream, observation) {
                changed.push((upstream, report.per_s));
            }
        }
        changed
    }

    fn merge_one(&mut self, upstream: &UpstreamId, reported: Observation) -> bool {
        let Some(known) = self.observations.get_mut(upstream) else {
            let limited = reported.per_s.is_some();
            if limited {
                self.insert(upstream.clone(), reported);
            }
            return limited;
        };
        let accepted = if reported.observed_at > known.observed_at + ORDER_UNCERTAINTY {
            true
        } else if reported.observed_at + ORDER_UNCERTAINTY < known.observed_at {
            false
        } else {
            match reported.revision.cmp(&known.revision) {
                Ordering::Less => false,
                Ordering::Equal => is_lower_or_equal(reported.per_s, known.per_s),
                Ordering::Greater => true,
            }
        };
        if !accepted {
            return false;
        }
        let changed = known.per_s != reported.per_s;
        if changed {
            known.changed_at = reported.changed_at;
        }
        known.per_s = reported.per_s;
        known.observed_at = known.observed_at.max(reported.observed_at);
        known.revision = known.revision.max(reported.revision);
        changed
    }

    fn insert(&mut self, upstream: UpstreamId, observation: Observation) {
        if self.observations.len() >= MAX_UPSTREAMS {
            let by_age = self.observations.iter().min_by_key(|(_, o)| o.observed_at);
            let oldest = by_age.map(|(upstream, _)| upstream.clone());
            oldest.and_then(|oldest| self.observations.remove(&oldest));
        }
        self.observations.insert(upstream, observation);
    }

    /// Removes limits that ended long ago.
    pub fn expire(&mut self, now: Moment) {
        self.observations.retain(|_, observation| {
            observation.per_s.is_some()
                || now.saturating_sub(observation.changed_at) < END_RETENTION
        });
    }

    /// The limit of an upstream, or `None` if it has none.
    pub fn get(&self, upstream: &UpstreamId) -> Option<StatedLimit> {
        let observation = self.observations.get(upstream)?;
        Some(StatedLimit {
            per_s: observation.per_s?,
            confirmed_at: observation.observed_at,
        })
    }

    /// The recent observations, for other entries; the latest ones if they are too many for a message.
    pub fn reports(&self, now: Moment) -> Vec<LimitReport> {
        let age = |observation: &Observation| now.saturating_sub(observation.observed_at);
        let is_news = |observation: &Observation| {
            let known_for = now.saturating_sub(observation.changed_at);
            observation.per_s.is_some() || known_for <= MAX_REPORT_AGE
        };
        let recent = self
            .observations
            .iter()
            .filter(|(_, observation)| age(observation) <= MAX_REPORT_AGE && is_news(observation));
        let mut recent: Vec<_> = recent.collect();
        recent.sort_by_key(|(_, observation)| age(observation));
        let reports = recent.into_iter().take(MAX_REPORTS);
        reports
            .map(|((upstream, started_at_ms), observation)| LimitReport {
                upstream: upstream.clone(),
                started_at_ms: *started_at_ms,
                per_s: observation.per_s,
                age_ms: age(observation).as_millis() as u64,
                revision: observation.revision,
            })
            .collect()
    }
}

/// Whether a limit is at most as high as another one; no limit is the highest.
fn is_lower_or_equal(limit: Option<f64>, other: Option<f64>) -> bool {
    limit.unwrap_or(f64::INFINITY) <= other.unwrap_or(f64::INFINITY)
}
