//! Bodies of requests, held in memory within the process's account.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::{Bytes, BytesMut};
use http_body::{Body, Frame, SizeHint};
use quillcove_core::memory::{
    MemoryAccount, MemoryClass, MemoryFull, MemoryPermit, SMALL_BODY_BYTES,
};

/// Size of a body's first buffer if its length is not known, in bytes. The buffer is doubled up to [`SEGMENT_BYTES`].
const FIRST_BUFFER_BYTES: usize = 2 << 10;

/// Largest first buffer of a body whose length is announced, in bytes: nobody has sent what is only announced.
const ANNOUNCED_BUFFER_BYTES: usize = 8 << 10;

/// Size of a segment of a body, in bytes. Segments of one size can be reused by the allocator, and a body that grows is
/// not copied beyond it.
const SEGMENT_BYTES: usize = SMALL_BODY_BYTES;

/// Collects a body. Its pieces are copied, as a piece of a few bytes would keep the buffer of the connection.
#[derive(Debug)]
pub struct BodyCollector {
    segments: Vec<Bytes>,
    segment: BytesMut,
    length: usize,
    /// Bytes of all segments, by their capacity.
    capacity: usize,
    permit: MemoryPermit,
}

impl BodyCollector {
    /// Creates a collector for a body, of a known length if it is announced.
    ///
    /// # Errors
    ///
    /// If no memory is left.
    ///
    /// ```
    /// use quillcove::web::held::BodyCollector;
    /// use quillcove_core::memory::{CallerBudget, MachineLimits, MemoryAccount};
    ///
    /// let machine = MachineLimits { memory_bytes: 17_000_000, descriptors: 1000 };
    /// let account = MemoryAccount::new(CallerBudget::of(machine));
    /// let mut collector = BodyCollector::new(&account, None).unwrap();
    /// collector.push(&mut &b"te"[..]).unwrap();
    /// collector.push(&mut &b"xt"[..]).unwrap();
    /// assert_eq!(collector.finish().first_segment(), b"text");
    /// ```
    pub fn new(account: &Arc<MemoryAccount>, announced: Option<usize>) -> Result<Self, MemoryFull> {
        let capacity = announced.unwrap_or(0).min(ANNOUNCED_BUFFER_BYTES);
        let permit = account.reserve(MemoryClass::Bodies, capacity)?;
        let segment = BytesMut::with_capacity(capacity);
        Ok(Self { segments: Vec::new(), segment, length: 0, capacity, permit })
    }

    /// Returns the number of bytes collected.
    ///
    /// See [`BodyCollector::new`] for the use of a collector.
    #[allow(clippy::len_without_is_empty)]
    pub fn len(&self) -> usize {
        self.length
    }

    /// Adds bytes, and removes from `data` those that were added. After an error it can be called again with the rest.
    ///
    /// # Errors
    ///
    /// If no memory is left.
    ///
    /// See [`BodyCollector::new`] for an example.
    pub fn push(&mut self, data: &mut &[u8]) -> Result<(), MemoryFull> {
        while !data.is_empty() {
            if self.segment.len() == self.segment.capacity() {
                self.add_space()?;
            }
            let count = data.len().min(self.segment.capacity() - self.segment.len());
            self.segment.extend_from_slice(&data[..count]);
            self.length += count;
            *data = &data[count..];
        }
        Ok(())
    }

    /// Doubles the segment, or begins the next one.
    fn add_space(&mut self) -> Result<(), MemoryFull> {
        let before = self.segment.capacity();
        if before >= SEGMENT_BYTES {
            self.permit.grow_to(self.capacity + SEGMENT_BYTES)?;
            self.capacity += SEGMENT_BYTES;
            let full = std::mem::replace(&mut self.segment, BytesMut::with_capacity(SEGMENT_BYTES));
            self.segments.push(full.freeze());
            return Ok(());
        }
        let wanted = (before * 2).clamp(FIRST_BUFFER_BYTES, SEGMENT_BYTES);
        self.permit.grow_to(self.capacity + wanted - before)?;
        self.capacity += wanted - before;
        let mut larger = BytesMut::with_capacity(wanted);
        larger.extend_from_slice(&self.segment);
        self.segment = larger;
        Ok(())
    }

    /// Returns the complete body.
    ///
    /// See [`BodyCollector::new`] for an example.
    pub fn finish(mut self) -> HeldBody {
        if !self.segment.is_empty() {
            self.segments.push(self.segment.freeze());
        }
        let segments = self.segments.into();
        HeldBody { segments, length: self.length, permit: Arc::new(self.permit) }
    }
}

/// A complete body. Its memory is given back when the last copy of it is dropped, those that are being sent included.
#[derive(Clone, Debug)]
pub struct HeldBody {
    segments: Arc<[Bytes]>,
    length: usize,
    permit: Arc<MemoryPermit>,
}

impl HeldBody {
    /// Returns the begin of the body.
    ///
    /// See [`BodyCollector::new`] for an example.
    pub fn first_segment(&self) -> &[u8] {
        self.segments.first().map_or(&[], |segment| segment)
    }

    /// Returns the parts of the body after the first segment.
    ///
    /// See [`BodyCollector::new`] for how a body is made.
    pub fn other_segments(&self) -> impl Iterator<Item = &[u8]> {
        self.segments.iter().skip(1).map(|segment| &segment[..])
    }

    /// Returns the body in one piece. While it is joined, it is held twice.
    ///
    /// # Errors
    ///
    /// If no memory is left for joining it.
    ///
    /// ```
    /// use quillcove::web::held::BodyCollector;
    /// use quillcove_core::memory::{CallerBudget, MachineLimits, MemoryAccount};
    ///
    /// let machine = MachineLimits { memory_bytes: 17_000_000, descriptors: 1000 };
    /// let account = MemoryAccount::new(CallerBudget::of(machine));
    /// let mut collector = BodyCollector::new(&account, None).unwrap();
    /// collector.push(&mut &[7; 100_000][..]).unwrap();
    /// let joined = collector.finish().join(&account).unwrap();
    /// assert_eq!((joined.len(), account.total()), (100_000, 100_000));
    /// ```
    pub fn join(self, account: &Arc<MemoryAccount>) -> Result<Bytes, MemoryFull> {
        if let [segment] = &self.segments[..] {
            let held = HeldSegment { segment: segment.clone(), _permit: self.permit };
            return Ok(Bytes::from_owner(held));
        }
        let permit = Arc::new(account.reserve(MemoryClass::Bodies, self.length)?);
        let segment = Bytes::from(self.segments.concat());
        Ok(Bytes::from_owner(HeldSegment { segment, _permit: permit }))
    }

    /// Returns the body as that of a message to send.
    ///
    /// See [`BodyCollector::new`] for how a body is made.
    pub fn to_send(&self) -> SentBody {
        SentBody { body: self.clone(), next: 0, left: self.length }
    }
}

/// A held body that is being sent.
#[derive(Debug)]
pub struct SentBody {
    body: HeldBody,
    /// Index of the next segment.
    next: usize,
    /// Bytes from that segment on.
    left: usize,
}

impl Body for SentBody {
    type Data = Bytes;
    type Error = std::convert::Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let Some(segment) = self.body.segments.get(self.next).cloned() else {
            return Poll::Ready(None);
        };
        self.next += 1;
        self.left -= segment.len();
        // The queue of the connection may hold the segment for longer than this body lives.
        let held = HeldSegment { segment, _permit: self.body.permit.clone() };
        Poll::Ready(Some(Ok(Frame::data(Bytes::from_owner(held)))))
    }

    fn is_end_stream(&self) -> bool {
        self.next == self.body.segments.len()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left as u64)
    }
}

/// Returns bytes that are held within an account until the last copy of them is dropped.
///
/// # Errors
///
/// If no memory is left.
///
/// ```
/// use quillcove::web::held::hold;
/// use quillcove_core::memory::{CallerBudget, MachineLimits, MemoryAccount};
///
/// let machine = MachineLimits { memory_bytes: 17_000_000, descriptors: 1000 };
/// let account = MemoryAccount::new(CallerBudget::of(machine));
/// let held = hold(vec![1; 500].into(), &account).unwrap();
/// assert_eq!((held.len(), account.total()), (500, 500));
/// ```
pub fn hold(bytes: Bytes, account: &Arc<MemoryAccount>) -> Result<Bytes, MemoryFull> {
    let permit = account.reserve(MemoryClass::Bodies, bytes.len())?;
    Ok(with_permit(bytes, permit))
}

/// Returns bytes that keep their permit until the last copy of them is dropped.
///
/// ```
/// use quillcove::web::held::with_permit;
/// use quillcove_core::memory::{CallerBudget, MachineLimits, MemoryAccount, MemoryClass};
///
/// let machine = MachineLimits { memory_bytes: 17_000_000, descriptors: 1000 };
/// let account = MemoryAccount::new(CallerBudget::of(machine));
/// let permit = account.reserve(MemoryClass::Events, 500).unwrap();
/// let held = with_permit(vec![1; 500].into(), permit);
/// assert_eq!((held.len(), account.total()), (500, 500));
/// drop(held);
/// assert_eq!(account.total(), 0);
/// ```
pub fn with_permit(bytes: Bytes, permit: MemoryPermit) -> Bytes {
    Bytes::from_owner(HeldSegment { segment: bytes, _permit: Arc::new(permit) })
}

/// A segment with the permit for its memory.
struct HeldSegment {
    segment: Bytes,
    _permit: Arc<MemoryPermit>,
}

impl AsRef<[u8]> for HeldSegment {
    fn as_ref(&self) -> &[u8] {
        &self.segment
    }
}
