//! Many instances of the real announcing decisions in virtual time. What an instance sees of the others is what a
//! route server with best paths alone would show it: the two best of the others', some time old.

use cleatgw_announce::*;
use cleatgw_bgp::LearnedRoute;
use ipnet::IpNet;
use plotters::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::{json, Map, Value};
use std::path::Path;

const TICK: f64 = 0.25;
const LASTS: f64 = 420.0;
/// When the trouble begins and ends.
const TROUBLE: (f64, f64) = (60.0, 240.0);
/// The best paths that a peer shows.
const SHOWN: usize = 2;

fn net() -> IpNet {
    "198.51.100.7/32".parse().expect("a prefix")
}

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Trouble {
    /// What all depend on is gone, seen by each within two seconds.
    Shared,
    /// The same for three in ten.
    Partial,
    /// Each is drained and started anew, a thirtieth at a time.
    Release,
    /// What all depend on comes and goes every eight seconds.
    Flapping,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Variant {
    Whole,
    NoGuard,
    NoDamping,
    NoJitter,
    /// A health check and nothing else.
    Check,
}

fn terms(instance: u32, variant: Variant) -> AnnouncerConfig {
    let sign = |effect, bound| HealthCheckConfig {
        effect,
        threshold: bound,
        rise: 4,
        fall: 4,
        min_good_time: 0.0,
        min_bad_time: 3.0,
    };
    let dear = |med| PathPreference { med: Some(med), ..PathPreference::default() };
    let off = |one| variant == one || variant == Variant::Check;
    let jitter = |most| if off(Variant::NoJitter) { 0.0 } else { most };
    let damping =
        Damping { half_life: 60.0, suppress_threshold: 3.0, reuse_threshold: 1.0, max_suppress_time: 300.0 };
    AnnouncerConfig {
        addresses: vec![net()],
        instance_community: InstanceCommunity {
            asn: 64_512,
            healthy_function: 1,
            last_resort_function: 2,
            instance,
        },
        checks: [
            sign(Effect::Withdraw, 0.0),
            sign(Effect::Deprefer, 10.0),
            sign(Effect::Ignore, 10.0),
            sign(Effect::Withdraw, 1.0),
            sign(Effect::Deprefer, 0.5),
        ],
        announced: PathPreference::default(),
        depreferred: dear(200),
        last_resort: dear(400),
        check_interval: TICK,
        start_delay: 1.0,
        return_delay: 5.0,
        depreferred_time: 5.0,
        jitter_down: jitter(1.0),
        jitter_up: jitter(5.0),
        guard: !off(Variant::NoGuard),
        settle_time: 5.0,
        damping: if off(Variant::NoDamping) {
            Damping { suppress_threshold: f64::INFINITY, ..damping }
        } else {
            damping
        },
        max_changes: if off(Variant::NoDamping) { 1000 } else { 6 },
        shutdown_lead: 0.0,
        hold: None,
    }
}

/// How each moment's best paths stood: the level and the instance, best first.
type Best = Vec<(Level, u32)>;

struct Instance {
    announcer: Announcer,
    number: u32,
    /// Ticks that a change takes to be seen, and when the shared trouble is felt.
    delay: usize,
    feels_after: f64,
    part: bool,
    /// Until then it is being started anew.
    down_until: f64,
    changes: Vec<f64>,
}

impl Instance {
    fn level(&self, now: f64) -> Level {
        if now < self.down_until {
            return Level::Withdrawn;
        }
        self.announcer.statuses().next().map_or(Level::Withdrawn, |status| status.level)
    }

    fn sees(&self, best: &Best) -> Paths {
        let community = self.announcer.config().instance_community;
        let mut paths = Paths::new(true);
        for (level, instance) in best.iter().filter(|one| one.1 != self.number).take(SHOWN) {
            let large = vec![InstanceCommunity { instance: *instance, ..community }
                .large_community(*level > Level::LastResort)];
            let seen = LearnedRoute {
                communities: Vec::new(),
                large_communities: large,
                path_length: 2,
                med: None,
                stale: false,
            };
            paths.add(&community, net(), &seen);
        }
        paths
    }
}

fn sick(trouble: Trouble, instance: &Instance, now: f64) -> bool {
    let (from, to) = (TROUBLE.0 + instance.feels_after, TROUBLE.1 + instance.feels_after);
    match trouble {
        Trouble::Shared => (from..to).contains(&now),
        Trouble::Partial => instance.part && (from..to).contains(&now),
        Trouble::Release => false,
        Trouble::Flapping => (from..to).contains(&now) && (((now - from) / 8.0) as u64).is_multiple_of(2),
    }
}

struct Course {
    /// At each tick: announcing in any way, and sound.
    counts: Vec<(usize, usize)>,
    report: Value,
}

fn play(routers: usize, seed: u64, trouble: Trouble, variant: Variant) -> Course {
    let mut chance = SmallRng::seed_from_u64(seed);
    let mut fleet: Vec<Instance> = (0..routers)
        .map(|at| Instance {
            announcer: Announcer::new(terms(at as u32 + 1, variant), seed.wrapping_add(at as u64), 0.0),
            number: at as u32 + 1,
            delay: chance.random_range(1..8),
            feels_after: chance.random_range(0.0..2.0),
            part: chance.random_bool(0.3),
            down_until: 0.0,
            changes: Vec::new(),
        })
        .collect();
    let mut history: Vec<Best> = Vec::new();
    let mut counts = Vec::new();
    let (mut dark, mut dark_servable) = (0.0, 0.0);
    let ticks = (LASTS / TICK) as usize;
    for tick in 0..ticks {
        let now = tick as f64 * TICK;
        let mut best: Best = fleet
            .iter()
            .map(|one| (one.level(now), one.number))
            .filter(|(level, _)| *level > Level::Withdrawn)
            .collect();
        best.sort_by(|a, b| b.0.cmp(&a.0).then(a.1.cmp(&b.1)));
        let sound = best.iter().filter(|(level, _)| *level > Level::LastResort).count();
        counts.push((best.len(), sound));
        // After the start, which nobody can hurry.
        let servable = fleet.iter().any(|one| now >= one.down_until && !sick(trouble, one, now));
        if now > 30.0 && best.is_empty() {
            dark += TICK;
            dark_servable += if servable { TICK } else { 0.0 };
        }
        best.truncate(SHOWN + 1);
        history.push(best);
        for (at, one) in fleet.iter_mut().enumerate() {
            if trouble == Trouble::Release {
                // A thirtieth every six seconds: each has its turn within the three minutes.
                let turn = TROUBLE.0 + 6.0 * (at * 30 / routers) as f64;
                if one.down_until == 0.0 && now >= turn {
                    one.announcer.drain(now, 0.9);
                    one.changes.push(now);
                    let instance = terms(one.number, variant);
                    one.announcer = Announcer::new(instance, seed ^ one.number as u64, now + 3.0);
                    one.down_until = now + 3.0;
                }
                if now < one.down_until {
                    continue;
                }
            }
            if now < one.announcer.due() {
                continue;
            }
            let paths = one.sees(&history[tick.saturating_sub(one.delay)]);
            let readings = Readings {
                listening: true,
                since_failure: None,
                discovery_silence: None,
                usable_engines: usize::from(!sick(trouble, one, now)),
                in_time_share: None,
            };
            if one.announcer.update(now, &readings, &paths) {
                one.changes.push(now);
            }
        }
    }
    let changes: usize = fleet.iter().map(|one| one.changes.len()).sum();
    let within = |times: &[f64], from: f64, length: f64| {
        times.iter().filter(|at| (from..from + length).contains(*at)).count()
    };
    let most =
        |one: &Instance| one.changes.iter().map(|at| within(&one.changes, *at, 60.0)).max().unwrap_or(0);
    let mut all: Vec<f64> =
        fleet.iter().flat_map(|one| one.changes.iter().copied()).filter(|at| *at > 30.0).collect();
    all.sort_by(f64::total_cmp);
    let mut burst = 0;
    let mut first = 0;
    for (at, time) in all.iter().enumerate() {
        while all[first] <= time - 1.0 {
            first += 1;
        }
        burst = burst.max(at + 1 - first);
    }
    let report = json!({
        "dark_s": dark,
        "dark_while_someone_could_serve_s": dark_servable,
        "changes": changes,
        "most_changes_a_minute": fleet.iter().map(most).max().unwrap_or(0),
        "most_changes_in_a_second": burst,
        "least_announcing": counts.iter().skip((30.0 / TICK) as usize).map(|count| count.0).min(),
        "announced_in_the_end": counts.last().map_or(0, |count| count.1),
    });
    Course { counts, report }
}

fn draw(
    plot: &Path,
    routers: usize,
    courses: &[(Trouble, Variant, Course)],
) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::new(plot, (1000, 900)).into_drawing_area();
    area.fill(&WHITE)?;
    let troubles = [Trouble::Shared, Trouble::Partial, Trouble::Release, Trouble::Flapping];
    for (part, trouble) in area.split_evenly((4, 1)).iter().zip(troubles) {
        let words =
            format!("{trouble:?}: instances that announce (blue: as built, red: a health check alone)");
        let mut chart = ChartBuilder::on(part);
        chart.caption(words, ("sans-serif", 16)).margin(8).x_label_area_size(24).y_label_area_size(40);
        let mut chart = chart.build_cartesian_2d(0.0..LASTS, -0.02..1.05 * routers as f64)?;
        chart.configure_mesh().disable_mesh().x_labels(8).y_labels(4).x_desc("seconds").draw()?;
        for (variant, colour) in [(Variant::Check, RED), (Variant::Whole, BLUE)] {
            let course = courses.iter().find(|one| one.0 == trouble && one.1 == variant);
            let counts = course.map_or(&[][..], |one| &one.2.counts);
            let points = counts.iter().enumerate().map(|(tick, count)| (tick as f64 * TICK, count.0 as f64));
            chart.draw_series(LineSeries::new(points, &colour))?;
        }
    }
    area.present()?;
    Ok(())
}

/// Plays every trouble with every variant; figures are simulated.
pub fn measure(routers: usize, seed: u64, plot: Option<&Path>) -> Value {
    let mut courses = Vec::new();
    let mut all = Map::new();
    for trouble in [Trouble::Shared, Trouble::Partial, Trouble::Release, Trouble::Flapping] {
        let mut of = Map::new();
        for variant in
            [Variant::Whole, Variant::NoGuard, Variant::NoDamping, Variant::NoJitter, Variant::Check]
        {
            let course = play(routers, seed, trouble, variant);
            println!("{trouble:?} {variant:?}: {}", course.report);
            of.insert(format!("{variant:?}"), course.report.clone());
            courses.push((trouble, variant, course));
        }
        all.insert(format!("{trouble:?}"), of.into());
    }
    if let Some(path) = plot {
        if let Err(error) = draw(path, routers, &courses) {
            eprintln!("no plot: {error}");
        }
    }
    json!({ "routers": routers, "seed": seed, "troubles": all })
}

#[cfg(test)]
mod tests;
