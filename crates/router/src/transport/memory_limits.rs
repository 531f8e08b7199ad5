//! Divides the memory that the router may use among what clients and engines can make it hold. Each part is bounded in
//! sum, so that no mixture of clients and engines can exceed the whole; the rest is for the router itself.
//!
//! | part of the memory | holds |
//! | --- | --- |
//! | 1/4 | the allowances of client sessions |
//! | 1/8 | the allowances of connections to engines |
//! | 1/16 | packets and status tables of client sessions beyond their allowance |
//! | 1/8 | open requests with the first pages of their results, and requests that wait to be written to an engine |
//! | 1/8 | the further pages of results |

use super::buffer::Allowance;
use crate::memory_budget::MemoryBudget;
use crate::protocol::engine::{COLUMNS, MAX_ANSWER, MAX_BODY, MAX_RESULT};
use crate::protocol::mysql;
use crate::protocol::statement::ParsedStatement;
use std::rc::Rc;

/// What the buffer of a client session may hold without a reservation: statements of usual length, and the longest row.
pub const SESSION_ALLOWANCE: Allowance = Allowance { input: 2 * 1024, output: 6 * 1024 };
/// What the buffer of a connection to an engine may hold without a reservation: the longest answer, and requests of
/// usual length.
pub const ENGINE_ALLOWANCE: Allowance = Allowance { input: 8 * 1024, output: 4 * 1024 };
const _: () = assert!(ENGINE_ALLOWANCE.input >= MAX_ANSWER);
const _: () = assert!(SESSION_ALLOWANCE.output >= mysql::max_row_packet(MAX_BODY, COLUMNS));

/// Client sessions, and connections to engines, may take the router's file descriptors divided by this.
const SESSION_DESCRIPTOR_DIVISOR: usize = 2;
const ENGINE_DESCRIPTOR_DIVISOR: usize = 4;
/// The divisors of the memory for each part.
const SESSION_MEMORY_DIVISOR: usize = 4;
const ENGINE_MEMORY_DIVISOR: usize = 8;
const SESSION_BUFFER_MEMORY_DIVISOR: usize = 16;
const REQUEST_MEMORY_DIVISOR: usize = 8;
const RESULT_MEMORY_DIVISOR: usize = 8;
/// Bounds of the longest packet body that a session accepts, in bytes. Between them the limit is the session's share of the
/// memory, but no more than fits several times into the budgets.
const MIN_MAX_PACKET: usize = 16 * 1024;
const MAX_MAX_PACKET: usize = 1024 * 1024;
const MAX_PACKET_MEMORY_DIVISOR: usize = 64;
/// The memory for an open request in addition to its texts and the first page of its result, in bytes.
const REQUEST_STATE: usize = 1024;

/// The limits that follow from a router's memory and file descriptors.
pub struct MemoryLimits {
    pub max_sessions: usize,
    /// The longest packet body that a session accepts, in bytes.
    pub max_packet: usize,
    pub max_engine_connections: usize,
    /// What the buffers of client sessions hold beyond their allowance.
    pub session_buffers: Rc<MemoryBudget>,
    /// Open requests, and unsent requests in the buffers of connections to engines.
    pub requests: Rc<MemoryBudget>,
    /// The pages of results after the first one, until the client has the result.
    pub results: Rc<MemoryBudget>,
}

impl MemoryLimits {
    /// The limits of a router that may use this many bytes of memory and this many file descriptors.
    pub fn new(memory: usize, descriptors: usize) -> MemoryLimits {
        let within = |descriptors: usize, memory: usize, allowance: Allowance| {
            descriptors.min(memory / allowance.total()).max(1)
        };
        let max_sessions = within(
            descriptors / SESSION_DESCRIPTOR_DIVISOR,
            memory / SESSION_MEMORY_DIVISOR,
            SESSION_ALLOWANCE,
        );
        let max_engine_connections =
            within(descriptors / ENGINE_DESCRIPTOR_DIVISOR, memory / ENGINE_MEMORY_DIVISOR, ENGINE_ALLOWANCE);
        let max_max_packet = (memory / MAX_PACKET_MEMORY_DIVISOR).clamp(MIN_MAX_PACKET, MAX_MAX_PACKET);
        let max_packet =
            (memory / SESSION_MEMORY_DIVISOR / max_sessions).clamp(MIN_MAX_PACKET, max_max_packet);
        MemoryLimits {
            max_sessions,
            max_packet,
            max_engine_connections,
            session_buffers: MemoryBudget::new(memory / SESSION_BUFFER_MEMORY_DIVISOR),
            requests: MemoryBudget::new(memory / REQUEST_MEMORY_DIVISOR),
            // One result always fits.
            results: MemoryBudget::new((memory / RESULT_MEMORY_DIVISOR).max(MAX_RESULT)),
        }
    }
}

/// The memory that an open request needs, in bytes: its texts, once more while it waits to be sent to an engine, its
/// state, and the first page of its result, which engines send without being asked.
pub fn request_memory(statement: &ParsedStatement) -> usize {
    2 * statement.texts_len() + REQUEST_STATE + MAX_BODY
}

#[cfg(test)]
#[path = "memory_limits/tests.rs"]
mod tests;
