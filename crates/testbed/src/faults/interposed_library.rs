//! A router whose Unix clock can be set while it runs, without setting the machine's, and whose disk hangs, fails or
//! lies: a small library of ours (`interposed_source.rs`) is built once and loaded ahead of the process.

use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::OnceLock;

static LIBRARY: OnceLock<PathBuf> = OnceLock::new();

fn library() -> &'static Path {
    LIBRARY.get_or_init(|| {
        let folder = std::env::temp_dir().join(format!("cleatgw-shim-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let (source, library) = (folder.join("shim_source.rs"), folder.join("libshim.so"));
        std::fs::write(&source, include_str!("interposed_source.rs")).expect("a file");
        let compiler = std::env::var_os("RUSTC").unwrap_or_else(|| "rustc".into());
        let built = Command::new(compiler)
            .args(["--edition", "2021", "--crate-type", "cdylib", "-O", "-C", "panic=abort", "-o"])
            .args([&library, &source])
            .output()
            .expect("the compiler");
        assert!(built.status.success(), "{}", String::from_utf8_lossy(&built.stderr));
        library
    })
}

/// What is done to the clocks and disks of a cluster's routers, by files in its folder.
pub struct InterposedLibrary(PathBuf);

impl InterposedLibrary {
    /// Variables for the environment of each router, whose number stands for `{at}`.
    pub fn environment() -> Vec<(String, String)> {
        let library = library().to_string_lossy().into_owned();
        [
            ("LD_PRELOAD", library),
            ("CLEATGW_LAB_CLOCK", "{folder}/clock-{at}".to_string()),
            ("CLEATGW_LAB_DISK", "{folder}/disk-{at}".to_string()),
        ]
        .map(|(name, value)| (name.to_string(), value))
        .into()
    }

    pub fn of(folder: &Path) -> InterposedLibrary {
        InterposedLibrary(folder.to_path_buf())
    }

    /// From now on this router's writes are done (0), hang (`h`), fail (`f`), or are acknowledged and lost (`l`).
    pub fn disk(&self, router: usize, fate: u8) {
        std::fs::write(self.0.join(format!("disk-{router}")), [fate]).expect("a file");
    }

    /// From now on this router's Unix clock is so many seconds ahead of the machine's.
    pub fn set(&self, router: usize, seconds: f64) {
        let nanoseconds = (seconds * 1e9) as i64;
        let (file, new) =
            (self.0.join(format!("clock-{router}")), self.0.join(format!("clock-{router}-new")));
        std::fs::write(&new, nanoseconds.to_le_bytes()).expect("a file");
        std::fs::rename(new, file).expect("a file");
    }
}
