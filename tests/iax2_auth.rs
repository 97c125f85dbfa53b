//! IAX2 authentication over sockets, of callers by the controller and of the controller by call servers, and the
//! checks of the files of secrets.

mod support;

use std::net::SocketAddr;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::rc::Rc;

use lockpoint::config::{parse_operator, DnsSdConfig, Iax2Config, Iax2Secrets};
use lockpoint::iax2::auth::{Account, Authenticator, Users};
use support::iax2::{IaxCaller, IaxServer, Resolver, SERVICE};
use support::{name, on_one_thread, Bulletin, Controller, EventKind, EventLog, ServerBehaviour};

const USERS: &str = "[user.desk]\nsecret = 'wort'\n";

fn account(name: &str, secret: &str) -> Account {
    Account::parse(&format!("username = '{name}'\nsecret = '{secret}'")).expect("valid TOML")
}

async fn start_controller(world: &EventLog, secrets: Iax2Secrets) -> (Controller, Rc<IaxServer>) {
    let (bulletin, resolver) = (Bulletin::start(world).await, Resolver::start().await);
    let server = IaxServer::start(world, "i0", ServerBehaviour::Answer("a".into())).await;
    resolver.add_server("i0", server.at, 60, &["cell=0".into(), "zone=east".into()]);
    let mut config = support::config(bulletin.at);
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    config.iax2 = Some(Iax2Config::new(any, any));
    config.dns_sd = Some(DnsSdConfig { resolver: resolver.at, service: SERVICE.to_owned() });
    config.secrets = secrets;
    let controller = Controller::start(config).await;
    controller.wait_for_list().await;
    (controller, server)
}

#[test]
fn a_caller_with_the_right_secret_is_served_and_all_others_get_the_same_refusal() {
    on_one_thread(async {
        let world = EventLog::default();
        let users = Users::parse(USERS).ok();
        let (controller, _server) = start_controller(&world, Iax2Secrets { users, account: None }).await;
        let mut refusals = Vec::new();
        for (n, account_used) in [
            Some(account("desk", "wort")),
            Some(account("desk", "wrong")),
            Some(account("nobody", "wort")),
            None,
            Some(account("desk", "wort")),
        ]
        .into_iter()
        .enumerate()
        {
            let caller = IaxCaller::start(&world, "c", controller.iax2_at.expect("a port")).await;
            let right = account_used == Some(account("desk", "wort"));
            *caller.account.borrow_mut() = account_used;
            let sid = name(n as u64);
            caller.open(&sid, 5_000, 0, "x");
            let answer = world.final_answer(&sid).await.kind;
            if right {
                assert_eq!(answer, EventKind::Ready("a".into()), "{n}");
            } else {
                refusals.push(answer);
            }
        }
        assert_eq!(refusals, vec![EventKind::Close(21, None); 3]);
        // Neither the core nor a call server has seen the calls that failed authentication.
        assert_eq!(world.count(|s| matches!(s.kind, EventKind::SetUp(..))), 2);
        let counters = controller.instance.counters();
        assert_eq!((counters.iax2_not_let_in, counters.taken), (3, 2));
        controller.stop().await;
    });
}

#[test]
fn the_controller_authenticates_to_a_call_server_that_asks() {
    on_one_thread(async {
        for (secret, right) in [("wort", true), ("wrong", false)] {
            let world = EventLog::default();
            let mine = Some(account("desk", secret));
            let (controller, server) =
                start_controller(&world, Iax2Secrets { users: None, account: mine }).await;
            *server.authenticator.borrow_mut() =
                Some(Authenticator::new(Users::parse(USERS).expect("valid TOML"), [1; 32]));
            let caller = IaxCaller::start(&world, "c", controller.iax2_at.expect("a port")).await;
            caller.open(&name(1), 3_000, 0, "x");
            let established = world.final_answer(&name(1)).await.kind == EventKind::Ready("a".into());
            assert_eq!(established, right, "{secret}");
            controller.stop().await;
        }
    });
}

/// Guards against a file of secrets that other users can read, and against an error message that shows a secret.
#[test]
fn files_of_secrets_are_checked_with_the_configuration() {
    let dir = std::env::temp_dir().join(format!("lockpoint-auth-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a folder");
    let example = include_str!("../deploy/agent.toml");
    let text = example.replacen("left_ms = 9000", "users = \"users.toml\"\nleft_ms = 9000", 1);
    let write = |text: &str, mode| -> PathBuf {
        let file = dir.join("users.toml");
        std::fs::write(&file, text).expect("written");
        std::fs::set_permissions(&file, std::fs::Permissions::from_mode(mode)).expect("set");
        file
    };
    let check =
        || parse_operator(&dir.join("agent.toml"), &text).map(|config| config.instances[0].secrets.clone());
    let fault = || check().expect_err("a fault").to_string();
    assert!(fault().contains("'instance[0].iax2.users'"), "{}", fault());
    write(USERS, 0o644);
    assert!(fault().contains("users.toml: others can read") && fault().contains("644"), "{}", fault());
    write("[user.desk]\nsecrets = 'wort'\n", 0o600);
    assert!(fault().contains("user.desk") && !fault().contains("wort"), "{}", fault());
    write(USERS, 0o600);
    assert!(check().expect("no fault").users.is_some());
    assert!(parse_operator(Path::new("agent.toml"), example).expect("no fault").instances[0]
        .secrets
        .users
        .is_none());
    let _ = std::fs::remove_dir_all(&dir);
}
