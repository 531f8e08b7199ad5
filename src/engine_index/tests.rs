use super::*;
use std::collections::BTreeSet;

fn draws(seed: u64) -> impl FnMut(usize) -> usize {
    let mut drawn = 0u64;
    move |below| {
        drawn += 1;
        (hash_of((seed, drawn)) % below as u64) as usize
    }
}

/// The whole order of a group.
fn sorted_positions(orders: &HashOrders, group: u64) -> Vec<Position> {
    let mut positions = orders.positions(group);
    positions.sort_unstable();
    positions
}

#[test]
fn a_set_holds_what_was_put_in_and_not_what_was_taken_out() {
    let (mut draw, mut set, mut plain) = (draws(1), IndexSet::default(), BTreeSet::new());
    for _ in 0..5000 {
        let (at, is_in) = (draw(300), draw(2) == 0);
        set.set(at, is_in);
        if is_in {
            plain.insert(at);
        } else {
            plain.remove(&at);
        }
        assert_eq!((set.len(), set.contains(at)), (plain.len(), is_in));
    }
    assert!(set.iter().eq(plain.into_iter()));
}

#[test]
fn the_largest_of_those_that_pass_is_found_and_few_are_asked() {
    let (mut draw, mut largest, mut plain) = (draws(2), MaxTournament::default(), Vec::new());
    let mut asked = 0;
    for round in 0..3000 {
        let at = draw(1 + round / 4);
        let value = (draw(8) > 0).then(|| draw(1000) as f64 / 999.0);
        plain.resize(plain.len().max(at + 1), None);
        plain[at] = value;
        largest.set(at, value);
        let passes = |at: &usize| at % 5 != 2;
        let of = plain.iter().enumerate().filter(|(at, _)| passes(at)).filter_map(|(_, value)| *value);
        let found = largest.largest_passing(&mut |at| {
            asked += 1;
            passes(&at)
        });
        assert_eq!(found, of.fold(0.0, f64::max));
    }
    assert!(asked < 3 * 3000, "{asked}");
}

/// Engines come, go and are renamed; of every group, also of one that was not asked for in a while, the first places are
/// those of the whole order.
#[test]
fn an_order_s_first_places_follow_the_list() {
    for engines in [20, 47, 49, 300] {
        let (mut draw, mut orders, mut followed) = (draws(engines as u64), HashOrders::default(), 0);
        (0..engines).for_each(|at| orders.set_ready(at, Some(hash_of(at as u64))));
        for round in 0..4000 {
            let at = draw(engines + 5);
            orders.set_ready(at, (draw(3) > 0).then(|| hash_of(("name", round))));
            // Group 0 is asked for each time, the others now and then.
            for group in [0, 1 + draw(400) as u64] {
                followed += usize::from(
                    orders.cached.get(&group).is_some_and(|cached| cached.next_change >= orders.first_change),
                );
                let (first, all) = (orders.first_positions(group), sorted_positions(&orders, group));
                assert_eq!(first[..], all[..first.len()]);
                assert!(
                    first.len() == all.len() || first.len() > HashOrders::REBUILT_AT,
                    "{} places",
                    first.len()
                );
            }
        }
        assert!(followed > 4000, "{followed} orders followed the list");
    }
}

#[test]
fn a_walk_comes_by_its_set_in_order_from_either_end() {
    let (mut draw, mut orders) = (draws(3), HashOrders::default());
    (0..200).for_each(|at| orders.set_ready(at, (at % 7 > 0).then(|| hash_of(at as u64))));
    for group in 0..300 {
        let mut among = IndexSet::default();
        // Few or many: both ways of walking.
        let share = [2, 40][group as usize % 2];
        (0..200).filter(|_| draw(share) == 0).for_each(|at| among.set(at, orders.is_ready(at)));
        let all: Vec<usize> = sorted_positions(&orders, group).into_iter().map(|place| place.1).collect();
        let most = 1 + draw(all.len());
        let mut ways = vec![(all.clone(), orders.walk(group, among.clone(), 3))];
        let back: Vec<usize> = all.iter().rev().take(most).copied().collect();
        ways.push((back, orders.walk_back(group, among.clone(), most)));
        for (order, walk) in ways {
            let expected: Vec<usize> = order.iter().copied().filter(|at| among.contains(*at)).collect();
            let mut walked = Vec::new();
            walk.visit(&orders, &mut |at| {
                walked.push(at);
                false
            });
            assert_eq!(walked, expected);
            assert!(all.iter().all(|at| walk.covers(&orders, *at) == order.contains(at)));
        }
    }
}

#[test]
fn what_is_kept_of_orders_is_bounded() {
    let mut orders = HashOrders::default();
    (0..100).for_each(|at| orders.set_ready(at, Some(hash_of(at as u64))));
    (0..3 * HashOrders::MAX_CACHED_ORDERS as u64).for_each(|group| drop(orders.first_positions(group)));
    (0..3 * HashOrders::MAX_CHANGES)
        .for_each(|round| orders.set_ready(round % 100, Some(hash_of(("anew", round)))));
    assert!(
        orders.cached.len() <= HashOrders::MAX_CACHED_ORDERS
            && orders.changes.len() <= HashOrders::MAX_CHANGES
    );
    let room = orders.cached.values().map(|cached| cached.first.capacity());
    assert!(room.max().is_some_and(
        |most| (HashOrders::CACHED_POSITIONS..=2 * HashOrders::CACHED_POSITIONS).contains(&most)
    ));
}
