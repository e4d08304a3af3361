//! Account of the memory that a process holds for its callers, and of the connections that it may have open.
//!
//! What is held counts, not what was sent: the capacity of each buffer, from before it is allocated until it is freed. A
//! process that would hold more than its budget rejects what is new.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Bytes of one MB in the platform's figures.
pub const MB_BYTES: usize = 1_000_000;

/// Memory of a process that serves no caller and knows a large fleet, in bytes.
const PROCESS_BYTES: usize = 16 * MB_BYTES;

/// Share of the other memory of its machine that a process may hold for its callers, in percent. The rest is for what the
/// allocator cannot reuse.
const CALLER_PERCENT: usize = 78;

/// Share of the budget that larger bodies leave to small ones and to connections: one part in this many.
const SMALL_BODY_PART: usize = 8;

/// Largest body that counts as small, in bytes.
pub const SMALL_BODY_BYTES: usize = 64 << 10;

/// Largest part of a stream, in bytes, that is held as long as anything is: an event is usually smaller.
const SMALL_EVENT_BYTES: usize = 8 << 10;

/// Share of the budget that events may take together, beyond which no large one grows: one part in this many.
const EVENT_PART: usize = 3;

/// Share of the budget that connections may take with their own buffers: one part in this many.
const CONNECTION_PART: usize = 2;

/// Size of the kernel's receive buffer of a caller's connection, in bytes, as it is asked for; the kernel doubles it.
pub const RECEIVE_BUFFER_BYTES: usize = 16 << 10;

/// Memory that a connection takes without a body, in bytes: its receive buffer, and the buffer and the state with which
/// a request is read.
pub const CONNECTION_BYTES: usize = 2 * RECEIVE_BUFFER_BYTES + (24 << 10);

/// Memory that an admitted request takes without its body, in bytes: its headers, those of its attempt, and the buffers of
/// the connection to its upstream.
pub const REQUEST_BYTES: usize = 32 << 10;

/// Descriptors that a process keeps for files.
const FILE_DESCRIPTORS: usize = 200;

/// Share of the descriptors that callers' connections may take; as many are left for those to upstreams, the store and
/// other processes: one part in this many.
const DESCRIPTOR_PART: usize = 2;

/// What a machine gives a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MachineLimits {
    /// Memory, in bytes.
    pub memory_bytes: usize,
    /// File descriptors.
    pub descriptors: usize,
}

/// What a process may hold for its callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerBudget {
    /// Bytes in all.
    pub total_bytes: usize,
    /// Bytes held in all beyond which no large body and no large event of a stream grows.
    pub large_body_bytes: usize,
    /// Bytes of events beyond which no large event of a stream grows.
    pub event_bytes: usize,
    /// Connections.
    pub connections: usize,
}

impl CallerBudget {
    /// Returns the budget of a process on a machine.
    ///
    /// ```
    /// use quillcove_core::memory::{CallerBudget, MB_BYTES, MachineLimits};
    ///
    /// let machine = MachineLimits { memory_bytes: 160 * MB_BYTES, descriptors: 4100 };
    /// let budget = CallerBudget::of(machine);
    /// assert_eq!(budget.total_bytes / MB_BYTES, 112);
    /// assert!(budget.connections > 900 && budget.connections < 1000);
    /// ```
    pub fn of(machine: MachineLimits) -> Self {
        let free_bytes = machine.memory_bytes.saturating_sub(PROCESS_BYTES);
        let total_bytes = free_bytes / 100 * CALLER_PERCENT;
        let by_memory = total_bytes / CONNECTION_PART / CONNECTION_BYTES;
        let by_descriptors = machine.descriptors.saturating_sub(FILE_DESCRIPTORS) / DESCRIPTOR_PART;
        Self {
            total_bytes,
            large_body_bytes: total_bytes - total_bytes / SMALL_BODY_PART,
            event_bytes: total_bytes / EVENT_PART,
            connections: by_memory.min(by_descriptors).max(1),
        }
    }
}

/// What memory is held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryClass {
    /// Connections, without bodies.
    Connections,
    /// Bodies of requests, until their last attempt has ended.
    Bodies,
    /// Admitted requests, with the responses that are buffered for them.
    Requests,
    /// Events of streams that are incomplete or wait for their callers.
    Events,
}

impl MemoryClass {
    /// All classes.
    pub const ALL: [Self; 4] = [Self::Connections, Self::Bodies, Self::Requests, Self::Events];

    /// Returns the name of the class in logs, metrics and the dump.
    ///
    /// ```
    /// assert_eq!(quillcove_core::memory::MemoryClass::Bodies.label(), "bodies");
    /// ```
    pub fn label(self) -> &'static str {
        match self {
            Self::Connections => "connections",
            Self::Bodies => "bodies",
            Self::Requests => "requests",
            Self::Events => "events",
        }
    }
}

/// No memory is left for something of this class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no memory is left for {}", .0.label())]
pub struct MemoryFull(pub MemoryClass);

/// Account of the bytes that a process holds for its callers.
#[derive(Debug)]
pub struct MemoryAccount {
    budget: CallerBudget,
    total: AtomicUsize,
    by_class: [AtomicUsize; MemoryClass::ALL.len()],
}

impl MemoryAccount {
    /// Creates an account with nothing held.
    ///
    /// See [`MemoryAccount::reserve`] for an example.
    pub fn new(budget: CallerBudget) -> Arc<Self> {
        Arc::new(Self { budget, total: AtomicUsize::new(0), by_class: Default::default() })
    }

    /// Returns what may be held.
    ///
    /// See [`MemoryAccount::reserve`] for an example.
    pub fn budget(&self) -> CallerBudget {
        self.budget
    }

    /// Returns the bytes held for a class.
    ///
    /// See [`MemoryAccount::reserve`] for an example.
    pub fn held(&self, class: MemoryClass) -> usize {
        self.by_class[class as usize].load(Ordering::Relaxed)
    }

    /// Returns the bytes held in all.
    ///
    /// See [`MemoryAccount::reserve`] for an example.
    pub fn total(&self) -> usize {
        self.total.load(Ordering::Relaxed)
    }

    /// Reserves bytes, which are held until the permit is dropped.
    ///
    /// # Errors
    ///
    /// If the budget does not allow it.
    ///
    /// ```
    /// use quillcove_core::memory::{CallerBudget, MachineLimits, MemoryAccount, MemoryClass};
    ///
    /// let machine = MachineLimits { memory_bytes: 17_000_000, descriptors: 1000 };
    /// let account = MemoryAccount::new(CallerBudget::of(machine));
    /// let permit = account.reserve(MemoryClass::Requests, 600_000).unwrap();
    /// assert!(account.reserve(MemoryClass::Requests, 200_000).is_err());
    /// drop(permit);
    /// assert_eq!((account.total(), account.held(MemoryClass::Requests)), (0, 0));
    /// ```
    pub fn reserve(
        self: &Arc<Self>,
        class: MemoryClass,
        bytes: usize,
    ) -> Result<MemoryPermit, MemoryFull> {
        let mut permit = self.empty_permit(class);
        permit.grow_to(bytes)?;
        Ok(permit)
    }

    /// Returns a permit with nothing held yet.
    ///
    /// ```
    /// use quillcove_core::memory::{CallerBudget, MachineLimits, MemoryAccount, MemoryClass};
    ///
    /// let machine = MachineLimits { memory_bytes: 17_000_000, descriptors: 1000 };
    /// let account = MemoryAccount::new(CallerBudget::of(machine));
    /// assert_eq!(account.empty_permit(MemoryClass::Requests).bytes(), 0);
    /// ```
    pub fn empty_permit(self: &Arc<Self>, class: MemoryClass) -> MemoryPermit {
        MemoryPermit { account: self.clone(), class, bytes: 0 }
    }

    /// Returns the total beyond which a permit of a class may not grow to so many bytes.
    fn ceiling(&self, class: MemoryClass, bytes: usize) -> usize {
        match class {
            MemoryClass::Bodies if bytes > SMALL_BODY_BYTES => self.budget.large_body_bytes,
            MemoryClass::Events if bytes > SMALL_EVENT_BYTES => self.budget.large_body_bytes,
            MemoryClass::Bodies
            | MemoryClass::Connections
            | MemoryClass::Requests
            | MemoryClass::Events => self.budget.total_bytes,
        }
    }

    /// Returns the bytes of a class beyond which a permit may not grow to so many.
    fn class_ceiling(&self, class: MemoryClass, bytes: usize) -> usize {
        match class {
            MemoryClass::Events if bytes > SMALL_EVENT_BYTES => self.budget.event_bytes,
            MemoryClass::Bodies
            | MemoryClass::Connections
            | MemoryClass::Requests
            | MemoryClass::Events => usize::MAX,
        }
    }

    fn remove(&self, class: MemoryClass, bytes: usize) {
        self.total.fetch_sub(bytes, Ordering::Relaxed);
        self.by_class[class as usize].fetch_sub(bytes, Ordering::Relaxed);
    }
}

/// Bytes that are held; given back on drop.
#[derive(Debug)]
pub struct MemoryPermit {
    account: Arc<MemoryAccount>,
    class: MemoryClass,
    bytes: usize,
}

impl MemoryPermit {
    /// Returns the bytes that are held.
    ///
    /// See [`MemoryPermit::grow_to`] for an example.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Raises the bytes that are held; does nothing if they are as many already.
    ///
    /// # Errors
    ///
    /// If the budget does not allow it; the permit stays as it is.
    ///
    /// ```
    /// use quillcove_core::memory::{CallerBudget, MachineLimits, MemoryAccount, MemoryClass};
    ///
    /// let machine = MachineLimits { memory_bytes: 17_000_000, descriptors: 1000 };
    /// let account = MemoryAccount::new(CallerBudget::of(machine));
    /// let mut permit = account.reserve(MemoryClass::Bodies, 1000).unwrap();
    /// assert!(permit.grow_to(500_000).is_ok());
    /// assert!(permit.grow_to(700_000).is_err());
    /// assert_eq!(permit.bytes(), 500_000);
    /// ```
    pub fn grow_to(&mut self, bytes: usize) -> Result<(), MemoryFull> {
        let Some(more) = bytes.checked_sub(self.bytes).filter(|more| *more > 0) else {
            return Ok(());
        };
        let (account, class) = (&self.account, self.class);
        let of_class = &account.by_class[class as usize];
        raise(of_class, more, account.class_ceiling(class, bytes)).ok_or(MemoryFull(class))?;
        if raise(&account.total, more, account.ceiling(class, bytes)).is_none() {
            of_class.fetch_sub(more, Ordering::Relaxed);
            return Err(MemoryFull(class));
        }
        self.bytes = bytes;
        Ok(())
    }
}

impl Drop for MemoryPermit {
    fn drop(&mut self) {
        self.account.remove(self.class, self.bytes);
    }
}

/// Adds to a number unless it would exceed a ceiling.
fn raise(number: &AtomicUsize, more: usize, ceiling: usize) -> Option<usize> {
    let raised = |number: usize| number.checked_add(more).filter(|number| *number <= ceiling);
    number.fetch_update(Ordering::Relaxed, Ordering::Relaxed, raised).ok()
}
