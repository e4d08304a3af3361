//! Tickets: authenticated tokens that allow one request to run once, at the agent that issued them.

use std::time::Duration;

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

use crate::adapter::is_valid_name;
use crate::ids::{HostId, Incarnation, MonoTime};

/// Length of the truncated HMAC-SHA256 in a ticket, in bytes.
const CODE_BYTES: usize = 16;

/// Separator of a ticket's fields; not allowed in host names.
const FIELD_MARK: char = '~';

/// HMAC key of an agent, generated at each process start. It never leaves the process.
pub type TicketSecret = [u8; 32];

/// Decoded ticket.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RunTicket {
    /// Host of the agent that issued it.
    pub owner: HostId,
    /// Incarnation of that agent.
    pub incarnation: Incarnation,
    /// Serial number of the ticket within that process start.
    pub serial: u64,
    /// Expiry on the owner's monotonic clock.
    pub expires: MonoTime,
}

impl RunTicket {
    /// Encodes the ticket with its authentication code.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove_core::once::ticket::RunTicket;
    ///
    /// let ticket = RunTicket {
    ///     owner: "b1".into(),
    ///     incarnation: 5,
    ///     serial: 1,
    ///     expires: Duration::from_secs(60),
    /// };
    /// let text = ticket.encode(&[7; 32]);
    /// assert_eq!(RunTicket::decode(&text, &[7; 32]), Some(ticket));
    /// assert_eq!(RunTicket::decode(&text, &[8; 32]), None);
    /// ```
    pub fn encode(&self, secret: &TicketSecret) -> String {
        let fields = self.fields();
        let code = hex::encode(authentication_code(&fields, secret));
        format!("{fields}{FIELD_MARK}{code}")
    }

    /// Decodes a ticket and verifies its authentication code. Returns `None` if either fails.
    ///
    /// ```
    /// use quillcove_core::once::ticket::RunTicket;
    ///
    /// assert_eq!(RunTicket::decode("nonsense", &[7; 32]), None);
    /// ```
    pub fn decode(text: &str, secret: &TicketSecret) -> Option<Self> {
        let (fields, given) = text.rsplit_once(FIELD_MARK)?;
        let given = hex::decode(given).ok()?;
        if given.len() != CODE_BYTES {
            return None;
        }
        mac(fields, secret).verify_truncated_left(&given).ok()?;
        Self::read_fields(fields)
    }

    /// Decodes a ticket without verifying it, to find its owner. The owner verifies it.
    ///
    /// ```
    /// use quillcove_core::once::ticket::RunTicket;
    ///
    /// assert_eq!(RunTicket::decode_unverified("b1~5~1~ea60~00").unwrap().owner, "b1");
    /// ```
    pub fn decode_unverified(text: &str) -> Option<Self> {
        let (fields, _) = text.rsplit_once(FIELD_MARK)?;
        Self::read_fields(fields)
    }

    fn fields(&self) -> String {
        let expires = self.expires.as_millis() as u64;
        let Self { owner, incarnation, serial, .. } = self;
        format!("{owner}{FIELD_MARK}{incarnation:x}{FIELD_MARK}{serial:x}{FIELD_MARK}{expires:x}")
    }

    fn read_fields(fields: &str) -> Option<Self> {
        let mut parts = fields.split(FIELD_MARK);
        let owner = parts.next().filter(|owner| is_valid_name(owner))?.to_string();
        let mut number = || u64::from_str_radix(parts.next()?, 16).ok();
        let (incarnation, serial, expires) = (number()?, number()?, number()?);
        let expires = Duration::from_millis(expires);
        match parts.next() {
            Some(_) => None,
            None => Some(Self { owner, incarnation, serial, expires }),
        }
    }
}

fn mac(fields: &str, secret: &TicketSecret) -> Hmac<Sha256> {
    let mut mac = <Hmac<Sha256> as KeyInit>::new_from_slice(secret).expect("any length is a key");
    mac.update(fields.as_bytes());
    mac
}

fn authentication_code(fields: &str, secret: &TicketSecret) -> Vec<u8> {
    mac(fields, secret).finalize().into_bytes()[..CODE_BYTES].to_vec()
}
