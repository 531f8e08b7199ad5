//! The cluster's socket: exchanges the UDP datagrams of `cleatgw-membership` with the other routers. It makes no
//! decisions itself: it passes received datagrams on, sends the resulting ones, and logs changes.

use super::event_source::{watch, EventSource, LoopHandle};
use super::panic_guard::catch_panic;
use crate::routing::Counters;
use crate::status_row::StatusRow;
use calloop::RegistrationToken;
use cleatgw_membership::digest::{EngineIncarnation, Observation, PeerEvidence};
use cleatgw_membership::leader::{role_resource, RoleStatus};
use cleatgw_membership::view::Standing;
use cleatgw_membership::wire::{DropReason, MAX_DATAGRAM};
use cleatgw_membership::{Member, Membership};
use cleatgw_operator_config::ClusterFile;
use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;

/// Datagrams read in one turn of the event loop. Further ones wait for the next turn, or are dropped by the system.
const MAX_RECEIVED_PER_TURN: usize = 64;
/// Datagrams sent in one turn; further ones are dropped. The limit is high because a lease is requested from every
/// router.
const MAX_SENT_PER_TURN: usize = 4096;

/// A cluster file and what this router needs to join the cluster as a member.
pub struct JoinedCluster {
    pub file: ClusterFile,
    /// The index of this router in the file's list of routers.
    pub place: usize,
    /// The number of this incarnation, larger than those of earlier ones: the Unix milliseconds at which it began.
    pub generation: u64,
    /// Initialises the random numbers of the membership protocol.
    pub seed: u64,
}

impl JoinedCluster {
    /// The address on which this router listens.
    fn address(&self) -> SocketAddr {
        self.file.listen.unwrap_or(self.file.routers[self.place].address)
    }

    /// The membership state of a router that has just joined, with the leader roles of the file.
    fn members(&self, now: f64) -> Membership {
        let JoinedCluster { file, place, generation, seed } = self;
        let routers = file.routers.len();
        let mut members =
            Membership::new(file.hash(), routers, *place, *generation, &file.detector_settings(), *seed, now);
        let roles: Vec<_> = file.duties.iter().map(|name| role_resource(name)).collect();
        members.set_roles(&roles, now);
        members
    }

    /// The indexes of the other routers in the file, by address.
    fn places_by_address(&self) -> HashMap<SocketAddr, usize> {
        let routers = self.file.routers.iter().enumerate();
        let others = routers.filter(|(place, _)| *place != self.place);
        others.map(|(place, router)| (router.address, place)).collect()
    }
}

/// Converts the counters of the membership protocol to counters of the router.
fn counters_of(members: &Membership) -> Counters {
    let counts = members.counters();
    let dropped = |reason: DropReason| counts.dropped.get(&reason).copied().unwrap_or(0);
    Counters {
        cluster_in: counts.received,
        cluster_out: counts.sent,
        cluster_out_bytes: counts.sent_bytes,
        cluster_too_long: dropped(DropReason::TooLong),
        cluster_noise: dropped(DropReason::Noise),
        cluster_version: dropped(DropReason::Version),
        cluster_other_cluster: dropped(DropReason::OtherCluster),
        cluster_wrong_sender: dropped(DropReason::WrongSender),
        cluster_former_incarnation: dropped(DropReason::FormerIncarnation),
        cluster_body: dropped(DropReason::Body),
        cluster_suspicions: counts.suspicions_of_others,
        cluster_refutations: counts.refutations,
        cluster_new_incarnations: counts.new_incarnations,
        cluster_contradicted: counts.contradicted,
        cluster_pauses: counts.pauses,
        ..Counters::default()
    }
}

fn bind(handle: &LoopHandle, address: SocketAddr) -> io::Result<(RegistrationToken, Rc<UdpSocket>)> {
    let socket = UdpSocket::bind(address)?;
    socket.set_nonblocking(true)?;
    let socket = Rc::new(socket);
    Ok((watch(handle, socket.clone(), EventSource::Cluster)?, socket))
}

pub struct ClusterSocket {
    handle: LoopHandle,
    token: RegistrationToken,
    socket: Rc<UdpSocket>,
    joined: JoinedCluster,
    members: Membership,
    places_by_address: HashMap<SocketAddr, usize>,
    /// Whether the socket may hold datagrams that were not read yet.
    readable: bool,
    /// How the cluster stood when that was last logged.
    standing: Standing,
    /// Datagrams from addresses that are not a router's or are outside the file's networks.
    unknown_senders: u64,
    /// Datagrams that the system refused to send.
    failed_sends: u64,
    /// The sum of the counters of all membership states that were replaced by new cluster files.
    previous_counters: Counters,
    /// Whether each leader role was held here when that was last logged, by its index in the file.
    held_roles: Vec<bool>,
}

impl ClusterSocket {
    /// Joins a cluster.
    ///
    /// # Errors
    /// This router's address in the cluster file can't be listened on.
    pub fn open(handle: &LoopHandle, joined: JoinedCluster, now: f64) -> io::Result<ClusterSocket> {
        let address = joined.address();
        let (token, socket) = bind(handle, address)?;
        let name = joined.file.name.as_str();
        let routers = joined.file.routers.len();
        log::info!(
            cluster = name, routers = routers, address:% = address;
            "cluster {name}: one of {routers} routers, listening on {address}"
        );
        Ok(ClusterSocket {
            handle: handle.clone(),
            token,
            socket,
            members: joined.members(now),
            places_by_address: joined.places_by_address(),
            joined,
            readable: false,
            standing: Standing::JustStarted,
            unknown_senders: 0,
            failed_sends: 0,
            previous_counters: Counters::default(),
            held_roles: Vec::new(),
        })
    }

    /// Applies a new cluster file. If the list of routers is unchanged, only addresses and the pace of the protocol
    /// change; a different list is a different cluster. In both cases this router joins under a new incarnation.
    pub fn reconfigure(&mut self, mut joined: JoinedCluster, now: f64) {
        if joined.file == self.joined.file {
            return;
        }
        // The new incarnation must be later than the present one, even if the clock was set back.
        joined.generation = joined.generation.max(self.members.members()[self.joined.place].generation + 1);
        let address = joined.address();
        if address != self.joined.address() {
            match bind(&self.handle, address) {
                Ok((token, socket)) => {
                    self.handle.remove(std::mem::replace(&mut self.token, token));
                    self.socket = socket;
                }
                Err(error) => {
                    log::warn!("the cluster file is not applied, the running one stays in effect: {address}: {error}");
                    return;
                }
            }
        }
        // Leader roles are released under the old file, because the new file may describe a different cluster.
        self.members.set_roles(&[], now);
        self.turn(now);
        self.previous_counters.add(&counters_of(&self.members));
        self.members = joined.members(now);
        self.places_by_address = joined.places_by_address();
        let routers = joined.file.routers.len();
        log::info!(routers = routers; "cluster file applied: {routers} routers");
        self.joined = joined;
        self.standing = Standing::JustStarted;
    }

    /// Reads datagrams that the event loop has reported, up to the limit of one turn.
    pub fn receive(&mut self, now: f64) {
        self.readable = true;
        let mut bytes = [0; MAX_DATAGRAM + 1];
        for _ in 0..MAX_RECEIVED_PER_TURN {
            let (length, from) = match self.socket.recv_from(&mut bytes) {
                Ok(received) => received,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    self.readable = false;
                    return;
                }
                // The system reports that a datagram of this router could not be delivered; the failure detector
                // notices that by itself.
                Err(_) => continue,
            };
            let Some(router) = self.sender(from) else {
                self.unknown_senders += 1;
                continue;
            };
            let members = &mut self.members;
            let outcome = catch_panic("a datagram of the cluster", || {
                members.receive_datagram(router, &bytes[..length], now)
            });
            // After a panic the remaining datagrams are left for the next turn.
            if outcome.is_none() {
                return;
            }
        }
    }

    /// The index of the router with this address, if the address is within the file's networks.
    fn sender(&self, address: SocketAddr) -> Option<usize> {
        let is_in_networks = self.joined.file.networks.iter().any(|network| network.contains(&address.ip()));
        self.places_by_address.get(&address).copied().filter(|_| is_in_networks)
    }

    /// Whether the socket may hold more datagrams than were read in this turn.
    pub fn is_unfinished(&self) -> bool {
        self.readable
    }

    /// Runs one turn of the membership protocol: performs what is due, sends the resulting datagrams, and logs changes.
    pub fn turn(&mut self, now: f64) {
        self.members.turn(now);
        for (to, bytes) in self.members.take_outgoing().into_iter().take(MAX_SENT_PER_TURN) {
            let to = self.joined.file.routers[usize::from(to)].address;
            self.failed_sends += u64::from(self.socket.send_to(&bytes, to).is_err());
        }
        self.log_role_changes(now);
        self.log_member_changes();
        self.log_standing(now);
    }

    fn log_member_changes(&mut self) {
        for change in self.members.take_changes() {
            let name = self.joined.file.routers[change.router].name.as_str();
            let from = change.from.as_str();
            let to = change.to.as_str();
            log::info!(
                router = name, from = from, to = to, born = change.generation, heard_ago = change.heard_ago;
                "router {name} is {to}, was {from}"
            );
        }
    }

    fn log_standing(&mut self, now: f64) {
        let standing = self.members.standing();
        if std::mem::replace(&mut self.standing, standing) == standing {
            return;
        }
        let count = self.members.view_inputs(now);
        let word = standing.as_str();
        let present = count.present;
        let expected = count.expected;
        let level = if self.members.permissions().warns { log::Level::Warn } else { log::Level::Info };
        log::log!(
            level, standing = word, present = present, expected = expected;
            "cluster: {word}, {present} of {expected} routers present"
        );
    }

    /// Logs each leader role that this router has come to hold or no longer holds.
    fn log_role_changes(&mut self, now: f64) {
        self.held_roles.resize(self.joined.file.duties.len(), false);
        for (place, name) in self.joined.file.duties.iter().enumerate() {
            let status = self.members.role_status(role_resource(name), now);
            let is_held = matches!(status, RoleStatus::Held { .. });
            let was_held = std::mem::replace(&mut self.held_roles[place], is_held);
            match (was_held, status) {
                (false, RoleStatus::Held { epoch, .. }) => {
                    log::info!(role = name.as_str(), epoch = epoch; "leader role {name} is held here, epoch {epoch}");
                }
                (true, RoleStatus::HeldBy(_) | RoleStatus::Unknown) => {
                    log::info!(role = name.as_str(); "leader role {name} is no longer held here");
                }
                _ => {}
            }
        }
    }

    /// A status row for each leader role: its holder and, if this router holds it, the epoch and the remaining time of
    /// the lease. `unix` is the current Unix time in seconds, which the row states.
    pub fn roles(&self, now: f64, unix: f64) -> Vec<StatusRow> {
        let row = |name: &String| {
            let subject = format!("duty {name}");
            match self.members.role_status(role_resource(name), now) {
                RoleStatus::Held { epoch, remaining } => {
                    let detail = format!("epoch {epoch} at {unix:.6} for {remaining:.3} s");
                    StatusRow::new(subject, "ours", detail)
                }
                RoleStatus::HeldBy(router) => {
                    let holder = self.joined.file.routers.get(usize::from(router));
                    let holder = holder.map_or("another", |router| router.name.as_str());
                    StatusRow::new(subject, format!("held by {holder}"), "by this router's own grant")
                }
                RoleStatus::Unknown => {
                    StatusRow::new(subject, "not known", "not granted by this router of late")
                }
            }
        };
        self.joined.file.duties.iter().map(row).collect()
    }

    /// Sets the epoch of this router's store, which is sent to the other routers.
    pub fn set_store_epoch(&mut self, epoch: u64) {
        self.members.set_store_epoch(epoch);
    }

    /// The latest epoch of this router's store that other routers report to have received; absent if none has reported
    /// one.
    pub fn store_epoch_seen(&self) -> Option<u64> {
        self.members.store_epoch_seen_by_peers()
    }

    /// When the next turn is due, on the monotonic clock in seconds.
    pub fn due(&self) -> f64 {
        self.members.due()
    }

    /// Leaves the cluster as part of a planned stop, and notifies the other routers at once.
    pub fn leave(&mut self, now: f64) {
        self.members.leave(now);
        self.turn(now);
    }

    /// Sets this router's observations of engines, which are sent to the other routers unless the file turns that off.
    pub fn set_observations(&mut self, observations: Vec<Observation>) {
        if self.joined.file.tell_of_engines {
            self.members.set_observations(observations);
        }
    }

    /// What other routers report about an engine; empty if the file turns such reports off.
    pub fn peer_evidence(&self, engine: &EngineIncarnation, now: f64) -> PeerEvidence {
        if self.joined.file.tell_of_engines {
            self.members.evidence_on(engine, now)
        } else {
            PeerEvidence::default()
        }
    }

    pub fn counters(&self) -> Counters {
        let mut counters = counters_of(&self.members);
        counters.add(&self.previous_counters);
        Counters {
            cluster_unknown_senders: self.unknown_senders,
            cluster_unsent: self.failed_sends,
            ..counters
        }
    }

    /// A status row for the cluster and one for each router: the name, the state, and the evidence for the state.
    pub fn status(&self, now: f64) -> Vec<StatusRow> {
        let mut rows = vec![self.cluster_row(now)];
        for (place, member) in self.members.members().iter().enumerate() {
            rows.push(self.router_row(place, member, now));
        }
        rows
    }

    fn cluster_row(&self, now: f64) -> StatusRow {
        let count = self.members.view_inputs(now);
        let detail = format!(
            "{} of {} present, {} count otherwise, own health {}",
            count.present,
            count.expected,
            count.disagreeing,
            self.members.local_health_score()
        );
        StatusRow::new(format!("cluster {}", self.joined.file.name), self.members.standing().as_str(), detail)
    }

    fn router_row(&self, place: usize, member: &Member, now: f64) -> StatusRow {
        let detail = if place == self.joined.place {
            format!("this one, life {}", member.generation)
        } else {
            format!(
                "since {}, life {}, heard {}, hears us {}",
                ago(member.state_since, now),
                member.generation,
                ago(member.heard_at, now),
                ago(member.heard_us_at, now)
            )
        };
        StatusRow::new(
            format!("router {}", self.joined.file.routers[place].name),
            member.state.as_str(),
            detail,
        )
    }
}

/// Formats how long ago a time was. A time that is not finite stands for an event that has not happened.
fn ago(at: f64, now: f64) -> String {
    if at.is_finite() {
        format!("{:.1} s ago", (now - at).max(0.0))
    } else {
        "never".to_string()
    }
}
