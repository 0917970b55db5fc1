//! A watch of the object store, read line by line.

use driftspring_types::{ObjectRecord, Revision, StepError};
use ntex::client::ClientResponse;
use ntex::http::StatusCode;
use ntex::util::{Bytes, BytesMut, stream_recv};
use serde::Deserialize;
use serde_json::Value;

use super::messages::StoredObject;
use crate::service::ServiceClient;

/// The longest line that is read, in bytes.
const MAX_LINE_BYTES: usize = 1024 * 1024;

/// One line of a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchItem {
    /// A change of one object.
    Change(ObjectRecord),
    /// Every change up to this revision was sent.
    Bookmark(Revision),
}

/// An open watch.
pub struct WatchStream {
    service: ServiceClient,
    response: ClientResponse,
    buffer: BytesMut,
    is_compacted: bool,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum WatchLine {
    Bookmark {
        bookmark: Revision,
    },
    Change {
        key: String,
        revision: Revision,
        value: Option<Value>,
    },
}

impl From<WatchLine> for WatchItem {
    fn from(line: WatchLine) -> Self {
        match line {
            WatchLine::Bookmark { bookmark } => Self::Bookmark(bookmark),
            WatchLine::Change {
                key,
                revision,
                value,
            } => {
                let object = StoredObject {
                    key,
                    revision,
                    value,
                };
                Self::Change(object.into_record())
            }
        }
    }
}

impl WatchStream {
    pub(super) fn new(service: ServiceClient, response: ClientResponse) -> Result<Self, StepError> {
        let status = response.status();
        let is_compacted = status == StatusCode::GONE;
        if !is_compacted && !status.is_success() {
            return Err(service.may_have_run(&format!("HTTP status {status}")));
        }
        Ok(Self {
            service,
            response,
            buffer: BytesMut::new(),
            is_compacted,
        })
    }

    /// Whether the store no longer has the changes asked for; a list must take their place.
    pub fn is_compacted(&self) -> bool {
        self.is_compacted
    }

    /// The next line; nothing at the end of the stream. Losing this future loses no bytes.
    ///
    /// # Errors
    ///
    /// The connection broke, or the line does not follow the protocol.
    pub async fn next(&mut self) -> Result<Option<WatchItem>, StepError> {
        loop {
            if let Some(line) = self.take_line() {
                let line: WatchLine = self.service.parse(&line)?;
                return Ok(Some(line.into()));
            }
            if self.buffer.len() > MAX_LINE_BYTES {
                return Err(self.service.may_have_run("a line is too long"));
            }
            match stream_recv(&mut self.response).await {
                Some(Ok(bytes)) => self.buffer.extend_from_slice(&bytes),
                Some(Err(error)) => return Err(self.service.may_have_run(&error.to_string())),
                None => return Ok(None),
            }
        }
    }

    /// The next line that is not empty, of the bytes that have come already.
    fn take_line(&mut self) -> Option<Bytes> {
        loop {
            let newline = self.buffer.iter().position(|byte| *byte == b'\n')?;
            let line = self.buffer.split_to(newline + 1);
            if !line.trim_ascii().is_empty() {
                return Some(line);
            }
        }
    }
}
