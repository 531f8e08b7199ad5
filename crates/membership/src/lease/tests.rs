use super::*;

/// Routers on one shared clock. Messages arrive at once, except those from and to the routers in `cut_off`.
struct Cluster {
    now: f64,
    routers: Vec<Leases>,
    cut_off: Vec<u16>,
}

impl Cluster {
    fn new(routers: u16) -> Cluster {
        let routers = (0..routers).map(|me| Leases::new(me, routers.into(), 1000, 0.0)).collect();
        Cluster { now: 10.0, routers, cut_off: Vec::new() }
    }

    fn request(&mut self, router: usize) -> Option<Epoch> {
        self.routers[router].turn(self.now);
        self.routers[router].request(7, self.now);
        self.deliver_all();
        self.held_epoch(router)
    }

    fn deliver_all(&mut self) {
        while let Some((from, to, message)) = self.next_message() {
            let is_delivered = !self.cut_off.contains(&from) && !self.cut_off.contains(&to);
            if is_delivered {
                self.routers[usize::from(to)].receive(from, message, self.now);
            }
        }
    }

    fn next_message(&mut self) -> Option<(u16, u16, Message)> {
        let from = self.routers.iter().position(|router| !router.outgoing.is_empty())?;
        let (to, message) = self.routers[from].outgoing.remove(0);
        Some((from as u16, to, message))
    }

    fn held_epoch(&self, router: usize) -> Option<Epoch> {
        self.routers[router].held_epoch(7, self.now)
    }
}

#[test]
fn grants_to_one_holder_at_a_time_under_growing_epochs() {
    let mut cluster = Cluster::new(3);
    let first = cluster.request(0).expect("all three routers grant the lease");
    assert_eq!(cluster.request(1), None);
    cluster.now += MAX_TERM + 0.01;
    assert_eq!(cluster.held_epoch(0), None);
    let second = cluster.request(1).expect("the lease of router 0 has expired");
    assert!(second > first);
}

#[test]
fn extends_on_renewal_and_frees_at_once_on_release() {
    let mut cluster = Cluster::new(3);
    let first = cluster.request(2).unwrap();
    cluster.now += 1.0;
    let extended = cluster.request(2).unwrap();
    assert!(extended > first);
    cluster.now += 1.5;
    assert_eq!(cluster.held_epoch(2), Some(extended), "the term counts from the extension's request");
    let now = cluster.now;
    cluster.routers[2].release(7, now);
    cluster.deliver_all();
    assert_eq!(cluster.held_epoch(2), None);
    assert_eq!(cluster.request(0), None, "the first request is refused, as later epochs were promised");
    assert!(cluster.request(0).is_some_and(|epoch| epoch > extended));
}

#[test]
fn grants_nothing_without_a_majority_or_to_either_half() {
    let mut cluster = Cluster::new(4);
    cluster.cut_off = vec![2, 3];
    assert_eq!(cluster.request(0), None, "two of four routers are no majority");
    assert_eq!(cluster.request(2), None);
    cluster.cut_off.clear();
    cluster.now += 1.0;
    assert!(cluster.request(0).is_some());
}

/// Guards against a second holder after all other grantors of a lease are restarted and forget their grants.
#[test]
fn restarted_grantor_grants_nothing_until_earlier_grants_expire() {
    let mut cluster = Cluster::new(3);
    let first = cluster.request(0).unwrap();
    for router in [1, 2] {
        cluster.routers[router] = Leases::new(router as u16, 3, 2000, cluster.now);
    }
    cluster.now += 0.1;
    assert_eq!(cluster.request(1), None);
    assert_eq!(cluster.held_epoch(0), Some(first));
    cluster.now += MAX_TERM * 1.05;
    assert!(cluster.request(1).unwrap() > first);
}

/// Guards against a holder using a lease that expired while the holder was frozen, with the acceptances still in its
/// socket buffers.
#[test]
fn late_accepts_do_not_revive_an_expired_lease() {
    let mut cluster = Cluster::new(3);
    cluster.routers[0].request(7, cluster.now);
    // All messages are delivered except the acceptances of the other routers, which router 0 receives only after a
    // freeze.
    let mut late_accepts = Vec::new();
    while let Some((from, to, message)) = cluster.next_message() {
        match (to, message) {
            (0, Message::Accept { .. }) => late_accepts.push((from, message)),
            _ => cluster.routers[usize::from(to)].receive(from, message, cluster.now),
        }
    }
    assert_eq!(late_accepts.len(), 2);
    cluster.now += 5.0;
    let other_epoch = cluster.request(1).expect("the lease of router 0 has expired");
    let now = cluster.now;
    late_accepts.into_iter().for_each(|(from, message)| cluster.routers[0].receive(from, message, now));
    assert_eq!((cluster.held_epoch(0), cluster.held_epoch(1)), (None, Some(other_epoch)));
}

#[test]
fn bounds_memory_for_invented_resources_and_survives_a_refusal_with_the_largest_epoch() {
    let mut router = Leases::new(0, 3, 0, 0.0);
    for resource in 0..5000 {
        router.receive(1, Message::Prepare { resource, epoch: 1 << 16 | 1 }, 10.0);
    }
    assert_eq!(router.grants.len(), MAX_RESOURCES);
    // A refusal with the largest epoch must not make the epoch of the next request overflow.
    router.receive(1, Message::Refuse { resource: 1, epoch: 1, promised: u64::MAX }, 10.0);
    router.request(1, 10.0);
    assert_eq!(router.held_epoch(1, 10.0), None);
}
