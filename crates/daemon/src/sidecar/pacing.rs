//! Paces bulk transfers of this host, so that live traffic goes first.

use std::{
    sync::{
        atomic::{AtomicU32, Ordering},
        Arc, Mutex, MutexGuard,
    },
    time::Duration,
};

use balsamjunction_policy::pace::Pacer;
use balsamjunction_protocol::MemberState;
use balsamjunction_settings::{Fleet, ValueKey};

use super::context::SidecarContext;
use crate::sync::lock;

struct Pacers {
    sending: Pacer,
    receiving: Pacer,
    between_regions: Pacer,
}

/// The pacers of one host.
pub struct Pacing {
    context: Arc<SidecarContext>,
    pacers: Mutex<Pacers>,
    uploads: AtomicU32,
}

impl Pacing {
    /// Pacers that allow all of the links until the declaration says otherwise.
    pub fn new(context: Arc<SidecarContext>) -> Self {
        let links = context.settings.links;
        let now = context.clock.now();
        let pacers = Pacers {
            sending: Pacer::new(now, links.host),
            receiving: Pacer::new(now, links.host),
            between_regions: Pacer::new(now, links.inter_region),
        };
        Self {
            context,
            pacers: Mutex::new(pacers),
            uploads: AtomicU32::new(0),
        }
    }

    /// Chunks that are being sent.
    pub fn uploads(&self) -> u32 {
        self.uploads.load(Ordering::Relaxed)
    }

    /// Notes the start or the end of an upload.
    pub fn count_upload(&self, start: bool) {
        match start {
            true => self.uploads.fetch_add(1, Ordering::Relaxed),
            false => self.uploads.fetch_sub(1, Ordering::Relaxed),
        };
    }

    fn lock(&self) -> MutexGuard<'_, Pacers> {
        lock(&self.pacers)
    }

    /// Takes over the declared share and the number of hosts that share the link between regions.
    pub fn follow(&self) {
        let Some(post) = self.context.post() else {
            return;
        };
        let peer = &self.context.settings.peer;
        let Some((pool, upstream)) = post.fleet.upstream_on_host(&peer.host) else {
            return;
        };
        let place = post.fleet.lookup_context(pool, upstream);
        let percent = post.fleet.value(ValueKey::BulkPercent, &place);
        let links = self.context.settings.links;
        let share = |rate: u64| rate * percent / 100;
        let senders = self.senders_in_region(&post.fleet).max(1);
        let now = self.context.clock.now();
        let mut pacers = self.lock();
        pacers.sending.set_max_rate(now, share(links.host));
        pacers.receiving.set_max_rate(now, share(links.host));
        let between = share(links.inter_region) / senders;
        pacers.between_regions.set_max_rate(now, between.max(1));
    }

    fn senders_in_region(&self, fleet: &Fleet) -> u64 {
        let peer = &self.context.settings.peer;
        let region = fleet.region_of(&peer.data_centre);
        let snapshot = self.context.state.snapshot();
        let members = snapshot.members.members.iter();
        let same = members.filter(|m| {
            m.state == MemberState::Live
                && fleet.region_of(&m.data_centre) == region
                && fleet.upstream_on_host(&m.host).is_some()
        });
        same.count() as u64
    }

    /// How long to wait before sending bulk bytes to a data centre.
    pub fn send(&self, bytes: usize, data_centre: &str) -> Duration {
        let own = &self.context.settings.peer.data_centre;
        let post = self.context.post();
        let other_region =
            post.is_some_and(|post| post.fleet.region_of(own) != post.fleet.region_of(data_centre));
        let now = self.context.clock.now();
        let mut pacers = self.lock();
        let wait = pacers.sending.reserve(now, bytes);
        if !other_region {
            return wait;
        }
        wait.max(pacers.between_regions.reserve(now, bytes))
    }

    /// How long to wait before asking for bulk bytes.
    pub fn receive(&self, bytes: usize) -> Duration {
        let now = self.context.clock.now();
        self.lock().receiving.reserve(now, bytes)
    }

    /// Notes how late live answers of this host are, 100 for not at all.
    pub fn live_delay(&self, percent: u32) {
        let now = self.context.clock.now();
        let ratio = f64::from(percent) / 100.0;
        let mut pacers = self.lock();
        pacers.sending.record_live_delay(now, ratio);
        pacers.receiving.record_live_delay(now, ratio);
        pacers.between_regions.record_live_delay(now, ratio);
    }
}
