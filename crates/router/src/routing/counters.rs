//! What came in, what went out, and how it ended.

use std::fmt;

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident,)*) => {
        #[derive(Clone, Debug, Default)]
        pub struct Counters { $($(#[$doc])* pub $name: u64,)* }

        impl Counters {
            /// Adds what another part of the router has counted.
            pub fn add(&mut self, other: &Counters) {
                $(self.$name += other.$name;)*
            }
        }

        impl fmt::Display for Counters {
            fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
                let counts = [$((stringify!($name), self.$name),)*];
                let words = counts.iter().map(|(name, count)| format!("{name}={count}"));
                to.write_str(&words.collect::<Vec<_>>().join(" "))
            }
        }
    };
}

counters! {
    /// taken = delivered + turned_back + terminated + withdrawn + open.
    taken,
    delivered,
    turned_back,
    terminated,
    withdrawn,
    open,
    /// Queries that no job could be made of.
    unusable,
    pushes,
    pushes_delivered,
    pushes_erred,
    pushes_full,
    pushes_timed_out,
    pushes_unreached,
    pushes_broken,
    pushes_called_off,
    pushes_never_sent,
    /// Answers of engines to what had been given up.
    answers_dropped,
    sessions,
    sessions_open,
    sessions_closed_for_room,
    /// Sessions ended for bytes that are no protocol.
    sessions_malformed,
    links,
    links_open,
    links_failed,
    links_malformed,
    descriptors_short,
    board_events,
    board_connects,
    board_malformed,
    /// Configurations read again, and those of them that could not be used.
    reloads,
    reloads_refused,
    module_panics,
    panics,
    turns,
    longest_turn_us,
    latest_wake_us,
}
