//! Checks that the router, started as the deploy file's `run` starts it, opens nothing that the deployment platform
//! refuses.

use cleatgw_testbed::stand_ins::*;
use rustix::process::Signal;
use std::fs;
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::time::Duration;

const DEPLOY: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/balancer.toml");
const ROOT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");
/// The access mode bits of the open flags that mean that a file is open for writing.
const WRITE_FLAGS: u32 = 0o3;

/// The entries of a folder whose names are numbers, such as process, thread or descriptor numbers.
fn numeric_entries(path: &Path) -> Vec<u32> {
    let entries = fs::read_dir(path).into_iter().flatten().flatten();
    entries.filter_map(|entry| entry.file_name().to_str()?.parse().ok()).collect()
}

/// The inodes of the sockets of one kind, read from the given column of the kind's table in `/proc`.
fn inodes(process: &Path, kind: &str, column: usize) -> Vec<String> {
    let table = fs::read_to_string(process.join("net").join(kind)).unwrap_or_default();
    table.lines().skip(1).filter_map(|line| Some(line.split_whitespace().nth(column)?.to_string())).collect()
}

/// Lists what a process has that the platform refuses: additional threads or child processes, sockets other than TCP
/// over IPv4, files open for writing, io_uring instances, and a C library of its own instead of the system's.
fn refused(process: u32) -> Vec<String> {
    let process = Path::new("/proc").join(process.to_string());
    let mut found = Vec::new();
    let threads = numeric_entries(&process.join("task"));
    if threads.len() != 1 {
        found.push(format!("{} threads", threads.len()));
    }
    for thread in &threads {
        let thread = process.join("task").join(thread.to_string());
        let children = match fs::read_to_string(thread.join("children")) {
            Ok(children) => children,
            // The thread has ended since it was listed, so its list of children is gone.
            Err(_) if !thread.exists() => continue,
            Err(error) => panic!("the list of children of a thread cannot be read: {error}"),
        };
        found.extend(children.split_whitespace().map(|child| format!("process {child}")));
    }
    // Sockets are looked up in the tables of the refused kinds, because a TCP socket that is just being created or
    // closed is in no table.
    let tables =
        [("unix", 6), ("udp", 9), ("udp6", 9), ("tcp6", 9), ("raw", 9), ("netlink", 9), ("packet", 8)];
    let refused_sockets: Vec<(&str, Vec<String>)> =
        tables.map(|(kind, column)| (kind, inodes(&process, kind, column))).into();
    for number in numeric_entries(&process.join("fd")).into_iter().filter(|number| *number > 2) {
        // A descriptor closed since it was listed is not examined: a later check sees it if it is opened again. What is
        // open only between two checks can be missed.
        let Ok(target) = fs::read_link(process.join("fd").join(number.to_string())) else { continue };
        let target = target.to_string_lossy().into_owned();
        let info = fs::read_to_string(process.join("fdinfo").join(number.to_string())).unwrap_or_default();
        let flags = info.lines().find_map(|line| line.strip_prefix("flags:"));
        let flags = flags.and_then(|flags| u32::from_str_radix(flags.trim(), 8).ok()).unwrap_or(0);
        if let Some(inode) = target.strip_prefix("socket:[").map(|inode| inode.trim_end_matches(']')) {
            let kind =
                refused_sockets.iter().find(|(_, inodes)| inodes.iter().any(|refused| refused == inode));
            found.extend(kind.map(|(kind, _)| format!("a socket of the kind {kind}")));
        } else if target.contains("io_uring") {
            found.push(target);
        } else if target.starts_with('/') && flags & WRITE_FLAGS != 0 {
            found.push(format!("{target} is written"));
        }
    }
    let maps = fs::read_to_string(process.join("maps")).unwrap_or_default();
    if !maps.contains("/libc.so") {
        found.push("its own C library".to_string());
    }
    found
}

/// Checks that [`refused`] finds what it looks for.
#[test]
fn the_check_finds_a_thread_a_child_a_unix_socket_a_udp_socket_and_a_file_open_for_writing() {
    let (_unix_a, _unix_b) = UnixStream::pair().unwrap();
    let _udp = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
    let path = std::env::temp_dir().join(format!("cleatgw-run-form-{}", std::process::id()));
    let _file = fs::File::create(&path).unwrap();
    let mut child = std::process::Command::new("sleep").arg("20").spawn().unwrap();
    let found = refused(std::process::id()).join("; ");
    child.kill().unwrap();
    child.wait().unwrap();
    fs::remove_file(&path).unwrap();
    for expected in
        ["threads", &format!("process {}", child.id()), "a socket of the kind unix", "kind udp", "is written"]
    {
        assert!(found.contains(expected), "{expected} is not in {found}");
    }
}

#[test]
fn the_deploy_file_runs_one_process_and_lists_every_source_folder_of_the_router() {
    let deploy = fs::read_to_string(DEPLOY).unwrap();
    let line = |key: &str| deploy.lines().find(|line| line.starts_with(&format!("{key} ="))).unwrap();
    assert_eq!(
        line("run"),
        r#"run = "exec target/release/cleatgw""#,
        "the command must have no other arguments and must replace its shell"
    );
    let mut crate_folders = vec!["crates/router".to_string()];
    let mut next = 0;
    while next < crate_folders.len() {
        let manifest =
            fs::read_to_string(Path::new(ROOT).join(&crate_folders[next]).join("Cargo.toml")).unwrap();
        let dependencies = manifest.split("[dev-dependencies]").next().unwrap();
        for path in dependencies.lines().filter_map(|line| line.split("path = \"../").nth(1)) {
            let folder = format!("crates/{}", path.split('"').next().unwrap());
            if path.starts_with(char::is_alphabetic) && !crate_folders.contains(&folder) {
                crate_folders.push(folder);
            }
        }
        next += 1;
    }
    assert!(crate_folders.len() > 4, "{crate_folders:?}");
    for folder in crate_folders {
        assert!(line("node").contains(&format!("\"{folder}/src\"")), "{folder} is missing in `node`");
    }
}

/// Hard case: something refused is opened only for a short time, under load, at a reload or at the end. For this reason
/// the checks at the reload and at the end are 2 ms apart.
#[test]
fn the_router_opens_nothing_that_the_platform_refuses() {
    let engine = Engine::start("e");
    let discovery = Discovery::start();
    discovery.tell(true, &[engine.entry("ready")]);
    // Starts the program as `run` does: without arguments, and by an `exec` that replaces the shell.
    let mut router = Router::with(env!("CARGO_BIN_EXE_cleatgw"), &discovery, 256, &[]);
    let process = router.process();
    let check = |times: u32| {
        for _ in 0..times {
            assert_eq!(refused(process), Vec::<String>::new());
            std::thread::sleep(Duration::from_millis(2));
        }
    };
    let mut clients: Vec<Client> = (0..8).map(|_| Client::new(&router)).collect();
    for round in 0..20 {
        clients
            .iter_mut()
            .for_each(|client| client.send(&request("look", 5000, &format!("pages {}", 1 + round % 4))));
        check(1);
        for client in &mut clients {
            assert!(matches!(client.answer(), Answered::Rows(_)));
        }
    }
    discovery.drop_all();
    router.reload(&router.configuration(&discovery, r#"{"rev":0,"notices":[]}"#));
    router.signal(Signal::USR1);
    check(20);
    clients[0].send(&request("look", 1500, "hold"));
    engine.seen.wait("hold", 1);
    router.fail();
    check(100);
    assert!(matches!(clients[0].answer(), Answered::Error(..)));
    assert_eq!(router.ended().0, Some(0));
}
