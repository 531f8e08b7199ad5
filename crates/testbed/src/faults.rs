//! Faults by plan: between routers, on connections, in clocks and disks.

pub mod datagram_relays;
pub mod interposed_library;
pub mod schedule;
pub mod stream_relays;
