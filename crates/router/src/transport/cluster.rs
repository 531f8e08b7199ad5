//! The cluster's socket: UDP datagrams to and from the other routers, around `cleatgw-members`. It decides nothing: it
//! reads, hands over, sends what came of it, and says what changed.

use super::{guarded, watch, Handle, Source};
use crate::routing::Counters;
use calloop::RegistrationToken;
use cleatgw_membership::digest::{EngineIncarnation, Observation, PeerEvidence};
use cleatgw_membership::leader::{role_resource, RoleStatus};
use cleatgw_membership::view::Standing;
use cleatgw_membership::wire::{Dropped, MAX_DATAGRAM};
use cleatgw_membership::Members;
use cleatgw_operator_config::ClusterFile;
use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;

/// Datagrams read in one turn; what is more waits for the next one, or is dropped by the system.
const MOST_A_TURN: usize = 64;
/// A lease is asked for of every router; what is more than this in one turn is not sent.
const MOST_OUT: usize = 4096;

/// A cluster file, this router's place in it, and what incarnations and chance are drawn from.
pub struct Joining {
    pub file: ClusterFile,
    pub place: usize,
    /// Unix milliseconds.
    pub born: u64,
    pub seed: u64,
}

pub struct Cluster {
    handle: Handle,
    token: RegistrationToken,
    socket: Rc<UdpSocket>,
    file: ClusterFile,
    members: Members,
    place: usize,
    by_address: HashMap<SocketAddr, usize>,
    readable: bool,
    standing: Standing,
    /// From addresses that are no router's, or outside the networks.
    strangers: u64,
    unsent: u64,
    /// What was counted before the file was last read.
    before: Counters,
    /// The leader roles that were ours when this was last looked at, by place in the file.
    ours: Vec<bool>,
}

/// The part of a file that is `Members`'.
fn members(file: &ClusterFile, place: usize, born: u64, seed: u64, now: f64) -> Members {
    let mut members = Members::new(file.hash(), file.routers.len(), place, born, &file.pace(), seed, now);
    let things: Vec<_> = file.duties.iter().map(|name| role_resource(name)).collect();
    members.take_on(&things, now);
    members
}

fn counted(members: &Members) -> Counters {
    let counts = members.counts();
    let dropped = |why: Dropped| counts.dropped.get(&why).copied().unwrap_or(0);
    Counters {
        cluster_in: counts.received,
        cluster_out: counts.sent,
        cluster_out_bytes: counts.sent_bytes,
        cluster_too_long: dropped(Dropped::TooLong),
        cluster_noise: dropped(Dropped::Noise),
        cluster_version: dropped(Dropped::Version),
        cluster_other: dropped(Dropped::OtherCluster),
        cluster_wrong_sender: dropped(Dropped::WrongSender),
        cluster_former_incarnation: dropped(Dropped::FormerIncarnation),
        cluster_body: dropped(Dropped::Body),
        cluster_accusations: counts.accusations,
        cluster_refutations: counts.refutations,
        cluster_new_incarnations: counts.new_incarnations,
        cluster_contradicted: counts.contradicted,
        cluster_pauses: counts.pauses,
        ..Counters::default()
    }
}

fn open(handle: &Handle, address: SocketAddr) -> io::Result<(RegistrationToken, Rc<UdpSocket>)> {
    let socket = UdpSocket::bind(address)?;
    socket.set_nonblocking(true)?;
    let socket = Rc::new(socket);
    Ok((watch(handle, socket.clone(), Source::Cluster)?, socket))
}

impl Cluster {
    /// # Errors
    /// Its address can't be listened on.
    pub fn open(handle: &Handle, joining: Joining, now: f64) -> io::Result<Cluster> {
        let Joining { file, place, born, seed } = joining;
        let address = file.listen.unwrap_or(file.routers[place].address);
        let (token, socket) = open(handle, address)?;
        let members = members(&file, place, born, seed, now);
        let addresses = file.routers.iter().enumerate().filter(|(at, _)| *at != place);
        let by_address = addresses.map(|(at, router)| (router.address, at)).collect();
        log::info!(cluster = file.name.as_str(), routers = file.routers.len(), address:% = address;
            "cluster {}: one of {} routers, hears on {address}", file.name, file.routers.len());
        Ok(Cluster {
            handle: handle.clone(),
            token,
            socket,
            file,
            members,
            place,
            by_address,
            readable: false,
            standing: Standing::JustStarted,
            strangers: 0,
            unsent: 0,
            before: Counters::default(),
            ours: Vec::new(),
        })
    }

    /// A new file. A list that is as it was changes only addresses and pace; another one is another cluster, which
    /// this router enters in a new incarnation.
    pub fn change(&mut self, joining: Joining, now: f64) {
        if joining.file == self.file {
            return;
        }
        let born = joining.born.max(self.members.members()[self.place].born + 1);
        let was = self.file.listen.unwrap_or(self.file.routers[self.place].address);
        let is = joining.file.listen.unwrap_or(joining.file.routers[joining.place].address);
        if was != is {
            match open(&self.handle, is) {
                Ok((token, socket)) => {
                    self.handle.remove(std::mem::replace(&mut self.token, token));
                    self.socket = socket;
                }
                Err(error) => {
                    return log::warn!("the cluster file is not taken, the running one stands: {is}: {error}")
                }
            }
        }
        // What is held of leader roles is released under the old file: the new one may be another cluster.
        self.members.take_on(&[], now);
        self.turn(now);
        self.before.add(&counted(&self.members));
        let Joining { file, place, seed, .. } = joining;
        self.members = members(&file, place, born, seed, now);
        let addresses = file.routers.iter().enumerate().filter(|(at, _)| *at != place);
        self.by_address = addresses.map(|(at, router)| (router.address, at)).collect();
        log::info!(routers = file.routers.len(); "cluster file taken: {} routers", file.routers.len());
        (self.file, self.place, self.standing) = (file, place, Standing::JustStarted);
    }

    /// Reads what has come, as far as one turn goes.
    pub fn ready(&mut self, now: f64) {
        self.readable = true;
        let mut bytes = [0; MAX_DATAGRAM + 1];
        for _ in 0..MOST_A_TURN {
            let (length, from) = match self.socket.recv_from(&mut bytes) {
                Ok(received) => received,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    self.readable = false;
                    return;
                }
                // One of ours could not be completed: the detector finds that out by itself.
                Err(_) => continue,
            };
            let near = self.file.networks.iter().any(|network| network.contains(&from.ip()));
            let Some(&router) = self.by_address.get(&from).filter(|_| near) else {
                self.strangers += 1;
                continue;
            };
            let members = &mut self.members;
            if guarded("a datagram of the cluster", || members.datagram(router, &bytes[..length], now))
                .is_none()
            {
                return;
            }
        }
    }

    /// More waits than one turn read.
    pub fn unfinished(&self) -> bool {
        self.readable
    }

    pub fn turn(&mut self, now: f64) {
        self.members.turn(now);
        for (to, bytes) in self.members.outgoing().into_iter().take(MOST_OUT) {
            let to = self.file.routers[usize::from(to)].address;
            self.unsent += u64::from(self.socket.send_to(&bytes, to).is_err());
        }
        self.log_role_changes(now);
        for change in self.members.changes() {
            let name = self.file.routers[change.router].name.as_str();
            let (from, to) = (change.from.word(), change.to.word());
            log::info!(router = name, from = from, to = to, born = change.born, heard_ago = change.heard_ago;
                "router {name} is {to}, was {from}");
        }
        let standing = self.members.standing();
        if std::mem::replace(&mut self.standing, standing) != standing {
            let count = self.members.count(now);
            let level = if self.members.allowed().warns { log::Level::Warn } else { log::Level::Info };
            log::log!(level, standing = standing.word(), present = count.present, expected = count.expected;
                "cluster: {}, {} of {} routers present", standing.word(), count.present, count.expected);
        }
    }

    /// Tells of leader roles that are ours from now on, or are no longer.
    fn log_role_changes(&mut self, now: f64) {
        self.ours.resize(self.file.duties.len(), false);
        for (at, name) in self.file.duties.iter().enumerate() {
            let stands = self.members.role_status(role_resource(name), now);
            match (std::mem::replace(&mut self.ours[at], matches!(stands, RoleStatus::Held { .. })), stands) {
                (false, RoleStatus::Held { epoch, .. }) => {
                    log::info!(role = name.as_str(), epoch = epoch; "duty {name} is ours, epoch {epoch}")
                }
                (true, RoleStatus::HeldBy(_) | RoleStatus::Unknown) => {
                    log::info!(role = name.as_str(); "duty {name} is no longer ours")
                }
                _ => {}
            }
        }
    }

    /// A row for each leader role: whose it is, and under which epoch until when if it is ours. `unix` is the Unix time of this
    /// turn in seconds, which the row tells.
    pub fn roles(&self, now: f64, unix: f64) -> Vec<[String; 3]> {
        let row = |name: &String| {
            let stands = self.members.role_status(role_resource(name), now);
            let (state, why) = match stands {
                RoleStatus::Held { epoch, remaining } => {
                    ("ours".to_string(), format!("epoch {epoch} at {unix:.6} for {remaining:.3} s"))
                }
                RoleStatus::HeldBy(router) => {
                    let holder = self.file.routers.get(usize::from(router));
                    let holder = holder.map_or("another", |router| router.name.as_str());
                    (format!("held by {holder}"), "by this router's own grant".to_string())
                }
                RoleStatus::Unknown => {
                    ("not known".to_string(), "not granted by this router of late".to_string())
                }
            };
            [format!("duty {name}"), state, why]
        };
        self.file.duties.iter().map(row).collect()
    }

    /// The epoch of this router's store that others are to be shown, and the latest that they say they were.
    pub fn keeps(&mut self, epoch: u64) {
        self.members.set_store_epoch(epoch);
    }

    pub fn shown(&self) -> Option<u64> {
        self.members.store_epoch_shown()
    }

    pub fn due(&self) -> f64 {
        self.members.due()
    }

    pub fn leave(&mut self, now: f64) {
        self.members.leave(now);
        self.turn(now);
    }

    /// What this router has seen of engines, for others; nothing where the file says so.
    pub fn tell(&mut self, words: Vec<Observation>) {
        if self.file.tell_of_engines {
            self.members.tell(words);
        }
    }

    /// What others say of an engine.
    pub fn said(&self, engine: &EngineIncarnation, now: f64) -> PeerEvidence {
        match self.file.tell_of_engines {
            true => self.members.said(engine, now),
            false => PeerEvidence::default(),
        }
    }

    pub fn counters(&self) -> Counters {
        let mut counters = counted(&self.members);
        counters.add(&self.before);
        Counters { cluster_strangers: self.strangers, cluster_unsent: self.unsent, ..counters }
    }

    /// A row for the cluster and one for each router: what, its state, and on what evidence.
    pub fn status(&self, now: f64) -> Vec<[String; 3]> {
        let count = self.members.count(now);
        let whole = format!(
            "{} of {} present, {} count otherwise, own health {}",
            count.present,
            count.expected,
            count.disagreeing,
            self.members.health()
        );
        let name = format!("cluster {}", self.file.name);
        let mut rows = vec![[name, self.members.standing().word().to_string(), whole]];
        let ago = |at: f64| {
            if at.is_finite() {
                format!("{:.1} s ago", (now - at).max(0.0))
            } else {
                "never".to_string()
            }
        };
        for (at, member) in self.members.members().iter().enumerate() {
            let name = format!("router {}", self.file.routers[at].name);
            let why = match at == self.place {
                true => format!("this one, life {}", member.born),
                false => format!(
                    "since {}, life {}, heard {}, hears us {}",
                    ago(member.since),
                    member.born,
                    ago(member.heard_at),
                    ago(member.hears_us_at)
                ),
            };
            rows.push([name, member.state.word().to_string(), why]);
        }
        rows
    }
}
