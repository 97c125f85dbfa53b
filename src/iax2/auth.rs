//! Authentication (RFC 5456, 6.2.3 and 8.6.13 to 8.6.15): who may call here, and who we are where we call. MD5 challenge;
//! plain text only where the operator allows it. No socket, no clock and no file here.

use std::collections::BTreeMap;
use std::fmt;

use hmac::{Hmac, Mac};
use md5::{Digest, Md5};
use serde::Deserialize;
use sha2::Sha256;
use subtle::ConstantTimeEq;

use crate::iax2::bounds::network_of;
use crate::iax2::frame::{ie, Elements};
use crate::interface::{Span, Time};

/// AUTHMETHODS: plain text.
const PLAIN: u32 = 1;
/// AUTHMETHODS: MD5.
const MD5: u32 = 2;
/// Failures of one network, or of one user, before more are turned away unlooked at.
const BURST: f64 = 5.0;
/// One more failure is allowed after this.
const FORGIVEN_AFTER: Span = Span::from_millis(12_000);
/// Networks and users whose failures are kept.
const MOST: usize = 4_096;
/// A network from which a user was right so lately is not shut out by others' failures in his name.
const TRUSTED_FOR: Span = Span::from_millis(3_600_000);

/// A secret. It goes to no log.
#[derive(Clone, PartialEq, Eq, Deserialize)]
pub struct Secret(String);

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

/// Who may call.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct User {
    secret: Secret,
    /// Whether the secret may be sent as it is.
    #[serde(default)]
    plain: bool,
    /// He is a call server: while he is registered, calls go to him.
    #[serde(default)]
    server: Option<ServerUser>,
}

/// A user who is a call server.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerUser {
    /// Its number as a destination.
    pub cell: u16,
    /// Its zone, as the settings name it.
    #[serde(default)]
    pub zone: String,
}

/// All who may call, by name.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Users {
    #[serde(rename = "user", default)]
    by_name: BTreeMap<String, User>,
}

impl Users {
    /// Reads a file's text; an error names the key and never a secret.
    pub fn parse(text: &str) -> Result<Users, String> {
        let users: Users = read(text)?;
        if users.by_name.is_empty() {
            return Err("at key 'user': no user is listed".to_owned());
        }
        if let Some((name, _)) = users.by_name.iter().find(|(_, user)| user.secret.0.is_empty()) {
            return Err(format!("at key 'user.{name}.secret': it is empty"));
        }
        Ok(users)
    }

    /// Whether any of them is a call server.
    pub fn any_server(&self) -> bool {
        self.by_name.values().any(|user| user.server.is_some())
    }
}

/// Who we are where we call.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Our name there.
    pub username: String,
    secret: Secret,
    /// Whether we send the secret as it is to who asks for that.
    #[serde(default)]
    plain: bool,
}

impl Account {
    /// Reads a file's text; an error names the key and never a secret.
    pub fn parse(text: &str) -> Result<Account, String> {
        let account: Account = read(text)?;
        if account.username.is_empty() || account.secret.0.is_empty() {
            return Err("at keys 'username' and 'secret': neither may be empty".to_owned());
        }
        Ok(account)
    }

    /// What an AUTHREP says to an AUTHREQ; none where it asks for what we do not do.
    pub fn respond(&self, asked: &Elements) -> Option<Elements> {
        let methods = asked.number(ie::AUTHMETHODS)?;
        if let Some(challenge) = asked.get(ie::CHALLENGE).filter(|_| methods & MD5 != 0) {
            return Some(
                Elements::default().with(ie::MD5_RESULT, md5_result(challenge, &self.secret).as_bytes()),
            );
        }
        let plain = methods & PLAIN != 0 && self.plain;
        plain.then(|| Elements::default().with(ie::PASSWORD, self.secret.0.as_bytes()))
    }
}

/// The parser's own messages quote the line they stop at, and the line may hold a secret: only place and key are told.
fn read<T: for<'de> Deserialize<'de>>(text: &str) -> Result<T, String> {
    let table: toml::Table = text.parse().map_err(|error: toml::de::Error| {
        let before = error.span().and_then(|span| text.get(..span.start)).unwrap_or_default();
        format!("line {} cannot be read", before.lines().count().max(1))
    })?;
    serde_path_to_error::deserialize(table).map_err(|error| {
        let key = error.path().to_string();
        let message = error.into_inner().message().to_owned();
        let why = if message.starts_with("invalid") { "not of the kind that belongs here" } else { &message };
        format!("at key '{key}': {why}")
    })
}

/// MD5 of challenge and secret, as hex (8.6.15).
fn md5_result(challenge: &[u8], secret: &Secret) -> String {
    let digest = Md5::new_with_prefix(challenge).chain_update(&secret.0).finalize();
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// What a caller was asked, until he answers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IssuedChallenge {
    user: String,
    challenge: String,
}

impl IssuedChallenge {
    /// The name that he gave.
    pub fn user(&self) -> &str {
        &self.user
    }
}

/// Why a caller is not let in. He is told no more than that he is not.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum AuthError {
    /// The secret is wrong, or there is no such user.
    #[error("an unknown user or a wrong secret")]
    WrongCredentials,
    /// Too many failures.
    #[error("too many failures of this user or from this network")]
    TooManyFailures,
}

/// Failures by whom: each is forgiven after a while.
#[derive(Debug, Default)]
struct Failures(BTreeMap<String, (f64, Time)>);

impl Failures {
    fn now(&self, of: &str, now: Time) -> f64 {
        self.0
            .get(of)
            .map_or(0.0, |(count, at)| (count - now.since(*at).0 as f64 / FORGIVEN_AFTER.0 as f64).max(0.0))
    }
    fn add(&mut self, of: &str, now: Time) {
        let count = self.now(of, now) + 1.0;
        if self.0.len() >= MOST && !self.0.contains_key(of) {
            // The one that has been quiet longest makes room.
            let oldest = self.0.iter().min_by_key(|(_, (_, at))| *at).map(|(of, _)| of.clone());
            oldest.map(|of| self.0.remove(&of));
        }
        self.0.insert(of.to_owned(), (count, now));
    }
}

/// Asks callers who they are, and knows whether they are.
#[derive(Debug)]
pub struct Authenticator {
    users: Users,
    /// Nobody's: an unknown user is compared with it, so that he hears the same after the same time.
    nobody: User,
    key: [u8; 32],
    asked: u64,
    failures: Failures,
    right: BTreeMap<(String, std::net::IpAddr), Time>,
}

impl Authenticator {
    /// One who knows these users; `key` is known to nobody else.
    pub fn new(users: Users, key: [u8; 32]) -> Authenticator {
        let secret = Secret(key.iter().map(|byte| format!("{byte:02x}")).collect());
        let nobody = User { secret, plain: false, server: None };
        let (failures, right) = (Failures::default(), BTreeMap::new());
        Authenticator { users, nobody, key, asked: 0, failures, right }
    }

    /// From now on these users; failures stay.
    pub fn reconfigure(&mut self, users: Users) {
        self.users = users;
    }

    /// Whether there is such a user.
    pub fn has_user(&self, user: &str) -> bool {
        self.users.by_name.contains_key(user)
    }

    /// The call server that a user is, if he is one.
    pub fn server(&self, user: &str) -> Option<&ServerUser> {
        self.users.by_name.get(user)?.server.as_ref()
    }

    /// What an AUTHREQ says to a caller who gives this name. It is the same for users that there are and are not.
    pub fn challenge(&mut self, user: &str) -> (Elements, IssuedChallenge) {
        self.asked += 1;
        let mac = Hmac::<Sha256>::new_from_slice(&self.key).unwrap_or_else(|_| unreachable!("any length"));
        let mac = mac.chain_update(self.asked.to_be_bytes()).finalize().into_bytes();
        let challenge: String = mac[..8].iter().map(|byte| format!("{byte:02x}")).collect();
        let known = self.users.by_name.get(user).unwrap_or(&self.nobody);
        let methods = if known.plain { MD5 | PLAIN } else { MD5 };
        let elements = Elements::default()
            .with(ie::AUTHMETHODS, &(methods as u16).to_be_bytes())
            .with(ie::CHALLENGE, challenge.as_bytes())
            .with(ie::USERNAME, user.as_bytes());
        (elements, IssuedChallenge { user: user.to_owned(), challenge })
    }

    /// Whether an AUTHREP is right.
    pub fn verify(
        &mut self,
        from: std::net::IpAddr,
        asked: &IssuedChallenge,
        answer: &Elements,
        now: Time,
    ) -> Result<(), AuthError> {
        let network = network_of(from);
        let (by_network, by_user) = (format!("net {network}"), format!("user {}", asked.user));
        let place = (asked.user.clone(), network);
        let trusted = self.right.get(&place).is_some_and(|at| now.since(*at) < TRUSTED_FOR);
        let shut = self.failures.now(&by_network, now) >= BURST
            || (!trusted && self.failures.now(&by_user, now) >= BURST);
        // Looked at in any case, so that being shut out takes the same time.
        let right = self.is_right(asked, answer);
        if shut {
            return Err(AuthError::TooManyFailures);
        }
        if !right {
            self.failures.add(&by_network, now);
            self.failures.add(&by_user, now);
            return Err(AuthError::WrongCredentials);
        }
        if self.right.len() >= MOST {
            self.right.retain(|_, at| now.since(*at) < TRUSTED_FOR);
        }
        if self.right.len() < MOST {
            self.right.insert(place, now);
        }
        Ok(())
    }

    fn is_right(&self, asked: &IssuedChallenge, answer: &Elements) -> bool {
        let known = self.users.by_name.get(&asked.user);
        let user = known.unwrap_or(&self.nobody);
        let expected = md5_result(asked.challenge.as_bytes(), &user.secret);
        let said = answer.get(ie::MD5_RESULT).unwrap_or_default().to_ascii_lowercase();
        let by_md5 = bool::from(expected.as_bytes().ct_eq(&said));
        let said = answer.get(ie::PASSWORD).unwrap_or_default();
        let by_plain = bool::from(user.secret.0.as_bytes().ct_eq(said));
        known.is_some() && (by_md5 || (user.plain && by_plain))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::net::IpAddr;

    const USERS: &str = "[user.desk]\nsecret = 'wort'\n[user.old]\nsecret = 'geheim'\nplain = true\n";

    fn account(name: &str, secret: &str, plain: bool) -> Account {
        Account::parse(&format!("username = '{name}'\nsecret = '{secret}'\nplain = {plain}")).expect("good")
    }

    fn tries(
        examiner: &mut Authenticator,
        from: &str,
        account: &Account,
        now: Time,
    ) -> Result<(), AuthError> {
        let from: IpAddr = from.parse().expect("an address");
        let (elements, asked) = examiner.challenge(&account.username);
        let answer = account.respond(&elements).unwrap_or_default();
        examiner.verify(from, &asked, &answer, now)
    }

    fn examiner() -> Authenticator {
        Authenticator::new(Users::parse(USERS).expect("good"), [3; 32])
    }

    /// RFC 1321's digest over challenge and secret, by hand: MD5("12345678wort").
    #[test]
    fn the_result_is_md5_of_challenge_and_secret() {
        assert_eq!(md5_result(b"", &Secret("abc".into())), "900150983cd24fb0d6963f7d28e17f72");
        assert_eq!(md5_result(b"a", &Secret("bc".into())), "900150983cd24fb0d6963f7d28e17f72");
    }

    #[test]
    fn who_knows_the_secret_is_let_in_and_plain_text_only_where_it_is_allowed() {
        let (mut examiner, now) = (examiner(), Time(1_000_000));
        assert_eq!(tries(&mut examiner, "10.0.0.1", &account("desk", "wort", false), now), Ok(()));
        let wrong = Err(AuthError::WrongCredentials);
        assert_eq!(tries(&mut examiner, "10.0.0.1", &account("desk", "Wort", false), now), wrong);
        assert_eq!(tries(&mut examiner, "10.0.1.1", &account("nobody", "wort", false), now), wrong);
        for (name, secret, right) in [("old", "geheim", true), ("desk", "wort", false)] {
            let (_, asked) = examiner.challenge(name);
            let plain = Elements::default().with(ie::PASSWORD, secret.as_bytes());
            let from = "10.0.2.1".parse().expect("an address");
            assert_eq!(examiner.verify(from, &asked, &plain, now).is_ok(), right, "{name}");
        }
        // IssuedChallenge for plain text alone, only who was told to sends it.
        let plain_only = Elements::default().with(ie::AUTHMETHODS, &[0, 1]);
        assert_eq!(account("a", "b", false).respond(&plain_only), None);
        assert!(account("a", "b", true).respond(&plain_only).is_some());
    }

    #[test]
    fn an_unknown_user_is_asked_the_same_and_challenges_never_come_twice() {
        let mut examiner = examiner();
        let ((known, first), (unknown, second)) = (examiner.challenge("desk"), examiner.challenge("nobody"));
        let shape = |e: &Elements| e.0.iter().map(|(element, _)| *element).collect::<Vec<_>>();
        assert_eq!(shape(&known), shape(&unknown));
        assert_eq!(known.get(ie::AUTHMETHODS), unknown.get(ie::AUTHMETHODS));
        assert_ne!(first.challenge, second.challenge);
        // An answer to another challenge is worth nothing.
        let answer = account("desk", "wort", false).respond(&known).expect("an answer");
        let (_, later) = examiner.challenge("desk");
        let from = "10.0.0.1".parse().expect("an address");
        assert_eq!(examiner.verify(from, &later, &answer, Time(1)), Err(AuthError::WrongCredentials));
    }

    #[test]
    fn failures_are_limited_by_network_and_user_and_forgiven_and_shut_out_nobody_who_was_right() {
        let (mut examiner, now) = (examiner(), Time(1_000_000));
        let (right, wrong) = (account("desk", "wort", false), account("desk", "w", false));
        assert_eq!(tries(&mut examiner, "10.0.0.1", &right, now), Ok(()));
        for n in 0..5 {
            let from = format!("10.1.{n}.1");
            assert_eq!(tries(&mut examiner, &from, &wrong, now), Err(AuthError::WrongCredentials));
        }
        // Guessing at one user from many networks ends, but not for the network that he uses.
        assert_eq!(tries(&mut examiner, "10.1.9.1", &right, now), Err(AuthError::TooManyFailures));
        assert_eq!(tries(&mut examiner, "10.0.0.7", &right, now), Ok(()));
        for n in 0..5 {
            let unknown = account(&format!("u{n}"), "x", false);
            assert_eq!(tries(&mut examiner, "10.2.0.1", &unknown, now), Err(AuthError::WrongCredentials));
        }
        // One network that guesses at many users is shut out whatever it says.
        assert_eq!(
            tries(&mut examiner, "10.2.0.9", &account("old", "geheim", false), now),
            Err(AuthError::TooManyFailures)
        );
        let later = now.plus(Span::from_millis(13_000));
        assert_eq!(tries(&mut examiner, "10.2.0.9", &account("old", "geheim", false), later), Ok(()));
        for n in 0..10_000_u32 {
            examiner.failures.add(&n.to_string(), now);
        }
        assert!(examiner.failures.0.len() <= MOST);
    }

    #[test]
    fn a_bad_file_is_told_by_key_or_line_and_never_by_its_secret() {
        for (text, key) in [
            ("[user.a]\nsecret = 'hidden'\nplain = 'hidden'\n", "'user.a.plain'"),
            ("[user.a]\nsecrte = 'hidden'\n", "user.a"),
            ("[user.a]\nsecret = 'hidden\n", "line 2"),
            ("[user.a]\nsecret = ''\n", "'user.a.secret'"),
            ("", "'user'"),
        ] {
            let why = Users::parse(text).expect_err("a bad file");
            assert!(why.contains(key) && !why.contains("hidden") && !why.contains('\n'), "{why}");
        }
        let account = account("a", "hidden", false);
        assert!(!format!("{account:?} {:?}", examiner()).contains("hidden"));
    }
}
