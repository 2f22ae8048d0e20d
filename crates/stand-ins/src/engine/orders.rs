//! Fenced orders: load, unload and raise the fencing token.

use std::{
    io::{Read, Write},
    net::TcpStream,
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::engine::state::{EngineShared, Slot};

/// The body of an order.
#[derive(Debug, Clone, Deserialize)]
pub(super) struct OrderBody {
    pub(super) token: u64,
    pub(super) action: OrderAction,
    #[serde(default)]
    pub(super) adapter: String,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum OrderAction {
    Raise,
    Load,
    Unload,
}

/// The answer to an executed order.
#[derive(Debug, Clone, Copy, Serialize)]
pub(super) struct OrderDone {
    pub(super) incarnation: u64,
    pub(super) sequence: u64,
}

/// The reason why an order was not executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum OrderError {
    Fenced(u64),
    NoSlot,
    LoadFailed,
}

impl EngineShared {
    /// Checks a fencing token and accepts a higher one, if the engine checks fences.
    pub(super) fn check_fence(&self, token: u64) -> Result<(), u64> {
        let mut state = self.lock();
        if !self.options.checks_fence {
            return Ok(());
        }
        if token < state.token {
            return Err(state.token);
        }
        if token > state.token {
            state.token = token;
            state.record_change();
        }
        Ok(())
    }

    pub(super) fn order(&self, order: &OrderBody) -> Result<OrderDone, OrderError> {
        self.check_fence(order.token).map_err(OrderError::Fenced)?;
        match order.action {
            OrderAction::Raise => Ok(()),
            OrderAction::Load => self.load(&order.adapter),
            OrderAction::Unload => {
                self.unload(&order.adapter);
                Ok(())
            }
        }?;
        let state = self.lock();
        Ok(OrderDone { incarnation: state.incarnation, sequence: state.sequence })
    }

    fn load(&self, adapter: &str) -> Result<(), OrderError> {
        let incarnation = {
            let mut state = self.lock();
            match state.slots.get(adapter) {
                Some(Slot::Loaded) => return Ok(()),
                Some(Slot::Loading) => {
                    drop(state);
                    return self.wait_loaded(adapter);
                }
                None => {}
            }
            if state.slots.len() >= self.options.slots {
                return Err(OrderError::NoSlot);
            }
            state.slots.insert(adapter.to_owned(), Slot::Loading);
            state.record_change();
            state.incarnation
        };
        let fetched = self.faults.loads.apply(|| fetch(&self.options.platform, adapter));
        let loaded = fetched == Some(true);
        let mut state = self.lock();
        if state.incarnation != incarnation {
            return Err(OrderError::LoadFailed);
        }
        if loaded {
            state.slots.insert(adapter.to_owned(), Slot::Loaded);
            state.evidence.loads += 1;
        } else {
            state.slots.remove(adapter);
        }
        state.record_change();
        if loaded { Ok(()) } else { Err(OrderError::LoadFailed) }
    }

    fn wait_loaded(&self, adapter: &str) -> Result<(), OrderError> {
        loop {
            std::thread::sleep(Duration::from_millis(5));
            match self.lock().slots.get(adapter) {
                Some(Slot::Loaded) => return Ok(()),
                Some(Slot::Loading) => {}
                None => return Err(OrderError::LoadFailed),
            }
        }
    }

    /// Unloads an adapter and interrupts the requests that run on it, as a real engine does.
    fn unload(&self, adapter: &str) {
        let mut state = self.lock();
        if state.slots.get(adapter) != Some(&Slot::Loaded) {
            return;
        }
        state.slots.remove(adapter);
        let mut interrupted = 0;
        for sequence in state.sequences.values_mut() {
            if sequence.adapter == adapter && sequence.is_running() {
                sequence.interrupted = true;
                interrupted += 1;
            }
        }
        state.evidence.cut_by_unload += interrupted;
        state.record_change();
        drop(state);
        self.stepped.notify_all();
    }
}

/// Fetches an adapter from the weight store; returns whether this succeeded.
fn fetch(platform: &str, adapter: &str) -> bool {
    if platform.is_empty() {
        return true;
    }
    let exchange = || -> std::io::Result<String> {
        let body = serde_json::json!({ "adapter": adapter }).to_string();
        let mut stream = TcpStream::connect(platform)?;
        stream.set_read_timeout(Some(Duration::from_mins(1)))?;
        write!(
            stream,
            "POST /store/loads HTTP/1.1\r\nhost: platform\r\nconnection: close\r\n\
             content-length: {}\r\n\r\n{body}",
            body.len()
        )?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer)?;
        Ok(answer)
    };
    exchange().is_ok_and(|answer| answer.starts_with("HTTP/1.1 200"))
}
