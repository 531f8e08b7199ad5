//! The other end of a BGP session, as a router that only listens to us: it answers OPEN, keeps what it is told as its
//! table, and keeps that over a lost session where both sides agreed to (RFC 4724, RFC 8538). No I/O.

use cleatgw_bgp::message::{self, frame};
use cleatgw_bgp::update::{Update, UpdateContext};
use cleatgw_bgp::{MessageType, Notification, Open, PathAttributes};
use ipnet::IpNet;
use std::collections::BTreeMap;

/// What it saw, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Saw {
    Established,
    Announced(IpNet, PathAttributes),
    Withdrawn(IpNet),
    /// All that was told is told (RFC 4724 section 2).
    EndOfRib,
    /// The session ended, with the NOTIFICATION if there was one.
    Ended(Option<Notification>),
    /// Routes went with the session, or with the time they were kept for.
    Dropped(IpNet),
}

#[derive(Clone, Debug)]
pub struct Far {
    /// What it says of itself.
    pub open: Open,
    pub theirs: Option<Open>,
    pub established: bool,
    /// Its table, with whether a route is only kept.
    pub table: BTreeMap<IpNet, (PathAttributes, bool)>,
    pub saw: Vec<Saw>,
    input: Vec<u8>,
    pub out: Vec<u8>,
    /// It says nothing: neither OPEN nor KEEPALIVE.
    pub mute: bool,
}

impl Far {
    pub fn new(open: Open) -> Far {
        Far {
            open,
            theirs: None,
            established: false,
            table: BTreeMap::new(),
            saw: Vec::new(),
            input: Vec::new(),
            out: Vec::new(),
            mute: false,
        }
    }

    /// A connection is up; it speaks first.
    pub fn connected(&mut self) {
        (self.theirs, self.established) = (None, false);
        (self.input, self.out) = (Vec::new(), Vec::new());
        if !self.mute {
            self.open.encode(&mut self.out);
        }
    }

    /// What it sends beside.
    pub fn say(&mut self, write: impl FnOnce(&mut Vec<u8>)) {
        write(&mut self.out);
    }

    /// Takes bytes; tells whether the session goes on.
    ///
    /// # Panics
    /// Where what came is not well-formed: our own side wrote it.
    pub fn bytes(&mut self, bytes: &[u8]) -> bool {
        self.input.extend(bytes);
        loop {
            let Some(found) = frame(&self.input).expect("what we write is whole") else { return true };
            let (kind, body, length) = (found.message_type, found.body.to_vec(), found.length());
            self.input.drain(..length);
            match kind {
                MessageType::Open => {
                    self.theirs = Some(Open::decode(&body).expect("a well-formed OPEN"));
                    if !self.mute {
                        message::encode_keepalive(&mut self.out);
                    }
                }
                MessageType::Keepalive if !self.established && self.theirs.is_some() => {
                    self.established = true;
                    self.saw.push(Saw::Established);
                    let keeps = self.kept_families(true);
                    self.drop_stale(|family| !keeps[family]);
                }
                MessageType::Keepalive if !self.mute => message::encode_keepalive(&mut self.out),
                MessageType::Update => self.update(&body),
                MessageType::Notification => {
                    let told = Notification::decode(&body);
                    self.ended(Some(told));
                    return false;
                }
                _ => {}
            }
        }
    }

    fn update(&mut self, body: &[u8]) {
        assert!(self.established, "an UPDATE before the session was up");
        let four_octet_as = self.open.capabilities.four_octet_as.is_some();
        let internal = self.theirs.as_ref().is_some_and(|open| open.asn == self.open.asn);
        let update =
            Update::decode(body, UpdateContext { four_octet_as, internal }).expect("a well-formed UPDATE");
        assert_eq!(update.treated_as_withdrawn, None);
        for net in update.withdrawn {
            self.table.remove(&net);
            self.saw.push(Saw::Withdrawn(net));
        }
        for net in update.announced {
            self.table.insert(net, (update.attributes.clone(), false));
            self.saw.push(Saw::Announced(net, update.attributes.clone()));
        }
        if let Some(family) = update.end_of_rib {
            self.saw.push(Saw::EndOfRib);
            self.drop_stale(|at| at == family as usize);
        }
    }

    fn family(net: &IpNet) -> usize {
        usize::from(matches!(net, IpNet::V6(_)))
    }

    /// By family: whether the other side asked for its routes to be kept, and in a new session says it kept them too.
    fn kept_families(&self, forwarding: bool) -> [bool; 2] {
        let graceful = self.theirs.as_ref().and_then(|open| open.capabilities.graceful_restart);
        let agreed = graceful.filter(|_| self.open.capabilities.graceful_restart.is_some());
        let keeps = |kept: Option<bool>| kept.is_some_and(|kept| kept || !forwarding);
        agreed.map_or([false; 2], |graceful| graceful.families.map(keeps))
    }

    fn drop_stale(&mut self, of: impl Fn(usize) -> bool) {
        let gone = self.table.iter().filter(|(net, (_, stale))| *stale && of(Far::family(net)));
        for net in gone.map(|(net, _)| *net).collect::<Vec<_>>() {
            self.table.remove(&net);
            self.saw.push(Saw::Dropped(net));
        }
    }

    /// The session is over. Routes are kept where both sides said so, over a NOTIFICATION too where both have the bit
    /// of RFC 8538 and it was no hard reset.
    pub fn ended(&mut self, told: Option<Notification>) {
        if !self.established {
            self.saw.push(Saw::Ended(told));
            return;
        }
        let bit = |open: &Open| {
            open.capabilities.graceful_restart.is_some_and(|graceful| graceful.notification_support)
        };
        let both = bit(&self.open) && self.theirs.as_ref().is_some_and(bit);
        let kept = told.as_ref().is_none_or(|told| both && !told.hard_reset);
        let keeps = self.kept_families(false).map(|family| family && kept);
        self.table.values_mut().for_each(|(_, stale)| *stale = true);
        self.saw.push(Saw::Ended(told));
        self.drop_stale(|family| !keeps[family]);
        self.established = false;
    }

    /// The time for which routes are kept is over.
    pub fn restart_time_over(&mut self) {
        self.drop_stale(|_| true);
    }
}
