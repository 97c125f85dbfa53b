//! A minimal relay between JSON-lines callers and one SIP call server. It makes no decisions and only records which caller
//! a call belongs to, so that a comparison with it shows the controller's own cost.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use clap::Args;
use lockpoint::upstream::sip::message::{parse, StartLine};
use serde_json::{json, Value};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::spawn_local;

use crate::under_test::LabError;

/// The options of the relay.
#[derive(Debug, Clone, Args)]
pub struct Options {
    /// Where callers connect; one at a time.
    #[arg(long)]
    pub listen: SocketAddr,
    /// The call server.
    #[arg(long)]
    pub server: SocketAddr,
}

type Lines = mpsc::UnboundedSender<Vec<u8>>;

/// Relays until the process is killed.
pub async fn run(options: &Options) -> Result<(), LabError> {
    let fail = |what: &'static str| move |why| LabError::Socket { what: what.to_owned(), why };
    let listener = TcpListener::bind(options.listen).await.map_err(fail("listen"))?;
    let server = TcpStream::connect(options.server).await.map_err(fail("server"))?;
    server.set_nodelay(true).map_err(fail("server"))?;
    let (reader, writer) = server.into_split();
    let (to_server, queue) = mpsc::unbounded_channel();
    spawn_local(write(writer, queue));
    let callers_by_call: Rc<RefCell<BTreeMap<String, Lines>>> = Rc::default();
    spawn_local(from_server(reader, callers_by_call.clone()));
    while let Ok((stream, _)) = listener.accept().await {
        if stream.set_nodelay(true).is_err() {
            continue;
        }
        let (reader, writer) = stream.into_split();
        let (lines, queue) = mpsc::unbounded_channel();
        spawn_local(write(writer, queue));
        spawn_local(from_caller(reader, lines, to_server.clone(), callers_by_call.clone()));
    }
    Ok(())
}

async fn write(mut writer: OwnedWriteHalf, mut queue: mpsc::UnboundedReceiver<Vec<u8>>) {
    while let Some(mut bytes) = queue.recv().await {
        while let Ok(more) = queue.try_recv() {
            bytes.extend(more);
        }
        if writer.write_all(&bytes).await.is_err() {
            return;
        }
    }
}

async fn from_caller(
    reader: OwnedReadHalf,
    lines: Lines,
    server: Lines,
    callers_by_call: Rc<RefCell<BTreeMap<String, Lines>>>,
) -> io::Result<()> {
    let mut reader = BufReader::new(reader).lines();
    while let Some(line) = reader.next_line().await? {
        let Ok(line) = serde_json::from_str::<Value>(&line) else { continue };
        let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
        let (sid, body, attrs) = (text(&line["sid"]), text(&line["text"]), &line["attrs"]);
        let (method, number, extra) = match line["msg"].as_str() {
            Some("open") => {
                callers_by_call.borrow_mut().insert(sid.clone(), lines.clone());
                let extra =
                    format!("P-Kind: {}\r\nP-Time-Left: {}\r\n", text(&attrs["class"]), text(&attrs["left"]));
                ("INVITE", text(&attrs["key"]), extra)
            }
            Some("close") => ("BYE", "peer".to_owned(), "Reason: Q.850;cause=16\r\n".to_owned()),
            _ => continue,
        };
        let _ = server.send(
            format!(
                "{method} sip:{number}@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {sid}\r\nCSeq: 1 {method}\r\n{extra}Content-Length: {}\r\n\r\n{body}",
                body.len()
            )
            .into_bytes(),
        );
    }
    Ok(())
}

async fn from_server(mut reader: OwnedReadHalf, callers_by_call: Rc<RefCell<BTreeMap<String, Lines>>>) {
    let (mut bytes, mut chunk) = (Vec::new(), vec![0; 64 * 1024]);
    while let Ok(n @ 1..) = reader.read(&mut chunk).await {
        bytes.extend_from_slice(&chunk[..n]);
        let mut used = 0;
        while let Ok(Some((message, length))) = parse(&bytes[used..]) {
            used += length;
            let sid = message.call_id;
            let line = match (&message.start, message.cseq.1.as_str()) {
                (StartLine::Response(200), "INVITE") => {
                    json!({"msg": "ready", "sid": sid, "attrs": {}, "text": String::from_utf8_lossy(&message.body)})
                }
                (StartLine::Response(_), "INVITE") => {
                    json!({"msg": "close", "sid": sid, "attrs": {}, "code": 34})
                }
                (StartLine::Request(method), _) if method == "BYE" => {
                    json!({"msg": "close", "sid": sid, "attrs": {}, "code": message.cause})
                }
                _ => continue,
            };
            let is_final = line["msg"] == "close";
            if let Some(lines) = callers_by_call.borrow().get(&sid) {
                let _ = lines.send(format!("{line}\n").into_bytes());
            }
            if is_final {
                callers_by_call.borrow_mut().remove(&sid);
            }
        }
        bytes.drain(..used);
    }
}
