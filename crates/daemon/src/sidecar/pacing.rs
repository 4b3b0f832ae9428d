//! Paces bulk transfers of this host, so that live traffic takes precedence.

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
    send: Pacer,
    receive: Pacer,
    inter_region: Pacer,
}

/// Rate limits of the bulk transfers of one host.
pub struct TransferPacing {
    context: Arc<SidecarContext>,
    pacers: Mutex<Pacers>,
    upload_count: AtomicU32,
}

impl TransferPacing {
    /// Allows the full rate of the links until a declaration sets a share.
    pub fn new(context: Arc<SidecarContext>) -> Self {
        let links = context.settings.links;
        let now = context.clock.now();
        let pacers = Pacers {
            send: Pacer::new(now, links.host),
            receive: Pacer::new(now, links.host),
            inter_region: Pacer::new(now, links.inter_region),
        };
        Self {
            context,
            pacers: Mutex::new(pacers),
            upload_count: AtomicU32::new(0),
        }
    }

    /// Number of chunks that are being sent.
    pub fn upload_count(&self) -> u32 {
        self.upload_count.load(Ordering::Relaxed)
    }

    /// Updates the number of uploads when one starts or ends.
    pub fn update_upload_count(&self, started: bool) {
        match started {
            true => self.upload_count.fetch_add(1, Ordering::Relaxed),
            false => self.upload_count.fetch_sub(1, Ordering::Relaxed),
        };
    }

    fn lock(&self) -> MutexGuard<'_, Pacers> {
        lock(&self.pacers)
    }

    /// Applies the declared share of the links and the number of hosts that share the inter-region link.
    pub fn apply_fleet_state(&self) {
        let Some(assignment) = self.context.assignment() else {
            return;
        };
        let peer = &self.context.settings.peer;
        let Some((pool, upstream)) = assignment.fleet.upstream_on_host(&peer.host) else {
            return;
        };
        let lookup = assignment.fleet.lookup_context(pool, upstream);
        let percent = assignment.fleet.value(ValueKey::BulkPercent, &lookup);
        let links = self.context.settings.links;
        let share = |rate: u64| rate * percent / 100;
        let senders = self.count_senders_in_region(&assignment.fleet).max(1);
        let now = self.context.clock.now();
        let mut pacers = self.lock();
        pacers.send.set_max_rate(now, share(links.host));
        pacers.receive.set_max_rate(now, share(links.host));
        let inter_region_rate = share(links.inter_region) / senders;
        pacers
            .inter_region
            .set_max_rate(now, inter_region_rate.max(1));
    }

    fn count_senders_in_region(&self, fleet: &Fleet) -> u64 {
        let peer = &self.context.settings.peer;
        let region = fleet.region_of(&peer.data_centre);
        let snapshot = self.context.state.snapshot();
        let members = snapshot.members.members.iter();
        let senders = members.filter(|m| {
            m.state == MemberState::Live
                && fleet.region_of(&m.data_centre) == region
                && fleet.upstream_on_host(&m.host).is_some()
        });
        senders.count() as u64
    }

    /// Reserves bulk bytes to a data centre; returns how long to wait before sending them.
    pub fn reserve_send(&self, bytes: usize, data_centre: &str) -> Duration {
        let own = &self.context.settings.peer.data_centre;
        let assignment = self.context.assignment();
        let other_region = assignment.is_some_and(|assignment| {
            assignment.fleet.region_of(own) != assignment.fleet.region_of(data_centre)
        });
        let now = self.context.clock.now();
        let mut pacers = self.lock();
        let wait = pacers.send.reserve(now, bytes);
        if !other_region {
            return wait;
        }
        wait.max(pacers.inter_region.reserve(now, bytes))
    }

    /// Reserves bulk bytes; returns how long to wait before requesting them.
    pub fn reserve_receive(&self, bytes: usize) -> Duration {
        let now = self.context.clock.now();
        self.lock().receive.reserve(now, bytes)
    }

    /// Records the lateness of live responses of this host in percent; 100 means on time.
    pub fn record_live_delay(&self, percent: u32) {
        let now = self.context.clock.now();
        let ratio = f64::from(percent) / 100.0;
        let mut pacers = self.lock();
        pacers.send.record_live_delay(now, ratio);
        pacers.receive.record_live_delay(now, ratio);
        pacers.inter_region.record_live_delay(now, ratio);
    }
}
