//! Text generation of a model engine: deterministic tokens, and the run that generates them.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hawthornrack_lib::Choice;
use hawthornrack_lib::CompletionChunk;
use hawthornrack_lib::Usage;
use parking_lot::Mutex;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use xxhash_rust::xxh3::Xxh3;

/// Interval at which a run checks whether it still has readers.
const READER_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Returns the number of tokens in a text; each word is one token.
pub fn count_tokens(text: &str) -> u32 {
    text.split_whitespace().count() as u32
}

/// Returns the text of the first `count` tokens that any engine generates for `prompt`.
pub fn generate_text(prompt: &str, count: u32) -> String {
    let mut generator = TokenGenerator::continuing(prompt);
    (0..count).map(|_| generator.next_token()).collect()
}

/// Generator of tokens, each of which depends on the whole text before it and on nothing else.
///
/// So another engine continues a text with the same tokens.
pub(crate) struct TokenGenerator {
    hasher: Xxh3,
}

impl TokenGenerator {
    /// Creates a generator that continues `text`.
    pub(crate) fn continuing(text: &str) -> Self {
        let mut hasher = Xxh3::new();
        hasher.update(text.as_bytes());
        Self { hasher }
    }

    pub(crate) fn next_token(&mut self) -> String {
        let token = format!(" t{:06x}", self.hasher.digest() & 0x00ff_ffff);
        self.hasher.update(token.as_bytes());
        token
    }
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RunEnd {
    /// All tokens were generated.
    Finished,
    /// The run was cancelled, or had no reader for the grace period.
    Cancelled,
    /// The run was exported for another engine.
    Exported,
    /// The engine failed or shut down.
    Failed,
}

/// Progress of a run.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct RunProgress {
    /// Number of tokens so far, imported ones included.
    pub(crate) token_count: usize,
    /// How the run ended; `None` while it is running.
    pub(crate) end: Option<RunEnd>,
}

/// Parameters of a run.
#[derive(Clone, Debug)]
pub(crate) struct RunSpec {
    pub(crate) model: String,
    pub(crate) prompt: String,
    pub(crate) max_tokens: u32,
    /// Tokens that another engine generated before the run was imported.
    pub(crate) imported_tokens: Vec<String>,
    /// Whether the KV cache of the prompt and the imported tokens was imported.
    pub(crate) imported: bool,
    /// Factor on the time that the run takes.
    pub(crate) slow_factor: f64,
    /// Number of tokens after which the run fails.
    pub(crate) fail_after: Option<u32>,
}

/// Generation of one response on an engine. It continues without a reader for a grace period.
pub(crate) struct Run {
    pub(crate) id: String,
    pub(crate) spec: RunSpec,
    pub(crate) cancel: CancellationToken,
    /// Whether an export of the run has started, for which `cancel` is cancelled.
    pub(crate) export_started: AtomicBool,
    /// Number of prompt tokens that were found in the prefix cache.
    pub(crate) cached_tokens: AtomicUsize,
    /// Whether the KV cache of the prompt has been computed or imported.
    pub(crate) prefilled: AtomicBool,
    tokens: Mutex<Vec<String>>,
    progress: watch::Sender<RunProgress>,
    readers: AtomicUsize,
    /// Time at which the last reader left, or the run was created.
    unread_since: Mutex<Instant>,
}

impl Run {
    /// Creates a run with a new random identifier.
    pub(crate) fn new(spec: RunSpec) -> Self {
        let progress = RunProgress {
            token_count: spec.imported_tokens.len(),
            end: None,
        };
        Self {
            id: format!("{:016x}", rand::random::<u64>()),
            cancel: CancellationToken::new(),
            export_started: AtomicBool::new(false),
            cached_tokens: AtomicUsize::new(0),
            prefilled: AtomicBool::new(spec.imported),
            tokens: Mutex::new(spec.imported_tokens.clone()),
            progress: watch::Sender::new(progress),
            readers: AtomicUsize::new(0),
            unread_since: Mutex::new(Instant::now()),
            spec,
        }
    }

    pub(crate) fn push_token(&self, token: String) {
        let mut tokens = self.tokens.lock();
        tokens.push(token);
        let count = tokens.len();
        drop(tokens);
        self.progress.send_modify(|p| p.token_count = count);
    }

    /// Marks the run as ended.
    pub(crate) fn finish(&self, end: RunEnd) {
        self.progress.send_modify(|p| p.end = Some(end));
    }

    /// Subscribes to the run's progress.
    pub(crate) fn subscribe(&self) -> watch::Receiver<RunProgress> {
        self.progress.subscribe()
    }

    /// Returns the tokens after the first `from`.
    pub(crate) fn tokens(&self, from: usize) -> Vec<String> {
        let tokens = self.tokens.lock();
        tokens
            .get(from..)
            .map(<[String]>::to_vec)
            .unwrap_or_default()
    }

    /// Returns the prompt followed by the tokens generated so far.
    pub(crate) fn text(&self) -> String {
        let tokens = self.tokens.lock();
        format!("{}{}", self.spec.prompt, tokens.concat())
    }

    /// Returns the current token counts.
    pub(crate) fn usage(&self) -> Usage {
        Usage {
            prompt_tokens: count_tokens(&self.spec.prompt),
            cached_tokens: self.cached_tokens.load(Ordering::Relaxed) as u32,
            completion_tokens: self.progress.borrow().token_count as u32,
        }
    }

    /// Creates a chunk with `text` that ends with token `number`, counted from one. The chunk with
    /// the last token also carries the finish reason and the usage.
    pub(crate) fn chunk(&self, number: usize, text: String) -> CompletionChunk {
        let last = number >= self.spec.max_tokens as usize;
        CompletionChunk {
            id: self.id.clone(),
            model: self.spec.model.clone(),
            choices: vec![Choice {
                index: 0,
                text,
                finish_reason: last.then(|| String::from("length")),
            }],
            usage: last.then(|| self.usage()),
        }
    }

    /// Waits until the run has had no reader for the `grace` period.
    pub(crate) async fn wait_until_abandoned(&self, grace: Duration) {
        loop {
            tokio::time::sleep(READER_POLL_INTERVAL).await;
            let unread = self.readers.load(Ordering::Relaxed) == 0;
            if unread && self.unread_since.lock().elapsed() >= grace {
                return;
            }
        }
    }
}

/// Guard that counts as a reader of a run until it is dropped.
pub(crate) struct RunReader(pub(crate) std::sync::Arc<Run>);

impl RunReader {
    /// Adds a reader to a run.
    pub(crate) fn new(run: std::sync::Arc<Run>) -> Self {
        run.readers.fetch_add(1, Ordering::Relaxed);
        Self(run)
    }
}

impl Drop for RunReader {
    fn drop(&mut self) {
        *self.0.unread_since.lock() = Instant::now();
        self.0.readers.fetch_sub(1, Ordering::Relaxed);
    }
}
