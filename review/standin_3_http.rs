//! HTTP/1.1 messages over blocking sockets: just what the stand-ins of these cases need.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

/// One request or answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body came to its end as HTTP sees it.
    pub is_whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map_or("", |(_, value)| value.as_str())
    }

    pub fn path(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// Value of a parameter of the query.
    pub fn parameter(&self, name: &str) -> &str {
        let query = self.path().split_once('?').map_or("", |(_, query)| query);
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.filter(|(key, _)| *key == name).map(|(_, value)| value).next().unwrap_or("")
    }
}

/// Reads the first line and the headers; `None` when the connection ends before they do.
pub fn read_head(reader: &mut impl BufRead) -> Option<Message> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    message.first_line = line.trim_end().to_string();
    loop {
        line.clear();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let Some((name, value)) = line.trim_end().split_once(':') else {
            return Some(message);
        };
        message.headers.push((name.to_ascii_lowercase(), value.trim().to_string()));
    }
}

/// Reads the next chunk of a body in chunks; `Some` of an empty text at the end of the body, `None` if it broke off.
pub fn read_chunk(reader: &mut impl BufRead) -> Option<Vec<u8>> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let length = usize::from_str_radix(line.trim(), 16).ok()?;
    let mut chunk = vec![0; length + 2];
    reader.read_exact(&mut chunk).ok()?;
    chunk.truncate(length);
    Some(chunk)
}

/// Reads the body that a head announces.
pub fn read_body(message: &mut Message, reader: &mut impl BufRead, is_answer: bool) {
    if let Ok(length) = message.header("content-length").parse::<usize>() {
        let mut body = Vec::new();
        let read = reader.take(length as u64).read_to_end(&mut body);
        message.is_whole = read.is_ok() && body.len() == length;
        message.body = body;
    } else if message.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
        loop {
            match read_chunk(reader) {
                Some(chunk) if chunk.is_empty() => {
                    message.is_whole = true;
                    return;
                },
                Some(chunk) => message.body.extend(chunk),
                None => return,
            }
        }
    } else if is_answer {
        message.is_whole = reader.read_to_end(&mut message.body).is_ok();
    } else {
        message.is_whole = true;
    }
}

/// Reads one message with its body.
pub fn read_message(reader: &mut impl BufRead, is_answer: bool) -> Option<Message> {
    let mut message = read_head(reader)?;
    read_body(&mut message, reader, is_answer);
    Some(message)
}

/// Connects and sends bytes; returns the connection for the answer.
pub fn send(address: SocketAddr, text: &str, limit: Duration) -> Option<BufReader<TcpStream>> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.write_all(text.as_bytes()).ok()?;
    Some(BufReader::new(stream))
}

/// Sends bytes over a new connection and reads one answer.
pub fn exchange(address: SocketAddr, text: &str, limit: Duration) -> Option<Message> {
    read_message(&mut send(address, text, limit)?, true)
}

/// Serves each connection to a listener in a thread of its own.
pub fn serve(listener: TcpListener, handle: impl Fn(TcpStream) + Clone + Send + 'static) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            let _ = stream.set_nodelay(true);
            thread::spawn(move || handle(stream));
        }
    });
}
