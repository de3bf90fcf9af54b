//! A small fleet in one process, with callers that return to long prompts.

mod callers;
mod fleet;
mod report;
mod script;
mod streams;

pub(crate) use script::run;
