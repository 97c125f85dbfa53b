//! The tool's side of the control socket.

use std::io;
use std::path::{Path, PathBuf};

use serde::de::DeserializeOwned;
use serde::Serialize;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::UnixStream;

use crate::control::{Reply, Request, PATIENCE};
use crate::counters::Counters;

/// A control socket that does not answer.
#[derive(Debug, thiserror::Error)]
pub enum RequestError {
    /// Nobody is there.
    #[error("no agent answers at {}: {why}", path.display())]
    Nobody {
        /// Where.
        path: PathBuf,
        /// Why.
        why: io::Error,
    },
    /// What came is no answer.
    #[error("the agent's answer cannot be read: {0}")]
    Answer(String),
}

/// Asks the agent at this socket.
pub async fn send_request(path: &Path, request: &Request) -> Result<Reply, RequestError> {
    exchange(path, request).await
}

/// Sends one request and reads its answer.
pub(super) async fn exchange<Q: Serialize, A: DeserializeOwned>(
    path: &Path,
    request: &Q,
) -> Result<A, RequestError> {
    let nobody = |why| RequestError::Nobody { path: path.to_owned(), why };
    let mut stream = UnixStream::connect(path).await.map_err(nobody)?;
    let mut line = serde_json::to_string(request).map_err(|e| RequestError::Answer(e.to_string()))?;
    line.push('\n');
    stream.write_all(line.as_bytes()).await.map_err(nobody)?;
    let mut text = String::new();
    let read = tokio::time::timeout(PATIENCE, stream.read_to_string(&mut text)).await;
    read.map_err(|_| RequestError::Answer("it did not come in time".to_owned()))?.map_err(nobody)?;
    serde_json::from_str(&text).map_err(|e| RequestError::Answer(e.to_string()))
}

/// The counters of an instance as one line of text.
pub fn stats_line(counters: &serde_json::Value) -> String {
    serde_json::from_value::<Counters>(counters.clone()).map_or_else(|_| counters.to_string(), |c| c.line())
}
