//! Loaded ahead of a process of the program: moves its Unix clock by what a file says, in nanoseconds, and does to its
//! writes what another file says: `h` hangs, `f` fails, `l` lies. Built by the test bed with the compiler that builds
//! the program (`shim.rs`), and no part of any crate.

use std::ffi::{c_char, c_int, c_long, c_void, CStr};

#[repr(C)]
pub struct Time {
    seconds: i64,
    nanoseconds: i64,
}

extern "C" {
    fn syscall(number: c_long, ...) -> c_long;
    fn getenv(name: *const c_char) -> *const c_char;
    fn open(path: *const c_char, flags: c_int, ...) -> c_int;
    fn pread(file: c_int, to: *mut c_void, length: usize, offset: i64) -> isize;
    fn close(file: c_int) -> c_int;
    fn usleep(microseconds: u32) -> c_int;
    fn __errno_location() -> *mut c_int;
}

#[cfg(target_arch = "x86_64")]
mod number {
    pub const CLOCK_GETTIME: i64 = 228;
    pub const PWRITE: i64 = 18;
    pub const FDATASYNC: i64 = 75;
}
#[cfg(target_arch = "aarch64")]
mod number {
    pub const CLOCK_GETTIME: i64 = 113;
    pub const PWRITE: i64 = 68;
    pub const FDATASYNC: i64 = 83;
}
const IO_ERROR: c_int = 5;
const REALTIME: c_int = 0;

/// The first bytes of the file that this variable names.
fn told(name: &CStr, bytes: &mut [u8]) -> bool {
    // SAFETY: plain calls of the C library with memory of our own.
    unsafe {
        let path = getenv(name.as_ptr());
        if path.is_null() {
            return false;
        }
        let file = open(path, 0);
        if file < 0 {
            return false;
        }
        let read = pread(file, bytes.as_mut_ptr().cast(), bytes.len(), 0);
        close(file);
        read == bytes.len() as isize
    }
}

fn offset() -> i64 {
    let mut bytes = [0; 8];
    if told(c"CLEATGW_LAB_CLOCK", &mut bytes) {
        i64::from_le_bytes(bytes)
    } else {
        0
    }
}

/// What becomes of a write now: `h` is waited out here.
fn fate() -> u8 {
    let mut fate = [0];
    while told(c"CLEATGW_LAB_DISK", &mut fate) && fate[0] == b'h' {
        // SAFETY: sleeps.
        unsafe { usleep(2000) };
    }
    fate[0]
}

fn fails() -> c_int {
    // SAFETY: this thread's own.
    unsafe { *__errno_location() = IO_ERROR };
    -1
}

/// # Safety
/// As for the function of the C library whose place it takes.
#[no_mangle]
pub unsafe extern "C" fn pwrite64(file: c_int, from: *const c_void, length: usize, offset: i64) -> isize {
    match fate() {
        b'f' => fails() as isize,
        b'l' => length as isize,
        _ => syscall(number::PWRITE, c_long::from(file), from, length, offset) as isize,
    }
}

/// # Safety
/// As for the function of the C library whose place it takes.
#[no_mangle]
pub unsafe extern "C" fn fdatasync(file: c_int) -> c_int {
    match fate() {
        b'f' => fails(),
        b'l' => 0,
        _ => syscall(number::FDATASYNC, c_long::from(file)) as c_int,
    }
}

/// # Safety
/// As for the function of the C library whose place it takes.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: c_int, to: *mut Time) -> c_int {
    let result = syscall(number::CLOCK_GETTIME, c_long::from(clock), to) as c_int;
    if result == 0 && clock == REALTIME && !to.is_null() {
        let moved = (*to).seconds * 1_000_000_000 + (*to).nanoseconds + offset();
        (*to).seconds = moved.div_euclid(1_000_000_000);
        (*to).nanoseconds = moved.rem_euclid(1_000_000_000);
    }
    result
}
