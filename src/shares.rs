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

/// The accounts of all tenants, by their places in the settings; none where there are no shares.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Shares(Vec<Account>);

impl Shares {
    /// Accounts for these shares, in calls a second of the whole service; what is no share, or below zero, counts as
    /// none. Each begins with one call.
    pub fn of(shares: &[f64]) -> Shares {
        let share = |share: &f64| if share.is_finite() { share.max(0.0) } else { 0.0 };
        let all: f64 = shares.iter().map(share).sum();
        if all <= 0.0 {
            return Shares::default();
        }
        Shares(shares.iter().map(|one| Account { part: share(one) / all, holds: 1.0 }).collect())
    }

    /// Goes on with these shares; who keeps its part of the whole keeps what it holds.
    pub fn follow(&mut self, shares: &[f64]) {
        let mut next = Shares::of(shares);
        for (account, before) in next.0.iter_mut().zip(&self.0) {
            if account.part == before.part {
                account.holds = before.holds;
            }
        }
        *self = next;
    }

    /// A call of a tenant came; whether it is within its share. One whose tenant has none is not, where there are any.
    pub fn takes(&mut self, tenant: Option<usize>) -> bool {
        if self.0.is_empty() {
            return true;
        }
        let Some(account) = tenant.and_then(|tenant| self.0.get_mut(tenant)) else { return false };
        if account.holds < 1.0 {
            return false;
        }
        account.holds -= 1.0;
        true
    }

    /// A server took a call: it is shared out. What came to a tenant of `most` calls, or one, is kept for it; the rest
    /// lapses. Guards against a tenant that was quiet for long and then may crowd out the others.
    pub fn taken(&mut self, most: f64) {
        for account in &mut self.0 {
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
