//! When each router was last heard directly, which outweighs the word of others that it is down.

use super::Incarnation;

/// What was heard from one router.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Contact {
    generation: u64,
    at: f64,
}

/// When this router last heard each of the others, and in which incarnation.
#[derive(Debug)]
pub(crate) struct Contacts {
    /// The present time, in seconds.
    pub(crate) now: f64,
    /// Whether what is heard outweighs the word of others.
    enabled: bool,
    last: Vec<Option<Contact>>,
}

impl Contacts {
    /// A router that was heard within this time is alive, whatever others say. Seconds.
    pub(super) const RECENT: f64 = 1.0;
    /// How much longer it may take to hear each of all for one more of them: three times what gossip takes. Seconds.
    const RECENT_PER_ROUTER: f64 = 0.1;

    pub(super) fn new(routers: usize, enabled: bool, now: f64) -> Contacts {
        Contacts { now, enabled, last: vec![None; routers] }
    }

    pub(super) fn knows(&self, router: u16) -> bool {
        usize::from(router) < self.last.len()
    }

    /// Whether the router was heard so recently, in this incarnation or a younger one, that it can't be down.
    pub(super) fn refutes(&self, incarnation: &Incarnation) -> bool {
        let recent = |contact: Contact| {
            contact.generation >= incarnation.generation && self.now - contact.at < Self::RECENT
        };
        self.enabled && self.of(incarnation.router).is_some_and(recent)
    }

    /// Whether the router was heard within the time in which each of all says something to this one.
    pub(super) fn heard_lately(&self, router: u16) -> bool {
        let lately = (self.last.len() as f64 * Self::RECENT_PER_ROUTER).max(Self::RECENT);
        self.of(router).is_some_and(|contact| self.now - contact.at < lately)
    }

    fn of(&self, router: u16) -> Option<Contact> {
        self.last.get(usize::from(router)).copied().flatten()
    }

    /// The youngest incarnation in which the router was heard.
    pub(crate) fn generation(&self, router: u16) -> Option<u64> {
        self.of(router).map(|contact| contact.generation)
    }

    /// Notes that a router was heard now. Tells whether in an incarnation that is not older than what is known already.
    pub(crate) fn record(&mut self, router: usize, generation: u64) -> bool {
        let last = &mut self.last[router];
        if last.is_some_and(|contact| contact.generation > generation) {
            return false;
        }
        *last = Some(Contact { generation, at: self.now });
        true
    }
}
