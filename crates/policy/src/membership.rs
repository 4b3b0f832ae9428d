//! Which processes of the system are up, as each process believes it.
//!
//! Every process counts its own beats; the counts travel by pairwise exchange. A process whose beat
//! stands still is suspected and then removed. Whole records travel only to peers that lack them; beats
//! of the others are told in a few bytes each. See docs/DESIGN.md, "Membership".

use std::{
    collections::{HashMap, HashSet},
    hash::{Hash, Hasher},
    net::SocketAddr,
};

use balsamjunction_protocol::mesh::{EngineStatus, MemberPulse, MemberRecord, ProcessRole};
use rand::{seq::IteratorRandom, Rng};
use smol_str::SmolStr;
use xxhash_rust::xxh3::Xxh3;

use crate::{
    dispatch::Entries,
    rendezvous::{rank, weight},
    Moment,
};

/// A process whose beat is not heard of for this long gets no calls.
const SUSPECT_AFTER: Moment = Moment::from_millis(2_500);
/// A suspected process still counts in shares of a common bound for this long, since it may work on.
const COUNT_FOR: Moment = Moment::from_secs(6);
/// Names the duty of reading the store in rankings.
const READER_KEY: &[u8] = b"store-reader";
/// A process that is silent for this long is forgotten.
const FORGET_AFTER: Moment = Moment::from_secs(30);

#[derive(Clone, Debug)]
struct Known {
    record: MemberRecord,
    heard: Moment,
}

/// One process's view of the others.
#[derive(Clone, Debug)]
pub struct Membership {
    own: MemberRecord,
    known: HashMap<SmolStr, Known>,
}

impl Membership {
    /// A view in which only this process exists.
    pub fn new(own: MemberRecord) -> Self {
        Self {
            own,
            known: HashMap::new(),
        }
    }

    /// This process as it shows itself to others.
    pub fn own(&self) -> &MemberRecord {
        &self.own
    }

    /// Says whether the store answers this process.
    pub fn set_reads_store(&mut self, reads: bool) {
        if std::mem::replace(&mut self.own.reads_store, reads) != reads {
            self.own.beat += 1;
        }
    }

    /// The entries that read the store for all others: two, in different data centres if possible, of
    /// those that the store answers.
    ///
    /// Views may differ for a while. Then more than two read, or for a moment none does, and the others
    /// notice by the age of what they know.
    pub fn store_readers(&self, now: Moment) -> Vec<&MemberRecord> {
        let own = (self.own.role == ProcessRole::Entry).then_some(&self.own);
        let entries = self.live(now, ProcessRole::Entry).chain(own);
        let entries = entries.filter(|record| record.reads_store && !record.leaving);
        let by_host: HashMap<&str, &MemberRecord> = entries
            .map(|record| (record.host.as_str(), record))
            .collect();
        let order = rank(READER_KEY, by_host.keys().copied());
        let mut order = order.iter().map(|host| by_host[host]);
        let Some(first) = order.next() else {
            return Vec::new();
        };
        let rest: Vec<&MemberRecord> = order.collect();
        let elsewhere = rest.iter().find(|r| r.data_centre != first.data_centre);
        let second = elsewhere.or(rest.first());
        std::iter::once(first).chain(second.copied()).collect()
    }

    /// Whether this process reads the store for all others.
    pub fn is_store_reader(&self, now: Moment) -> bool {
        let mut readers = self.store_readers(now).into_iter();
        readers.any(|record| record.host == self.own.host)
    }

    /// Counts a beat of this process.
    pub fn increment_heartbeat(&mut self) {
        self.own.beat += 1;
    }

    /// Changes what this process says of its engine; `change` tells whether anything is other.
    pub fn set_engine(&mut self, change: impl FnOnce(&mut EngineStatus) -> bool) -> bool {
        let changed = self.own.engine.as_mut().is_some_and(change);
        if changed {
            self.own.beat += 1;
        }
        changed
    }

    /// Says that this process is about to stop.
    pub fn mark_leaving(&mut self) {
        self.own.leaving = true;
        self.own.beat += 1;
    }

    /// Takes what another process told.
    ///
    /// A higher incarnation goes before a lower one, then the higher beat. What others say of this
    /// process itself is not taken.
    pub fn merge_records(&mut self, now: Moment, records: Vec<MemberRecord>) {
        for record in records {
            if record.host == self.own.host {
                continue;
            }
            let known = self.known.get(&record.host);
            let newer = known.is_none_or(|known| {
                let old = (known.record.incarnation, known.record.beat);
                (record.incarnation, record.beat) > old
            });
            if newer {
                let host = record.host.clone();
                self.known.insert(host, Known { record, heard: now });
            }
        }
    }

    /// Notes that a peer with beats of its own believes the same processes to be up as this one.
    pub fn refresh_live(&mut self, now: Moment) {
        for known in self.known.values_mut() {
            if now.saturating_sub(known.heard) < SUSPECT_AFTER {
                known.heard = now;
            }
        }
    }

    /// Forgets processes that have been silent for long.
    pub fn expire(&mut self, now: Moment) {
        self.known
            .retain(|_, known| now.saturating_sub(known.heard) < FORGET_AFTER);
    }

    /// This process and all that are not silent.
    fn heard(&self, now: Moment) -> impl Iterator<Item = &MemberRecord> {
        let heard = self
            .known
            .values()
            .filter(move |known| now.saturating_sub(known.heard) < SUSPECT_AFTER);
        std::iter::once(&self.own).chain(heard.map(|known| &known.record))
    }

    /// What this process believes, in a few bytes a member.
    pub fn heartbeats(&self, now: Moment) -> Vec<MemberPulse> {
        let records = self.heard(now);
        records.map(pulse).collect()
    }

    /// Takes later beats of known members; gives the keys that are not known.
    pub fn merge_heartbeats(&mut self, now: Moment, pulses: &[MemberPulse]) -> Vec<u64> {
        let own = pulse(&self.own).key;
        let told: HashMap<u64, u64> = pulses.iter().map(|p| (p.key, p.beat)).collect();
        let mut lacking: HashSet<u64> = told.keys().copied().filter(|key| *key != own).collect();
        for known in self.known.values_mut() {
            let key = pulse(&known.record).key;
            if !lacking.remove(&key) {
                continue;
            }
            if told[&key] > known.record.beat {
                known.record.beat = told[&key];
                known.heard = now;
            }
        }
        lacking.into_iter().collect()
    }

    /// What a peer with these views lacks: whole records, and later beats.
    pub fn updates_for(
        &self,
        now: Moment,
        views: &[MemberPulse],
    ) -> (Vec<MemberRecord>, Vec<MemberPulse>) {
        let told: HashMap<u64, u64> = views.iter().map(|p| (p.key, p.beat)).collect();
        let (mut records, mut pulses) = (Vec::new(), Vec::new());
        for record in self.heard(now) {
            let pulse = pulse(record);
            match told.get(&pulse.key) {
                None => records.push(record.clone()),
                Some(beat) if *beat < pulse.beat => pulses.push(pulse),
                Some(_) => {}
            }
        }
        (records, pulses)
    }

    /// The records with these keys.
    pub fn records_by_key(&self, now: Moment, keys: &[u64]) -> Vec<MemberRecord> {
        let keys: HashSet<u64> = keys.iter().copied().collect();
        let wanted = self.heard(now).filter(|r| keys.contains(&pulse(r).key));
        wanted.cloned().collect()
    }

    /// Other processes of a role that are believed to be up.
    pub fn live(&self, now: Moment, role: ProcessRole) -> impl Iterator<Item = &MemberRecord> {
        self.known
            .values()
            .filter(move |known| {
                known.record.role == role
                    && !known.record.leaving
                    && now.saturating_sub(known.heard) < SUSPECT_AFTER
            })
            .map(|known| &known.record)
    }

    /// The entries that this one knows.
    pub fn entries(&self, now: Moment) -> Entries {
        let role = ProcessRole::Entry;
        let own = self.own.host.clone();
        let at_work = self.may_be_at_work(now, role);
        let mut all: Vec<SmolStr> = at_work.map(|record| record.host.clone()).collect();
        let near = self.live(now, role);
        let near = near.filter(|record| record.data_centre == self.own.data_centre);
        let mut near: Vec<SmolStr> = near.map(|record| record.host.clone()).collect();
        for names in [&mut all, &mut near] {
            names.push(own.clone());
            names.sort();
            names.dedup();
        }
        Entries {
            own,
            all,
            local: near,
        }
    }

    fn may_be_at_work(
        &self,
        now: Moment,
        role: ProcessRole,
    ) -> impl Iterator<Item = &MemberRecord> {
        let known = self.known.values();
        let heard = known.filter(move |known| {
            known.record.role == role && now.saturating_sub(known.heard) < COUNT_FOR
        });
        heard.map(|known| &known.record)
    }

    /// Processes of a role, this one included, that may be at work; at least one.
    ///
    /// Shares of a common bound are divided by this number, so a process counts until it is surely
    /// gone.
    pub fn share_count(&self, now: Moment, role: ProcessRole) -> usize {
        let others = self.may_be_at_work(now, role).count();
        let own = usize::from(self.own.role == role);
        (others + own).max(1)
    }

    /// A process to exchange views with: mostly a live one nearby, at times a far one or a seed, so
    /// that two halves of the system which lost each other meet again.
    pub fn exchange_target(
        &self,
        now: Moment,
        role: ProcessRole,
        seeds: &[SocketAddr],
        rng: &mut impl Rng,
    ) -> Option<SocketAddr> {
        let own = self.own.address;
        let near = |record: &&MemberRecord| record.data_centre == self.own.data_centre;
        let nearby = self.live(now, role).filter(near).choose(rng);
        let live = match rng.random_ratio(1, 4) {
            true => self.live(now, role).choose(rng),
            false => nearby.or_else(|| self.live(now, role).choose(rng)),
        };
        let live = live.map(|record| record.address);
        let seed = seeds.iter().copied().filter(|s| *s != own).choose(rng);
        match live {
            Some(_) if rng.random_ratio(1, 8) => seed.or(live),
            Some(_) => live,
            None => seed,
        }
    }

    /// Equal for equal sets of live processes, whatever their beats.
    pub fn digest(&self, now: Moment) -> u64 {
        let hash = |r: &MemberRecord| {
            let state = (r.incarnation << 1) | u64::from(r.leaving);
            weight(&state.to_le_bytes(), &r.host)
        };
        self.heard(now).map(hash).fold(0, |sum, one| sum ^ one)
    }
}

/// Tells a member's record from all others of it but for its beat.
fn pulse(record: &MemberRecord) -> MemberPulse {
    let MemberRecord {
        host,
        role,
        data_centre,
        address,
        incarnation,
        beat,
        leaving,
        reads_store,
        engine,
    } = record;
    let mut hasher = Xxh3::new();
    let place = (host, *role as u8, data_centre, address);
    (place, incarnation, leaving, reads_store, engine).hash(&mut hasher);
    MemberPulse {
        key: hasher.finish(),
        beat: *beat,
    }
}
