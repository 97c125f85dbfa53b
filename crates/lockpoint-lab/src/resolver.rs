//! A resolver on a socket, for the DNS-SD records that name IAX2 call servers.

use std::cell::{Cell, RefCell};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;

use hickory_proto::op::{Message, MessageType, OpCode, ResponseCode};
use hickory_proto::rr::rdata::{A, PTR, SRV, TXT};
use hickory_proto::rr::{Name, RData, Record};
use tokio::net::UdpSocket;
use tokio::task::spawn_local;

/// The service that it knows.
pub const SERVICE: &str = "_iax._udp.clubs.example.";

/// A resolver that knows the records of one service.
pub struct Resolver {
    /// Where it listens.
    pub at: SocketAddr,
    /// What it knows.
    pub records: RefCell<Vec<Record>>,
    /// How often it was asked.
    pub queries: Cell<usize>,
}

impl Resolver {
    /// Starts one on a port that the system picks.
    pub async fn start() -> Rc<Resolver> {
        Resolver::start_at(SocketAddr::from(([127, 0, 0, 1], 0))).await.expect("a port")
    }

    /// Starts one at an address.
    pub async fn start_at(at: SocketAddr) -> std::io::Result<Rc<Resolver>> {
        let socket = UdpSocket::bind(at).await?;
        let at = socket.local_addr()?;
        let resolver = Rc::new(Resolver { at, records: RefCell::default(), queries: Cell::new(0) });
        let serving = resolver.clone();
        spawn_local(async move {
            let mut bytes = vec![0; 4_096];
            while let Ok((n, from)) = socket.recv_from(&mut bytes).await {
                let Ok(query) = Message::from_vec(&bytes[..n]) else { continue };
                let Some(asked) = query.queries.first().cloned() else { continue };
                serving.queries.set(serving.queries.get() + 1);
                let mut answer = Message::new(query.metadata.id, MessageType::Response, OpCode::Query);
                answer.add_query(asked.clone());
                let records = serving.records.borrow().clone();
                if !records.iter().any(|r| r.name == *asked.name()) {
                    answer.metadata.response_code = ResponseCode::NXDomain;
                }
                let fits = |r: &Record| r.name == *asked.name() && r.record_type() == asked.query_type();
                answer.add_answers(records.into_iter().filter(fits));
                let Ok(answer) = answer.to_vec() else { continue };
                let _ = socket.send_to(&answer, from).await;
            }
        });
        Ok(resolver)
    }

    /// Names a call server: PTR, SRV, TXT and A.
    pub fn add_server(&self, name: &str, at: SocketAddr, ttl: u32, text: &[String]) {
        let named = |text: &str| Name::from_ascii(text).expect("a name");
        let (instance, target) =
            (named(&format!("{name}.{SERVICE}")), named(&format!("{name}.clubs.example.")));
        let mut records = self.records.borrow_mut();
        let mut add = |name: &Name, data| records.push(Record::from_rdata(name.clone(), ttl, data));
        add(&named(SERVICE), RData::PTR(PTR(instance.clone())));
        add(&instance, RData::SRV(SRV::new(0, 0, at.port(), target.clone())));
        add(&instance, RData::TXT(TXT::new(text.to_vec())));
        add(&target, RData::A(A(Ipv4Addr::LOCALHOST)));
    }

    /// No record names it any more.
    pub fn remove_server(&self, name: &str) {
        let instance = Name::from_ascii(format!("{name}.{SERVICE}")).expect("a name");
        let target = Name::from_ascii(format!("{name}.clubs.example.")).expect("a name");
        self.records.borrow_mut().retain(|record| {
            record.name != instance
                && record.name != target
                && !matches!(&record.data, RData::PTR(ptr) if ptr.0 == instance)
        });
    }
}
