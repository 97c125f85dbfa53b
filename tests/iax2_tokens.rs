//! Call tokens over sockets: those the controller asks of callers, and those that call servers ask of it.

mod support;

use std::net::SocketAddr;

use lockpoint::config::{DnsSdConfig, Iax2Config};
use lockpoint::front::iax2::call_token_gate::CallTokenGate;
use lockpoint::iax2::frame::{ie, parse, Datagram, Elements, Frame, Iax, Kind};
use lockpoint::iax2::tokens::TokenPolicy;
use support::iax2::{IaxCaller, IaxServer, Resolver, SERVICE};
use support::{name, on_one_thread, Bulletin, Controller, EventKind, EventLog, ServerBehaviour};
use tokio::net::UdpSocket;

async fn controller(bulletin: &Bulletin, resolver: &Resolver, tokens: TokenPolicy) -> Controller {
    let mut config = support::config(bulletin.at);
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    config.iax2 = Some(Iax2Config { tokens, ..Iax2Config::new(any, any) });
    config.dns_sd = Some(DnsSdConfig { resolver: resolver.at, service: SERVICE.to_owned() });
    let controller = Controller::start(config).await;
    controller.wait_for_list().await;
    controller
}

#[test]
fn a_caller_presents_a_token_to_the_controller_and_the_controller_one_to_a_call_server() {
    on_one_thread(async {
        let world = EventLog::default();
        let (bulletin, resolver) = (Bulletin::start(&world).await, Resolver::start().await);
        let server = IaxServer::start(&world, "i0", ServerBehaviour::Answer("a".into())).await;
        *server.token_check.borrow_mut() = CallTokenGate::new(TokenPolicy::Required, [9; 32]);
        resolver.add_server("i0", server.at, 1, &["cell=0".into(), "zone=east".into()]);
        let controller = controller(&bulletin, &resolver, TokenPolicy::Required).await;
        let at = controller.iax2_at.expect("a port");
        let caller = IaxCaller::start(&world, "c", at).await;
        caller.open(&name(1), 5_000, 0, "x");
        assert_eq!(world.final_answer(&name(1)).await.kind, EventKind::Ready("a".into()));
        assert_eq!(
            world.count(|s| matches!(s.kind, EventKind::SetUp(..))),
            1,
            "a NEW resent with a token is not a second attempt"
        );
        let counters = controller.instance.counters();
        assert_eq!((counters.iax2_tokens_asked, counters.iax2_calls_in, counters.attempts), (1, 1, 1));
        controller.stop().await;
    });
}

/// Guards against a leg or other state that is kept for an address which may be forged.
#[test]
fn a_new_without_a_valid_token_leaves_no_state_and_is_answered_only_if_it_has_no_forged_token() {
    on_one_thread(async {
        let world = EventLog::default();
        let (bulletin, resolver) = (Bulletin::start(&world).await, Resolver::start().await);
        let server = IaxServer::start(&world, "i0", ServerBehaviour::Answer("a".into())).await;
        resolver.add_server("i0", server.at, 1, &["cell=0".into(), "zone=east".into()]);
        let controller = controller(&bulletin, &resolver, TokenPolicy::Required).await;
        let raw = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
        raw.connect(controller.iax2_at.expect("a port")).await.expect("connected");
        let new = |source, elements: Elements| Frame {
            source,
            dest: 0,
            retransmitted: false,
            timestamp: 1,
            oseq: 0,
            iseq: 0,
            kind: Kind::Iax(Iax::New),
            elements: elements.with(ie::CALLED_NUMBER, b"7").with(ie::CALLED_CONTEXT, b"judge-call"),
            data: Vec::new(),
        };
        let receive = || async {
            let mut bytes = [0; 1_000];
            let n = raw.recv(&mut bytes).await.expect("an answer");
            let Ok(Datagram::Full(frame)) = parse(&bytes[..n]) else { panic!("{:?}", &bytes[..n]) };
            frame
        };
        raw.send(&new(1, Elements::default()).bytes()).await.expect("sent");
        assert_eq!(receive().await.kind, Kind::Iax(Iax::Reject));
        // A token that was never issued gets no answer: the next frame received answers the NEW after it.
        raw.send(&new(2, Elements::default().with(ie::CALLTOKEN, &[7; 24])).bytes()).await.expect("sent");
        raw.send(&new(3, Elements::default().with(ie::CALLTOKEN, &[])).bytes()).await.expect("sent");
        let reply = receive().await;
        assert_eq!((reply.kind, reply.dest), (Kind::Iax(Iax::CallToken), 3));
        let counters = controller.instance.counters();
        assert_eq!((counters.iax2_callers, counters.iax2_calls_in, counters.taken), (0, 0, 0));
        assert_eq!((counters.iax2_tokens_asked, counters.iax2_tokens_refused), (2, 1));
        // With the issued token the NEW sets up a call.
        let token = reply.elements.get(ie::CALLTOKEN).expect("a token").to_vec();
        raw.send(&new(3, Elements::default().with(ie::CALLTOKEN, &token)).bytes()).await.expect("sent");
        while receive().await.kind != Kind::Iax(Iax::Accept) {}
        assert_eq!(controller.instance.counters().iax2_calls_in, 1);
        controller.stop().await;
    });
}
