//! The program as `run` in the deploy file starts it: what its platform refuses, it never opens.

use cleatgw_testbed::stand_ins::*;
use rustix::process::Signal;
use std::fs;
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::time::Duration;

const DEPLOY: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/balancer.toml");
const ROOT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");
const WRITES: u32 = 0o3;

fn numbers(path: &Path) -> Vec<u32> {
    let entries = fs::read_dir(path).into_iter().flatten().flatten();
    entries.filter_map(|entry| entry.file_name().to_str()?.parse().ok()).collect()
}

/// The inodes of the sockets of one kind, from the column that holds them.
fn inodes(process: &Path, kind: &str, column: usize) -> Vec<String> {
    let table = fs::read_to_string(process.join("net").join(kind)).unwrap_or_default();
    table.lines().skip(1).filter_map(|line| Some(line.split_whitespace().nth(column)?.to_string())).collect()
}

/// What a process has that the platform refuses: threads or processes more, sockets other than TCP over IPv4, files that
/// are written, rings; and whether it brings its own C library.
fn refused(process: u32) -> Vec<String> {
    let process = Path::new("/proc").join(process.to_string());
    let mut found = Vec::new();
    let threads = numbers(&process.join("task"));
    if threads.len() != 1 {
        found.push(format!("{} threads", threads.len()));
    }
    for thread in &threads {
        let thread = process.join("task").join(thread.to_string());
        let children = match fs::read_to_string(thread.join("children")) {
            Ok(children) => children,
            // A thread that has ended meanwhile has none.
            Err(_) if !thread.exists() => continue,
            Err(error) => panic!("no list of children: {error}"),
        };
        found.extend(children.split_whitespace().map(|child| format!("process {child}")));
    }
    // By what it must not be: a TCP socket that is just made or closed stands in no table.
    let tables =
        [("unix", 6), ("udp", 9), ("udp6", 9), ("tcp6", 9), ("raw", 9), ("netlink", 9), ("packet", 8)];
    let others: Vec<(&str, Vec<String>)> =
        tables.map(|(kind, column)| (kind, inodes(&process, kind, column))).into();
    for number in numbers(&process.join("fd")).into_iter().filter(|number| *number > 2) {
        // One that is closed meanwhile is seen the next time or never mattered.
        let Ok(target) = fs::read_link(process.join("fd").join(number.to_string())) else { continue };
        let target = target.to_string_lossy().into_owned();
        let info = fs::read_to_string(process.join("fdinfo").join(number.to_string())).unwrap_or_default();
        let flags = info.lines().find_map(|line| line.strip_prefix("flags:"));
        let flags = flags.and_then(|flags| u32::from_str_radix(flags.trim(), 8).ok()).unwrap_or(0);
        if let Some(inode) = target.strip_prefix("socket:[").map(|inode| inode.trim_end_matches(']')) {
            let kind = others.iter().find(|(_, known)| known.iter().any(|known| known == inode));
            found.extend(kind.map(|(kind, _)| format!("a socket of the kind {kind}")));
        } else if target.contains("io_uring") {
            found.push(target);
        } else if target.starts_with('/') && flags & WRITES != 0 {
            found.push(format!("{target} is written"));
        }
    }
    let maps = fs::read_to_string(process.join("maps")).unwrap_or_default();
    if !maps.contains("/libc.so") {
        found.push("its own C library".to_string());
    }
    found
}

/// Needs the watch itself to see what it looks for.
#[test]
fn the_watch_sees_a_thread_a_child_a_unix_socket_and_a_file_that_is_written() {
    let (_near, _far) = UnixStream::pair().unwrap();
    let _udp = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
    let path = std::env::temp_dir().join(format!("cleatgw-run-form-{}", std::process::id()));
    let _file = fs::File::create(&path).unwrap();
    let mut child = std::process::Command::new("sleep").arg("20").spawn().unwrap();
    let found = refused(std::process::id()).join("; ");
    child.kill().unwrap();
    child.wait().unwrap();
    fs::remove_file(&path).unwrap();
    for words in
        ["threads", &format!("process {}", child.id()), "a socket of the kind unix", "kind udp", "is written"]
    {
        assert!(found.contains(words), "{words} is not in {found}");
    }
}

#[test]
fn the_deploy_file_ends_in_one_process_and_names_every_folder_of_the_router() {
    let deploy = fs::read_to_string(DEPLOY).unwrap();
    let line = |key: &str| deploy.lines().find(|line| line.starts_with(&format!("{key} ="))).unwrap();
    assert_eq!(
        line("run"),
        r#"run = "exec target/release/cleatgw""#,
        "no other arguments, no shell that stays"
    );
    let mut reached = vec!["crates/router".to_string()];
    let mut at = 0;
    while at < reached.len() {
        let manifest = fs::read_to_string(Path::new(ROOT).join(&reached[at]).join("Cargo.toml")).unwrap();
        let used = manifest.split("[dev-dependencies]").next().unwrap();
        for path in used.lines().filter_map(|line| line.split("path = \"../").nth(1)) {
            let folder = format!("crates/{}", path.split('"').next().unwrap());
            if path.starts_with(char::is_alphabetic) && !reached.contains(&folder) {
                reached.push(folder);
            }
        }
        at += 1;
    }
    assert!(reached.len() > 4, "{reached:?}");
    for folder in reached {
        assert!(line("node").contains(&format!("\"{folder}/src\"")), "{folder} is missing in `node`");
    }
}

/// Hard case: only for a moment, under load, at a reload or at the end.
#[test]
fn as_run_starts_it_the_router_opens_nothing_that_the_platform_refuses() {
    let engine = Engine::start("e");
    let discovery = Discovery::start();
    discovery.tell(true, &[engine.entry("ready")]);
    let mut router = Router::with(env!("CARGO_BIN_EXE_cleatgw"), &discovery, 256, &[]);
    let process = router.process();
    let looks = |times: u32| {
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
        looks(1);
        for client in &mut clients {
            assert!(matches!(client.answer(), Answered::Rows(_)));
        }
    }
    discovery.drop_all();
    router.reload(&router.configuration(&discovery, r#"{"rev":0,"notices":[]}"#));
    router.signal(Signal::USR1);
    looks(20);
    clients[0].send(&request("look", 1500, "hold"));
    engine.seen.wait("hold", 1);
    router.fail();
    looks(100);
    assert!(matches!(clients[0].answer(), Answered::Error(..)));
    assert_eq!(router.ended().0, Some(0));
}
