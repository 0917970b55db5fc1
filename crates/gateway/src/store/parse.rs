//! Parses large answers of the store and documents of other gateways without keeping callers waiting.

use std::sync::Arc;

use bytes::Bytes;
use tokio::task::JoinError;

use crate::protocol::Platform;

/// Size in bytes up to which a document is parsed on the calling thread.
const MAX_INLINE_BYTES: usize = 32 * 1024;

/// Parses a document, on another thread if it is large. Changes may be applied meanwhile, so the caller has to check
/// afterwards whether the result is still wanted.
///
/// # Errors
///
/// The parser panicked, or the process ends.
pub async fn parse<T: Send + 'static>(
    platform: &Arc<dyn Platform>,
    document: Bytes,
    parse: impl FnOnce(&dyn Platform, &[u8]) -> T + Send + 'static,
) -> Result<T, JoinError> {
    if document.len() <= MAX_INLINE_BYTES {
        return Ok(parse(&**platform, &document));
    }
    let platform = Arc::clone(platform);
    tokio::task::spawn_blocking(move || parse(&*platform, &document)).await
}
