//! One accepted request and the tokens of its response.

use super::record::RunRecord;
use super::slots::SlotKey;
use crate::target_http::unix_ms;
use reedford_wire::chat::{
    ChatChunk, ChatRequest, ChatResponse, Choice, ChunkChoice, Delta, Message, Usage,
};
use std::time::Instant;

/// Maximum number of tokens of a response.
const MAX_TOKENS: u32 = 4_096;
/// Maximum number of tokens of a response to a request without `max_tokens`,
/// which otherwise has as many tokens as its prompt has words.
const MAX_DEFAULT_TOKENS: u32 = 64;

/// Phase of an accepted request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Phase {
    /// Waits for room in the batch.
    Waiting,
    /// Runs; the first step at or after this time generates the first token.
    Running(Instant),
    /// All tokens are generated.
    Finished,
    /// Cancelled or cut off before all tokens were generated.
    Stopped,
}

/// An accepted request.
#[derive(Clone, Debug)]
pub(crate) struct AcceptedRequest {
    pub(crate) attempt: Box<str>,
    pub(crate) key: SlotKey,
    pub(crate) model: Box<str>,
    pub(crate) phase: Phase,
    /// Number in the order of acceptance.
    pub(crate) number: u64,
    pub(crate) priority: i32,
    /// Index in the engine's record; set when the request starts.
    pub(crate) record_index: Option<usize>,
    /// Number of tokens generated so far.
    pub(crate) tokens: u32,
    /// Text of the last message.
    prompt: Box<str>,
    prompt_tokens: u32,
    /// Number of tokens of the complete response.
    response_tokens: u32,
    finish_reason: &'static str,
}

impl AcceptedRequest {
    /// Returns a waiting request.
    pub(crate) fn new(
        attempt: Box<str>,
        key: SlotKey,
        number: u64,
        priority: i32,
        chat: &ChatRequest,
    ) -> Self {
        let words: usize = chat
            .messages
            .iter()
            .map(|m| m.content.split_whitespace().count())
            .sum();
        let prompt_tokens = u32::try_from(words).unwrap_or(u32::MAX);
        let derived = prompt_tokens.clamp(1, MAX_DEFAULT_TOKENS);
        let limit = chat.max_tokens.map(|m| m.clamp(1, MAX_TOKENS));
        Self {
            attempt,
            key,
            model: chat.model.clone(),
            phase: Phase::Waiting,
            number,
            priority,
            record_index: None,
            tokens: 0,
            prompt: chat.messages.last().map_or("", |m| &m.content).into(),
            prompt_tokens,
            response_tokens: limit.unwrap_or(derived),
            finish_reason: if limit.is_some() { "length" } else { "stop" },
        }
    }

    /// Returns whether the request is running or waiting.
    pub(crate) const fn is_active(&self) -> bool {
        matches!(self.phase, Phase::Running(_) | Phase::Waiting)
    }

    /// Returns the entry for the engine's record at the start of the request.
    pub(crate) fn record(&self, started_seq: u64) -> RunRecord {
        RunRecord {
            attempt: self.attempt.clone(),
            adapter: self.key.adapter.clone(),
            version: self.key.version.clone(),
            prompt: self.prompt.clone(),
            started_seq,
            started_unix_ms: unix_ms(),
            finished: false,
        }
    }

    /// Generates a token if the prefill is over; returns whether it did.
    pub(crate) fn generate(&mut self, now: Instant) -> bool {
        let Phase::Running(first) = self.phase else {
            return false;
        };
        if now < first {
            return false;
        }
        self.tokens += 1;
        if self.tokens == self.response_tokens {
            self.phase = Phase::Finished;
        }
        true
    }

    /// Returns the stream chunk of a token.
    pub(crate) fn chunk(&self, index: u32) -> ChatChunk {
        let last = index + 1 == self.response_tokens;
        ChatChunk {
            id: self.attempt.clone(),
            object: "chat.completion.chunk".into(),
            model: self.model.clone(),
            choices: vec![ChunkChoice {
                index: 0,
                delta: Delta {
                    content: Some(self.token(index).into()),
                },
                finish_reason: last.then(|| self.finish_reason.into()),
            }],
        }
    }

    /// Returns the complete response.
    pub(crate) fn response(&self) -> ChatResponse {
        let content: String = (0..self.response_tokens).map(|i| self.token(i)).collect();
        ChatResponse {
            id: self.attempt.clone(),
            object: "chat.completion".into(),
            model: self.model.clone(),
            choices: vec![Choice {
                index: 0,
                message: Message {
                    role: "assistant".into(),
                    content: content.into(),
                },
                finish_reason: self.finish_reason.into(),
            }],
            usage: Usage {
                prompt_tokens: self.prompt_tokens,
                completion_tokens: self.response_tokens,
                total_tokens: self.prompt_tokens.saturating_add(self.response_tokens),
            },
        }
    }

    /// Returns the text of a token. It names the adapter that ran and the
    /// attempt, so that a token in the wrong response is detected.
    fn token(&self, index: u32) -> String {
        let SlotKey { adapter, version } = &self.key;
        format!("{adapter}@{version}/{}#{index} ", self.attempt)
    }
}
