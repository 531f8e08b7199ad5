use super::*;

/// The memory that remains for the router itself, at least, as a share of the whole: 5/16.
const REST_NUMERATOR: usize = 5;
const REST_DENOMINATOR: usize = 16;

#[test]
fn all_parts_together_leave_the_stated_rest_of_the_memory_whatever_the_settings_are() {
    for memory_mb in [1, 2, 8, 32, 64, 192, 256, 1024, 16 * 1024] {
        for descriptors in [1, 16, 256, 1024, 4096, 65_536, 1_000_000] {
            let memory = memory_mb << 20;
            let limits = MemoryLimits::new(memory, descriptors);
            let allowances = limits.max_sessions * SESSION_ALLOWANCE.total()
                + limits.max_engine_connections * ENGINE_ALLOWANCE.total();
            let budgets = [&limits.session_buffers, &limits.requests, &limits.results];
            let budgeted: usize = budgets.iter().map(|budget| budget.limit()).sum();
            let rest = memory * REST_NUMERATOR / REST_DENOMINATOR;
            assert!(allowances + budgeted + rest <= memory, "{memory_mb} MB, {descriptors} descriptors");
            assert!(limits.max_sessions <= (descriptors / 2).max(1));
            assert!(limits.max_engine_connections <= (descriptors / 4).max(1));
        }
    }
}

#[test]
fn the_longest_statement_and_the_longest_result_fit_into_their_budgets() {
    for memory_mb in [1, 32, 192] {
        for descriptors in [4, 256, 1024] {
            let limits = MemoryLimits::new(memory_mb << 20, descriptors);
            let statement =
                ParsedStatement { text: vec![b'x'; limits.max_packet], ..ParsedStatement::default() };
            let _request = limits.requests.reserve(request_memory(&statement)).unwrap();
            let _packet = limits.session_buffers.reserve(2 * limits.max_packet).unwrap();
            let _result = limits.results.reserve(MAX_RESULT).unwrap();
        }
    }
}

/// The limits on sessions and connections that follow from the descriptors alone hold for the sizes that operators state.
#[test]
fn the_memory_limits_neither_sessions_nor_connections_at_the_usual_sizes() {
    for (memory_mb, descriptors) in [(32, 256), (32, 1024), (192, 1024), (192, 10_240)] {
        let limits = MemoryLimits::new(memory_mb << 20, descriptors);
        assert_eq!(limits.max_sessions, descriptors / 2, "{memory_mb} MB");
        assert!(limits.max_engine_connections >= (descriptors / 4).min(1024), "{memory_mb} MB");
    }
}
