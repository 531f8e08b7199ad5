//! Model checking (stateright) of the real session code: an adversarial far end, network and scheduler choose every
//! step; from each state that they reach, what must hold is tried out on a copy.

#[allow(dead_code, reason = "each test file uses a part of the helpers")]
mod host;

use cleatgw_bgp::{Capabilities, CeaseSubcode, Notification, Open, PeerConfig, State};
use host::*;
use stateright::{Checker, Model, Property};
use std::fmt;

/// An error that is put in to see that it is found.
#[derive(Clone, Copy, PartialEq)]
enum Planted {
    Nothing,
    /// A drain that only withdraws, as a health check would: what is asked for later is announced again.
    DrainOnlyWithdraws,
    /// A drain that ends the session at once, whatever the peer may keep.
    DrainLeaves,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Step {
    /// The peer's work up to the next due time.
    Time,
    CarryOut,
    CarryIn,
    Reset,
    Forgotten,
    FarNotifies,
    FarArrives,
    NetIs(Net),
    Announce(bool),
    Drain,
}

#[derive(Clone)]
struct At {
    host: Host,
    drained: bool,
}

impl At {
    /// The same with the network whole for a while.
    fn after(&self, time: f64) -> Host {
        let mut host = self.host.clone();
        (host.net, host.carries, host.far.mute) = (Net::Up, true, false);
        host.run(time);
        host
    }

    /// All that what follows depends on.
    fn digest(&self) -> String {
        let Host { peer, far, now, net, on, .. } = &self.host;
        let seen = (&far.theirs, far.established, &far.table, &far.out);
        format!("{peer:?}{seen:?}{now}{net:?}{on:?}{}", self.drained)
    }
}

cleatgw_testbed::identify_by_digest!(At);

impl fmt::Debug for At {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        write!(to, "{:?} at {} s, drained {}", self.host.peer.state(), self.host.now, self.drained)
    }
}

struct Session {
    config: PeerConfig,
    far: Open,
    planted: Planted,
}

impl Model for Session {
    type State = At;
    type Action = Step;

    fn init_states(&self) -> Vec<At> {
        let mut fresh = Host::new(self.config.clone(), self.far.clone());
        fresh.peer.announce(both(), 0.0);
        let up = Host::up(self.config.clone(), self.far.clone(), both());
        vec![At { host: fresh, drained: false }, At { host: up, drained: false }]
    }

    fn actions(&self, at: &At, steps: &mut Vec<Step>) {
        use Step::*;
        steps.extend([Time, CarryOut, CarryIn, Reset, Forgotten, FarNotifies, FarArrives]);
        steps.extend([NetIs(Net::Up), NetIs(Net::Silent)]);
        steps.extend([Announce(true), Announce(false)]);
        steps.extend((!at.drained).then_some(Drain));
    }

    fn next_state(&self, at: &At, step: Step) -> Option<At> {
        let mut next = at.clone();
        let host = &mut next.host;
        match step {
            Step::Time => {
                host.now = host.now.max(host.peer.due().min(host.now + 60.0));
                host.peer.run_timers(host.now);
                host.acts();
            }
            Step::CarryOut => return host.carry_out().then_some(next),
            Step::CarryIn => return host.carry_in().then_some(next),
            Step::Forgotten => return host.forgotten().then_some(next),
            Step::Reset => {
                host.on?;
                host.reset();
            }
            Step::FarNotifies => {
                host.on?;
                host.far.say(|out| {
                    Notification::cease(CeaseSubcode::AdministrativeShutdown, "", false).encode(out)
                });
                host.carry_in();
            }
            Step::FarArrives => {
                // The far end has one connection: a new one means that it has lost the old one.
                if host.on.is_some() {
                    host.far.ended(None);
                }
                if !host.arrives() {
                    return None;
                }
            }
            Step::NetIs(net) => host.net = net,
            Step::Announce(on) => {
                let wanted = if on { both() } else { wanted(&[]) };
                host.peer.announce(wanted, host.now);
            }
            Step::Drain => {
                match self.planted {
                    Planted::Nothing => host.peer.drain(wanted(&[]), host.now),
                    Planted::DrainOnlyWithdraws => host.peer.announce(wanted(&[]), host.now),
                    Planted::DrainLeaves => {
                        host.peer.shut_down(CeaseSubcode::AdministrativeShutdown, "", host.now)
                    }
                }
                next.drained = true;
                next.host.acts();
            }
        }
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Session>> {
        vec![
            Property::always("nothing is announced once the drain has begun", |_, at: &At| {
                let told = |host: &Host| host.peer.adj_rib_out().count();
                !at.drained || told(&at.host) == 0 && told(&at.after(60.0)) == 0
            }),
            Property::always("a peer that is reachable ends with no route of ours", |_, at: &At| {
                !at.drained || at.after(1.0).held() == 0
            }),
            Property::always("no state is stuck", |_, at: &At| {
                at.drained || at.after(90.0).peer.state() == State::Established
            }),
            Property::always("what is up in the end is what was asked for", |_, at: &At| {
                let mut host = at.host.clone();
                host.peer.announce(both(), host.now);
                let sure = At { host, drained: at.drained };
                at.drained || sure.after(90.0).held() == 2
            }),
            Property::always("what is unsent is bounded", |_, at: &At| {
                at.host.on.is_none_or(|side| at.host.peer.unsent(side).len() < 10_000)
            }),
            Property::sometimes("a drain meets a route that is kept", |_, at: &At| {
                at.drained && at.host.far.table.values().any(|(_, stale)| *stale)
            }),
            Property::sometimes("a drain meets a session half open", |_, at: &At| {
                at.drained && at.host.peer.state() == State::OpenSent
            }),
        ]
    }
}

fn session(kept: bool, planted: Planted) -> Session {
    let graceful = if kept { graceful(120) } else { None };
    let capabilities = Capabilities { graceful_restart: graceful, ..far_open().capabilities };
    let config = PeerConfig { restart_time: kept.then_some(120), ..config() };
    Session { config, far: Open { capabilities, ..far_open() }, planted }
}

fn checked(session: Session, depth: usize) -> impl Checker<Session> {
    session.checker().threads(4).target_max_depth(depth).spawn_bfs().join()
}

#[test]
fn a_drain_leaves_no_route_in_any_reachable_state() {
    for kept in [false, true] {
        let done = checked(session(kept, Planted::Nothing), 6);
        println!(
            "kept {kept}: {} states, {} of them different",
            done.state_count(),
            done.unique_state_count()
        );
        assert!(done.unique_state_count() > 1_000, "{}", done.unique_state_count());
        if kept {
            done.assert_properties();
        } else {
            let found = done.discoveries();
            let wrong: Vec<_> = found.keys().filter(|name| !name.starts_with("a drain meets")).collect();
            assert!(wrong.is_empty(), "{wrong:?}: {:?}", found[wrong[0]].clone().into_actions());
        }
    }
}

/// The checker finds what a health check that only withdraws, and a stop that only leaves, do wrong.
#[test]
fn planted_faults_are_found() {
    let glued = checked(session(false, Planted::DrainOnlyWithdraws), 5);
    assert!(glued.discovery("nothing is announced once the drain has begun").is_some());
    let leaves = checked(session(true, Planted::DrainLeaves), 5);
    assert!(leaves.discovery("a peer that is reachable ends with no route of ours").is_some());
}
