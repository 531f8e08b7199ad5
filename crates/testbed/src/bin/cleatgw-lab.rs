//! The former name of `cleatgw-testbed`, kept for one release.

#[path = "../main.rs"]
mod testbed;

fn main() {
    testbed::main();
}
