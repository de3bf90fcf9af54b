//! One request from its head to the end of its answer.

mod answer;
mod attempt;
mod events;
mod relay;
mod request;

#[cfg(test)]
mod tests;

pub(crate) use answer::{AnswerBody, AnswerBroken};
pub(crate) use request::Lives;
