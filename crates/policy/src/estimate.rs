//! Estimates when an engine would send the first event of a request, from its declared performance.
//!
//! An engine works in passes: each pass generates a few tokens for every running request and also reads
//! waiting prompts. See docs/ROUTING.md, "Estimates".

use balsamjunction_directory::EngineModel;

/// The load of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Occupancy {
    /// Requests that run or wait there, of all entries.
    pub requests: f64,
    /// Prompt tokens that the engine has not read yet.
    pub pending_prompt_tokens: f64,
    /// Service time relative to the declared one: 1 at the declared speed, 2 at half of it.
    pub slowdown: f64,
}

/// Duration of one pass that generates tokens for `running` requests, in milliseconds.
pub fn pass_duration_ms(model: &EngineModel, running: f64) -> f64 {
    let context_k = (model.usual_prompt_tokens + model.usual_answer_tokens / 2.0) / 1e3;
    let per_request = model.step_ms_per_request + model.step_ms_per_context_k * context_k;
    f64::from(model.steps_per_pass) * (model.step_ms + running * per_request)
}

/// Time that an engine spends on one typical request while all its slots are in use, in milliseconds.
pub fn typical_service_ms(model: &EngineModel) -> f64 {
    let slots = f64::from(model.slots.max(1));
    let reading = model.usual_prompt_tokens / model.read_tokens_per_ms.max(0.001);
    let passes = model.usual_answer_tokens / f64::from(model.steps_per_pass.max(1));
    reading + passes * pass_duration_ms(model, slots) / slots
}

/// Time until the first event of a request with `prompt` tokens, in milliseconds.
///
/// The request waits for the end of the current pass, half a pass on average, and for a slot if all are
/// taken. The pass that reads the pending prompts and its own also generates tokens, and sends its events
/// when it ends.
pub fn first_event_ms(model: &EngineModel, occupancy: &Occupancy, prompt: f64) -> f64 {
    let slots = f64::from(model.slots.max(1));
    let running = occupancy.requests.min(slots);
    let current_pass = match running < 0.5 {
        true => 0.0,
        false => pass_duration_ms(model, running) / 2.0,
    };
    let own_pass = pass_duration_ms(model, running + 1.0);
    let reading = (occupancy.pending_prompt_tokens + prompt) / model.read_tokens_per_ms.max(0.001);
    let excess = (occupancy.requests - slots + 1.0).max(0.0);
    let slot_wait = excess * typical_service_ms(model);
    occupancy.slowdown.max(0.1) * (current_pass + reading + own_pass + slot_wait)
}
