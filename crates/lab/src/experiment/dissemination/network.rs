//! A network in virtual time: hosts with a link each, and a link for each direction between two regions.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
};

use balsamjunction_policy::Moment;

/// Size of a packet, in bytes.
const PACKET_BYTES: usize = 1_500;

/// Rates of links, and the time that a message takes apart from them.
#[derive(Clone, Copy, Debug)]
pub struct LinkSpec {
    /// Rate of a host's link in each direction, in bits per second.
    pub host_rate: u64,
    /// Rate of the link from one region to another, in bits per second.
    pub region_rate: u64,
    /// Time that a packet takes from its sender to its receiver, apart from transmission and queues.
    pub latency: Moment,
    /// How messages that a host sends at the same time share its link.
    pub sharing: Sharing,
}

/// How messages that a host sends at the same time share its link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sharing {
    /// Each message in turn sends one packet, as connections do.
    Fair,
    /// A message waits for all that were sent before it; the worst case for small messages.
    InOrder,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct LinkKey(usize);

/// Names a message that was sent, so that it can be given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MessageKey(usize);

#[derive(Debug)]
struct Link {
    /// In bits per second.
    rate: u64,
    in_order: bool,
    /// Messages and their bytes that wait for transmission.
    queue: VecDeque<(MessageKey, usize)>,
    /// The packet being transmitted.
    sending: Option<(MessageKey, usize)>,
    bytes: u64,
}

#[derive(Debug)]
struct Message<T> {
    path: Vec<LinkKey>,
    /// Bytes that its last link has yet to transmit.
    missing: usize,
    given_up: bool,
    payload: Option<T>,
}

/// What happens at a time. The order of variants is of no importance, since times are made distinct by a number.
#[derive(Debug)]
enum Event<T> {
    Transmitted(LinkKey),
    Delivered(MessageKey),
    Timer(T),
}

/// The network and the timers of its hosts. Times are exact and ties are broken by order, so that runs are repeatable.
#[derive(Debug)]
pub struct Network<T> {
    latency: Moment,
    region_of: Vec<usize>,
    regions: usize,
    links: Vec<Link>,
    messages: Vec<Message<T>>,
    events: Vec<Option<Event<T>>>,
    queue: BinaryHeap<Reverse<(Moment, usize)>>,
    now: Moment,
}

impl<T> Network<T> {
    /// Creates a network of hosts, which are given by their region; regions are numbered from zero.
    pub fn new(spec: &LinkSpec, regions: usize, region_of: Vec<usize>) -> Self {
        let link = |rate, in_order| Link {
            rate,
            in_order,
            queue: VecDeque::new(),
            sending: None,
            bytes: 0,
        };
        let in_order = spec.sharing == Sharing::InOrder;
        let hosts = region_of.len();
        let uplinks = (0..hosts).map(|_| link(spec.host_rate, in_order));
        let downlinks = (0..hosts).map(|_| link(spec.host_rate, true));
        let between = (0..regions * regions).map(|_| link(spec.region_rate, true));
        Self {
            latency: spec.latency,
            links: uplinks.chain(downlinks).chain(between).collect(),
            region_of,
            regions,
            messages: Vec::new(),
            events: Vec::new(),
            queue: BinaryHeap::new(),
            now: Moment::ZERO,
        }
    }

    /// Sends `bytes` from one host to another; `payload` is returned by [`Self::next_event`] when the last byte arrives.
    pub fn send(&mut self, from: usize, to: usize, bytes: usize, payload: T) -> MessageKey {
        let hosts = self.region_of.len();
        let (a, b) = (self.region_of[from], self.region_of[to]);
        let mut path = vec![LinkKey(from)];
        if a != b {
            path.push(LinkKey(2 * hosts + a * self.regions + b));
        }
        path.push(LinkKey(hosts + to));
        let key = MessageKey(self.messages.len());
        self.messages.push(Message {
            path,
            missing: bytes,
            given_up: false,
            payload: Some(payload),
        });
        self.enqueue(LinkKey(from), key, bytes);
        key
    }

    /// Gives a message up: what its sender has not transmitted yet is not sent, and it never arrives.
    pub fn give_up(&mut self, key: MessageKey) {
        let message = &mut self.messages[key.0];
        message.given_up = true;
        message.payload = None;
        let first = message.path[0];
        self.links[first.0]
            .queue
            .retain(|(queued, _)| *queued != key);
    }

    /// Makes [`Self::next_event`] return `payload` at `at`.
    pub fn set_timer(&mut self, at: Moment, payload: T) {
        self.schedule(at, Event::Timer(payload));
    }

    /// Returns what arrives or falls due next, with its time; none if nothing is left.
    pub fn next_event(&mut self) -> Option<(Moment, T)> {
        while let Some(Reverse((at, number))) = self.queue.pop() {
            self.now = at;
            match self.events[number].take() {
                Some(Event::Transmitted(link)) => self.transmitted(link),
                Some(Event::Delivered(key)) => {
                    if let Some(payload) = self.messages[key.0].payload.take() {
                        return Some((at, payload));
                    }
                }
                Some(Event::Timer(payload)) => return Some((at, payload)),
                None => {}
            }
        }
        None
    }

    /// Bytes that a host has sent.
    pub fn bytes_from(&self, host: usize) -> u64 {
        self.links[host].bytes
    }

    /// Bytes that one region has sent to another.
    pub fn bytes_between(&self, from: usize, to: usize) -> u64 {
        self.links[2 * self.region_of.len() + from * self.regions + to].bytes
    }

    fn schedule(&mut self, at: Moment, event: Event<T>) {
        self.queue.push(Reverse((at, self.events.len())));
        self.events.push(Some(event));
    }

    fn enqueue(&mut self, link: LinkKey, message: MessageKey, bytes: usize) {
        self.links[link.0].queue.push_back((message, bytes));
        self.start(link);
    }

    fn start(&mut self, key: LinkKey) {
        let link = &mut self.links[key.0];
        if link.sending.is_some() {
            return;
        }
        let Some((message, bytes)) = link.queue.pop_front() else {
            return;
        };
        let packet = bytes.min(PACKET_BYTES);
        if bytes > packet {
            match link.in_order {
                true => link.queue.push_front((message, bytes - packet)),
                false => link.queue.push_back((message, bytes - packet)),
            }
        }
        link.sending = Some((message, packet));
        let nanoseconds = packet as u64 * 8 * 1_000_000_000 / link.rate;
        let at = self.now + Moment::from_nanos(nanoseconds);
        self.schedule(at, Event::Transmitted(key));
    }

    fn transmitted(&mut self, key: LinkKey) {
        let link = &mut self.links[key.0];
        if let Some((message_key, packet)) = link.sending.take() {
            link.bytes += packet as u64;
            let message = &mut self.messages[message_key.0];
            let position = message.path.iter().position(|l| *l == key);
            match position.and_then(|p| message.path.get(p + 1)).copied() {
                Some(next) => self.enqueue(next, message_key, packet),
                None => {
                    message.missing -= packet;
                    if message.missing == 0 && !message.given_up {
                        let at = self.now + self.latency;
                        self.schedule(at, Event::Delivered(message_key));
                    }
                }
            }
        }
        self.start(key);
    }
}
