//! Gossip membership: each process's view of which processes of the system are live.
//!
//! Every process increments its own heartbeat counter; the counters spread by pairwise exchange. A
//! process whose counter stops is suspected and then removed. Complete records are sent only to peers
//! that lack them; other members' heartbeats take a few bytes each. See docs/DESIGN.md, "Membership".

use std::{
    collections::{HashMap, HashSet},
    hash::{Hash, Hasher},
    net::SocketAddr,
};

use balsamjunction_protocol::mesh::{EngineStatus, MemberHeartbeat, MemberRecord, ProcessRole};
use rand::{seq::IteratorRandom, Rng};
use smol_str::SmolStr;
use xxhash_rust::xxh3::Xxh3;

use crate::{
    dispatch::{Entries, SharingEntry},
    relay::RelayMember,
    rendezvous::{rank, weight},
    Moment,
};

/// Time without a heartbeat after which a process is suspected and gets no calls.
const SUSPECT_AFTER: Moment = Moment::from_millis(2_500);
/// Time without a heartbeat for which a process that reported that it stops still counts when a common limit is
/// divided.
const STOPPING_SHARE_RETENTION: Moment = Moment::from_secs(6);
/// Time without a heartbeat for which any other entry still counts when a common limit is divided. It may run in
/// another partition, and regions lose each other for an hour at times. The unused share of one that has
/// crashed costs little meanwhile, and it returns with its next start.
const SHARE_RETENTION: Moment = Moment::from_secs(2 * 3_600);
/// Hash key that ranks the entries for reading the store.
const READER_KEY: &[u8] = b"store-reader";
/// Time without a heartbeat after which a process is removed.
const REMOVE_AFTER: Moment = Moment::from_secs(30);

#[derive(Clone, Debug)]
struct RemoteMember {
    record: MemberRecord,
    updated_at: Moment,
}

impl RemoteMember {
    /// Returns whether the process counts when a common limit is divided.
    fn may_be_running(&self, now: Moment) -> bool {
        let silence = now.saturating_sub(self.updated_at);
        let is_entry = self.record.role == ProcessRole::Entry;
        silence < STOPPING_SHARE_RETENTION
            || (is_entry && !self.record.leaving && silence < SHARE_RETENTION)
    }
}

/// One process's view of the members.
#[derive(Clone, Debug)]
pub struct Membership {
    own: MemberRecord,
    others: HashMap<SmolStr, RemoteMember>,
}

impl Membership {
    /// Creates a view that contains only this process.
    pub fn new(own: MemberRecord) -> Self {
        Self {
            own,
            others: HashMap::new(),
        }
    }

    /// Returns the record that this process sends to others.
    pub fn own(&self) -> &MemberRecord {
        &self.own
    }

    /// Sets whether the store responds to this process.
    pub fn set_reads_store(&mut self, reads: bool) {
        if std::mem::replace(&mut self.own.reads_store, reads) != reads {
            self.own.heartbeat += 1;
        }
    }

    /// Returns the entries that read the store for all others: two of those to which the store responds,
    /// in different data centres if possible. If it responds to none, two of all try on for the others.
    ///
    /// While views differ, more than two entries may read, or none for a moment; the others detect that
    /// by the age of their facts.
    pub fn store_readers(&self, now: Moment) -> Vec<&MemberRecord> {
        let ranked = self.ranked_for_reading(now);
        let available: Vec<&MemberRecord> = ranked
            .iter()
            .copied()
            .filter(|record| record.reads_store)
            .collect();
        let candidates = match available.is_empty() {
            true => ranked,
            false => available,
        };
        let mut order = candidates.into_iter();
        let Some(first) = order.next() else {
            return Vec::new();
        };
        let rest: Vec<&MemberRecord> = order.collect();
        let elsewhere = rest.iter().find(|r| r.data_centre != first.data_centre);
        let second = elsewhere.or(rest.first());
        std::iter::once(first).chain(second.copied()).collect()
    }

    /// Returns the entries that are considered live, this one included, in the order in which they read the store if those
    /// before them do not.
    fn ranked_for_reading(&self, now: Moment) -> Vec<&MemberRecord> {
        let own = (self.own.role == ProcessRole::Entry).then_some(&self.own);
        let entries = self.live(now, ProcessRole::Entry).chain(own);
        let entries = entries.filter(|record| !record.leaving);
        let by_host: HashMap<&str, &MemberRecord> = entries
            .map(|record| (record.host.as_str(), record))
            .collect();
        let order = rank(READER_KEY, by_host.keys().copied());
        order.iter().map(|host| by_host[host]).collect()
    }

    /// Returns the live entries in the order in which they read the store if the readers provide nothing.
    pub fn fallback_readers(&self, now: Moment) -> Vec<&MemberRecord> {
        let readers = self.store_readers(now);
        let mut ranked = self.ranked_for_reading(now);
        ranked.retain(|record| readers.iter().all(|reader| reader.host != record.host));
        ranked
    }

    /// Returns the number of entries that read the store before this one; zero for a reader.
    ///
    /// As many as there are readers take their place without waiting for them, since the readers may be gone and keys
    /// must not get too old; the others wait for the readers as well.
    pub fn reading_rank(&self, now: Moment) -> usize {
        let readers = self.store_readers(now).len();
        let order = self.fallback_readers(now);
        let mut order = order.iter();
        match order.position(|record| record.host == self.own.host) {
            None => 0,
            Some(position) if position < readers => position,
            Some(position) => readers + position,
        }
    }

    /// Returns the entries among which a large document is passed on, this one included.
    ///
    /// A data centre that `regions` does not name is a region by itself.
    pub fn relay_members(
        &self,
        now: Moment,
        regions: &HashMap<SmolStr, SmolStr>,
    ) -> Vec<RelayMember> {
        let readers = self.store_readers(now);
        let entries = self.live(now, ProcessRole::Entry).chain([&self.own]);
        let relay_member = |record: &MemberRecord| RelayMember {
            host: record.host.clone(),
            region: regions
                .get(&record.data_centre)
                .unwrap_or(&record.data_centre)
                .clone(),
            address: record.address,
            reads_store: readers.iter().any(|reader| reader.host == record.host),
        };
        entries.map(relay_member).collect()
    }

    /// Returns whether this process reads the store for all others.
    pub fn is_store_reader(&self, now: Moment) -> bool {
        let mut readers = self.store_readers(now).into_iter();
        readers.any(|record| record.host == self.own.host)
    }

    /// Increments the heartbeat of this process.
    pub fn increment_heartbeat(&mut self) {
        self.own.heartbeat += 1;
    }

    /// Updates the engine status that this process reports. `change` returns whether it changed anything,
    /// and so does this method.
    pub fn set_engine(&mut self, change: impl FnOnce(&mut EngineStatus) -> bool) -> bool {
        let changed = self.own.engine.as_mut().is_some_and(change);
        if changed {
            self.own.heartbeat += 1;
        }
        changed
    }

    /// Marks this process as about to stop.
    pub fn mark_leaving(&mut self) {
        self.own.leaving = true;
        self.own.heartbeat += 1;
    }

    /// Merges records received from another process.
    ///
    /// The record with the higher incarnation wins, then the one with the higher heartbeat. Records of
    /// this process itself are ignored.
    pub fn merge_records(&mut self, now: Moment, records: Vec<MemberRecord>) {
        for record in records {
            if record.host == self.own.host {
                continue;
            }
            let stored = self.others.get(&record.host);
            let newer = stored.is_none_or(|member| {
                let old = (member.record.incarnation, member.record.heartbeat);
                (record.incarnation, record.heartbeat) > old
            });
            if newer {
                let host = record.host.clone();
                self.others.insert(
                    host,
                    RemoteMember {
                        record,
                        updated_at: now,
                    },
                );
            }
        }
    }

    /// Refreshes all members that are not suspected. Used by a process that receives no heartbeats of
    /// others, when a peer that receives them reports the same set of live members.
    pub fn refresh_live(&mut self, now: Moment) {
        for member in self.others.values_mut() {
            if now.saturating_sub(member.updated_at) < SUSPECT_AFTER {
                member.updated_at = now;
            }
        }
    }

    /// Removes processes without a heartbeat for a long time.
    pub fn expire(&mut self, now: Moment) {
        self.others.retain(|_, member| {
            let silence = now.saturating_sub(member.updated_at);
            silence < REMOVE_AFTER || member.may_be_running(now)
        });
    }

    /// Returns the records of this process and of all that are not suspected, leaving ones included.
    fn unsuspected(&self, now: Moment) -> impl Iterator<Item = &MemberRecord> {
        let unsuspected = self
            .others
            .values()
            .filter(move |member| now.saturating_sub(member.updated_at) < SUSPECT_AFTER);
        std::iter::once(&self.own).chain(unsuspected.map(|member| &member.record))
    }

    /// Returns the heartbeats of this process and of all that are not suspected.
    pub fn heartbeats(&self, now: Moment) -> Vec<MemberHeartbeat> {
        let records = self.unsuspected(now);
        records.map(compute_heartbeat).collect()
    }

    /// Merges newer heartbeats of known members; returns the keys that are unknown.
    pub fn merge_heartbeats(&mut self, now: Moment, heartbeats: &[MemberHeartbeat]) -> Vec<u64> {
        let own = compute_heartbeat(&self.own).key;
        let peer_heartbeats: HashMap<u64, u64> =
            heartbeats.iter().map(|p| (p.key, p.heartbeat)).collect();
        let mut unknown_keys: HashSet<u64> = peer_heartbeats
            .keys()
            .copied()
            .filter(|key| *key != own)
            .collect();
        for member in self.others.values_mut() {
            let key = compute_heartbeat(&member.record).key;
            if !unknown_keys.remove(&key) {
                continue;
            }
            if peer_heartbeats[&key] > member.record.heartbeat {
                member.record.heartbeat = peer_heartbeats[&key];
                member.updated_at = now;
            }
        }
        unknown_keys.into_iter().collect()
    }

    /// Returns what a peer with these heartbeats lacks: complete records, and newer heartbeats.
    pub fn updates_for(
        &self,
        now: Moment,
        heartbeats: &[MemberHeartbeat],
    ) -> (Vec<MemberRecord>, Vec<MemberHeartbeat>) {
        let peer_heartbeats: HashMap<u64, u64> =
            heartbeats.iter().map(|p| (p.key, p.heartbeat)).collect();
        let (mut records, mut newer) = (Vec::new(), Vec::new());
        for record in self.unsuspected(now) {
            let heartbeat = compute_heartbeat(record);
            match peer_heartbeats.get(&heartbeat.key) {
                None => records.push(record.clone()),
                Some(beat) if *beat < heartbeat.heartbeat => newer.push(heartbeat),
                Some(_) => {}
            }
        }
        (records, newer)
    }

    /// Returns the records with these keys.
    pub fn records_by_key(&self, now: Moment, keys: &[u64]) -> Vec<MemberRecord> {
        let keys: HashSet<u64> = keys.iter().copied().collect();
        let requested = self
            .unsuspected(now)
            .filter(|r| keys.contains(&compute_heartbeat(r).key));
        requested.cloned().collect()
    }

    /// Returns the other processes of a role that are considered live and are not leaving.
    pub fn live(&self, now: Moment, role: ProcessRole) -> impl Iterator<Item = &MemberRecord> {
        self.others
            .values()
            .filter(move |member| {
                member.record.role == role
                    && !member.record.leaving
                    && now.saturating_sub(member.updated_at) < SUSPECT_AFTER
            })
            .map(|member| &member.record)
    }

    /// Returns the entries that this entry knows, itself included.
    pub fn entries(&self, now: Moment) -> Entries {
        let role = ProcessRole::Entry;
        let own = self.own.host.clone();
        let running = self.possibly_running(now, role).chain([&self.own]);
        let sharing = running.map(|record| SharingEntry {
            host: record.host.clone(),
            data_centre: record.data_centre.clone(),
        });
        let mut all: Vec<SharingEntry> = sharing.collect();
        all.sort();
        let local = self.live(now, role);
        let local = local.filter(|record| record.data_centre == self.own.data_centre);
        let mut local: Vec<SmolStr> = local.map(|record| record.host.clone()).collect();
        local.push(own.clone());
        local.sort();
        Entries { own, all, local }
    }

    fn possibly_running(
        &self,
        now: Moment,
        role: ProcessRole,
    ) -> impl Iterator<Item = &MemberRecord> {
        let others = self.others.values();
        let running =
            others.filter(move |member| member.record.role == role && member.may_be_running(now));
        running.map(|member| &member.record)
    }

    /// Returns how many processes of a role, this one included, may be running; at least one.
    ///
    /// A common limit is divided by this number, so a process counts until it has certainly stopped.
    pub fn share_count(&self, now: Moment, role: ProcessRole) -> usize {
        let others = self.possibly_running(now, role).count();
        let own = usize::from(self.own.role == role);
        (others + own).max(1)
    }

    /// Selects a process to exchange views with: mostly a live one in the same data centre, sometimes any
    /// live one or a seed, so that the parts of the system find each other again after a partition.
    pub fn exchange_target(
        &self,
        now: Moment,
        role: ProcessRole,
        seeds: &[SocketAddr],
        rng: &mut impl Rng,
    ) -> Option<SocketAddr> {
        let own = self.own.address;
        let is_local = |record: &&MemberRecord| record.data_centre == self.own.data_centre;
        let local = self.live(now, role).filter(is_local).choose(rng);
        let live = match rng.random_ratio(1, 4) {
            true => self.live(now, role).choose(rng),
            false => local.or_else(|| self.live(now, role).choose(rng)),
        };
        let live = live.map(|record| record.address);
        let seed = seeds.iter().copied().filter(|s| *s != own).choose(rng);
        match live {
            Some(_) if rng.random_ratio(1, 8) => seed.or(live),
            Some(_) => live,
            None => seed,
        }
    }

    /// Returns a digest that is equal for equal sets of live processes, whatever their heartbeats.
    pub fn digest(&self, now: Moment) -> u64 {
        let hash = |r: &MemberRecord| {
            let state = (r.incarnation << 1) | u64::from(r.leaving);
            weight(&state.to_le_bytes(), &r.host)
        };
        self.unsuspected(now)
            .map(hash)
            .fold(0, |sum, one| sum ^ one)
    }
}

/// Returns the heartbeat of a record; its key is a hash of all fields except the heartbeat itself.
fn compute_heartbeat(record: &MemberRecord) -> MemberHeartbeat {
    let MemberRecord {
        host,
        role,
        data_centre,
        address,
        incarnation,
        heartbeat: beat,
        leaving,
        reads_store,
        engine,
    } = record;
    let mut hasher = Xxh3::new();
    let identity = (host, *role as u8, data_centre, address);
    (identity, incarnation, leaving, reads_store, engine).hash(&mut hasher);
    MemberHeartbeat {
        key: hasher.finish(),
        heartbeat: *beat,
    }
}
