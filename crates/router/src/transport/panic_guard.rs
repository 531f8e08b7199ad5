//! Contains a panic in the code that handles one connection, so that it does not end the process.

use std::panic::{catch_unwind, AssertUnwindSafe};

/// Runs `work` on one connection; none if it panicked. `what` names the connection or the work in the log.
pub fn catch_panic<T>(what: &str, work: impl FnOnce() -> T) -> Option<T> {
    let result = catch_unwind(AssertUnwindSafe(work));
    result.inspect_err(|_| log::error!("{what}: panic caught, the connection is closed")).ok()
}
