//! A simulated DNS resolver on a socket; it serves the DNS-SD records of IAX2 call servers.

use std::cell::{Cell, RefCell};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;

use hickory_proto::op::{Message, MessageType, OpCode, ResponseCode};
use hickory_proto::rr::rdata::{A, PTR, SRV, TXT};
use hickory_proto::rr::{Name, RData, Record};
use tokio::net::UdpSocket;
use tokio::task::spawn_local;

/// The name of the service whose records it serves.
pub const SERVICE: &str = "_iax._udp.clubs.example.";

/// A simulated resolver for one service.
pub struct Resolver {
    /// The address at which it listens.
    pub at: SocketAddr,
    /// The records that it serves.
    pub records: RefCell<Vec<Record>>,
    /// The number of queries that it received.
    pub queries: Cell<usize>,
}

impl Resolver {
    /// Starts a resolver on a free port.
    pub async fn start() -> Rc<Resolver> {
        Resolver::start_at(SocketAddr::from(([127, 0, 0, 1], 0))).await.expect("a free port")
    }

    /// Starts a resolver at an address.
    pub async fn start_at(at: SocketAddr) -> std::io::Result<Rc<Resolver>> {
        let socket = UdpSocket::bind(at).await?;
        let at = socket.local_addr()?;
        let resolver = Rc::new(Resolver { at, records: RefCell::default(), queries: Cell::new(0) });
        let server = resolver.clone();
        spawn_local(async move {
            let mut bytes = vec![0; 4_096];
            while let Ok((n, from)) = socket.recv_from(&mut bytes).await {
                let Ok(query) = Message::from_vec(&bytes[..n]) else { continue };
                let Some(question) = query.queries.first().cloned() else { continue };
                server.queries.set(server.queries.get() + 1);
                let mut answer = Message::new(query.metadata.id, MessageType::Response, OpCode::Query);
                answer.add_query(question.clone());
                let records = server.records.borrow().clone();
                if !records.iter().any(|r| r.name == *question.name()) {
                    answer.metadata.response_code = ResponseCode::NXDomain;
                }
                let matches_question =
                    |r: &Record| r.name == *question.name() && r.record_type() == question.query_type();
                answer.add_answers(records.into_iter().filter(matches_question));
                let Ok(answer) = answer.to_vec() else { continue };
                let _ = socket.send_to(&answer, from).await;
            }
        });
        Ok(resolver)
    }

    /// Adds the records of a call server: PTR, SRV, TXT and A.
    pub fn add_server(&self, name: &str, at: SocketAddr, ttl: u32, text: &[String]) {
        let parse_name = |text: &str| Name::from_ascii(text).expect("a valid name");
        let (instance, target) =
            (parse_name(&format!("{name}.{SERVICE}")), parse_name(&format!("{name}.clubs.example.")));
        let mut records = self.records.borrow_mut();
        let mut add = |name: &Name, data| records.push(Record::from_rdata(name.clone(), ttl, data));
        add(&parse_name(SERVICE), RData::PTR(PTR(instance.clone())));
        add(&instance, RData::SRV(SRV::new(0, 0, at.port(), target.clone())));
        add(&instance, RData::TXT(TXT::new(text.to_vec())));
        add(&target, RData::A(A(Ipv4Addr::LOCALHOST)));
    }

    /// Removes all records of a call server.
    pub fn remove_server(&self, name: &str) {
        let instance = Name::from_ascii(format!("{name}.{SERVICE}")).expect("a valid name");
        let target = Name::from_ascii(format!("{name}.clubs.example.")).expect("a valid name");
        self.records.borrow_mut().retain(|record| {
            record.name != instance
                && record.name != target
                && !matches!(&record.data, RData::PTR(ptr) if ptr.0 == instance)
        });
    }
}
