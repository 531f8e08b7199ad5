use super::*;

/// Routers on one clock, whose words arrive at once unless they are cut off.
struct Story {
    now: f64,
    routers: Vec<Leases>,
    cut_off: Vec<u16>,
}

impl Story {
    fn new(routers: u16) -> Story {
        let routers = (0..routers).map(|me| Leases::new(me, routers.into(), 1000, 0.0)).collect();
        Story { now: 10.0, routers, cut_off: Vec::new() }
    }

    fn ask(&mut self, router: usize) -> Option<Epoch> {
        self.routers[router].turn(self.now);
        self.routers[router].ask(7, self.now);
        self.settle();
        self.holds(router)
    }

    fn settle(&mut self) {
        while let Some((from, to, say)) = self.next() {
            let reached = !self.cut_off.contains(&from) && !self.cut_off.contains(&to);
            if reached {
                self.routers[usize::from(to)].heard(from, say, self.now);
            }
        }
    }

    fn next(&mut self) -> Option<(u16, u16, Say)> {
        let from = self.routers.iter().position(|router| !router.out.is_empty())?;
        let (to, say) = self.routers[from].out.remove(0);
        Some((from as u16, to, say))
    }

    fn holds(&self, router: usize) -> Option<Epoch> {
        self.routers[router].holds(7, self.now)
    }
}

#[test]
fn one_holds_it_at_a_time_and_the_next_has_a_younger_epoch() {
    let mut story = Story::new(3);
    let first = story.ask(0).expect("all are there");
    assert_eq!(story.ask(1), None);
    story.now += LONGEST + 0.01;
    assert_eq!(story.holds(0), None);
    let second = story.ask(1).expect("it has run out");
    assert!(second > first);
}

#[test]
fn a_holder_that_asks_again_goes_on_and_one_that_releases_makes_room_at_once() {
    let mut story = Story::new(3);
    let first = story.ask(2).unwrap();
    story.now += 1.0;
    let again = story.ask(2).unwrap();
    assert!(again > first);
    story.now += 1.5;
    assert_eq!(story.holds(2), Some(again), "counted from when it asked again");
    let now = story.now;
    story.routers[2].release(7, now);
    story.settle();
    assert_eq!(story.holds(2), None);
    assert_eq!(story.ask(0), None, "it is told that younger ones were promised");
    assert!(story.ask(0).is_some_and(|epoch| epoch > again));
}

#[test]
fn without_a_majority_there_is_none_and_two_halves_have_none_either() {
    let mut story = Story::new(4);
    story.cut_off = vec![2, 3];
    assert_eq!(story.ask(0), None, "two of four are no majority");
    assert_eq!(story.ask(2), None);
    story.cut_off.clear();
    story.now += 1.0;
    assert!(story.ask(0).is_some());
}

/// Hard case: all that granted it are restarted, and forget.
#[test]
fn who_has_lost_its_memory_grants_nothing_until_what_it_granted_has_run_out() {
    let mut story = Story::new(3);
    let first = story.ask(0).unwrap();
    for router in [1, 2] {
        story.routers[router] = Leases::new(router as u16, 3, 2000, story.now);
    }
    story.now += 0.1;
    assert_eq!(story.ask(1), None);
    assert_eq!(story.holds(0), Some(first));
    story.now += LONGEST * 1.05;
    assert!(story.ask(1).unwrap() > first);
}

/// Hard case: frozen with a lease, and woken after its end with everything in its socket buffers.
#[test]
fn a_holder_that_wakes_after_its_lease_holds_nothing_and_the_words_it_slept_through_give_none_back() {
    let mut story = Story::new(3);
    story.routers[0].ask(7, story.now);
    // All but the last of the others' words reach it; then it is frozen.
    let mut slept_through = Vec::new();
    while let Some((from, to, say)) = story.next() {
        match (to, say) {
            (0, Say::Accept { .. }) => slept_through.push((from, say)),
            _ => story.routers[usize::from(to)].heard(from, say, story.now),
        }
    }
    assert_eq!(slept_through.len(), 2);
    story.now += 5.0;
    let other = story.ask(1).expect("it has run out");
    let now = story.now;
    slept_through.into_iter().for_each(|(from, say)| story.routers[0].heard(from, say, now));
    assert_eq!((story.holds(0), story.holds(1)), (None, Some(other)));
}

#[test]
fn a_router_that_made_up_things_costs_bounded_memory() {
    let mut router = Leases::new(0, 3, 0, 0.0);
    for thing in 0..5000 {
        router.heard(1, Say::Prepare { thing, epoch: 1 << 16 | 1 }, 10.0);
    }
    assert_eq!(router.granted.len(), MOST_THINGS);
    router.heard(1, Say::Refuse { thing: 1, epoch: 1, promised: u64::MAX }, 10.0);
    router.ask(1, 10.0);
    assert_eq!(router.holds(1, 10.0), None);
}
