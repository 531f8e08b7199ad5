//! The decisions of one instance for all its addresses.
//!
//! `target` says which level an address ought to have, `moves` when it may go there, `drain` withdraws all for good, and
//! `routes` is what is announced to peers.

mod drain;
mod moves;
mod routes;
mod target;

pub use drain::Drain;

use crate::config::AnnouncerConfig;
use crate::damping::Penalty;
use crate::health::{CheckState, HealthCheck, Readings};
use crate::level::{Level, Reason, SuppressedBy};
use crate::paths::{PathCounts, Paths};
use ipnet::IpNet;
use std::collections::VecDeque;
use std::hash::{DefaultHasher, Hash, Hasher};

/// Seconds: the window of the cap on changes.
pub const CHANGE_CAP_WINDOW: f64 = 60.0;
/// Events kept until the host takes them: one for each of the 256 addresses that a service file may hold.
const MAX_EVENTS: usize = 256;
/// Changes of one address that are remembered: more than any cap a service file may set.
const MAX_CHANGES: usize = 1024;

/// A level with its reason.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Standing {
    level: Level,
    reason: Reason,
}

impl Standing {
    fn new(level: Level, reason: Reason) -> Standing {
        Standing { level, reason }
    }
}

/// A move that waits for its jitter to pass.
#[derive(Clone, Copy, Debug, PartialEq)]
struct PendingMove {
    level: Level,
    due: f64,
}

/// One service address.
#[derive(Clone, Debug)]
struct Address {
    prefix: IpNet,
    level: Level,
    reason: Reason,
    since: f64,
    pending: Option<PendingMove>,
    penalty: Penalty,
    /// When it changed, oldest first.
    changes: VecDeque<f64>,
    /// Since when no other path was seen at all.
    alone_since: Option<f64>,
    /// Since when no check that withdraws has failed.
    healthy_since: Option<f64>,
    /// It has been out since the start.
    started: bool,
    /// What holds a move back, reported once.
    suppressed_by: Option<SuppressedBy>,
}

impl Address {
    fn new(prefix: IpNet, now: f64) -> Address {
        Address {
            prefix,
            level: Level::Withdrawn,
            reason: Reason::Starting,
            since: now,
            pending: None,
            penalty: Penalty::default(),
            changes: VecDeque::new(),
            alone_since: None,
            healthy_since: None,
            started: false,
            suppressed_by: None,
        }
    }
}

/// A move of an address, or one that was held back, for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct AddressEvent {
    /// The address.
    pub prefix: IpNet,
    /// The level that it has now.
    pub level: Level,
    /// Why it has that level.
    pub reason: Reason,
    /// Paths of other instances that were seen then and are not known to be unhealthy.
    pub healthy_paths: usize,
    /// All paths of other instances that were seen then.
    pub total_paths: usize,
    /// What held the move back; `None` where the address moved.
    pub suppressed_by: Option<SuppressedBy>,
}

/// The state of one address, for the operator.
#[derive(Clone, Debug, PartialEq)]
pub struct AddressStatus {
    /// The address.
    pub prefix: IpNet,
    /// The level that it has now.
    pub level: Level,
    /// Why it has that level.
    pub reason: Reason,
    /// When it moved there.
    pub since: f64,
    /// What has held a move back since then.
    pub suppressed_by: Option<SuppressedBy>,
}

/// The decisions of one instance for all its addresses.
#[derive(Clone, Debug)]
pub struct Announcer {
    config: AnnouncerConfig,
    seed: u64,
    random_draws: u64,
    /// By [`HealthCheck`].
    checks: [CheckState; HealthCheck::COUNT],
    addresses: Vec<Address>,
    /// When the next reading is due.
    next_check: f64,
    drain: Option<Drain>,
    events: VecDeque<AddressEvent>,
    /// Moves of addresses.
    pub changes: u64,
    /// Moves that the guard of the last announcer held back, each counted once.
    pub guarded: u64,
    /// Moves that damping held back, each counted once.
    pub damped: u64,
    /// Moves that the cap on changes held back, each counted once.
    pub capped: u64,
}

impl Announcer {
    /// Decides for the addresses of this configuration, all withdrawn at first. Jitter is drawn from `seed`.
    pub fn new(config: AnnouncerConfig, seed: u64, now: f64) -> Announcer {
        let addresses = config.addresses.iter().map(|prefix| Address::new(*prefix, now)).collect();
        Announcer {
            checks: [CheckState::new(now); HealthCheck::COUNT],
            addresses,
            config,
            seed,
            random_draws: 0,
            next_check: now,
            drain: None,
            events: VecDeque::new(),
            changes: 0,
            guarded: 0,
            damped: 0,
            capped: 0,
        }
    }

    /// The configuration in force.
    pub fn config(&self) -> &AnnouncerConfig {
        &self.config
    }

    /// Another configuration while running: addresses that stay keep their state, new ones start. After a drain began nothing can
    /// bring one back: there is no address left to announce.
    pub fn reconfigure(&mut self, config: AnnouncerConfig, now: f64) {
        let known = std::mem::take(&mut self.addresses);
        for prefix in &config.addresses {
            let address = match known.iter().find(|address| address.prefix == *prefix) {
                Some(address) => address.clone(),
                None if self.drain.is_some() => {
                    Address { reason: Reason::Drained, ..Address::new(*prefix, now) }
                }
                None => Address::new(*prefix, now),
            };
            self.addresses.push(address);
        }
        if let Some(drain) = &mut self.drain {
            drain.shorten(config.shutdown_lead);
        }
        self.config = config;
        self.next_check = now;
    }

    /// When [`Announcer::update`] is to be called at the latest.
    pub fn due(&self) -> f64 {
        match self.drain {
            Some(drain) if self.addresses.iter().any(|address| address.level > Level::Withdrawn) => {
                drain.withdraws_at
            }
            Some(_) => f64::INFINITY,
            None => self.next_check,
        }
    }

    /// Runs the checks if a reading is due, and moves what may move. Tells whether anything did.
    pub fn update(&mut self, now: f64, readings: &Readings, paths: &Paths) -> bool {
        let before = self.changes;
        if self.drain.is_some() {
            self.end_lead(now);
        } else if now >= self.next_check {
            self.next_check = now + self.config.check_interval;
            self.run_checks(now, readings);
            for index in 0..self.addresses.len() {
                self.consider(index, now, paths);
            }
        }
        self.changes > before
    }

    fn run_checks(&mut self, now: f64, readings: &Readings) {
        for check in HealthCheck::ALL {
            let config = &self.config.checks[check as usize];
            if let Some(passes) = readings.passes(check, config) {
                self.checks[check as usize].update(passes, now, config);
            }
        }
    }

    /// A time from nothing to `most`, from the seed.
    fn draw(&mut self, most: f64) -> f64 {
        self.random_draws += 1;
        let mut hasher = DefaultHasher::new();
        (self.seed, self.random_draws).hash(&mut hasher);
        most * (hasher.finish() as f64 / u64::MAX as f64)
    }

    /// Moves an address.
    fn set(&mut self, index: usize, standing: Standing, now: f64, others: PathCounts) {
        let address = &mut self.addresses[index];
        (address.level, address.reason, address.since) = (standing.level, standing.reason, now);
        address.started |= standing.level > Level::Withdrawn;
        (address.pending, address.suppressed_by) = (None, None);
        address.changes.push_back(now);
        if address.changes.len() > MAX_CHANGES {
            address.changes.pop_front();
        }
        self.changes += 1;
        self.report(index, others, None);
    }

    fn report(&mut self, index: usize, others: PathCounts, suppressed_by: Option<SuppressedBy>) {
        let address = &mut self.addresses[index];
        address.suppressed_by = suppressed_by.or(address.suppressed_by);
        if self.events.len() < MAX_EVENTS {
            self.events.push_back(AddressEvent {
                prefix: address.prefix,
                level: address.level,
                reason: address.reason,
                healthy_paths: others.healthy,
                total_paths: others.total,
                suppressed_by,
            });
        }
    }

    /// The next event for the log.
    pub fn next_event(&mut self) -> Option<AddressEvent> {
        self.events.pop_front()
    }

    /// The state of each address, in the order of the configuration.
    pub fn statuses(&self) -> impl Iterator<Item = AddressStatus> + '_ {
        self.addresses.iter().map(|address| AddressStatus {
            prefix: address.prefix,
            level: address.level,
            reason: address.reason,
            since: address.since,
            suppressed_by: address.suppressed_by,
        })
    }

    /// The checks that fail now.
    pub fn failing_checks(&self) -> impl Iterator<Item = HealthCheck> + '_ {
        HealthCheck::ALL.into_iter().filter(|check| !self.checks[*check as usize].passing)
    }
}

#[cfg(test)]
mod tests;
