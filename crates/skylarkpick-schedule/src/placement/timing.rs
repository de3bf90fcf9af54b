//! Learns how long the targets of a service take from the requests that this process sent them.

use super::{
    estimate::{MeanEstimate, QuantileEstimate},
    target_speed::TargetPace,
};

/// Lower quartile: mostly prompts that met no queue.
const UNLOADED_QUANTILE: f64 = 0.25;
/// Median.
const TYPICAL_QUANTILE: f64 = 0.5;
/// Quantile that only few responses exceed.
const SLOW_QUANTILE: f64 = 0.97;
/// Time that only few responses exceed, until samples arrive.
const SLOW_PRIOR_MS: f64 = 500.0;
/// Bounds of that time.
const SLOW_BOUNDS_MS: (f64, f64) = (20.0, 3_000.0);
/// Time until the first byte of a response to a short prompt, until samples arrive.
const RESPONSE_PRIOR_MS: f64 = 10.0;
/// Bounds of that time.
const RESPONSE_BOUNDS_MS: (f64, f64) = (1.0, 200.0);
/// Prefill time of one token, until samples arrive.
const PREFILL_PRIOR_MS: f64 = 1.0 / 36.0;
/// Bounds of that time, for engines of 4 to 1,000 tokens per millisecond.
const PREFILL_BOUNDS_MS: (f64, f64) = (0.001, 0.25);
/// Longest prompt whose response time is mostly independent of its length.
const SHORT_PROMPT_TOKENS: u64 = 256;
/// Shortest prompt whose response time depends mostly on its length.
const LONG_PROMPT_TOKENS: u64 = 1_024;
/// Time for which a call occupies a slot of a plain service, until samples arrive.
const RUN_PRIOR_MS: f64 = 60.0;
/// Bounds of that time.
const RUN_BOUNDS_MS: (f64, f64) = (1.0, 60_000.0);
/// Prefill time of a waiting request, until samples arrive.
const WAITING_PRIOR_MS: f64 = 70.0;
/// Bounds of that time.
const WAITING_BOUNDS_MS: (f64, f64) = (1.0, 1_000.0);

/// Memory of a request, until samples arrive.
const MEMORY_PRIOR_TOKENS: f64 = 2_000.0;
/// Time for which a request occupies memory, until samples arrive.
const RESIDENCE_PRIOR_MS: f64 = 500.0;

/// Learned times of the targets of one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct ServiceTiming {
    response_ms: QuantileEstimate,
    slow_response_ms: QuantileEstimate,
    prefill_ms_per_token: QuantileEstimate,
    prompt_prefill_ms: QuantileEstimate,
    run_ms: QuantileEstimate,
    memory_tokens: MeanEstimate,
    /// Product of a request's tokens and the time for which it occupied them.
    memory_token_ms: MeanEstimate,
    /// Pace of the target for which the times hold.
    pace: TargetPace,
}

impl Default for ServiceTiming {
    fn default() -> ServiceTiming {
        let open = QuantileEstimate::open;
        ServiceTiming {
            response_ms: open(RESPONSE_PRIOR_MS, UNLOADED_QUANTILE, RESPONSE_BOUNDS_MS),
            slow_response_ms: open(SLOW_PRIOR_MS, SLOW_QUANTILE, SLOW_BOUNDS_MS),
            prefill_ms_per_token: open(PREFILL_PRIOR_MS, UNLOADED_QUANTILE, PREFILL_BOUNDS_MS),
            prompt_prefill_ms: open(WAITING_PRIOR_MS, TYPICAL_QUANTILE, WAITING_BOUNDS_MS),
            run_ms: open(RUN_PRIOR_MS, TYPICAL_QUANTILE, RUN_BOUNDS_MS),
            memory_tokens: MeanEstimate::open(MEMORY_PRIOR_TOKENS),
            memory_token_ms: MeanEstimate::open(MEMORY_PRIOR_TOKENS * RESIDENCE_PRIOR_MS),
            pace: TargetPace::default(),
        }
    }
}

impl ServiceTiming {
    /// Returns the times at one target of the service.
    pub(super) fn at_pace(self, pace: TargetPace) -> ServiceTiming {
        ServiceTiming { pace, ..self }
    }

    /// Returns the pace of the target for which the times hold.
    pub(super) fn pace(&self) -> TargetPace {
        self.pace
    }

    /// Returns the time until the first byte of a response to a prompt without uncached tokens.
    pub(super) fn response_ms(&self) -> f64 {
        self.response_ms.value() * self.pace.slowness
    }

    /// Returns the time that an idle engine takes to prefill tokens.
    pub(super) fn prefill_ms(&self, tokens: u64) -> f64 {
        tokens as f64 * self.prefill_ms_per_token.value() * self.pace.slowness
    }

    /// Returns the time that an idle engine takes to prefill a typical prompt.
    pub(super) fn prompt_prefill_ms(&self) -> f64 {
        self.prompt_prefill_ms.value() * self.pace.slowness
    }

    /// Returns the time for which a request typically occupies a slot.
    pub(super) fn run_ms(&self) -> f64 {
        self.run_ms.value() * self.pace.slowness
    }

    /// Returns the mean memory of a request.
    pub(super) fn memory_tokens(&self) -> f64 {
        self.memory_tokens.value()
    }

    /// Returns the time for which a token of memory is occupied, averaged over tokens.
    pub(super) fn residence_ms(&self) -> f64 {
        self.memory_token_ms.value() / self.memory_tokens.value().max(1.0) * self.pace.slowness
    }

    /// Records a prompt that was sent to an engine.
    pub(super) fn observe_prompt(&mut self, prefill_tokens: u64) {
        self.prompt_prefill_ms.observe(self.prefill_ms(prefill_tokens));
    }

    /// Returns a time within which nearly all responses start.
    pub(super) fn slow_response_ms(&self) -> f64 {
        self.slow_response_ms.value()
    }

    /// Records the time until the first byte of any response.
    pub(super) fn observe_any_response(&mut self, elapsed_ms: f64) {
        self.slow_response_ms.observe(elapsed_ms);
    }

    /// Records the time until the first byte of a response to a prompt that was prefilled without
    /// transfers.
    pub(super) fn observe_response(&mut self, prefill_tokens: u64, elapsed_ms: f64) {
        if prefill_tokens <= SHORT_PROMPT_TOKENS {
            self.response_ms.observe(elapsed_ms - self.prefill_ms(prefill_tokens));
        } else if prefill_tokens >= LONG_PROMPT_TOKENS {
            let prefill_ms = elapsed_ms - self.response_ms();
            self.prefill_ms_per_token.observe(prefill_ms / prefill_tokens as f64);
        }
    }

    /// Records the time that a completed request occupied a slot.
    pub(super) fn observe_run(&mut self, elapsed_ms: f64) {
        self.run_ms.observe(elapsed_ms);
    }

    /// Records the memory of a completed request and the time for which it occupied it.
    pub(super) fn observe_residence(&mut self, memory_tokens: u64, elapsed_ms: f64) {
        self.memory_tokens.observe(memory_tokens as f64);
        self.memory_token_ms.observe(memory_tokens as f64 * elapsed_ms);
    }
}
