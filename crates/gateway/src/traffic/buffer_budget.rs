//! Memory for the bodies that this host buffers for its clients and engines, over all connections.

use std::{cell::Cell, rc::Rc, time::Duration};

use bytes::{Bytes, BytesMut};
use reelreel_http::{BodyDecoder, HttpStream, ReadError};
use tokio::{sync::Notify, time::Instant};

/// Size above which a body counts as large. Unit: bytes.
///
/// Prompts and answers of models are smaller.
pub const LARGE_BODY_BYTES: usize = 64 * 1024;

/// Large bodies leave one part in this many of the budget to smaller ones, so that slow readers of
/// large bodies do not cause refusals of ordinary prompts.
const SMALL_BODY_DIVISOR: usize = 4;

/// What happens when a body doesn't fit into the budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OverflowPolicy {
    /// Reading fails.
    Refuse,
    /// Reading pauses until other bodies have been released.
    Pause,
}

/// The result of reading a body within a budget.
#[derive(Debug, PartialEq, Eq)]
pub enum BudgetedBody {
    /// The complete body.
    Complete(Bytes),
    /// The body is longer than its own limit.
    TooLarge,
    /// The budget is used up.
    NoMemory,
}

/// A limit on the bytes that all buffered bodies of one kind may take together.
#[derive(Debug)]
pub struct BufferBudget {
    limit: usize,
    held: Cell<usize>,
    released: Notify,
}

impl BufferBudget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: usize) -> Rc<Self> {
        Rc::new(Self { limit, held: Cell::new(0), released: Notify::new() })
    }

    /// Returns the number of reserved bytes.
    pub const fn held(&self) -> usize {
        self.held.get()
    }

    /// Returns an empty reservation.
    pub fn reservation(self: &Rc<Self>) -> BufferReservation {
        BufferReservation { budget: Rc::clone(self), bytes: 0, paused: Duration::ZERO }
    }

    const fn limit_for(&self, body_bytes: usize) -> usize {
        if body_bytes > LARGE_BODY_BYTES {
            self.limit - self.limit / SMALL_BODY_DIVISOR
        } else {
            self.limit
        }
    }
}

/// Memory reserved for one body, released when dropped.
#[derive(Debug)]
pub struct BufferReservation {
    budget: Rc<BufferBudget>,
    bytes: usize,
    /// The longest wait for room.
    paused: Duration,
}

impl BufferReservation {
    /// Returns the number of reserved bytes.
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the longest wait for room.
    pub const fn paused(&self) -> Duration {
        self.paused
    }

    /// Reserves `bytes` in total if the part of the budget for a body of this size has room.
    pub fn try_reserve_by_size(&mut self, bytes: usize) -> bool {
        let limit = self.budget.limit_for(bytes);
        let fits = self.budget.held() - self.bytes + bytes <= limit || bytes <= self.bytes;
        if fits {
            self.set(bytes.max(self.bytes));
        }
        fits
    }

    /// Reserves `bytes` in total; waits until there is room.
    ///
    /// A body may exceed the budget if nothing else is reserved: it could never be read otherwise.
    pub async fn reserve_when_free(&mut self, bytes: usize) {
        let budget = Rc::clone(&self.budget);
        let began = Instant::now();
        loop {
            let released = budget.released.notified();
            if self.try_reserve_by_size(bytes) {
                return;
            }
            if budget.held() == self.bytes {
                self.set(bytes);
                return;
            }
            released.await;
            self.paused = self.paused.max(began.elapsed());
        }
    }

    fn set(&mut self, bytes: usize) {
        self.budget.held.set(self.budget.held() - self.bytes + bytes);
        self.bytes = bytes;
    }
}

impl Drop for BufferReservation {
    fn drop(&mut self) {
        if self.bytes > 0 {
            self.set(0);
            self.budget.released.notify_waiters();
        }
    }
}

/// Reads a complete body of at most `limit` bytes, and reserves memory before it is allocated.
///
/// `announced` is the length that the message head states, or zero.
///
/// # Errors
/// Returns an error if the body is malformed or truncated.
pub async fn read_budgeted_body(
    stream: &mut HttpStream,
    decoder: &mut BodyDecoder,
    announced: usize,
    limit: usize,
    reservation: &mut BufferReservation,
    policy: OverflowPolicy,
) -> Result<BudgetedBody, ReadError> {
    if announced > limit {
        return Ok(BudgetedBody::TooLarge);
    }
    if !grow(reservation, announced, policy).await {
        return Ok(BudgetedBody::NoMemory);
    }
    let mut body = BytesMut::with_capacity(announced);
    while let Some(data) = stream.read_body(decoder).await? {
        let length = body.len() + data.len();
        if length > limit {
            return Ok(BudgetedBody::TooLarge);
        }
        if length > body.capacity() {
            // Bodies without an announced length grow by doubling.
            let capacity = length.max(2 * body.capacity()).min(limit);
            if !grow(reservation, capacity, policy).await {
                return Ok(BudgetedBody::NoMemory);
            }
            body.reserve(capacity - body.len());
        }
        body.extend_from_slice(&data);
    }
    Ok(BudgetedBody::Complete(body.freeze()))
}

async fn grow(reservation: &mut BufferReservation, bytes: usize, policy: OverflowPolicy) -> bool {
    match policy {
        OverflowPolicy::Refuse => reservation.try_reserve_by_size(bytes),
        OverflowPolicy::Pause => {
            reservation.reserve_when_free(bytes).await;
            true
        }
    }
}
