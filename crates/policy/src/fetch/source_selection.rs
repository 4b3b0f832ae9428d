//! Who can send a chunk now.

use balsamjunction_protocol::ChunkMap;
use smol_str::SmolStr;

use super::{
    Distribution, FetchPlan, Source, DRAWING_PATIENCE, HEDGE_AFTER, OWNER_NEWS_LIFE,
    OWNER_PATIENCE, PARALLEL_DIRECT, PARALLEL_FROM_ORIGIN, PARALLEL_PER_SOURCE, SURVEY_LIMIT,
};
use crate::{rendezvous, Moment};

/// Holders drawn at random of which the least busy one is asked. With all holders to choose from, every
/// host would run to the one that last said that it was idle.
const CHOICES: usize = 2;

impl FetchPlan {
    /// From whom this host may fetch a chunk now; `luck` decides between even holders.
    pub(super) fn source_of(
        &self,
        now: Moment,
        chunk: usize,
        nearby: &ChunkMap,
        luck: u64,
    ) -> Option<Source> {
        if self.distribution == Distribution::Direct {
            return self.origin(now);
        }
        if nearby.has(chunk) {
            if let Some(source) = self.local_holder(now, chunk, luck) {
                return Some(source);
            }
        }
        if !self.surveyed(now) {
            return None;
        }
        if self.owners.fleet[chunk] == self.host {
            let holder = || self.any_holder(now, chunk, luck);
            if now < self.started + self.origin_spacing * chunk as u32 {
                return holder();
            }
            return self.origin(now).or_else(holder);
        }
        let expected = self.expected_holder(chunk);
        if self.owners.local[chunk] == self.host && self.can_send(now, expected, chunk) {
            return self.peer(expected);
        }
        if self.may_bypass(now, expected) {
            let holder = self.any_holder(now, chunk, luck);
            return holder.or_else(|| self.stand_in(now, chunk));
        }
        match self.hedging(now) {
            true => self.hedge(now, chunk, luck),
            false => None,
        }
    }

    /// Whether owners had the time to draw their chunks.
    pub(super) fn hedging(&self, now: Moment) -> bool {
        now.saturating_sub(self.started) > HEDGE_AFTER
    }

    /// Takes an owner's place, if this host is the first to do so: for the data centre if the chunk is
    /// held afar, and for the fleet if nobody is known to hold it.
    fn hedge(&self, now: Moment, chunk: usize, luck: u64) -> Option<Source> {
        let held_afar = self.views.values().any(|view| view.held.has(chunk));
        if !held_afar {
            if !self.is_left_undone(now, chunk) {
                // The origin is busy, and would only be busier.
                return None;
            }
            let first = self.is_first_at_work(now, chunk, |_| true);
            return first.then(|| self.origin(now)).flatten();
        }
        let first = self.is_first_at_work(now, chunk, |dc| *dc == self.data_centre);
        first.then(|| self.any_holder(now, chunk, luck)).flatten()
    }

    /// Whether the owner of a chunk surely does not draw it now: it is silent, or has just said so.
    fn is_left_undone(&self, now: Moment, chunk: usize) -> bool {
        let owner = &self.owners.fleet[chunk];
        let late = now.saturating_sub(self.started) >= DRAWING_PATIENCE;
        if late || !self.peers.contains_key(owner) {
            return true;
        }
        let Some(view) = self.views.get(owner) else {
            return false;
        };
        let fresh = view
            .answered
            .is_some_and(|at| now.saturating_sub(at) < OWNER_NEWS_LIFE);
        now < view.avoid_until || (fresh && !view.drawing.has(chunk))
    }

    /// Whether this host is the first rank among those of some data centres that are seen to fetch the
    /// version.
    fn is_first_at_work(
        &self,
        now: Moment,
        chunk: usize,
        within: impl Fn(&SmolStr) -> bool,
    ) -> bool {
        let key = format!("{}/{chunk}/hedge", self.version);
        // A host that holds nothing but what it owns may be at work on another version.
        let at_work = |host: &SmolStr| {
            let Some(view) = self.views.get(host) else {
                return false;
            };
            let mut owned = self.owners.fleet.iter().enumerate();
            now >= view.avoid_until && owned.any(|(n, owner)| owner != host && view.held.has(n))
        };
        let peers = self.peers.iter();
        let peers = peers.filter(|(host, (_, dc))| within(dc) && at_work(host));
        let hosts = peers.map(|(host, _)| host.as_str());
        let first = rendezvous::owner(key.as_bytes(), hosts.chain([self.host.as_str()]));
        first == Some(self.host.as_str())
    }

    /// Whether the peers of the own data centre had the time to say what they hold. Before that, a
    /// chunk might be drawn from afar that lies next door.
    fn surveyed(&self, now: Moment) -> bool {
        if now.saturating_sub(self.started) >= SURVEY_LIMIT {
            return true;
        }
        let peers = self.peers.iter();
        let mut local = peers.filter(|(_, (_, data_centre))| *data_centre == self.data_centre);
        local.all(|(host, _)| {
            let view = self.views.get(host);
            view.is_some_and(|view| view.asked.is_some() && !view.asking)
        })
    }

    /// What the peers of the own data centre hold together; spares asking each for every chunk.
    pub(super) fn held_nearby(&self, now: Moment) -> ChunkMap {
        let mut nearby = ChunkMap::empty(self.held.len());
        for (host, view) in &self.views {
            let peer = self.peers.get(host);
            let local = peer.is_some_and(|(_, data_centre)| *data_centre == self.data_centre);
            if local && view.fetching < PARALLEL_PER_SOURCE && now >= view.avoid_until {
                nearby.add(&view.held);
            }
        }
        nearby
    }

    /// Whom the plan names for a chunk that this host does not own fleet-wide.
    pub(super) fn expected_holder(&self, chunk: usize) -> &SmolStr {
        if self.owners.local[chunk] == self.host {
            return &self.owners.fleet[chunk];
        }
        &self.owners.local[chunk]
    }

    fn origin(&self, now: Moment) -> Option<Source> {
        let most = match self.distribution {
            Distribution::Owners | Distribution::OwnChunks => PARALLEL_FROM_ORIGIN,
            Distribution::Direct => PARALLEL_DIRECT,
        };
        let free = self.from_origin < most && now >= self.origin_avoid_until;
        free.then_some(Source::Origin)
    }

    fn peer(&self, host: &SmolStr) -> Option<Source> {
        let (address, _) = self.peers.get(host)?;
        Some(Source::Peer {
            host: host.clone(),
            address: *address,
        })
    }

    fn can_send(&self, now: Moment, host: &SmolStr, chunk: usize) -> bool {
        let Some(view) = self.views.get(host) else {
            return false;
        };
        self.peers.contains_key(host)
            && view.held.has(chunk)
            && view.fetching < PARALLEL_PER_SOURCE
            && now >= view.avoid_until.max(view.busy_until)
    }

    /// Whether the plan's holder had its chance: it failed, or nothing came for a while.
    fn may_bypass(&self, now: Moment, expected: &SmolStr) -> bool {
        let avoided = self
            .views
            .get(expected)
            .is_some_and(|view| now < view.avoid_until);
        let gone = !self.peers.contains_key(expected);
        let stalled = now.saturating_sub(self.last_progress.max(self.started)) > OWNER_PATIENCE;
        avoided || gone || stalled
    }

    /// A peer of the own data centre that is known to hold the chunk and not known to be busy.
    ///
    /// The owner is only the first to have it; were it the only sender, any time for which its link
    /// stood idle would be lost to the burst.
    fn local_holder(&self, now: Moment, chunk: usize, luck: u64) -> Option<Source> {
        let local = self.peers.iter();
        let local = local.filter(|(_, (_, data_centre))| *data_centre == self.data_centre);
        self.least_busy(now, chunk, local.map(|(host, _)| host), luck)
    }

    /// Any peer known to hold the chunk, one in the own data centre first.
    fn any_holder(&self, now: Moment, chunk: usize, luck: u64) -> Option<Source> {
        let local = self.local_holder(now, chunk, luck);
        local.or_else(|| self.least_busy(now, chunk, self.peers.keys(), luck))
    }

    /// The holder that was least busy when last heard of; luck decides between even ones, so that
    /// hosts do not all choose the same.
    fn least_busy<'h>(
        &self,
        now: Moment,
        chunk: usize,
        hosts: impl Iterator<Item = &'h SmolStr>,
        luck: u64,
    ) -> Option<Source> {
        let holders = hosts.filter(|host| self.can_send(now, host, chunk));
        let mut drawn: Vec<(u64, &SmolStr)> = holders
            .map(|host| (rendezvous::weight(&luck.to_le_bytes(), host), host))
            .collect();
        drawn.sort_unstable();
        let best = drawn
            .into_iter()
            .take(CHOICES)
            .min_by_key(|(weight, host)| {
                let view = self.views.get(*host);
                let busy = view.map_or(0, |view| view.uploads as usize + 2 * view.fetching);
                (busy, *weight)
            });
        self.peer(best?.1)
    }

    /// The origin, if this host is the first rank that is left to draw the chunk.
    fn stand_in(&self, now: Moment, chunk: usize) -> Option<Source> {
        let key = format!("{}/{chunk}/next", self.version);
        let usable = |host: &&SmolStr| {
            let view = self.views.get(*host);
            view.is_none_or(|view| now >= view.avoid_until)
        };
        let hosts = self.peers.keys().filter(usable).map(SmolStr::as_str);
        let everyone = hosts.chain([self.host.as_str()]);
        let first = rendezvous::owner(key.as_bytes(), everyone)?;
        if first == self.host.as_str() {
            return self.origin(now);
        }
        None
    }
}
