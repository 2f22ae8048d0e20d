//! The lines of a placer's frames: what engines hold, and what they work on.

use std::{collections::HashMap, sync::Arc};

use reelreel_core::fleet::{
    EngineIncarnation, EngineName, LoadedModel, ModelKey, work::EngineWork,
};

use crate::peers::frame::{
    EngineChangeMessage, EngineModelsMessage, EngineNumberMessage, LoadedModelMessage,
};

/// How many numbers tell one engine's work: its number, open requests, unread tokens.
const WORK_FIELDS: usize = 3;

/// The numbers by which a placer's frames name engines: two bytes in the place of a name.
#[derive(Debug, Default)]
pub(super) struct EngineNumbers {
    numbers: HashMap<EngineName, u32>,
}

impl EngineNumbers {
    /// Writes work by numbers; returns the numbers that were not told before, too.
    pub(super) fn write(
        &mut self,
        work: &[(EngineName, EngineWork)],
    ) -> (Vec<EngineNumberMessage>, Vec<u64>) {
        let (mut new, mut written) = (Vec::new(), Vec::with_capacity(work.len() * WORK_FIELDS));
        for (engine, work) in work {
            let next = u32::try_from(self.numbers.len()).unwrap_or(u32::MAX);
            let number = *self.numbers.entry(Arc::clone(engine)).or_insert_with(|| {
                new.push(EngineNumberMessage { number: next, engine: engine.to_string() });
                next
            });
            written.extend([u64::from(number), u64::from(work.open), work.pending_prefill_tokens]);
        }
        (new, written)
    }

    /// Returns all numbers, for a host that begins to listen.
    pub(super) fn lines(&self) -> Vec<EngineNumberMessage> {
        let lines = self.numbers.iter();
        lines
            .map(|(engine, number)| EngineNumberMessage {
                number: *number,
                engine: engine.to_string(),
            })
            .collect()
    }
}

/// Writes all that a life of an engine holds.
pub(super) fn engine_line(
    engine: &EngineName,
    born: EngineIncarnation,
    held: &[LoadedModel],
) -> EngineModelsMessage {
    let held = held.iter().map(LoadedModelMessage::from).collect();
    EngineModelsMessage { engine: engine.to_string(), loaded_models: held, incarnation: born }
}

/// Writes what an engine holds beyond what was told of it, and what it holds no more.
pub(super) fn change_line(
    engine: &EngineName,
    told: &[LoadedModel],
    held: &[LoadedModel],
) -> EngineChangeMessage {
    let gained = held.iter().filter(|model| !told.contains(model));
    let kept = |key: &ModelKey| held.iter().any(|model| model.key == *key);
    let lost = told.iter().filter(|model| !kept(&model.key));
    EngineChangeMessage {
        engine: engine.to_string(),
        added: gained.map(LoadedModelMessage::from).collect(),
        removed: lost.map(|model| model.key.to_string()).collect(),
    }
}

/// Reads what engines work on by the numbers that a placer gave them; a number that was not told is passed over.
pub(super) fn read_work(
    numbered: &HashMap<u32, EngineName>,
    written: &[u64],
) -> Vec<(EngineName, EngineWork)> {
    let lines = written.chunks_exact(WORK_FIELDS).filter_map(|line| {
        let engine = numbered.get(&u32::try_from(line[0]).ok()?)?;
        let open = u32::try_from(line[1]).ok()?;
        Some((Arc::clone(engine), EngineWork { open, pending_prefill_tokens: line[2] }))
    });
    lines.collect()
}
