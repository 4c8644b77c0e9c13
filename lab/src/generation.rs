//! Generation of a model engine: deterministic text, and the run that produces it.

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

/// Interval at which a run without readers looks at the time.
const READER_CHECK: Duration = Duration::from_millis(20);

/// Returns the number of tokens of a text.
pub fn count_tokens(text: &str) -> u32 {
    text.split_whitespace().count() as u32
}

/// Returns the `count` tokens that every engine generates after `prompt`.
pub fn generate_text(prompt: &str, count: u32) -> String {
    let mut source = TextSource::after(prompt);
    (0..count).map(|_| source.next_token()).collect()
}

/// Source of tokens, each a function of the whole text before it.
pub(crate) struct TextSource {
    hasher: Xxh3,
}

impl TextSource {
    /// Creates the source that continues `text`.
    pub(crate) fn after(text: &str) -> Self {
        let mut hasher = Xxh3::new();
        hasher.update(text.as_bytes());
        Self { hasher }
    }

    /// Returns the next token.
    pub(crate) fn next_token(&mut self) -> String {
        let token = format!(" t{:06x}", self.hasher.digest() & 0x00ff_ffff);
        self.hasher.update(token.as_bytes());
        token
    }
}

/// Why a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum End {
    /// Every token was generated.
    Finished,
    /// Cancelled by a caller, or nobody read it for the grace period.
    Cancelled,
    /// Its cache was exported.
    Exported,
    /// The engine failed.
    Failed,
}

/// How far a run has come.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct Progress {
    /// Tokens generated.
    pub(crate) tokens: usize,
    /// Why the run ended, once it has.
    pub(crate) end: Option<End>,
}

/// What a run is to generate.
#[derive(Clone, Debug)]
pub(crate) struct RunSpec {
    pub(crate) model: String,
    pub(crate) prompt: String,
    pub(crate) max_tokens: u32,
    /// Tokens that another engine generated.
    pub(crate) tokens: Vec<String>,
    /// Whether the cache of the prompt and the tokens was imported.
    pub(crate) imported: bool,
    pub(crate) slow: f64,
    /// Tokens after which the run fails.
    pub(crate) fail_after: Option<u32>,
}

/// One generation on an engine; goes on while nobody reads it, for a grace period.
pub(crate) struct Run {
    pub(crate) id: String,
    pub(crate) spec: RunSpec,
    pub(crate) cancel: CancellationToken,
    pub(crate) exported: AtomicBool,
    pub(crate) cached: AtomicUsize,
    /// Whether the cache holds the prompt.
    pub(crate) prefilled: AtomicBool,
    tokens: Mutex<Vec<String>>,
    progress: watch::Sender<Progress>,
    readers: AtomicUsize,
    unread: Mutex<Instant>,
}

impl Run {
    /// Creates a run with a new random identifier.
    pub(crate) fn new(spec: RunSpec) -> Self {
        let progress = Progress {
            tokens: spec.tokens.len(),
            end: None,
        };
        Self {
            id: format!("{:016x}", rand::random::<u64>()),
            cancel: CancellationToken::new(),
            exported: AtomicBool::new(false),
            cached: AtomicUsize::new(0),
            prefilled: AtomicBool::new(spec.imported),
            tokens: Mutex::new(spec.tokens.clone()),
            progress: watch::Sender::new(progress),
            readers: AtomicUsize::new(0),
            unread: Mutex::new(Instant::now()),
            spec,
        }
    }

    /// Adds a token.
    pub(crate) fn push(&self, token: String) {
        let mut tokens = self.tokens.lock();
        tokens.push(token);
        let count = tokens.len();
        drop(tokens);
        self.progress.send_modify(|p| p.tokens = count);
    }

    /// Ends the run.
    pub(crate) fn finish(&self, end: End) {
        self.progress.send_modify(|p| p.end = Some(end));
    }

    /// Returns the run's progress and its changes.
    pub(crate) fn watch(&self) -> watch::Receiver<Progress> {
        self.progress.subscribe()
    }

    /// Returns the tokens from number `from` on.
    pub(crate) fn tokens(&self, from: usize) -> Vec<String> {
        let tokens = self.tokens.lock();
        tokens
            .get(from..)
            .map(<[String]>::to_vec)
            .unwrap_or_default()
    }

    /// Returns the prompt and the tokens so far.
    pub(crate) fn text(&self) -> String {
        let tokens = self.tokens.lock();
        format!("{}{}", self.spec.prompt, tokens.concat())
    }

    /// Returns the token counts as of now.
    pub(crate) fn usage(&self) -> Usage {
        Usage {
            prompt_tokens: count_tokens(&self.spec.prompt),
            cached_tokens: self.cached.load(Ordering::Relaxed) as u32,
            completion_tokens: self.progress.borrow().tokens as u32,
        }
    }

    /// Returns the event for token number `number`, counted from one.
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

    /// Waits until nobody has read the run for `grace`.
    pub(crate) async fn abandoned(&self, grace: Duration) {
        loop {
            tokio::time::sleep(READER_CHECK).await;
            let unread = self.readers.load(Ordering::Relaxed) == 0;
            if unread && self.unread.lock().elapsed() >= grace {
                return;
            }
        }
    }
}

/// Marks a run as read until dropped.
pub(crate) struct Reader(pub(crate) std::sync::Arc<Run>);

impl Reader {
    /// Adds a reader to a run.
    pub(crate) fn new(run: std::sync::Arc<Run>) -> Self {
        run.readers.fetch_add(1, Ordering::Relaxed);
        Self(run)
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        *self.0.unread.lock() = Instant::now();
        self.0.readers.fetch_sub(1, Ordering::Relaxed);
    }
}
