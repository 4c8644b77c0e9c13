//! Hashes of bearer tokens.

use std::fmt::Write;

use sha2::Digest;
use sha2::Sha256;

/// Prefix of a token hash in settings and declaration files.
pub const TOKEN_HASH_PREFIX: &str = "sha256:";

/// Length of a token hash without its prefix, in hexadecimal digits.
const TOKEN_HASH_DIGITS: usize = 64;

/// Returns the SHA-256 hash of a token in lower-case hexadecimal, without prefix.
pub fn token_hash(token: &str) -> String {
    let digest = Sha256::digest(token.as_bytes());
    let mut text = String::with_capacity(TOKEN_HASH_DIGITS);
    for byte in digest {
        let _ = write!(text, "{byte:02x}");
    }
    text
}

/// Returns whether `text` has the format of a token hash without its prefix.
pub fn is_token_hash(text: &str) -> bool {
    let is_hex_digit = |c: u8| c.is_ascii_digit() || (b'a'..=b'f').contains(&c);
    text.len() == TOKEN_HASH_DIGITS && text.bytes().all(is_hex_digit)
}
