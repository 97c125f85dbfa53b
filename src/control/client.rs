//! The client of the control socket, used by the command line.

use std::io;
use std::path::{Path, PathBuf};

use serde::de::DeserializeOwned;
use serde::Serialize;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::UnixStream;

use crate::control::{Reply, Request, REQUEST_TIMEOUT};
use crate::counters::Counters;

/// Why a request to the control socket failed.
#[derive(Debug, thiserror::Error)]
pub enum RequestError {
    /// The connection failed.
    #[error("no agent answers at {}: {why}", path.display())]
    NoAgent {
        /// Path of the socket.
        path: PathBuf,
        /// The reason.
        why: io::Error,
    },
    /// The reply is missing or malformed.
    #[error("no valid reply from the agent: {0}")]
    InvalidReply(String),
}

/// Sends a request to the agent at this socket, and returns its reply.
pub async fn send_request(path: &Path, request: &Request) -> Result<Reply, RequestError> {
    exchange(path, request).await
}

/// Sends one request and reads its reply.
pub(super) async fn exchange<Q: Serialize, A: DeserializeOwned>(
    path: &Path,
    request: &Q,
) -> Result<A, RequestError> {
    let no_agent = |why| RequestError::NoAgent { path: path.to_owned(), why };
    let mut stream = UnixStream::connect(path).await.map_err(no_agent)?;
    let mut line = serde_json::to_string(request).map_err(|e| RequestError::InvalidReply(e.to_string()))?;
    line.push('\n');
    stream.write_all(line.as_bytes()).await.map_err(no_agent)?;
    let mut text = String::new();
    let read = tokio::time::timeout(REQUEST_TIMEOUT, stream.read_to_string(&mut text)).await;
    read.map_err(|_| RequestError::InvalidReply(format!("no reply within {} s", REQUEST_TIMEOUT.as_secs())))?
        .map_err(no_agent)?;
    serde_json::from_str(&text).map_err(|e| RequestError::InvalidReply(e.to_string()))
}

/// Formats the counters of an instance as one line of text.
pub fn stats_line(counters: &serde_json::Value) -> String {
    serde_json::from_value::<Counters>(counters.clone()).map_or_else(|_| counters.to_string(), |c| c.line())
}
