use super::*;

fn echo() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            std::thread::spawn(move || {
                let (mut from, mut to) = (stream.try_clone().unwrap(), stream);
                let _ = std::io::copy(&mut from, &mut to);
            });
        }
    });
    address
}

#[test]
fn what_is_kept_back_comes_whole_later_and_a_reset_ends_what_is_open() {
    let (began, over) = (Instant::now(), Arc::new(AtomicBool::new(false)));
    let stream = Stream::start(echo(), began, over.clone());
    let mut client = TcpStream::connect(stream.address).unwrap();
    let mut said = |words: &[u8]| {
        let asked = Instant::now();
        client.write_all(words).unwrap();
        let mut back = vec![0; words.len()];
        let read = client.read_exact(&mut back).map(|()| back);
        (read.ok(), asked.elapsed().as_secs_f64())
    };
    assert_eq!(said(b"one").0.as_deref(), Some(&b"one"[..]));
    stream.does(Fault::Back(0.3));
    let (back, took) = said(b"two");
    assert!(back.as_deref() == Some(b"two") && took > 0.25, "{back:?} {took}");
    stream.does(Fault::Delay(0.05));
    let (back, took) = said(b"three");
    assert!(back.as_deref() == Some(b"three") && took > 0.09, "{back:?} {took}");
    stream.does(Fault::Sound);
    assert!(stream.was_rough(0.0, 9.0, 0.0) && !stream.was_rough(90.0, 99.0, 0.0));
    stream.does(Fault::Reset);
    assert_eq!(said(b"four").0, None);
    stream.does(Fault::Refuse(true));
    let mut rejected_unseen = TcpStream::connect(stream.address).unwrap();
    assert_eq!(rejected_unseen.read(&mut [0; 8]).unwrap_or(0), 0);
    over.store(true, Ordering::Relaxed);
}
