//! The router's counters, with the names under which clients and operators see them.

use std::fmt;

macro_rules! counters {
    ($($(#[$doc:meta])* $field:ident: $name:literal,)*) => {
        #[derive(Clone, Debug, Default)]
        pub struct Counters { $($(#[$doc])* pub $field: u64,)* }

        impl Counters {
            /// Adds the counts of another part of the router.
            pub fn add(&mut self, other: &Counters) {
                $(self.$field += other.$field;)*
            }
        }

        impl fmt::Display for Counters {
            fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
                let counts = [$(($name, self.$field),)*];
                let pairs = counts.iter().map(|(name, count)| format!("{name}={count}"));
                formatter.write_str(&pairs.collect::<Vec<_>>().join(" "))
            }
        }
    };
}

counters! {
    /// Requests that were accepted, or ended before routing handled them: the sum of `completed`, `rejected`, `failed`,
    /// `withdrawn` and `open`.
    taken: "taken",
    completed: "delivered",
    rejected: "turned_back",
    failed: "terminated",
    withdrawn: "withdrawn",
    open: "open",
    /// Requests completed within their latency objective.
    in_time: "in_time",
    /// Statements that were refused as requests.
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
    /// Answers of engines to attempts that had already ended.
    answers_dropped: "answers_dropped",
    sessions: "sessions",
    sessions_open: "sessions_open",
    /// Sessions closed to free a place for a new one.
    sessions_evicted: "sessions_closed_for_room",
    /// Sessions closed because their bytes do not follow the protocol.
    sessions_malformed: "sessions_malformed",
    /// Connections to engines that were begun.
    engine_connections: "links",
    engine_connections_open: "links_open",
    engine_connections_failed: "links_failed",
    /// Connections to engines that were closed because the engine's bytes do not follow the protocol.
    engine_connections_malformed: "links_malformed",
    /// Connections that were not made or accepted for lack of a file descriptor.
    descriptor_shortages: "descriptors_short",
    /// Requests and packets that were refused, and results whose further pages had to wait, for want of memory.
    memory_shortages: "memory_short",
    /// Bytes that the buffers of client sessions hold beyond their allowance.
    session_buffer_bytes: "session_bytes",
    /// Bytes that are reserved for open requests and for requests that were not written to an engine yet.
    request_bytes: "request_bytes",
    /// Bytes that are reserved for the further pages of results.
    result_bytes: "result_bytes",
    /// New events from the discovery service.
    discovery_events: "board_events",
    /// Connections to the discovery service that were established.
    discovery_connects: "board_connects",
    /// Malformed lines from the discovery service.
    discovery_malformed: "board_malformed",
    /// Reloads of the configuration.
    reloads: "reloads",
    /// Reloads whose configuration could not be used.
    reloads_refused: "reloads_refused",
    /// Sessions with BGP peers that were established.
    bgp_established: "bgp_established",
    /// Sessions with BGP peers that were lost.
    bgp_lost: "bgp_lost",
    bgp_updates_out: "bgp_updates_out",
    bgp_updates_in: "bgp_updates_in",
    bgp_notifications_out: "bgp_notifications_out",
    bgp_notifications_in: "bgp_notifications_in",
    /// Learned routes that were treated as withdrawn (RFC 7606).
    bgp_treated_as_withdrawn: "bgp_treated_as_withdrawn",
    /// Learned routes that were ignored because they are not within a service prefix.
    bgp_ignored: "bgp_passed_over",
    /// Learned routes that were not stored because the table was full.
    bgp_over_limit: "bgp_left_out",
    /// Changes of the level at which a service address is announced.
    announce_changes: "announce_changes",
    /// Changes that were held back, each counted once, because no healthy path of another instance is seen.
    announce_guarded: "announce_guarded",
    /// Changes that damping held back, each counted once.
    announce_damped: "announce_damped",
    /// Changes that the cap on changes held back, each counted once.
    announce_capped: "announce_capped",
    /// Wait estimates that were compared with the actual wait.
    waits_compared: "waits_compared",
    /// Estimates within a fifth of the actual wait.
    waits_within_a_fifth: "waits_within_a_fifth",
    /// Estimates within a fifth of the actual wait or within 20 ms of it.
    waits_within_a_fifth_or_20_ms: "waits_near",
    /// Requests that waited without an estimate.
    waits_unknown: "waits_unknown",
    /// Datagrams received. Those that were dropped are counted by reason below.
    cluster_in: "cluster_in",
    cluster_out: "cluster_out",
    cluster_out_bytes: "cluster_out_bytes",
    /// Datagrams that could not be sent.
    cluster_unsent: "cluster_unsent",
    /// Dropped: the sender's address belongs to no router of the cluster.
    cluster_unknown_senders: "cluster_strangers",
    /// Dropped: longer than the limit.
    cluster_too_long: "cluster_too_long",
    /// Dropped: no valid datagram, for example with a wrong checksum.
    cluster_noise: "cluster_noise",
    /// Dropped: of another version of the datagram format.
    cluster_version: "cluster_version",
    /// Dropped: of another cluster, or of one with another list of routers.
    cluster_other_cluster: "cluster_other",
    /// Dropped: sent under another router's index, or addressed to another router.
    cluster_wrong_sender: "cluster_wrong_sender",
    /// Dropped: of an earlier incarnation of the sender.
    cluster_former_incarnation: "cluster_former_life",
    /// Dropped: with a body that can't be decoded, or a generation above the limit.
    cluster_body: "cluster_body",
    /// Times that another router became suspected, whichever router raised the suspicion.
    cluster_suspicions: "cluster_accusations",
    /// Suspicions about this router that it refuted.
    cluster_refutations: "cluster_refutations",
    /// New incarnations of this router that began because others had declared it down.
    cluster_new_incarnations: "cluster_new_lives",
    /// Reports that a router is down that were overruled because this router still heard it.
    cluster_contradicted: "cluster_contradicted",
    /// Pauses of this process: turns or datagrams that the cluster protocol handled more than 0.75 s after its next
    /// turn was due.
    cluster_pauses: "cluster_pauses",
    /// Snapshots that were written to the disk.
    store_writes: "store_puts",
    /// Writes of snapshots that failed.
    store_write_failures: "store_failed",
    /// Requests whose idempotency key shows that they had been attempted before.
    idempotency_records_matched: "marks_met",
    /// Panics of the decision core.
    module_panics: "module_panics",
    /// Panics in the code of one connection.
    panics: "panics",
    turns: "turns",
    /// The duration of the longest turn, in microseconds.
    longest_turn_us: "longest_turn_us",
    /// The longest delay of a turn after the time it was due, in microseconds.
    longest_wake_delay_us: "latest_wake_us",
}

#[cfg(test)]
#[path = "counters_tests.rs"]
mod tests;
