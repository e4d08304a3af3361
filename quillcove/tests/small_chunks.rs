//! An answer that comes in very small chunks takes about its own size, not a read buffer for each chunk.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::Duration;

use http::Method;
use quillcove::duty::run_async;
use quillcove::web::client::WebClient;

/// Chunks of one byte; with a read buffer of 8 KiB each they would take 32 MB.
const CHUNKS: usize = 4000;

/// Bound of the memory that reading them adds: a thousand times the size of the answer.
const MOST_BYTES: usize = 1000 * CHUNKS;

/// Longest time for the answer.
const LIMIT: Duration = Duration::from_secs(60);

fn start_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        stream.set_nodelay(true).unwrap();
        let _ = stream.read(&mut [0; 4096]).unwrap();
        stream.write_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n").unwrap();
        for _ in 0..CHUNKS {
            stream.write_all(b"1\r\nx\r\n").unwrap();
            // Most chunks are read alone.
            thread::sleep(Duration::from_millis(1));
        }
        stream.write_all(b"0\r\n\r\n").unwrap();
    });
    address
}

fn peak_bytes() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
    line.split_whitespace().next().unwrap().parse::<usize>().unwrap() << 10
}

#[test]
fn an_answer_in_very_small_chunks_does_not_keep_their_buffers() {
    let address = start_server();
    let before = peak_bytes();
    let answer = run_async(1, async {
        let client = WebClient::new(LIMIT, Duration::ZERO);
        client.fetch(Method::GET, &format!("http://{address}/"), "", LIMIT).await
    });
    assert_eq!(answer.unwrap().body().len(), CHUNKS);
    let added = peak_bytes() - before;
    println!("added: {} kB", added / 1000);
    assert!(added < MOST_BYTES, "{added}");
}
