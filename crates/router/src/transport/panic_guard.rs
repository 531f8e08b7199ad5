//! A panic in the work on one connection stops there.

use std::panic::{catch_unwind, AssertUnwindSafe};

/// Does work on one connection; none where it panicked. `what` names the connection in the log.
pub fn catch_panic<T>(what: &str, work: impl FnOnce() -> T) -> Option<T> {
    let done = catch_unwind(AssertUnwindSafe(work));
    done.inspect_err(|_| log::error!("{what} failed, its connection is closed")).ok()
}
