//! The cluster's socket: UDP datagrams to and from the other routers, around `cleatgw-membership`. It decides nothing: it
//! reads, hands over, sends what came of it, and logs what changed.

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

/// Datagrams read in one turn; what is more waits for the next one, or is dropped by the system.
const MAX_RECEIVED_PER_TURN: usize = 64;
/// A lease is requested of every router; what is more than this in one turn is not sent.
const MAX_SENT_PER_TURN: usize = 4096;

/// A cluster file, this router's place in it, and what its incarnation and chance are drawn from.
pub struct JoinedCluster {
    pub file: ClusterFile,
    pub place: usize,
    /// When this incarnation began, in Unix milliseconds.
    pub born: u64,
    pub seed: u64,
}

impl JoinedCluster {
    /// Where this router listens.
    fn address(&self) -> SocketAddr {
        self.file.listen.unwrap_or(self.file.routers[self.place].address)
    }

    /// This router's part of the cluster.
    fn members(&self, now: f64) -> Membership {
        let JoinedCluster { file, place, born, seed } = self;
        let routers = file.routers.len();
        let mut members = Membership::new(file.hash(), routers, *place, *born, &file.pace(), *seed, now);
        let roles: Vec<_> = file.duties.iter().map(|name| role_resource(name)).collect();
        members.set_roles(&roles, now);
        members
    }

    /// The places of the other routers, by their addresses.
    fn places_by_address(&self) -> HashMap<SocketAddr, usize> {
        let routers = self.file.routers.iter().enumerate();
        let others = routers.filter(|(place, _)| *place != self.place);
        others.map(|(place, router)| (router.address, place)).collect()
    }
}

/// What membership counts, as counters of the router.
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
        cluster_other: dropped(DropReason::OtherCluster),
        cluster_wrong_sender: dropped(DropReason::WrongSender),
        cluster_former_incarnation: dropped(DropReason::FormerIncarnation),
        cluster_body: dropped(DropReason::Body),
        cluster_accusations: counts.suspicions_of_others,
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
    readable: bool,
    standing: Standing,
    /// Datagrams from addresses that are no router's, or outside the networks.
    strangers: u64,
    unsent: u64,
    /// What was counted before the file was last read.
    counted_before: Counters,
    /// Which leader roles were held here when that was last looked at, by place in the file.
    held_roles: Vec<bool>,
}

impl ClusterSocket {
    /// Joins a cluster.
    ///
    /// # Errors
    /// Its address can't be listened on.
    pub fn open(handle: &LoopHandle, joined: JoinedCluster, now: f64) -> io::Result<ClusterSocket> {
        let address = joined.address();
        let (token, socket) = bind(handle, address)?;
        let name = joined.file.name.as_str();
        let routers = joined.file.routers.len();
        log::info!(
            cluster = name, routers = routers, address:% = address;
            "cluster {name}: one of {routers} routers, hears on {address}"
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
            strangers: 0,
            unsent: 0,
            counted_before: Counters::default(),
            held_roles: Vec::new(),
        })
    }

    /// Takes a new file. A list that is as it was changes only addresses and pace; another one is another cluster, which
    /// this router enters in a new incarnation.
    pub fn change(&mut self, mut joined: JoinedCluster, now: f64) {
        if joined.file == self.joined.file {
            return;
        }
        joined.born = joined.born.max(self.members.members()[self.joined.place].generation + 1);
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
        // Leader roles are released under the old file: the new one may be another cluster.
        self.members.set_roles(&[], now);
        self.turn(now);
        self.counted_before.add(&counters_of(&self.members));
        self.members = joined.members(now);
        self.places_by_address = joined.places_by_address();
        let routers = joined.file.routers.len();
        log::info!(routers = routers; "cluster file taken: {routers} routers");
        self.joined = joined;
        self.standing = Standing::JustStarted;
    }

    /// Reads what has come, as far as one turn goes.
    pub fn ready(&mut self, now: f64) {
        self.readable = true;
        let mut bytes = [0; MAX_DATAGRAM + 1];
        for _ in 0..MAX_RECEIVED_PER_TURN {
            let (length, from) = match self.socket.recv_from(&mut bytes) {
                Ok(received) => received,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    self.readable = false;
                    return;
                }
                // One of ours could not be delivered: the failure detector finds that out by itself.
                Err(_) => continue,
            };
            let Some(router) = self.sender(from) else {
                self.strangers += 1;
                continue;
            };
            let members = &mut self.members;
            let taken = catch_panic("a datagram of the cluster", || {
                members.receive_datagram(router, &bytes[..length], now)
            });
            if taken.is_none() {
                return;
            }
        }
    }

    /// The router at an address, if it is within the networks.
    fn sender(&self, address: SocketAddr) -> Option<usize> {
        let is_near = self.joined.file.networks.iter().any(|network| network.contains(&address.ip()));
        self.places_by_address.get(&address).copied().filter(|_| is_near)
    }

    /// More waits than one turn read.
    pub fn is_unfinished(&self) -> bool {
        self.readable
    }

    /// Does all that is due, and sends what came of it.
    pub fn turn(&mut self, now: f64) {
        self.members.turn(now);
        for (to, bytes) in self.members.take_outgoing().into_iter().take(MAX_SENT_PER_TURN) {
            let to = self.joined.file.routers[usize::from(to)].address;
            self.unsent += u64::from(self.socket.send_to(&bytes, to).is_err());
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

    /// Logs which leader roles are held here from now on, and which are no longer.
    fn log_role_changes(&mut self, now: f64) {
        self.held_roles.resize(self.joined.file.duties.len(), false);
        for (place, name) in self.joined.file.duties.iter().enumerate() {
            let status = self.members.role_status(role_resource(name), now);
            let holds = matches!(status, RoleStatus::Held { .. });
            let held = std::mem::replace(&mut self.held_roles[place], holds);
            match (held, status) {
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

    /// A row for each leader role: whose it is, and under which epoch until when if it is held here. `unix` is the Unix time of
    /// this turn in seconds, which the row tells.
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

    /// Sets the epoch of this router's store that others are to be shown.
    pub fn set_store_epoch(&mut self, epoch: u64) {
        self.members.set_store_epoch(epoch);
    }

    /// The latest epoch of this router's store that others say they were shown.
    pub fn store_epoch_seen(&self) -> Option<u64> {
        self.members.store_epoch_seen_by_peers()
    }

    /// When its next turn is due, on the monotonic clock.
    pub fn due(&self) -> f64 {
        self.members.due()
    }

    /// This router leaves by plan, which others are told at once.
    pub fn leave(&mut self, now: f64) {
        self.members.leave(now);
        self.turn(now);
    }

    /// Sets what this router has seen of engines, for others; nothing where the file says so.
    pub fn set_observations(&mut self, observations: Vec<Observation>) {
        if self.joined.file.tell_of_engines {
            self.members.set_observations(observations);
        }
    }

    /// What others report of an engine.
    pub fn peer_evidence(&self, engine: &EngineIncarnation, now: f64) -> PeerEvidence {
        if self.joined.file.tell_of_engines {
            self.members.evidence_on(engine, now)
        } else {
            PeerEvidence::default()
        }
    }

    pub fn counters(&self) -> Counters {
        let mut counters = counters_of(&self.members);
        counters.add(&self.counted_before);
        Counters { cluster_strangers: self.strangers, cluster_unsent: self.unsent, ..counters }
    }

    /// A row for the cluster and one for each router: what, its state, and on what evidence.
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

/// How long ago something was, in words.
fn ago(at: f64, now: f64) -> String {
    if at.is_finite() {
        format!("{:.1} s ago", (now - at).max(0.0))
    } else {
        "never".to_string()
    }
}
