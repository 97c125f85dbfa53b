//! Which calls are within their tenant's share of what is taken. It decides nothing: what is cut is `rules`' to say.
//!
//! The settings name each tenant's share of the whole service in calls a second; a controller sees some of the calls, and
//! is not told how many of all. So it goes by what is taken here: each call that a server takes is shared out among the
//! tenants as their shares are, and a call of one that has nothing left of that is beyond its share. In a shortage, when
//! all that can be taken is taken, these are the tenants that take more than theirs; else it matters to nobody.

use serde::{Deserialize, Serialize};

/// A tenant's account.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
struct Account {
    /// What comes to it of each call that is taken.
    part: f64,
    /// Calls that it may still have.
    holds: f64,
}

/// The part of the calls that is beyond is reckoned over no fewer than this.
const CALLS: f64 = 8.0;

/// The accounts of all tenants, by their places in the settings; none where there are no shares.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Shares {
    accounts: Vec<Account>,
    /// The part of the calls of the last while that were beyond.
    beyond: f64,
    /// Calls that are taken in a while.
    a_while: f64,
}

impl Shares {
    /// Accounts for these shares, in calls a second of the whole service; what is no share, or below zero, counts as
    /// none. Each begins with one call.
    pub fn of(shares: &[f64]) -> Shares {
        let share = |share: &f64| if share.is_finite() { share.max(0.0) } else { 0.0 };
        let all: f64 = shares.iter().map(share).sum();
        if all <= 0.0 {
            return Shares::default();
        }
        let accounts = shares.iter().map(|one| Account { part: share(one) / all, holds: 1.0 }).collect();
        Shares { accounts, ..Shares::default() }
    }

    /// Goes on with these shares; who keeps its part of the whole keeps what it holds.
    pub fn follow(&mut self, shares: &[f64]) {
        let mut next = Shares { beyond: self.beyond, a_while: self.a_while, ..Shares::of(shares) };
        for (account, before) in next.accounts.iter_mut().zip(&self.accounts) {
            if account.part == before.part {
                account.holds = before.holds;
            }
        }
        *self = next;
    }

    /// A call of a tenant came; whether it is within its share. One whose tenant has none is not, where there are any.
    pub fn takes(&mut self, tenant: Option<usize>) -> bool {
        if self.accounts.is_empty() {
            return true;
        }
        let account = tenant.and_then(|tenant| self.accounts.get_mut(tenant)).filter(|a| a.holds >= 1.0);
        let within = account.map(|account| account.holds -= 1.0).is_some();
        self.beyond += (f64::from(u8::from(!within)) - self.beyond) / self.a_while.max(CALLS);
        within
    }

    /// What to cut of the calls within their shares, or of those beyond, when `cut` of all must go: those beyond first. It
    /// goes by the calls of the last while, the same that the accounts go by. Guards against a burst in which all are
    /// beyond before that shows among the calls of a longer time, and twice as many are cut as must be.
    pub fn cut(&self, cut: f64, within: bool) -> f64 {
        match within {
            _ if self.beyond <= 0.0 || self.beyond >= 1.0 => cut,
            true => ((cut - self.beyond) / (1.0 - self.beyond)).max(0.0),
            false => (cut / self.beyond).min(1.0),
        }
    }

    /// A server took a call: it is shared out. `most`: calls that are taken in a while; what comes to a tenant of so many,
    /// or one call, is kept for it, the rest lapses. Guards against a tenant that was quiet for long and then crowds out the
    /// others.
    pub fn taken(&mut self, most: f64) {
        self.a_while = most;
        for account in &mut self.accounts {
            account.holds = (account.holds + account.part).min((most * account.part).max(1.0));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a tenant within its share that is held for one beyond it because another sends too much.
    #[test]
    fn who_takes_more_than_its_share_of_what_is_taken_is_beyond_it() {
        let mut shares = Shares::of(&[30.0, 10.0]);
        let mut within = [0, 0];
        // The second sends as much as the first, and half of all is taken.
        for n in 0..4_000 {
            within[n % 2] += usize::from(shares.takes(Some(n % 2)));
            if n % 2 == 1 {
                shares.taken(20.0);
            }
        }
        assert!((1_480..=1_520).contains(&within[0]), "{within:?}");
        assert!((480..=520).contains(&within[1]), "{within:?}");
    }

    #[test]
    fn a_tenant_that_was_quiet_holds_no_more_than_a_while_brings() {
        let mut shares = Shares::of(&[30.0, 10.0]);
        (0..1_000).for_each(|_| shares.taken(20.0));
        assert_eq!((0..100).filter(|_| shares.takes(Some(0))).count(), 15);
        assert_eq!((0..100).filter(|_| shares.takes(Some(1))).count(), 5);
    }

    /// Guards against a cut of more, or less, than must go.
    #[test]
    fn those_beyond_go_first_and_as_many_go_as_must() {
        let mut shares = Shares::of(&[30.0, 10.0]);
        assert_eq!([shares.cut(0.3, true), shares.cut(0.3, false)], [0.3, 0.3], "nobody is beyond");
        for n in 0..4_000 {
            shares.takes(Some(n % 2));
            if n % 2 == 1 {
                shares.taken(20.0);
            }
        }
        let beyond = shares.beyond;
        assert!((0.4..0.6).contains(&beyond), "{beyond}");
        for cut in [0.0, 0.1, 0.3, 0.5, 0.7, 0.9, 1.0] {
            let (of_within, of_beyond) = (shares.cut(cut, true), shares.cut(cut, false));
            let all = of_within * (1.0 - beyond) + of_beyond * beyond;
            assert!((all - cut).abs() < 1e-9, "{cut}: {all}");
            assert!(of_within <= cut && cut <= of_beyond && (of_within == 0.0 || of_beyond == 1.0), "{cut}");
        }
    }

    #[test]
    fn odd_shares_and_tenants_get_a_sound_answer() {
        for none in [&[][..], &[0.0], &[-1.0, f64::NAN]] {
            assert!(Shares::of(none).takes(None) && Shares::of(none).takes(Some(7)), "{none:?}");
        }
        let mut shares = Shares::of(&[f64::INFINITY, 5.0]);
        assert!(!shares.takes(None) && !shares.takes(Some(2)) && shares.takes(Some(1)));
        shares.taken(f64::NAN);
        assert!(shares.takes(Some(1)));
    }

    /// Guards against a reload that gives each tenant a fresh start, and against one that keeps what is another's.
    #[test]
    fn new_settings_keep_what_is_held_where_the_part_is_the_same() {
        let mut shares = Shares::of(&[5.0, 5.0]);
        assert!(shares.takes(Some(0)));
        shares.follow(&[9.0, 9.0]);
        assert!(!shares.takes(Some(0)) && shares.takes(Some(1)));
        shares.follow(&[2.0, 8.0]);
        assert!(shares.takes(Some(0)) && shares.takes(Some(1)));
        shares.follow(&[]);
        assert!(shares.takes(Some(0)) && shares.takes(None));
    }
}
