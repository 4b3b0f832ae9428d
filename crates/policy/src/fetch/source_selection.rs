//! Selects the source of a chunk.

use balsamjunction_protocol::ChunkMap;
use smol_str::SmolStr;

use super::{
    Distribution, FetchPlan, OwnerState, Source, HEDGE_DELAY, MAX_DIRECT_FETCHES,
    MAX_FETCHES_PER_PEER, MAX_IDLE_FETCH_TIME, MAX_ORIGIN_FETCHES, MAX_OWNER_FETCH_TIME,
    OWNER_REPORT_LIFETIME, OWNER_TIMEOUT, START_GRACE, SURVEY_TIMEOUT, TAKEOVER_STEP,
    UNKNOWN_TIMEOUT,
};
use crate::{rendezvous, Moment};

/// Holders of a chunk that are drawn at random, of which the least busy one is selected. With all holders
/// to choose from, every host would select the one that last reported itself idle.
const CHOICES: usize = 2;

impl FetchPlan {
    /// The source from which this host may fetch a chunk now, or `None` if it must wait. `draw` is a random
    /// number that breaks ties between holders.
    pub(super) fn select_source(
        &self,
        now: Moment,
        chunk: usize,
        nearby: &ChunkMap,
        draw: u64,
    ) -> Option<Source> {
        if self.distribution == Distribution::Direct {
            return self.origin(now);
        }
        if nearby.has(chunk) {
            if let Some(source) = self.local_holder(now, chunk, draw) {
                return Some(source);
            }
        }
        if !self.survey_complete(now) {
            return None;
        }
        if self.owners.fleet[chunk] == self.host || self.replacing.contains(&chunk) {
            // Another host may have replaced this one while it was lost.
            let holder = self.any_holder(now, chunk, draw);
            return holder.or_else(|| self.scheduled_origin(now, chunk));
        }
        let expected = self.expected_holder(chunk);
        if self.owners.local[chunk] == self.host && self.can_send(now, expected, chunk) {
            return self.peer(expected);
        }
        if self.may_bypass(now, expected) {
            return self.any_holder(now, chunk, draw);
        }
        match self.may_hedge(now) {
            true => self.hedge(now, chunk, draw),
            false => None,
        }
    }

    /// The hosts that fetch a chunk from the origin before this one does; `None` if this host is not to fetch it.
    pub(super) fn predecessors(&self, chunk: usize) -> Option<impl Iterator<Item = &SmolStr>> {
        let substitutes = &self.owners.substitutes[chunk];
        let rank = substitutes.iter().position(|host| *host == self.host)?;
        let owner = std::iter::once(&self.owners.fleet[chunk]);
        Some(owner.chain(&substitutes[..rank]))
    }

    /// Determines the chunks that this host is to fetch from the origin in place of their owners, because all hosts
    /// that precede it are lost. Every host derives the same order, so that few hosts request a chunk.
    pub(super) fn replace_lost_owners(&mut self, now: Moment) {
        self.replacing.clear();
        if self.distribution != Distribution::Owners {
            return;
        }
        for chunk in 0..self.stored.len() {
            if self.stored[chunk] {
                continue;
            }
            let Some(wait) = self.takeover_wait(now, chunk) else {
                self.lost_since.remove(&chunk);
                continue;
            };
            let since = *self.lost_since.entry(chunk).or_insert(now);
            if now.saturating_sub(since) >= wait {
                self.replacing.insert(chunk);
            }
        }
    }

    /// How long the hosts that precede this one at a chunk have to be lost before it replaces them; `None` if one of
    /// them is not, or if it is not to replace them.
    fn takeover_wait(&self, now: Moment, chunk: usize) -> Option<Moment> {
        let mut further = 0;
        for host in self.predecessors(chunk)? {
            if !self.is_lost(now, host, chunk) {
                return None;
            }
            further += 1;
        }
        Some(TAKEOVER_STEP * (further - 1))
    }

    /// What this host knows of the owner of a missing chunk.
    pub(super) fn owner_state(&self, now: Moment, chunk: usize) -> OwnerState {
        let owner = &self.owners.fleet[chunk];
        if *owner == self.host {
            return OwnerState::Own;
        }
        if !self.peers.contains_key(owner) {
            return OwnerState::Gone;
        }
        match self.views.get(owner) {
            Some(view) if now < view.avoid_until => OwnerState::Avoided,
            Some(view) if view.stored.has(chunk) => OwnerState::Stores,
            Some(view) if view.origin_fetches.has(chunk) => OwnerState::Fetches,
            Some(view) if view.responded_at.is_some() => OwnerState::Idle,
            _ => OwnerState::Unknown,
        }
    }

    /// Whether a host cannot be relied on for a chunk: it is gone or avoided, its state is unknown for too long, or it
    /// neither stores the chunk nor fetches it.
    pub(super) fn is_lost(&self, now: Moment, host: &SmolStr, chunk: usize) -> bool {
        if !self.peers.contains_key(host) {
            return true;
        }
        let Some(view) = self.views.get(host) else {
            return now.saturating_sub(self.started) >= UNKNOWN_TIMEOUT;
        };
        if now < view.avoid_until {
            return true;
        }
        let known_at = view.responded_at.unwrap_or(self.started);
        if now.saturating_sub(known_at) >= UNKNOWN_TIMEOUT {
            return true;
        }
        if view.stored.has(chunk) {
            return false;
        }
        if view.origin_fetches.has(chunk) {
            let since = view.origin_fetches_since.unwrap_or(now);
            let is_idle = now.saturating_sub(self.last_progress) >= UNKNOWN_TIMEOUT;
            let limit = match is_idle {
                true => MAX_IDLE_FETCH_TIME,
                false => MAX_OWNER_FETCH_TIME,
            };
            return now.saturating_sub(since) >= limit;
        }
        let is_fresh = now.saturating_sub(known_at) < OWNER_REPORT_LIFETIME;
        is_fresh && now.saturating_sub(self.started) >= START_GRACE
    }

    /// Whether owners have had enough time to fetch their chunks.
    pub(super) fn may_hedge(&self, now: Moment) -> bool {
        now.saturating_sub(self.started) > HEDGE_DELAY
    }

    /// A holder in another data centre, if this host ranks first in its own one to fetch the chunk in place of the
    /// owner there.
    fn hedge(&self, now: Moment, chunk: usize, draw: u64) -> Option<Source> {
        let first = self.ranks_first(now, chunk, |dc| *dc == self.data_centre);
        first.then(|| self.any_holder(now, chunk, draw)).flatten()
    }

    /// Whether this host ranks first among the hosts of the selected data centres that are known to be
    /// fetching the version.
    fn ranks_first(&self, now: Moment, chunk: usize, includes: impl Fn(&SmolStr) -> bool) -> bool {
        let key = format!("{}/{chunk}/hedge", self.version);
        // A host that stores only chunks that it owns may be fetching another version.
        let is_fetching = |host: &SmolStr| {
            let Some(view) = self.views.get(host) else {
                return false;
            };
            let mut owned = self.owners.fleet.iter().enumerate();
            now >= view.avoid_until && owned.any(|(n, owner)| owner != host && view.stored.has(n))
        };
        let peers = self.peers.iter();
        let peers = peers.filter(|(host, (_, dc))| includes(dc) && is_fetching(host));
        let hosts = peers.map(|(host, _)| host.as_str());
        let first = rendezvous::owner(key.as_bytes(), hosts.chain([self.host.as_str()]));
        first == Some(self.host.as_str())
    }

    /// Whether the peers of the own data centre have had time to report which chunks they store. Before
    /// that, a chunk might be fetched from elsewhere although a local peer stores it.
    fn survey_complete(&self, now: Moment) -> bool {
        if now.saturating_sub(self.started) >= SURVEY_TIMEOUT {
            return true;
        }
        let peers = self.peers.iter();
        let mut local = peers.filter(|(_, (_, data_centre))| *data_centre == self.data_centre);
        local.all(|(host, _)| {
            let view = self.views.get(host);
            view.is_some_and(|view| view.probed_at.is_some() && !view.probing)
        })
    }

    /// The chunks that any available peer of the own data centre stores. Saves checking each peer for every
    /// chunk.
    pub(super) fn stored_nearby(&self, now: Moment) -> ChunkMap {
        let mut nearby = ChunkMap::empty(self.stored.len());
        for (host, view) in &self.views {
            let peer = self.peers.get(host);
            let local = peer.is_some_and(|(_, data_centre)| *data_centre == self.data_centre);
            if local && view.active_fetches < MAX_FETCHES_PER_PEER && now >= view.avoid_until {
                nearby.merge(&view.stored);
            }
        }
        nearby
    }

    /// The host from which this host should fetch a chunk whose fleet owner is another host.
    pub(super) fn expected_holder(&self, chunk: usize) -> &SmolStr {
        if self.owners.local[chunk] == self.host {
            return &self.owners.fleet[chunk];
        }
        &self.owners.local[chunk]
    }

    /// The origin, unless its limit of parallel fetches is reached or it failed recently.
    fn origin(&self, now: Moment) -> Option<Source> {
        let limit = match self.distribution {
            Distribution::Owners | Distribution::OwnChunks => MAX_ORIGIN_FETCHES,
            Distribution::Direct => MAX_DIRECT_FETCHES,
        };
        let available = self.origin_fetch_count() < limit && now >= self.origin_avoid_until;
        available.then_some(Source::Origin)
    }

    /// The origin, if it is available and the turn of the chunk has come.
    fn scheduled_origin(&self, now: Moment, chunk: usize) -> Option<Source> {
        let due = self.schedule.due(chunk, self.origin_spacing);
        (now >= due).then(|| self.origin(now)).flatten()
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
            && view.stored.has(chunk)
            && view.active_fetches < MAX_FETCHES_PER_PEER
            && now >= view.avoid_until.max(view.busy_until)
    }

    /// Whether this host need not wait for the expected holder: it failed, is missing, or there was no
    /// progress for some time.
    fn may_bypass(&self, now: Moment, expected: &SmolStr) -> bool {
        let avoided = self
            .views
            .get(expected)
            .is_some_and(|view| now < view.avoid_until);
        let missing = !self.peers.contains_key(expected);
        let stalled = now.saturating_sub(self.last_progress.max(self.started)) > OWNER_TIMEOUT;
        avoided || missing || stalled
    }

    /// A peer of the own data centre that is known to store the chunk and not known to be busy.
    ///
    /// The owner is only the first host to store the chunk. If it were the only sender, the burst would
    /// take longer by any time during which its link is idle.
    fn local_holder(&self, now: Moment, chunk: usize, draw: u64) -> Option<Source> {
        let local = self.peers.iter();
        let local = local.filter(|(_, (_, data_centre))| *data_centre == self.data_centre);
        self.least_busy(now, chunk, local.map(|(host, _)| host), draw)
    }

    /// A peer that is known to store the chunk, preferably one in the own data centre.
    fn any_holder(&self, now: Moment, chunk: usize, draw: u64) -> Option<Source> {
        let local = self.local_holder(now, chunk, draw);
        local.or_else(|| self.least_busy(now, chunk, self.peers.keys(), draw))
    }

    /// The less busy of [`CHOICES`] random holders, by their last reports. `draw` also breaks ties, so that
    /// hosts do not all select the same one.
    fn least_busy<'h>(
        &self,
        now: Moment,
        chunk: usize,
        hosts: impl Iterator<Item = &'h SmolStr>,
        draw: u64,
    ) -> Option<Source> {
        let holders = hosts.filter(|host| self.can_send(now, host, chunk));
        let mut shuffled: Vec<(u64, &SmolStr)> = holders
            .map(|host| (rendezvous::weight(&draw.to_le_bytes(), host), host))
            .collect();
        shuffled.sort_unstable();
        let best = shuffled
            .into_iter()
            .take(CHOICES)
            .min_by_key(|(weight, host)| {
                let view = self.views.get(*host);
                let load = view.map_or(0, |view| view.uploads as usize + 2 * view.active_fetches);
                (load, *weight)
            });
        self.peer(best?.1)
    }
}
