//! Releases towards call servers: each is owed until the call server confirms it, whatever happens to connections.

mod support;

use std::time::Duration;

use support::{
    name, on_one_thread, Caller, Controller, EventKind, EventLog, ScriptedServer, ServerConnection,
};

/// A release must have reached its call server this long after the caller ended the call.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(8);

/// Reads requests until the release of a call arrives.
async fn expect_release(connection: &mut ServerConnection, sid: &str) {
    loop {
        let request =
            tokio::time::timeout(RELEASE_TIMEOUT, connection.next()).await.expect("a release in time");
        let (method, of) = request.expect("an open connection");
        if method == "BYE" && of == sid {
            return;
        }
    }
}

/// Guards against releases that are sent on a connection that has fallen silent, confirmed to the caller and never sent
/// again (review case 10): with another connection open, and where another has to be opened.
#[test]
fn release_on_a_silent_connection_reaches_the_call_server_on_another() {
    for others in [1, 0] {
        on_one_thread(async {
            let events = EventLog::default();
            let server = ScriptedServer::start("s0").await;
            let (controller, _bulletin) =
                Controller::with_scripted_servers(&events, &[&server], |_| {}).await;
            let mut silent = server.accept_ready().await;
            let caller = Caller::connect(&events, "c", controller.at).await;
            caller.open(&name(1), 9_000, 0, "x").await;
            silent.expect_request("INVITE").await;
            let mut other = None;
            if others > 0 {
                // A set-up is outstanding on the only connection: a second one is opened for later set-ups.
                caller.open(&name(2), 9_000, 0, "x").await;
                silent.expect_request("INVITE").await;
                other = Some(server.accept_ready().await);
                silent.answers(&name(2), "y").await;
            }
            silent.answers(&name(1), "y").await;
            assert_eq!(events.final_answer(&name(1)).await.kind, EventKind::Ready("y".into()));
            // From here on nothing is read or written on the first connection, which stays open.
            caller.close(&name(1), 16).await;
            let mut other = match other {
                Some(other) => other,
                None => server.accept_ready().await,
            };
            expect_release(&mut other, &name(1)).await;
            drop(silent);
        });
    }
}
