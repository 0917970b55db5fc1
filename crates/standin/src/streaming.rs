//! Streaming bodies that heed the fault switches.

use std::error::Error;
use std::fmt;
use std::sync::Arc;

use futures_util::stream::{self, Stream};
use ntex::util::Bytes;

use crate::faults::FaultSwitches;

/// A source of body parts.
pub(crate) trait PartSource: 'static {
    /// The next part; nothing at the end.
    ///
    /// # Errors
    /// [`StreamBroken`] to drop the connection.
    async fn next_part(&mut self) -> Result<Option<Bytes>, StreamBroken>;
}

/// The stream ends without its end marker, and its connection is dropped.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StreamBroken;

impl fmt::Display for StreamBroken {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("the stream was broken off")
    }
}

impl Error for StreamBroken {}

/// A body made of the parts of `source`, which stalls while the stand-in is frozen.
pub(crate) fn body_of<S: PartSource>(
    faults: Arc<FaultSwitches>,
    source: S,
) -> impl Stream<Item = Result<Bytes, StreamBroken>> + Unpin + 'static {
    let parts = stream::unfold(Some(source), move |source| {
        let faults = Arc::clone(&faults);
        async move {
            let mut source = source?;
            let part = source.next_part().await;
            faults.thawed().await;
            match part {
                Ok(Some(part)) => Some((Ok(part), Some(source))),
                Ok(None) => None,
                Err(broken) => Some((Err(broken), None)),
            }
        }
    });
    Box::pin(parts)
}

/// One line of JSON.
pub(crate) fn json_line<T: serde::Serialize>(value: &T) -> Bytes {
    let mut line = serde_json::to_vec(value).unwrap_or_default();
    line.push(b'\n');
    Bytes::from(line)
}
