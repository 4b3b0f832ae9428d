//! When an engine would give the first event of a request, from its published performance.
//!
//! An engine works in passes: it writes a few tokens for every running request, and reads waiting
//! prompts in the same pass. See docs/ROUTING.md, "Estimates".

use balsamjunction_directory::EngineModel;

/// What is known of the work at an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Occupancy {
    /// Requests that run or wait there, of all entries.
    pub requests: f64,
    /// Prompt tokens that wait to be read.
    pub pending_prompt_tokens: f64,
    /// How much slower the engine is than published; one if it is not.
    pub slowdown: f64,
}

/// Duration of one pass with `running` requests that write, in milliseconds.
pub fn pass_duration_ms(model: &EngineModel, running: f64) -> f64 {
    let context_k = (model.usual_prompt_tokens + model.usual_answer_tokens / 2.0) / 1e3;
    let each = model.step_ms_per_request + model.step_ms_per_context_k * context_k;
    f64::from(model.steps_per_pass) * (model.step_ms + running * each)
}

/// Time that an engine spends on one usual request when all its slots are in use, in milliseconds.
pub fn typical_service_ms(model: &EngineModel) -> f64 {
    let slots = f64::from(model.slots.max(1));
    let reading = model.usual_prompt_tokens / model.read_tokens_per_ms.max(0.001);
    let passes = model.usual_answer_tokens / f64::from(model.steps_per_pass.max(1));
    reading + passes * pass_duration_ms(model, slots) / slots
}

/// Time until the first event of a request with `prompt` tokens, in milliseconds.
///
/// It waits for the rest of the pass that is under way, half of one on average, and for a slot if all
/// are taken. The pass that reads what came before it and itself also writes, and shows its events
/// when it ends.
pub fn first_event_ms(model: &EngineModel, at: &Occupancy, prompt: f64) -> f64 {
    let slots = f64::from(model.slots.max(1));
    let running = at.requests.min(slots);
    let under_way = match running < 0.5 {
        true => 0.0,
        false => pass_duration_ms(model, running) / 2.0,
    };
    let own_pass = pass_duration_ms(model, running + 1.0);
    let reading = (at.pending_prompt_tokens + prompt) / model.read_tokens_per_ms.max(0.001);
    let beyond = (at.requests - slots + 1.0).max(0.0);
    let slot = beyond * typical_service_ms(model);
    at.slowdown.max(0.1) * (under_way + reading + own_pass + slot)
}
