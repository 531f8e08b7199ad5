//! A routing peer on loopback: the far end of a session ([`crate::routers::bgp_peer`]) on sockets, with faults on demand. It keeps
//! its table from session to session, and notes each change with its time.

use crate::routers::bgp_peer::{Far, Saw};
use cleatgw_bgp::message;
use cleatgw_bgp::update::{self, AsPathSegment, UpdateContext};
use cleatgw_bgp::{Capabilities, CeaseSubcode, Family, GracefulRestart, Notification, Open, PathAttributes};
use ipnet::IpNet;
use socket2::{Domain, SockRef, Socket, Type};
use std::io::{ErrorKind, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// What it does with connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    Well,
    /// Resets a connection as soon as it is there.
    Resets,
    /// Says nothing.
    Mute,
    /// Answers OPEN and says nothing more.
    HalfOpen,
    /// Reads nothing, from now on.
    Deaf,
}

struct Inner {
    far: Far,
    mode: Mode,
    /// The connection that is open, and its number.
    open: Option<(u64, TcpStream)>,
    next: u64,
    noted: Vec<(Instant, Saw)>,
}

#[derive(Clone)]
pub struct Peering {
    pub address: SocketAddr,
    inner: Arc<Mutex<Inner>>,
}

/// The AS of every such peer, and of the routers that face it.
pub const FAR_AS: u32 = 64_500;
pub const NEAR_AS: u32 = 64_512;

/// How a peer introduces itself; it keeps routes over lost sessions for the ones that ask, if `helps`.
pub fn open(helps: bool) -> Open {
    let graceful =
        GracefulRestart { notification_support: true, restart_time: 0, ..GracefulRestart::default() };
    Open {
        asn: FAR_AS,
        hold_time: 30,
        identifier: Ipv4Addr::new(192, 0, 2, 250),
        capabilities: Capabilities {
            families: [true, true],
            four_octet_as: Some(FAR_AS),
            route_refresh: true,
            enhanced_route_refresh: true,
            graceful_restart: helps.then_some(graceful),
            role: None,
        },
    }
}

impl Peering {
    pub fn start(open: Open) -> Peering {
        Peering::hops_away(open, 64)
    }

    /// One whose packets come with this TTL.
    pub fn hops_away(open: Open, ttl: u32) -> Peering {
        Peering::at(SocketAddr::from(([127, 0, 0, 1], 0)), open, ttl)
    }

    /// One that is reached by IPv6.
    pub fn by_ipv6(open: Open) -> Peering {
        Peering::at(SocketAddr::from((std::net::Ipv6Addr::LOCALHOST, 0)), open, 64)
    }

    fn at(address: SocketAddr, open: Open, ttl: u32) -> Peering {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, None).unwrap();
        socket.bind(&address.into()).unwrap();
        // Small, so that a peer that reads nothing is soon felt.
        socket.set_recv_buffer_size(2048).unwrap();
        if address.is_ipv4() {
            socket.set_ttl_v4(ttl).unwrap();
        }
        socket.listen(16).unwrap();
        let listener = TcpListener::from(socket);
        let inner = Inner { far: Far::new(open), mode: Mode::Well, open: None, next: 0, noted: Vec::new() };
        let peering = Peering { address: listener.local_addr().unwrap(), inner: Arc::new(Mutex::new(inner)) };
        let served = peering.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                served.take(stream);
            }
        });
        peering
    }

    /// Connects to a router that waits for its peers.
    pub fn connect(&self, to: SocketAddr) {
        if let Ok(stream) = TcpStream::connect(to) {
            self.take(stream);
        }
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap()
    }

    fn take(&self, stream: TcpStream) {
        let mut inner = self.inner();
        if inner.mode == Mode::Resets {
            return reset(&stream);
        }
        if let Some((_, old)) = inner.open.take() {
            reset(&old);
            inner.far.ended(None);
        }
        inner.next += 1;
        let number = inner.next;
        inner.open = Some((number, stream.try_clone().unwrap()));
        inner.far.connected();
        if inner.mode == Mode::Mute {
            inner.far.out.clear();
        }
        inner.note();
        inner.flush();
        drop(inner);
        let served = self.clone();
        std::thread::spawn(move || served.serve(stream, number));
    }

    fn serve(&self, mut stream: TcpStream, number: u64) {
        stream.set_read_timeout(Some(Duration::from_millis(5))).unwrap();
        let mut bytes = [0; 4096];
        loop {
            if self.inner().mode == Mode::Deaf {
                std::thread::sleep(Duration::from_millis(5));
                if self.inner().open.as_ref().is_none_or(|open| open.0 != number) {
                    return;
                }
                continue;
            }
            let read = stream.read(&mut bytes);
            let mut inner = self.inner();
            if inner.open.as_ref().is_none_or(|open| open.0 != number) {
                return;
            }
            let goes_on = match read {
                Ok(0) => false,
                Ok(length) => {
                    let before = inner.far.out.len();
                    let goes_on = inner.far.bytes(&bytes[..length]);
                    if matches!(inner.mode, Mode::Mute | Mode::HalfOpen) {
                        inner.far.out.truncate(before);
                    }
                    if !goes_on {
                        inner.open = None;
                        inner.note();
                        return;
                    }
                    true
                }
                Err(error) => matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut),
            };
            if !goes_on {
                inner.open = None;
                inner.far.ended(None);
            }
            inner.note();
            inner.flush();
            if !goes_on {
                return;
            }
        }
    }

    /// What it does from now on, with the connection that is open too.
    pub fn mode(&self, mode: Mode) {
        self.inner().mode = mode;
    }

    /// Resets the connection that is open.
    pub fn reset(&self) {
        let mut inner = self.inner();
        if let Some((_, stream)) = inner.open.take() {
            reset(&stream);
            inner.far.ended(None);
            inner.note();
        }
    }

    /// Ends the session with a Cease.
    pub fn cease(&self) {
        self.say(|out| Notification::cease(CeaseSubcode::AdministrativeShutdown, "flap", false).encode(out));
        let mut inner = self.inner();
        if inner.open.take().is_some() {
            inner.far.ended(None);
            inner.note();
        }
    }

    /// Writes this beside, on the connection that is open.
    pub fn say(&self, write: impl FnOnce(&mut Vec<u8>)) {
        let mut inner = self.inner();
        write(&mut inner.far.out);
        inner.flush();
    }

    /// Shows a path to this address, as an instance with this mark announces it.
    pub fn show(&self, net: IpNet, large: [u32; 3]) {
        let attributes = PathAttributes {
            as_path: vec![AsPathSegment::sequence(vec![FAR_AS, NEAR_AS])],
            next_hop: Some(Ipv4Addr::new(192, 0, 2, 50).into()),
            large_communities: vec![large],
            ..PathAttributes::default()
        };
        let wire = UpdateContext { four_octet_as: true, internal: false };
        self.say(|out| update::announce(out, Family::Ipv4, &[net], &attributes, wire));
    }

    pub fn hide(&self, net: IpNet) {
        self.say(|out| update::withdraw(out, Family::Ipv4, &[net]));
    }

    pub fn keepalive(&self) {
        self.say(message::encode_keepalive);
    }

    pub fn established(&self) -> bool {
        self.inner().far.established
    }

    /// A connection is there, in whatever state.
    pub fn connected(&self) -> bool {
        self.inner().open.is_some()
    }

    /// The routes that it holds, kept ones too.
    pub fn table(&self) -> Vec<(IpNet, PathAttributes)> {
        let inner = self.inner();
        inner.far.table.iter().map(|(net, (attributes, _))| (*net, attributes.clone())).collect()
    }

    /// All that it saw, and when.
    pub fn noted(&self) -> Vec<(Instant, Saw)> {
        self.inner().noted.clone()
    }

    /// Waits until this holds.
    ///
    /// # Panics
    /// If it does not for very long.
    pub fn wait(&self, what: &str, holds: impl Fn(&Peering) -> bool) {
        let end = Instant::now() + crate::stand_ins::GENEROUS;
        while !holds(self) {
            assert!(Instant::now() < end, "{what}: {:?}", self.noted());
            std::thread::sleep(Duration::from_millis(1));
        }
    }
}

fn reset(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
    let _ = stream.shutdown(std::net::Shutdown::Both);
}

impl Inner {
    fn note(&mut self) {
        let now = Instant::now();
        self.noted.extend(self.far.saw.drain(..).map(|saw| (now, saw)));
    }

    fn flush(&mut self) {
        let out = std::mem::take(&mut self.far.out);
        if let Some((_, stream)) = &mut self.open {
            // A router that is gone does not matter here.
            let _ = stream.write_all(&out);
        }
    }
}

/// A service file with short times for these peers, announcing [`SERVICE`]; `more` holds further fields, each with a
/// comma behind it.
pub fn service_file(peers: &[&Peering], more: &str) -> String {
    let peer = |(at, peer): (usize, &&Peering)| {
        format!(
            r#"{{"name":"far-{at}","address":"{}","asn":{FAR_AS},"next_hop_ipv4":"192.0.2.1","hold_s":9,
            "connect_s":1,"connect_retry_s":0.1,"idle_hold_s":0.1,"idle_hold_most_s":0.4}}"#,
            peer.address
        )
    };
    let peers: Vec<String> = peers.iter().enumerate().map(peer).collect();
    format!(
        r#"{{"bgp":{{"asn":{NEAR_AS},"identifier":"192.0.2.1","peers":[{}]}},{more}
        "addresses":["{SERVICE}"],"start_after_s":0.1,"return_after_s":0.2,"stage_s":0.1,"jitter_down_s":0,
        "jitter_up_s":0,"settle_s":0.3,"most_changes_a_minute":60}}"#,
        peers.join(",")
    )
}

/// The address that stand-in routers serve.
pub const SERVICE: &str = "198.51.100.7/32";

pub fn service() -> IpNet {
    SERVICE.parse().expect("a prefix")
}

/// The mark of another instance's path.
pub fn mark(instance: u32, sound: bool) -> [u32; 3] {
    [NEAR_AS, if sound { 1 } else { 2 }, instance]
}
