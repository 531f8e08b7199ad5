//! Model checking (stateright) of the real session code. An adversarial far end, network and scheduler choose every
//! step. The properties are checked in each reached state; for those about the future, a copy of the state runs on.

#[allow(dead_code, reason = "each test file uses a part of the helpers")]
mod host;

use cleatgw_bgp::{Capabilities, CeaseSubcode, Notification, Open, PeerConfig, State};
use host::*;
use stateright::{Checker, Model, Property};
use std::fmt;

/// A fault that is injected to show that the checker finds it.
#[derive(Clone, Copy, PartialEq)]
enum InjectedFault {
    None,
    /// The drain only withdraws the routes, as a failed health check does, so a later request to announce them
    /// succeeds.
    DrainOnlyWithdraws,
    /// The drain ends the session at once, although the peer may retain routes.
    DrainOnlyShutsDown,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Step {
    /// Advances the clock to the peer's next timer, but by at most 60 s, and runs its timers.
    AdvanceTime,
    DeliverOutput,
    DeliverInput,
    ResetConnection,
    ResetForgottenConnection,
    FarSendsCease,
    FarConnects,
    SetNetwork(Network),
    /// Announces both prefixes, or none.
    Announce(bool),
    Drain,
}

#[derive(Clone)]
struct SessionState {
    host: Host,
    drained: bool,
}

impl SessionState {
    /// A copy of the host after `duration` seconds in which the network and the far end work.
    fn after_recovery(&self, duration: f64) -> Host {
        let mut host = self.host.clone();
        (host.network, host.delivers_bytes, host.far.mute) = (Network::Up, true, false);
        host.run(duration);
        host
    }

    /// Everything that the further behavior depends on. The fields that are left out do not change in the model, or
    /// only record what the far end received.
    fn digest(&self) -> String {
        let Host { peer, far, now, network, far_connection, .. } = &self.host;
        let far_state = (&far.theirs, far.established, &far.table, &far.out);
        format!("{peer:?}{far_state:?}{now}{network:?}{far_connection:?}{}", self.drained)
    }
}

cleatgw_testbed::identify_by_digest!(SessionState);

impl fmt::Debug for SessionState {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(formatter, "{:?} at {} s, drained {}", self.host.peer.state(), self.host.now, self.drained)
    }
}

struct Session {
    config: PeerConfig,
    far: Open,
    fault: InjectedFault,
}

impl Model for Session {
    type State = SessionState;
    type Action = Step;

    fn init_states(&self) -> Vec<SessionState> {
        let mut unconnected = Host::new(self.config.clone(), self.far.clone());
        unconnected.peer.announce(both_prefixes(), 0.0);
        let established = Host::with_session(self.config.clone(), self.far.clone(), both_prefixes());
        vec![
            SessionState { host: unconnected, drained: false },
            SessionState { host: established, drained: false },
        ]
    }

    fn actions(&self, state: &SessionState, steps: &mut Vec<Step>) {
        use Step::*;
        steps.extend([AdvanceTime, DeliverOutput, DeliverInput, ResetConnection, ResetForgottenConnection]);
        steps.extend([FarSendsCease, FarConnects]);
        steps.extend([SetNetwork(Network::Up), SetNetwork(Network::Silent)]);
        steps.extend([Announce(true), Announce(false)]);
        steps.extend((!state.drained).then_some(Drain));
    }

    fn next_state(&self, state: &SessionState, step: Step) -> Option<SessionState> {
        let mut next = state.clone();
        let host = &mut next.host;
        match step {
            Step::AdvanceTime => {
                host.now = host.now.max(host.peer.due().min(host.now + 60.0));
                host.peer.run_timers(host.now);
                host.perform_actions();
            }
            Step::DeliverOutput => return host.deliver_output().then_some(next),
            Step::DeliverInput => return host.deliver_input().then_some(next),
            Step::ResetForgottenConnection => return host.reset_forgotten_connection().then_some(next),
            Step::ResetConnection => {
                host.far_connection?;
                host.reset_connection();
            }
            Step::FarSendsCease => {
                host.far_connection?;
                host.far.say(|out| {
                    Notification::cease(CeaseSubcode::AdministrativeShutdown, "", false).encode(out)
                });
                host.deliver_input();
            }
            Step::FarConnects => {
                // The far end has one connection at a time: a new one means that it has lost the old one.
                if host.far_connection.is_some() {
                    host.far.ended(None);
                }
                if !host.connect_from_far() {
                    return None;
                }
            }
            Step::SetNetwork(network) => host.network = network,
            Step::Announce(both) => {
                let advertisements = if both { both_prefixes() } else { default_advertisements(&[]) };
                host.peer.announce(advertisements, host.now);
            }
            Step::Drain => {
                match self.fault {
                    InjectedFault::None => host.peer.drain(default_advertisements(&[]), host.now),
                    InjectedFault::DrainOnlyWithdraws => {
                        host.peer.announce(default_advertisements(&[]), host.now)
                    }
                    InjectedFault::DrainOnlyShutsDown => {
                        host.peer.shut_down(CeaseSubcode::AdministrativeShutdown, "", host.now)
                    }
                }
                next.drained = true;
                next.host.perform_actions();
            }
        }
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Session>> {
        vec![
            Property::always("nothing is announced once the drain has begun", |_, state: &SessionState| {
                let announced = |host: &Host| host.peer.adj_rib_out().count();
                !state.drained || announced(&state.host) == 0 && announced(&state.after_recovery(60.0)) == 0
            }),
            Property::always(
                "a reachable peer ends up with none of our routes after a drain",
                |_, state: &SessionState| !state.drained || state.after_recovery(1.0).far_route_count() == 0,
            ),
            Property::always(
                "without a drain the session is established again",
                |_, state: &SessionState| {
                    state.drained || state.after_recovery(90.0).peer.state() == State::Established
                },
            ),
            Property::always("the far end ends up with all requested routes", |_, state: &SessionState| {
                let mut host = state.host.clone();
                host.peer.announce(both_prefixes(), host.now);
                let announcing = SessionState { host, drained: state.drained };
                state.drained || announcing.after_recovery(90.0).far_route_count() == 2
            }),
            Property::always("the unsent bytes are bounded", |_, state: &SessionState| {
                state
                    .host
                    .far_connection
                    .is_none_or(|direction| state.host.peer.unsent(direction).len() < 10_000)
            }),
            Property::sometimes("a drain finds a route that the peer retains", |_, state: &SessionState| {
                state.drained && state.host.far.table.values().any(|(_, stale)| *stale)
            }),
            Property::sometimes("a drain finds a session in OpenSent", |_, state: &SessionState| {
                state.drained && state.host.peer.state() == State::OpenSent
            }),
        ]
    }
}

/// The model of a session; `is_retaining` tells whether both sides retain routes over a lost session.
fn session(is_retaining: bool, fault: InjectedFault) -> Session {
    let graceful_restart = if is_retaining { graceful_restart(120) } else { None };
    let capabilities = Capabilities { graceful_restart, ..far_open().capabilities };
    let config = PeerConfig { restart_time: is_retaining.then_some(120), ..config() };
    Session { config, far: Open { capabilities, ..far_open() }, fault }
}

fn check(session: Session, depth: usize) -> impl Checker<Session> {
    session.checker().threads(4).target_max_depth(depth).spawn_bfs().join()
}

#[test]
fn a_drain_leaves_no_route_in_any_reachable_state() {
    for is_retaining in [false, true] {
        let checker = check(session(is_retaining, InjectedFault::None), 6);
        println!(
            "routes retained: {is_retaining}, {} states, {} of them unique",
            checker.state_count(),
            checker.unique_state_count()
        );
        assert!(checker.unique_state_count() > 1_000, "{}", checker.unique_state_count());
        if is_retaining {
            checker.assert_properties();
        } else {
            // Without retained routes, the `sometimes` property about a retained route can't be reached, so only the
            // `always` properties are checked: a discovery is then a violation. Discoveries of `sometimes` properties
            // are examples.
            let discoveries = checker.discoveries();
            let violated: Vec<_> =
                discoveries.keys().filter(|name| !name.starts_with("a drain finds")).collect();
            assert!(
                violated.is_empty(),
                "{violated:?}: {:?}",
                discoveries[violated[0]].clone().into_actions()
            );
        }
    }
}

/// The checker finds the faults of a drain that only withdraws the routes, and of one that only ends the session.
#[test]
fn injected_faults_are_found() {
    let only_withdraws = check(session(false, InjectedFault::DrainOnlyWithdraws), 5);
    assert!(only_withdraws.discovery("nothing is announced once the drain has begun").is_some());
    let only_shuts_down = check(session(true, InjectedFault::DrainOnlyShutsDown), 5);
    assert!(only_shuts_down
        .discovery("a reachable peer ends up with none of our routes after a drain")
        .is_some());
}
