//! Hashes of bearer tokens.

use std::fmt::Write;

use sha2::Digest;
use sha2::Sha256;

/// Prefix of a token hash in files that operators write.
pub const TOKEN_HASH_PREFIX: &str = "sha256:";

/// Length of a token hash in hexadecimal digits.
const HASH_DIGITS: usize = 64;

/// Returns the SHA-256 of a token in lower-case hexadecimal.
pub fn token_hash(token: &str) -> String {
    let digest = Sha256::digest(token.as_bytes());
    let mut text = String::with_capacity(HASH_DIGITS);
    for byte in digest {
        let _ = write!(text, "{byte:02x}");
    }
    text
}

/// Tells whether `text` has the form of a token hash without its prefix.
pub fn is_token_hash(text: &str) -> bool {
    let digit = |c: u8| c.is_ascii_digit() || (b'a'..=b'f').contains(&c);
    text.len() == HASH_DIGITS && text.bytes().all(digit)
}
