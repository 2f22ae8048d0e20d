//! Encoding of a placer's frames: the models that engines have loaded, and their work.

use std::{collections::HashMap, sync::Arc};

use reelreel_core::fleet::{
    EngineIncarnation, EngineName, LoadedModel, ModelKey, work::EngineWork,
};

use crate::peers::frame::{
    EngineChangeMessage, EngineModelsMessage, EngineNumberMessage, LoadedModelMessage,
};

/// Values per engine in encoded work: its number, its open requests and its pending prefill tokens.
const FIELDS_PER_ENGINE: usize = 3;

/// The numbers that stand for engines in a placer's frames, which are shorter than their names.
#[derive(Debug, Default)]
pub(super) struct EngineNumbers {
    numbers: HashMap<EngineName, u32>,
}

impl EngineNumbers {
    /// Encodes work by engine number; also returns the newly assigned numbers.
    pub(super) fn encode(
        &mut self,
        work: &[(EngineName, EngineWork)],
    ) -> (Vec<EngineNumberMessage>, Vec<u64>) {
        let (mut new, mut encoded) =
            (Vec::new(), Vec::with_capacity(work.len() * FIELDS_PER_ENGINE));
        for (engine, work) in work {
            let next = u32::try_from(self.numbers.len()).unwrap_or(u32::MAX);
            let number = *self.numbers.entry(Arc::clone(engine)).or_insert_with(|| {
                new.push(EngineNumberMessage { number: next, engine: engine.to_string() });
                next
            });
            encoded.extend([u64::from(number), u64::from(work.open), work.pending_prefill_tokens]);
        }
        (new, encoded)
    }

    /// Returns all assigned numbers, for a new subscriber.
    pub(super) fn messages(&self) -> Vec<EngineNumberMessage> {
        let numbers = self.numbers.iter();
        numbers
            .map(|(engine, number)| EngineNumberMessage {
                number: *number,
                engine: engine.to_string(),
            })
            .collect()
    }
}

/// Encodes all models that an incarnation of an engine has loaded.
pub(super) fn engine_message(
    engine: &EngineName,
    incarnation: EngineIncarnation,
    loaded: &[LoadedModel],
) -> EngineModelsMessage {
    let loaded_models = loaded.iter().map(LoadedModelMessage::from).collect();
    EngineModelsMessage { engine: engine.to_string(), loaded_models, incarnation }
}

/// Encodes the models that were loaded and unloaded since `sent`.
pub(super) fn change_message(
    engine: &EngineName,
    sent: &[LoadedModel],
    loaded: &[LoadedModel],
) -> EngineChangeMessage {
    let gained = loaded.iter().filter(|model| !sent.contains(model));
    let is_loaded = |key: &ModelKey| loaded.iter().any(|model| model.key == *key);
    let lost = sent.iter().filter(|model| !is_loaded(&model.key));
    EngineChangeMessage {
        engine: engine.to_string(),
        added: gained.map(LoadedModelMessage::from).collect(),
        removed: lost.map(|model| model.key.to_string()).collect(),
    }
}

/// Decodes work by engine number, ignoring unknown numbers.
pub(super) fn decode_work(
    engines_by_number: &HashMap<u32, EngineName>,
    encoded: &[u64],
) -> Vec<(EngineName, EngineWork)> {
    let entries = encoded.chunks_exact(FIELDS_PER_ENGINE).filter_map(|entry| {
        let engine = engines_by_number.get(&u32::try_from(entry[0]).ok()?)?;
        let open = u32::try_from(entry[1]).ok()?;
        Some((Arc::clone(engine), EngineWork { open, pending_prefill_tokens: entry[2] }))
    });
    entries.collect()
}
