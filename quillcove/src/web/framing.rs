//! Framing of responses: how a head tells where the body ends (RFC 9112, 6.3). A head that does not tell it in one way only
//! is damaged, and its message is no response.

use http::header::{CONTENT_LENGTH, HeaderValue, TRANSFER_ENCODING};
use http::{HeaderMap, StatusCode};

/// Coding of a body in chunks; the only transfer coding that is taken.
const CHUNKED: &str = "chunked";

/// Most bytes of the size of a chunk, in hexadecimal digits.
const MAX_SIZE_DIGITS: usize = 16;

/// How the end of a body is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// By a length, in bytes.
    Length(u64),
    /// By the last chunk.
    Chunks,
    /// By the end of the connection.
    Connection,
}

/// Fault of a head that does not tell where its body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FramingFault {
    /// The length is not one number, in digits.
    #[error("the length of the body is not one number")]
    Length,
    /// The transfer coding is not `chunked` alone.
    #[error("the transfer coding is not 'chunked' alone")]
    Coding,
    /// There are both a length and a transfer coding.
    #[error("the head has both a length and a transfer coding")]
    Both,
    /// The status is none of a final response.
    #[error("status {0} is none of a final response")]
    Interim(u16),
    /// The body begins with what belongs to the head or to chunks.
    #[error("the body begins with a part of the head or of chunks")]
    Body,
}

/// Checks the head of a final response, and returns how the end of its body is found. hyper skips interim responses, but
/// returns a switch to another protocol, which no request here asks for.
///
/// # Errors
///
/// If the status is an interim one, or the headers do not tell the framing in one way only.
///
/// ```
/// use http::{HeaderMap, StatusCode};
/// use quillcove::web::framing::{BodyFraming, check_head};
///
/// assert_eq!(check_head(StatusCode::OK, &HeaderMap::new()), Ok(BodyFraming::Connection));
/// assert!(check_head(StatusCode::SWITCHING_PROTOCOLS, &HeaderMap::new()).is_err());
/// ```
pub fn check_head(status: StatusCode, headers: &HeaderMap) -> Result<BodyFraming, FramingFault> {
    match status.is_informational() {
        true => Err(FramingFault::Interim(status.as_u16())),
        false => body_framing(headers),
    }
}

/// Returns how the end of a body is found.
///
/// # Errors
///
/// If the headers do not tell it in one way only.
///
/// ```
/// use http::HeaderMap;
/// use quillcove::web::framing::{BodyFraming, FramingFault, body_framing};
///
/// let mut headers = HeaderMap::new();
/// assert_eq!(body_framing(&headers), Ok(BodyFraming::Connection));
/// headers.insert("content-length", "5".parse().unwrap());
/// assert_eq!(body_framing(&headers), Ok(BodyFraming::Length(5)));
/// headers.insert("transfer-encoding", "chunked".parse().unwrap());
/// assert_eq!(body_framing(&headers), Err(FramingFault::Both));
/// ```
pub fn body_framing(headers: &HeaderMap) -> Result<BodyFraming, FramingFault> {
    let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    match (lengths.next(), codings.next()) {
        (None, None) => Ok(BodyFraming::Connection),
        (Some(_), Some(_)) => Err(FramingFault::Both),
        (Some(length), None) => {
            let number = read_length(length).filter(|_| lengths.next().is_none());
            number.map(BodyFraming::Length).ok_or(FramingFault::Length)
        },
        (None, Some(coding)) => {
            let is_chunked =
                coding.as_bytes().trim_ascii().eq_ignore_ascii_case(CHUNKED.as_bytes());
            let is_alone = codings.next().is_none();
            (is_chunked && is_alone).then_some(BodyFraming::Chunks).ok_or(FramingFault::Coding)
        },
    }
}

/// Parses a length; without the signs that a number may have elsewhere.
fn read_length(value: &HeaderValue) -> Option<u64> {
    let digits = value.as_bytes().trim_ascii();
    let is_number = !digits.is_empty() && digits.iter().all(u8::is_ascii_digit);
    std::str::from_utf8(digits).ok().filter(|_| is_number)?.parse().ok()
}

/// Checks the begin of a body that ends with its connection, and of which `is_whole` tells whether it is all. Where the
/// head was damaged, a line that tells the length, or the size of a chunk, may have become a part of the body.
///
/// # Errors
///
/// If the body begins with such a part.
///
/// ```
/// use quillcove::web::framing::check_begin;
///
/// assert!(check_begin(b"id: 4\ndata: text\n\n", true).is_ok());
/// assert!(check_begin(b"content-length: 4\r\n\r\ntext", true).is_err());
/// assert!(check_begin(b"4\r\ntext\r\n0\r\n\r\n", true).is_err());
/// ```
pub fn check_begin(begin: &[u8], is_whole: bool) -> Result<(), FramingFault> {
    match has_framing_field(begin) || has_chunk(begin, is_whole) {
        true => Err(FramingFault::Body),
        false => Ok(()),
    }
}

/// Returns whether a field of the framing is among the fields with which a body begins.
fn has_framing_field(begin: &[u8]) -> bool {
    let name = |line: &[u8]| {
        let end = line.iter().position(|byte| *byte == b':')?;
        Some(line[..end].to_ascii_lowercase())
    };
    let lines = begin.split(|byte| *byte == b'\n');
    let names = lines.map_while(name);
    names.into_iter().any(|name| {
        name == CONTENT_LENGTH.as_str().as_bytes() || name == TRANSFER_ENCODING.as_str().as_bytes()
    })
}

/// Returns whether a body begins with a chunk. One whose end is not there counts unless the body is whole.
fn has_chunk(begin: &[u8], is_whole: bool) -> bool {
    let Some(line_end) = begin.windows(2).position(|pair| pair == b"\r\n") else {
        return false;
    };
    let digits = &begin[..line_end];
    let is_size =
        (1..=MAX_SIZE_DIGITS).contains(&digits.len()) && digits.iter().all(u8::is_ascii_hexdigit);
    let text = std::str::from_utf8(digits).ok().filter(|_| is_size);
    let Some(size) = text.and_then(|text| usize::from_str_radix(text, 16).ok()) else {
        return false;
    };
    let rest = &begin[line_end + 2..];
    match rest.get(size..) {
        Some(after) if after.len() >= 2 => after.starts_with(b"\r\n"),
        Some(_) | None => !is_whole,
    }
}
