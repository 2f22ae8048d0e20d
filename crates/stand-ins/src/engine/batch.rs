//! Continuous batching: one token for each running request and step.

use std::time::Duration;

use crate::engine::state::EngineShared;

/// How long a stream that nobody reads goes on before it is cancelled.
const UNREAD_LIMIT: Duration = Duration::from_secs(3);

/// Ended requests that can still be resumed.
const KEPT_ENDED: usize = 4096;

impl EngineShared {
    /// Does one step.
    pub(super) fn step(&self) {
        let mut state = self.lock();
        let most = self.options.streams;
        let mut batch: Vec<(i32, String)> = state
            .sequences
            .iter()
            .filter(|(_, sequence)| sequence.running())
            .map(|(id, sequence)| (-sequence.priority, id.clone()))
            .collect();
        batch.sort();
        batch.truncate(most);
        if batch.is_empty() {
            return;
        }
        state.evidence.steps += 1;
        state.evidence.step_requests += batch.len() as u64;
        let mut ended = false;
        for (_, id) in batch {
            let Some(sequence) = state.sequences.get_mut(&id) else { continue };
            sequence.produced += 1;
            if sequence.readers == 0 && sequence.unread_since.elapsed() > UNREAD_LIMIT {
                sequence.cut = true;
            }
            ended |= !sequence.running();
        }
        if ended {
            state.changed();
            while state.sequences.len() > KEPT_ENDED {
                let oldest = state
                    .sequences
                    .iter()
                    .find(|(_, sequence)| !sequence.running() && sequence.readers == 0)
                    .map(|(id, _)| id.clone());
                let Some(oldest) = oldest else { break };
                state.sequences.remove(&oldest);
            }
        }
        drop(state);
        self.stepped.notify_all();
    }
}
