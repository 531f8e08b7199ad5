//! The decisions of one instance for all its addresses.
//!
//! `target` determines the target level of an address and `moves` when the address may move there. `drain` withdraws
//! all addresses for good, and `routes` builds the routes to announce to peers.

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

/// The window of the cap on changes, in seconds.
pub const CHANGE_CAP_WINDOW: f64 = 60.0;
/// The largest number of events that are kept for the host: one for each of the 256 addresses that a service file may
/// contain. Further events are dropped.
const MAX_EVENTS: usize = 256;
/// The largest number of remembered changes of one address: more than any cap that a service file may set.
const MAX_CHANGES: usize = 1024;

/// A level and the reason for it.
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

/// A move to `level` that waits until `due` because of the jitter.
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
    /// When the address moved to its level.
    since: f64,
    pending: Option<PendingMove>,
    penalty: Penalty,
    /// The times at which the level changed, oldest first.
    changes: VecDeque<f64>,
    /// Since when no path of another instance has been seen; `None` if there is one, or no session that would show it.
    alone_since: Option<f64>,
    /// Since when all checks that withdraw have passed; `None` if one fails.
    healthy_since: Option<f64>,
    /// Whether the address has been announced at any level since the start.
    started: bool,
    /// What has held a move back since the last move, so that it is reported once.
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

/// A move of an address, or a move that was held back, for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct AddressEvent {
    /// The address.
    pub prefix: IpNet,
    /// The level of the address after the event.
    pub level: Level,
    /// The reason for that level.
    pub reason: Reason,
    /// The number of paths of other instances at that time that are not known to be unhealthy; 0 during a drain.
    pub healthy_paths: usize,
    /// The number of all paths of other instances at that time; 0 during a drain.
    pub total_paths: usize,
    /// What held the move back; `None` if the address moved.
    pub suppressed_by: Option<SuppressedBy>,
}

/// The state of one address, for the operator.
#[derive(Clone, Debug, PartialEq)]
pub struct AddressStatus {
    /// The address.
    pub prefix: IpNet,
    /// The current level of the address.
    pub level: Level,
    /// The reason for that level.
    pub reason: Reason,
    /// When the address moved to that level.
    pub since: f64,
    /// What has held a move back since then; `None` if nothing has.
    pub suppressed_by: Option<SuppressedBy>,
}

/// The decisions of one instance for all its addresses.
#[derive(Clone, Debug)]
pub struct Announcer {
    config: AnnouncerConfig,
    seed: u64,
    /// The number of random values drawn so far.
    random_draws: u64,
    /// The state of each check, indexed by [`HealthCheck`].
    checks: [CheckState; HealthCheck::COUNT],
    addresses: Vec<Address>,
    /// When the next reading is due.
    next_check: f64,
    drain: Option<Drain>,
    events: VecDeque<AddressEvent>,
    /// The number of moves of addresses.
    pub changes: u64,
    /// The number of moves that the guard of the last announcer held back, each counted once.
    pub guarded: u64,
    /// The number of moves that damping held back, each counted once.
    pub damped: u64,
    /// The number of moves that the cap on changes held back, each counted once.
    pub capped: u64,
}

impl Announcer {
    /// Creates an announcer for the configured addresses, which are all withdrawn at first. The jitter is derived from
    /// `seed`.
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

    /// Applies a new configuration: addresses that were configured before keep their state, new ones start withdrawn.
    /// Once a drain has begun, no configuration announces a withdrawn address.
    pub fn reconfigure(&mut self, config: AnnouncerConfig, now: f64) {
        let previous = std::mem::take(&mut self.addresses);
        for prefix in &config.addresses {
            let address = match previous.iter().find(|address| address.prefix == *prefix) {
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

    /// The latest time at which [`Announcer::update`] has to be called; infinite once a drain has withdrawn all
    /// addresses.
    pub fn due(&self) -> f64 {
        match self.drain {
            Some(drain) if self.addresses.iter().any(|address| address.level > Level::Withdrawn) => {
                drain.withdraws_at
            }
            Some(_) => f64::INFINITY,
            None => self.next_check,
        }
    }

    /// Runs the checks if a reading is due, and makes the moves that are due. Returns whether an address moved.
    pub fn update(&mut self, now: f64, readings: &Readings, paths: &Paths) -> bool {
        let changes_before = self.changes;
        if self.drain.is_some() {
            self.end_lead(now);
        } else if now >= self.next_check {
            self.next_check = now + self.config.check_interval;
            self.run_checks(now, readings);
            for index in 0..self.addresses.len() {
                self.update_address(index, now, paths);
            }
        }
        self.changes > changes_before
    }

    fn run_checks(&mut self, now: f64, readings: &Readings) {
        for check in HealthCheck::ALL {
            let config = &self.config.checks[check as usize];
            if let Some(passes) = readings.passes(check, config) {
                self.checks[check as usize].update(passes, now, config);
            }
        }
    }

    /// Draws a time from 0 to `max`, derived from the seed.
    fn draw(&mut self, max: f64) -> f64 {
        self.random_draws += 1;
        let mut hasher = DefaultHasher::new();
        (self.seed, self.random_draws).hash(&mut hasher);
        max * (hasher.finish() as f64 / u64::MAX as f64)
    }

    /// Moves an address to a level.
    fn move_to(&mut self, index: usize, standing: Standing, now: f64, others: PathCounts) {
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

    /// Queues an event for the log, unless the queue is full.
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

    /// Takes the next event for the log.
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
