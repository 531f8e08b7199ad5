//! Relays of the datagrams between routers, one for each pair. Each end of a pair knows the other by its side of the
//! relay, so the cluster files of the routers differ in addresses. A router can be cut off from all others.

use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

pub struct Relays {
    /// For each router: where it listens, and at which address it reaches each other one.
    pub listens: Vec<SocketAddr>,
    pub reached_at: Vec<Vec<SocketAddr>>,
    cut_off: Arc<Vec<AtomicBool>>,
}

impl Relays {
    pub fn start(listens: Vec<SocketAddr>) -> Relays {
        let count = listens.len();
        let cut_off: Arc<Vec<AtomicBool>> = Arc::new((0..count).map(|_| AtomicBool::new(false)).collect());
        let mut reached_at = vec![listens.clone(); count];
        for one in 0..count {
            for other in one + 1..count {
                // `one` sends to the first socket what is meant for `other`, and gets from it what `other` sends.
                let sides =
                    [UdpSocket::bind("127.0.0.1:0").unwrap(), UdpSocket::bind("127.0.0.1:0").unwrap()];
                reached_at[one][other] = sides[0].local_addr().unwrap();
                reached_at[other][one] = sides[1].local_addr().unwrap();
                for (from, to) in [(0, 1), (1, 0)] {
                    let (from, to) = (sides[from].try_clone().unwrap(), sides[to].try_clone().unwrap());
                    let receiver =
                        if to.local_addr().unwrap() == reached_at[other][one] { other } else { one };
                    let address = listens[receiver];
                    let cut_off = cut_off.clone();
                    std::thread::spawn(move || {
                        let mut bytes = [0; 2048];
                        while let Ok((length, _)) = from.recv_from(&mut bytes) {
                            let is_cut = |router: usize| cut_off[router].load(Ordering::SeqCst);
                            if !is_cut(one) && !is_cut(other) {
                                let _ = to.send_to(&bytes[..length], address);
                            }
                        }
                    });
                }
            }
        }
        Relays { listens, reached_at, cut_off }
    }

    /// Cuts a router off from all others, or ends that.
    pub fn cut(&self, router: usize, is_cut: bool) {
        self.cut_off[router].store(is_cut, Ordering::SeqCst);
    }
}
