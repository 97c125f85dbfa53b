//! Authentication (RFC 5456, 6.2.3 and 8.6.13 to 8.6.15): of users who call or register here, and of this controller
//! where it calls or registers elsewhere. By MD5 challenge; by plain text only where the operator allows it. This
//! module opens no socket or file and reads no clock.

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
const METHOD_PLAIN: u32 = 1;
/// AUTHMETHODS: MD5.
const METHOD_MD5: u32 = 2;
/// Failures of one network or one user from which on every attempt is rejected, even with the right secret.
const FAILURE_LIMIT: f64 = 5.0;
/// The time in which a count of failures falls by one.
const FAILURE_DECAY: Span = Span::from_millis(12_000);
/// The most entries in the table of failures, and in that of last successes.
const MAX_TRACKED: usize = 4_096;
/// A network from which a user authenticated within this time is not blocked by failures of the same user elsewhere.
const TRUST_PERIOD: Span = Span::from_millis(3_600_000);

/// A secret. Its `Debug` output does not show it, so that it gets into no log.
#[derive(Clone, PartialEq, Eq, Deserialize)]
pub struct Secret(String);

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

/// A user who may call here.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct User {
    secret: Secret,
    /// Whether the user may send the secret in plain text.
    #[serde(default)]
    plain: bool,
    /// Set for a user who is a call server: calls are sent to it while it is registered.
    #[serde(default)]
    server: Option<ServerUser>,
}

/// A user who is a call server.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerUser {
    /// Its cell, the destination number of calls.
    pub cell: u16,
    /// The name of its zone in the settings.
    #[serde(default)]
    pub zone: String,
}

/// All users who may call here, by name.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Users {
    #[serde(rename = "user", default)]
    by_name: BTreeMap<String, User>,
}

impl Users {
    /// Parses the text of a users file. An error names the key, never a secret.
    pub fn parse(text: &str) -> Result<Users, String> {
        let users: Users = parse_toml(text)?;
        if users.by_name.is_empty() {
            return Err("at key 'user': no user is listed".to_owned());
        }
        if let Some((name, _)) = users.by_name.iter().find(|(_, user)| user.secret.0.is_empty()) {
            return Err(format!("at key 'user.{name}.secret': the secret is empty"));
        }
        Ok(users)
    }

    /// Whether any user is a call server.
    pub fn any_server(&self) -> bool {
        self.by_name.values().any(|user| user.server.is_some())
    }
}

/// The account of this controller at the call servers and registrars that ask for authentication.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// The user name.
    pub username: String,
    secret: Secret,
    /// Whether the secret is sent in plain text to a peer that asks for it.
    #[serde(default)]
    plain: bool,
}

impl Account {
    /// Parses the text of an account file. An error names the key, never a secret.
    pub fn parse(text: &str) -> Result<Account, String> {
        let account: Account = parse_toml(text)?;
        if account.username.is_empty() || account.secret.0.is_empty() {
            return Err("at keys 'username' and 'secret': neither may be empty".to_owned());
        }
        Ok(account)
    }

    /// The elements of the reply to an AUTHREQ or REGAUTH; `None` if it offers no method that is supported and
    /// allowed.
    pub fn respond(&self, request: &Elements) -> Option<Elements> {
        let methods = request.number(ie::AUTHMETHODS)?;
        if let Some(challenge) = request.get(ie::CHALLENGE).filter(|_| methods & METHOD_MD5 != 0) {
            return Some(
                Elements::default().with(ie::MD5_RESULT, md5_result(challenge, &self.secret).as_bytes()),
            );
        }
        let plain = methods & METHOD_PLAIN != 0 && self.plain;
        plain.then(|| Elements::default().with(ie::PASSWORD, self.secret.0.as_bytes()))
    }
}

/// Parses TOML. The parser's own messages quote the line with the error, which may hold a secret: the error returned
/// here names only the line or the key.
fn parse_toml<T: for<'de> Deserialize<'de>>(text: &str) -> Result<T, String> {
    let table: toml::Table = text.parse().map_err(|error: toml::de::Error| {
        let before = error.span().and_then(|span| text.get(..span.start)).unwrap_or_default();
        format!("line {} is not valid TOML", before.lines().count().max(1))
    })?;
    serde_path_to_error::deserialize(table).map_err(|error| {
        let key = error.path().to_string();
        let message = error.into_inner().message().to_owned();
        let why = if message.starts_with("invalid") { "wrong type or value" } else { &message };
        format!("at key '{key}': {why}")
    })
}

/// The MD5 of challenge and secret, in hexadecimal (8.6.15).
fn md5_result(challenge: &[u8], secret: &Secret) -> String {
    let digest = Md5::new_with_prefix(challenge).chain_update(&secret.0).finalize();
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// A challenge sent to a caller, kept until the answer arrives.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IssuedChallenge {
    user: String,
    challenge: String,
}

impl IssuedChallenge {
    /// The user name that the caller gave.
    pub fn user(&self) -> &str {
        &self.user
    }
}

/// Why authentication failed. The caller is told only that it did.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum AuthError {
    /// The secret is wrong, or there is no such user.
    #[error("unknown user or wrong secret")]
    WrongCredentials,
    /// Too many failures of this user or from this network.
    #[error("too many authentication failures of this user or from this network")]
    TooManyFailures,
}

/// Counts of failures by network and by user. Each count decreases with time.
#[derive(Debug, Default)]
struct Failures(BTreeMap<String, (f64, Time)>);

impl Failures {
    fn count(&self, key: &str, now: Time) -> f64 {
        self.0
            .get(key)
            .map_or(0.0, |(count, at)| (count - now.since(*at).0 as f64 / FAILURE_DECAY.0 as f64).max(0.0))
    }
    fn add(&mut self, key: &str, now: Time) {
        let count = self.count(key, now) + 1.0;
        if self.0.len() >= MAX_TRACKED && !self.0.contains_key(key) {
            // Evicts the entry with the oldest last failure.
            let oldest = self.0.iter().min_by_key(|(_, (_, at))| *at).map(|(key, _)| key.clone());
            oldest.map(|key| self.0.remove(&key));
        }
        self.0.insert(key.to_owned(), (count, now));
    }
}

/// Challenges callers and verifies their answers.
#[derive(Debug)]
pub struct Authenticator {
    users: Users,
    /// Stands in for an unknown user, so that the challenge and the time to verify are those of a known one without
    /// `plain`.
    placeholder: User,
    key: [u8; 32],
    challenges_issued: u64,
    failures: Failures,
    /// The last success of a user from a network.
    last_success: BTreeMap<(String, std::net::IpAddr), Time>,
}

impl Authenticator {
    /// Creates an authenticator for these users. Challenges are derived from `key`, which must be secret.
    pub fn new(users: Users, key: [u8; 32]) -> Authenticator {
        let secret = Secret(key.iter().map(|byte| format!("{byte:02x}")).collect());
        let placeholder = User { secret, plain: false, server: None };
        let (failures, last_success) = (Failures::default(), BTreeMap::new());
        Authenticator { users, placeholder, key, challenges_issued: 0, failures, last_success }
    }

    /// Replaces the users. The counts of failures stay.
    pub fn reconfigure(&mut self, users: Users) {
        self.users = users;
    }

    /// Whether the user exists.
    pub fn has_user(&self, user: &str) -> bool {
        self.users.by_name.contains_key(user)
    }

    /// The settings of a user who is a call server; `None` for any other.
    pub fn server(&self, user: &str) -> Option<&ServerUser> {
        self.users.by_name.get(user)?.server.as_ref()
    }

    /// The elements of an AUTHREQ or REGAUTH to a caller who gives this user name, and the challenge to verify the
    /// answer with. An unknown user is challenged like a known one without `plain`.
    pub fn challenge(&mut self, user: &str) -> (Elements, IssuedChallenge) {
        self.challenges_issued += 1;
        let mac = Hmac::<Sha256>::new_from_slice(&self.key)
            .unwrap_or_else(|_| unreachable!("HMAC takes a key of any length"));
        let mac = mac.chain_update(self.challenges_issued.to_be_bytes()).finalize().into_bytes();
        let challenge: String = mac[..8].iter().map(|byte| format!("{byte:02x}")).collect();
        let known = self.users.by_name.get(user).unwrap_or(&self.placeholder);
        let methods = if known.plain { METHOD_MD5 | METHOD_PLAIN } else { METHOD_MD5 };
        let elements = Elements::default()
            .with(ie::AUTHMETHODS, &(methods as u16).to_be_bytes())
            .with(ie::CHALLENGE, challenge.as_bytes())
            .with(ie::USERNAME, user.as_bytes());
        (elements, IssuedChallenge { user: user.to_owned(), challenge })
    }

    /// Verifies the answer to a challenge, and counts a failure.
    pub fn verify(
        &mut self,
        from: std::net::IpAddr,
        issued: &IssuedChallenge,
        answer: &Elements,
        now: Time,
    ) -> Result<(), AuthError> {
        let network = network_of(from);
        let (by_network, by_user) = (format!("net {network}"), format!("user {}", issued.user));
        let origin = (issued.user.clone(), network);
        let trusted = self.last_success.get(&origin).is_some_and(|at| now.since(*at) < TRUST_PERIOD);
        let blocked = self.failures.count(&by_network, now) >= FAILURE_LIMIT
            || (!trusted && self.failures.count(&by_user, now) >= FAILURE_LIMIT);
        // Verified in any case, so that the time taken does not show whether the caller is blocked.
        let valid = self.is_valid(issued, answer);
        if blocked {
            return Err(AuthError::TooManyFailures);
        }
        if !valid {
            self.failures.add(&by_network, now);
            self.failures.add(&by_user, now);
            return Err(AuthError::WrongCredentials);
        }
        if self.last_success.len() >= MAX_TRACKED {
            self.last_success.retain(|_, at| now.since(*at) < TRUST_PERIOD);
        }
        if self.last_success.len() < MAX_TRACKED {
            self.last_success.insert(origin, now);
        }
        Ok(())
    }

    fn is_valid(&self, issued: &IssuedChallenge, answer: &Elements) -> bool {
        let known = self.users.by_name.get(&issued.user);
        let user = known.unwrap_or(&self.placeholder);
        let expected = md5_result(issued.challenge.as_bytes(), &user.secret);
        let received = answer.get(ie::MD5_RESULT).unwrap_or_default().to_ascii_lowercase();
        let by_md5 = bool::from(expected.as_bytes().ct_eq(&received));
        let received = answer.get(ie::PASSWORD).unwrap_or_default();
        let by_plain = bool::from(user.secret.0.as_bytes().ct_eq(received));
        known.is_some() && (by_md5 || (user.plain && by_plain))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::net::IpAddr;

    const USERS: &str = "[user.desk]\nsecret = 'wort'\n[user.old]\nsecret = 'geheim'\nplain = true\n";

    fn account(name: &str, secret: &str, plain: bool) -> Account {
        Account::parse(&format!("username = '{name}'\nsecret = '{secret}'\nplain = {plain}"))
            .expect("valid TOML")
    }

    fn authenticate(
        authenticator: &mut Authenticator,
        from: &str,
        account: &Account,
        now: Time,
    ) -> Result<(), AuthError> {
        let from: IpAddr = from.parse().expect("an address");
        let (elements, issued) = authenticator.challenge(&account.username);
        let answer = account.respond(&elements).unwrap_or_default();
        authenticator.verify(from, &issued, &answer, now)
    }

    fn authenticator() -> Authenticator {
        Authenticator::new(Users::parse(USERS).expect("valid TOML"), [3; 32])
    }

    /// Checked with the MD5 of "abc" from RFC 1321, split differently between challenge and secret.
    #[test]
    fn md5_result_is_the_md5_of_challenge_and_secret() {
        assert_eq!(md5_result(b"", &Secret("abc".into())), "900150983cd24fb0d6963f7d28e17f72");
        assert_eq!(md5_result(b"a", &Secret("bc".into())), "900150983cd24fb0d6963f7d28e17f72");
    }

    #[test]
    fn the_right_secret_is_accepted_and_plain_text_only_where_allowed() {
        let (mut authenticator, now) = (authenticator(), Time(1_000_000));
        assert_eq!(
            authenticate(&mut authenticator, "10.0.0.1", &account("desk", "wort", false), now),
            Ok(())
        );
        let wrong = Err(AuthError::WrongCredentials);
        assert_eq!(authenticate(&mut authenticator, "10.0.0.1", &account("desk", "Wort", false), now), wrong);
        assert_eq!(
            authenticate(&mut authenticator, "10.0.1.1", &account("nobody", "wort", false), now),
            wrong
        );
        for (name, secret, right) in [("old", "geheim", true), ("desk", "wort", false)] {
            let (_, issued) = authenticator.challenge(name);
            let plain = Elements::default().with(ie::PASSWORD, secret.as_bytes());
            let from = "10.0.2.1".parse().expect("an address");
            assert_eq!(authenticator.verify(from, &issued, &plain, now).is_ok(), right, "{name}");
        }
        // Asked for plain text only, an account answers only if that is allowed.
        let plain_only = Elements::default().with(ie::AUTHMETHODS, &[0, 1]);
        assert_eq!(account("a", "b", false).respond(&plain_only), None);
        assert!(account("a", "b", true).respond(&plain_only).is_some());
    }

    #[test]
    fn an_unknown_user_gets_the_same_kind_of_challenge_and_no_challenge_is_repeated() {
        let mut authenticator = authenticator();
        let ((known, first), (unknown, second)) =
            (authenticator.challenge("desk"), authenticator.challenge("nobody"));
        let shape = |e: &Elements| e.0.iter().map(|(element, _)| *element).collect::<Vec<_>>();
        assert_eq!(shape(&known), shape(&unknown));
        assert_eq!(known.get(ie::AUTHMETHODS), unknown.get(ie::AUTHMETHODS));
        assert_ne!(first.challenge, second.challenge);
        // The answer to another challenge is rejected.
        let answer = account("desk", "wort", false).respond(&known).expect("an answer");
        let (_, later) = authenticator.challenge("desk");
        let from = "10.0.0.1".parse().expect("an address");
        assert_eq!(authenticator.verify(from, &later, &answer, Time(1)), Err(AuthError::WrongCredentials));
    }

    #[test]
    fn failures_are_limited_by_network_and_user_and_decay_and_do_not_block_a_trusted_network() {
        let (mut authenticator, now) = (authenticator(), Time(1_000_000));
        let (right, wrong) = (account("desk", "wort", false), account("desk", "w", false));
        assert_eq!(authenticate(&mut authenticator, "10.0.0.1", &right, now), Ok(()));
        for n in 0..5 {
            let from = format!("10.1.{n}.1");
            assert_eq!(
                authenticate(&mut authenticator, &from, &wrong, now),
                Err(AuthError::WrongCredentials)
            );
        }
        // Guesses at one user from many networks block the user, except from the network of the last success.
        assert_eq!(
            authenticate(&mut authenticator, "10.1.9.1", &right, now),
            Err(AuthError::TooManyFailures)
        );
        assert_eq!(authenticate(&mut authenticator, "10.0.0.7", &right, now), Ok(()));
        for n in 0..5 {
            let unknown = account(&format!("u{n}"), "x", false);
            assert_eq!(
                authenticate(&mut authenticator, "10.2.0.1", &unknown, now),
                Err(AuthError::WrongCredentials)
            );
        }
        // A network that guesses at many users is blocked, even with a right secret.
        assert_eq!(
            authenticate(&mut authenticator, "10.2.0.9", &account("old", "geheim", false), now),
            Err(AuthError::TooManyFailures)
        );
        let later = now.plus(Span::from_millis(13_000));
        assert_eq!(
            authenticate(&mut authenticator, "10.2.0.9", &account("old", "geheim", false), later),
            Ok(())
        );
        for n in 0..10_000_u32 {
            authenticator.failures.add(&n.to_string(), now);
        }
        assert!(authenticator.failures.0.len() <= MAX_TRACKED);
    }

    #[test]
    fn errors_in_a_file_name_the_key_or_line_and_never_a_secret() {
        for (text, key) in [
            ("[user.a]\nsecret = 'hidden'\nplain = 'hidden'\n", "'user.a.plain'"),
            ("[user.a]\nsecrte = 'hidden'\n", "user.a"),
            ("[user.a]\nsecret = 'hidden\n", "line 2"),
            ("[user.a]\nsecret = ''\n", "'user.a.secret'"),
            ("", "'user'"),
        ] {
            let why = Users::parse(text).expect_err("an invalid file");
            assert!(why.contains(key) && !why.contains("hidden") && !why.contains('\n'), "{why}");
        }
        let account = account("a", "hidden", false);
        assert!(!format!("{account:?} {:?}", authenticator()).contains("hidden"));
    }
}
