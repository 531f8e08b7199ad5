//! What came in, what went out, and how it ended.

use std::fmt;

macro_rules! counters {
    ($($(#[$doc:meta])* $field:ident: $name:literal,)*) => {
        #[derive(Clone, Debug, Default)]
        pub struct Counters { $($(#[$doc])* pub $field: u64,)* }

        impl Counters {
            /// Adds what another part of the router has counted.
            pub fn add(&mut self, other: &Counters) {
                $(self.$field += other.$field;)*
            }
        }

        impl fmt::Display for Counters {
            fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
                let counts = [$(($name, self.$field),)*];
                let words = counts.iter().map(|(name, count)| format!("{name}={count}"));
                to.write_str(&words.collect::<Vec<_>>().join(" "))
            }
        }
    };
}

counters! {
    /// taken = completed + turned_back + failed + withdrawn + open.
    taken: "taken",
    completed: "delivered",
    rejected: "turned_back",
    failed: "terminated",
    withdrawn: "withdrawn",
    open: "open",
    /// Requests completed within their expected time.
    in_time: "in_time",
    /// Queries that no request could be made of.
    statements_refused: "unusable",
    attempts: "pushes",
    attempts_completed: "pushes_delivered",
    attempts_engine_error: "pushes_erred",
    attempts_engine_full: "pushes_full",
    attempts_timed_out: "pushes_timed_out",
    attempts_unreachable: "pushes_unreached",
    attempts_connection_lost: "pushes_broken",
    attempts_cancelled: "pushes_called_off",
    attempts_never_sent: "pushes_never_sent",
    /// Answers of engines to what had been given up.
    answers_dropped: "answers_dropped",
    sessions: "sessions",
    sessions_open: "sessions_open",
    sessions_evicted: "sessions_closed_for_room",
    /// Sessions ended for bytes that are no protocol.
    sessions_malformed: "sessions_malformed",
    engine_connections: "links",
    engine_connections_open: "links_open",
    engine_connections_failed: "links_failed",
    engine_connections_malformed: "links_malformed",
    descriptor_shortages: "descriptors_short",
    discovery_events: "board_events",
    discovery_connects: "board_connects",
    discovery_malformed: "board_malformed",
    /// Configurations read again, and those of them that could not be used.
    reloads: "reloads",
    reloads_refused: "reloads_refused",
    /// Sessions with routing peers that came up, and that were lost.
    bgp_established: "bgp_established",
    bgp_lost: "bgp_lost",
    bgp_updates_out: "bgp_updates_out",
    bgp_updates_in: "bgp_updates_in",
    bgp_notifications_out: "bgp_notifications_out",
    bgp_notifications_in: "bgp_notifications_in",
    /// Learned routes treated as withdrawn (RFC 7606), passed over, and left out for want of room.
    bgp_treated_as_withdrawn: "bgp_treated_as_withdrawn",
    bgp_ignored: "bgp_passed_over",
    bgp_over_limit: "bgp_left_out",
    /// Changes of how an address stands, and moves that the guard, the damping or the cap held back.
    announce_changes: "announce_changes",
    announce_guarded: "announce_guarded",
    announce_damped: "announce_damped",
    announce_capped: "announce_capped",
    /// Estimated waits that were compared with the true ones, those within a fifth, and requests that waited without one.
    waits_compared: "waits_compared",
    waits_within_a_fifth: "waits_within_a_fifth",
    /// Within a fifth or 20 ms.
    waits_within_a_fifth_or_20_ms: "waits_near",
    waits_unknown: "waits_unknown",
    /// Datagrams of the cluster, and those dropped, by reason.
    cluster_in: "cluster_in",
    cluster_out: "cluster_out",
    cluster_out_bytes: "cluster_out_bytes",
    cluster_unsent: "cluster_unsent",
    cluster_unknown_senders: "cluster_strangers",
    cluster_too_long: "cluster_too_long",
    cluster_noise: "cluster_noise",
    cluster_version: "cluster_version",
    cluster_other_cluster: "cluster_other",
    cluster_wrong_sender: "cluster_wrong_sender",
    cluster_former_incarnation: "cluster_former_life",
    cluster_body: "cluster_body",
    /// Suspicions of ours; others' of us that we refuted; incarnations that we had to begin anew; words that a router is down
    /// while we heard it; turns that came far too late.
    cluster_suspicions: "cluster_accusations",
    cluster_refutations: "cluster_refutations",
    cluster_new_incarnations: "cluster_new_lives",
    cluster_contradicted: "cluster_contradicted",
    cluster_pauses: "cluster_pauses",
    /// Puts of what is kept that are on the disk, and those that failed; requests that had been dispatched before, by their
    /// idempotency keys.
    store_writes: "store_puts",
    store_write_failures: "store_failed",
    idempotency_records_matched: "marks_met",
    module_panics: "module_panics",
    panics: "panics",
    turns: "turns",
    longest_turn_us: "longest_turn_us",
    longest_wake_delay_us: "latest_wake_us",
}

#[cfg(test)]
#[path = "counters_tests.rs"]
mod tests;
