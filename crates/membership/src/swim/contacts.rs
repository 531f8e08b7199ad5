//! When a datagram was last received from each router. Recent contact overrules reports from others that it is down.

use super::Incarnation;

/// The last datagram received from one router: its generation and the time.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Contact {
    generation: u64,
    /// When it was received, in seconds.
    at: f64,
}

/// When a datagram was last received from each of the other routers, and in which incarnation.
#[derive(Debug)]
pub(crate) struct Contacts {
    /// The current time, in seconds.
    pub(crate) now: f64,
    /// Whether direct contact overrules reports from others.
    enabled: bool,
    last: Vec<Option<Contact>>,
}

impl Contacts {
    /// A router that was heard within this time is alive, whatever others report. Seconds.
    pub(super) const RECENT_CONTACT: f64 = 1.0;
    /// By how much the time in which every live router sends something to this one grows with each router in the
    /// cluster. Gossip alone goes to `GOSSIP_FANOUT` (3) routers every `GOSSIP_INTERVAL` (0.1 s), which makes 0.033 s
    /// per router; this is three times that. Seconds.
    const CONTACT_PERIOD_PER_ROUTER: f64 = 0.1;

    pub(super) fn new(routers: usize, enabled: bool, now: f64) -> Contacts {
        Contacts { now, enabled, last: vec![None; routers] }
    }

    pub(super) fn is_in_cluster(&self, router: u16) -> bool {
        usize::from(router) < self.last.len()
    }

    /// Whether the router was heard so recently, in this incarnation or a later one, that it can't be down.
    pub(super) fn refutes(&self, incarnation: &Incarnation) -> bool {
        let recent = |contact: Contact| {
            contact.generation >= incarnation.generation && self.now - contact.at < Self::RECENT_CONTACT
        };
        self.enabled && self.contact(incarnation.router).is_some_and(recent)
    }

    /// Whether the router was heard within the time in which every live router sends something to this one.
    pub(super) fn heard_within_contact_period(&self, router: u16) -> bool {
        let period = (self.last.len() as f64 * Self::CONTACT_PERIOD_PER_ROUTER).max(Self::RECENT_CONTACT);
        self.contact(router).is_some_and(|contact| self.now - contact.at < period)
    }

    fn contact(&self, router: u16) -> Option<Contact> {
        self.last.get(usize::from(router)).copied().flatten()
    }

    /// The latest generation in which the router was heard; `None` if it never was.
    pub(crate) fn generation(&self, router: u16) -> Option<u64> {
        self.contact(router).map(|contact| contact.generation)
    }

    /// Records that a router was heard now. Returns false, and records nothing, if the generation is older than one
    /// that was heard before.
    pub(crate) fn record(&mut self, router: usize, generation: u64) -> bool {
        let last = &mut self.last[router];
        if last.is_some_and(|contact| contact.generation > generation) {
            return false;
        }
        *last = Some(Contact { generation, at: self.now });
        true
    }
}
