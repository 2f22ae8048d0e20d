//! Continuous batching: each step produces one token per request in the batch.

use std::time::Duration;

use crate::engine::state::EngineShared;

/// How long a stream without readers runs before it is interrupted.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(3);

/// The number of sequences above which those that ended and have no reader are dropped.
const MAX_COMPLETED_SEQUENCES: usize = 4096;

impl EngineShared {
    /// Runs a step for the requests of highest priority.
    pub(super) fn step(&self) {
        let mut state = self.lock();
        let max_batch_size = self.options.streams;
        let mut batch: Vec<(i32, String)> = state
            .sequences
            .iter()
            .filter(|(_, sequence)| sequence.is_running())
            .map(|(id, sequence)| (-sequence.priority, id.clone()))
            .collect();
        batch.sort();
        batch.truncate(max_batch_size);
        if batch.is_empty() {
            return;
        }
        state.evidence.steps += 1;
        state.evidence.step_requests += batch.len() as u64;
        let mut any_completed = false;
        for (_, id) in batch {
            let Some(sequence) = state.sequences.get_mut(&id) else { continue };
            sequence.produced_tokens += 1;
            if sequence.readers == 0 && sequence.unread_since.elapsed() > UNREAD_TIMEOUT {
                sequence.interrupted = true;
            }
            any_completed |= !sequence.is_running();
        }
        if any_completed {
            state.record_change();
            while state.sequences.len() > MAX_COMPLETED_SEQUENCES {
                let oldest = state
                    .sequences
                    .iter()
                    .find(|(_, sequence)| !sequence.is_running() && sequence.readers == 0)
                    .map(|(id, _)| id.clone());
                let Some(oldest) = oldest else { break };
                state.sequences.remove(&oldest);
            }
        }
        drop(state);
        self.stepped.notify_all();
    }
}
