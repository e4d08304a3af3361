//! HTTP/1.1 messages over blocking sockets.

use std::io::{BufRead, BufReader, Read};
use std::net::TcpStream;

/// A request or an answer as it came.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body came to the end that its framing gives.
    pub whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads the first line and the headers; `None` when the connection ends before their end.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 || !line.ends_with('\n') {
        return None;
    }
    message.first = line.trim_end().to_string();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 || !line.ends_with('\n') {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some(message);
        }
        let (name, value) = line.split_once(':')?;
        message.headers.push((name.to_string(), value.trim().to_string()));
    }
}

/// Reads the body of a request.
pub fn read_request_body(reader: &mut BufReader<TcpStream>, message: &mut Message) -> bool {
    message.whole = if message.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
        read_chunks(reader, &mut message.body, |_| ())
    } else {
        let length = message.header("content-length").parse().unwrap_or(0);
        message.body = vec![0; length];
        reader.read_exact(&mut message.body).is_ok()
    };
    message.whole
}

/// Reads chunks up to the last one; tells whether that came.
pub fn read_chunks(
    reader: &mut BufReader<TcpStream>,
    body: &mut Vec<u8>,
    mut seen: impl FnMut(&[u8]),
) -> bool {
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).unwrap_or(0) == 0 {
            return false;
        }
        let Ok(length) = usize::from_str_radix(line.trim(), 16) else {
            return false;
        };
        let mut chunk = vec![0; length + 2];
        if reader.read_exact(&mut chunk).is_err() {
            return false;
        }
        if length == 0 {
            return true;
        }
        seen(&chunk[..length]);
        body.extend_from_slice(&chunk[..length]);
    }
}

/// Reads a whole answer; `None` when the connection ends before its head has come.
pub fn read_answer(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut message = read_head(reader)?;
    let mut body = Vec::new();
    message.whole = if message.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
        read_chunks(reader, &mut body, |_| ())
    } else if let Ok(length) = message.header("content-length").parse::<u64>() {
        let read = reader.by_ref().take(length).read_to_end(&mut body);
        read.is_ok() && body.len() as u64 == length
    } else {
        reader.read_to_end(&mut body).is_ok()
    };
    message.body = body;
    Some(message)
}
