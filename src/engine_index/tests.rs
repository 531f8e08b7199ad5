use super::*;
use std::collections::BTreeSet;

/// A generator of pseudo-random numbers below a given bound.
fn random_numbers(seed: u64) -> impl FnMut(usize) -> usize {
    let mut draws = 0u64;
    move |bound| {
        draws += 1;
        (hash_of((seed, draws)) % bound as u64) as usize
    }
}

/// The complete order of a group.
fn sorted_positions(orders: &HashOrders, group: u64) -> Vec<Position> {
    let mut positions = orders.positions(group);
    positions.sort_unstable();
    positions
}

#[test]
fn index_set_matches_a_tree_set_after_random_insertions_and_removals() {
    let (mut random, mut set, mut expected) = (random_numbers(1), IndexSet::default(), BTreeSet::new());
    for _ in 0..5000 {
        let (index, is_member) = (random(300), random(2) == 0);
        set.set(index, is_member);
        if is_member {
            expected.insert(index);
        } else {
            expected.remove(&index);
        }
        assert_eq!((set.len(), set.contains(index)), (expected.len(), is_member));
    }
    assert!(set.iter().eq(expected.into_iter()));
}

#[test]
fn tournament_finds_the_largest_passing_value_with_few_calls_of_the_predicate() {
    let (mut random, mut tournament, mut values) = (random_numbers(2), MaxTournament::default(), Vec::new());
    let mut calls = 0;
    for round in 0..3000 {
        let index = random(1 + round / 4);
        let value = (random(8) > 0).then(|| random(1000) as f64 / 999.0);
        values.resize(values.len().max(index + 1), None);
        values[index] = value;
        tournament.set(index, value);
        let passes = |index: &usize| index % 5 != 2;
        let passing =
            values.iter().enumerate().filter(|(index, _)| passes(index)).filter_map(|(_, value)| *value);
        let found = tournament.largest_passing(&mut |index| {
            calls += 1;
            passes(&index)
        });
        assert_eq!(found, passing.fold(0.0, f64::max));
    }
    assert!(calls < 3 * 3000, "{calls} calls of the predicate in 3000 searches");
}

/// Engines are added, removed and renamed. For every group, including one that has not been used for a while, the
/// cached first positions must equal the start of the complete order.
#[test]
fn cached_first_positions_follow_changes_of_the_engine_list() {
    for engines in [20, 47, 49, 300] {
        let (mut random, mut orders, mut updated_in_place) =
            (random_numbers(engines as u64), HashOrders::default(), 0);
        (0..engines).for_each(|engine| orders.set_ready(engine, Some(hash_of(engine as u64))));
        for round in 0..4000 {
            let engine = random(engines + 5);
            orders.set_ready(engine, (random(3) > 0).then(|| hash_of(("name", round))));
            // Group 0 is used every time, the others occasionally.
            for group in [0, 1 + random(400) as u64] {
                updated_in_place += usize::from(
                    orders.cached.get(&group).is_some_and(|cached| cached.next_change >= orders.first_change),
                );
                let (first, all) = (orders.first_positions(group), sorted_positions(&orders, group));
                assert_eq!(first[..], all[..first.len()]);
                assert!(
                    first.len() == all.len() || first.len() > HashOrders::REBUILD_AT,
                    "only {} of {} positions are cached",
                    first.len(),
                    all.len()
                );
            }
        }
        assert!(updated_in_place > 4000, "{updated_in_place} orders were updated without a rebuild");
    }
}

#[test]
fn a_walk_visits_its_subset_in_order_from_either_end() {
    let (mut random, mut orders) = (random_numbers(3), HashOrders::default());
    (0..200).for_each(|engine| orders.set_ready(engine, (engine % 7 > 0).then(|| hash_of(engine as u64))));
    for group in 0..300 {
        let mut subset = IndexSet::default();
        // Every second engine, or every fortieth: a large and a small subset are walked in different ways.
        let sampling_interval = [2, 40][group as usize % 2];
        (0..200)
            .filter(|_| random(sampling_interval) == 0)
            .for_each(|engine| subset.set(engine, orders.is_ready(engine)));
        let all: Vec<usize> =
            sorted_positions(&orders, group).into_iter().map(|position| position.1).collect();
        let max_engines = 1 + random(all.len());
        let mut walks = vec![(all.clone(), orders.walk(group, subset.clone(), 3))];
        let from_end: Vec<usize> = all.iter().rev().take(max_engines).copied().collect();
        walks.push((from_end, orders.walk_back(group, subset.clone(), max_engines)));
        for (order, walk) in walks {
            let expected: Vec<usize> =
                order.iter().copied().filter(|engine| subset.contains(*engine)).collect();
            let mut visited = Vec::new();
            walk.visit(&orders, &mut |engine| {
                visited.push(engine);
                false
            });
            assert_eq!(visited, expected);
            assert!(all.iter().all(|engine| walk.covers(&orders, *engine) == order.contains(engine)));
        }
    }
}

#[test]
fn cached_orders_and_changes_are_bounded() {
    let mut orders = HashOrders::default();
    (0..100).for_each(|engine| orders.set_ready(engine, Some(hash_of(engine as u64))));
    (0..3 * HashOrders::MAX_CACHED_ORDERS as u64).for_each(|group| drop(orders.first_positions(group)));
    (0..3 * HashOrders::MAX_CHANGES)
        .for_each(|round| orders.set_ready(round % 100, Some(hash_of(("renamed", round)))));
    assert!(
        orders.cached.len() <= HashOrders::MAX_CACHED_ORDERS
            && orders.changes.len() <= HashOrders::MAX_CHANGES
    );
    let capacities = orders.cached.values().map(|cached| cached.first.capacity());
    assert!(capacities.max().is_some_and(|largest| (HashOrders::CACHED_POSITIONS
        ..=2 * HashOrders::CACHED_POSITIONS)
        .contains(&largest)));
}
