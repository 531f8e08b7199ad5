use super::*;
use crate::view::{allows, Standing};

#[test]
fn ranks_are_the_same_everywhere_spread_over_routers_and_skip_those_that_are_gone() {
    let all: Vec<u16> = (0..9).collect();
    let mut first = std::collections::BTreeSet::new();
    for number in 0..40 {
        let order: Vec<usize> = all.iter().map(|me| rank(7, number, *me, &all)).collect();
        let mut sorted = order.clone();
        sorted.sort_unstable();
        assert_eq!(sorted, (0..9).collect::<Vec<_>>());
        let best = order.iter().position(|rank| *rank == 0).unwrap() as u16;
        first.insert(best);
        let rest: Vec<u16> = all.iter().copied().filter(|router| *router != best).collect();
        let next = order.iter().position(|rank| *rank == 1).unwrap() as u16;
        assert_eq!(rank(7, number, next, &rest), 0);
    }
    assert!(first.len() > 4, "{first:?}");
}

/// Two that have split off, or a router that may not take over, never ask; one that is alone of one holds it at once.
#[test]
fn only_those_that_may_take_over_ask_and_a_holder_asks_for_more_time() {
    let mut leases = Leases::new(0, 1, 10, 0.0);
    let mut duties = Duties::new(7, &[thing("nightly")], 3.0);
    let nightly = thing("nightly");
    for standing in [Standing::Disagreeing, Standing::Minority, Standing::JustWoken, Standing::Leaving] {
        duties.turn(0, &[0], allows(standing), &mut leases, 0.5, 3.0);
        assert_eq!(duties.stands(nightly, 0, &leases, 3.0), Stands::Unknown, "{standing:?}");
        duties.all[0].ask_at = 3.0;
    }
    duties.turn(0, &[0], allows(Standing::Whole), &mut leases, 0.5, 3.0);
    let Stands::Ours(first, left) = duties.stands(nightly, 0, &leases, 3.0) else { panic!("not ours") };
    assert!(left > 1.8 && left < 2.0, "{left}");
    let mut now = 3.0;
    while now < 9.0 {
        now = duties.due();
        duties.turn(0, &[0], allows(Standing::Whole), &mut leases, 0.5, now);
        leases.turn(now);
        let Stands::Ours(epoch, left) = duties.stands(nightly, 0, &leases, now) else { panic!("lost") };
        assert!(epoch >= first && left > 0.7, "{left} at {now}");
    }
}

#[test]
fn things_of_duties_stay_apart_from_others() {
    assert!(thing("a") >= 1 << 31 && thing("a") != thing("b"));
}
