//! Accounting of the tenants' shares of the accepted calls. Which calls are refused is decided in `rules`.
//!
//! The settings give each tenant's share of the whole service in calls per second, but a controller receives
//! only some of the calls and does not know what fraction. It therefore divides the calls accepted here: each
//! accepted call adds credit to all tenants in proportion to their shares, and a call of a tenant without
//! credit counts as beyond its share. In a shortage, when call servers accept all they can, these are the
//! tenants that use more than their share; at other times no call is refused, so the distinction has no
//! effect.

use serde::{Deserialize, Serialize};

/// The credit account of one tenant.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
struct Account {
    /// The tenant's fraction of the service: the credit added per accepted call.
    #[serde(rename = "part")]
    fraction: f64,
    /// Credit left, in calls.
    #[serde(rename = "holds")]
    credit: f64,
}

/// The fraction of calls beyond their shares is averaged over at least this many calls.
const MIN_CALLS_AVERAGED: f64 = 8.0;

/// The accounts of all tenants, by their index in the settings; empty if no shares are set.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct TenantShares {
    accounts: Vec<Account>,
    /// Moving average of the fraction of calls beyond their tenants' shares.
    #[serde(rename = "beyond")]
    beyond_fraction: f64,
    /// Calls usually accepted in the throttle's window; the moving average spans as many calls.
    #[serde(rename = "a_while")]
    calls_per_window: f64,
}

impl TenantShares {
    /// Accounts for these shares, given in calls per second of the whole service; a share that is negative or
    /// not finite counts as zero. Each account starts with a credit of one call.
    pub fn new(shares: &[f64]) -> TenantShares {
        let share = |share: &f64| if share.is_finite() { share.max(0.0) } else { 0.0 };
        let all: f64 = shares.iter().map(share).sum();
        if all <= 0.0 {
            return TenantShares::default();
        }
        let accounts = shares.iter().map(|one| Account { fraction: share(one) / all, credit: 1.0 }).collect();
        TenantShares { accounts, ..TenantShares::default() }
    }

    /// Applies changed shares. A tenant whose fraction of the service stays the same keeps its credit.
    pub fn update(&mut self, shares: &[f64]) {
        let mut next = TenantShares {
            beyond_fraction: self.beyond_fraction,
            calls_per_window: self.calls_per_window,
            ..TenantShares::new(shares)
        };
        for (account, before) in next.accounts.iter_mut().zip(&self.accounts) {
            if account.fraction == before.fraction {
                account.credit = before.credit;
            }
        }
        *self = next;
    }

    /// Charges a new call to its tenant and returns whether it is within the tenant's share. If shares are
    /// set, a call of a tenant without a share is not.
    pub fn charge(&mut self, tenant: Option<usize>) -> bool {
        if self.accounts.is_empty() {
            return true;
        }
        let account = tenant.and_then(|tenant| self.accounts.get_mut(tenant)).filter(|a| a.credit >= 1.0);
        let within = account.map(|account| account.credit -= 1.0).is_some();
        self.beyond_fraction += (f64::from(u8::from(!within)) - self.beyond_fraction)
            / self.calls_per_window.max(MIN_CALLS_AVERAGED);
        within
    }

    /// The fraction to refuse of the calls within their shares, or of those beyond, if the fraction `cut` of
    /// all calls has to be refused; calls beyond their shares are refused first. The fraction beyond is
    /// averaged over the same period as the credits. A longer average would lag behind a burst in which all
    /// calls are beyond their shares, and twice as many calls as necessary would be refused.
    pub fn refused_fraction(&self, cut: f64, within: bool) -> f64 {
        match within {
            _ if self.beyond_fraction <= 0.0 || self.beyond_fraction >= 1.0 => cut,
            true => ((cut - self.beyond_fraction) / (1.0 - self.beyond_fraction)).max(0.0),
            false => (cut / self.beyond_fraction).min(1.0),
        }
    }

    /// Records an accepted call and adds credit to all tenants. `calls_per_window` is the number of calls
    /// usually accepted in the throttle's window; a tenant's credit is capped at its fraction of that, or at
    /// one call if that is more. The cap guards against a tenant that has been idle for long and then crowds
    /// out the others.
    pub fn record_accept(&mut self, calls_per_window: f64) {
        self.calls_per_window = calls_per_window;
        for account in &mut self.accounts {
            account.credit =
                (account.credit + account.fraction).min((calls_per_window * account.fraction).max(1.0));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against calls of a tenant within its share that count as beyond it because another tenant sends
    /// too many.
    #[test]
    fn only_calls_of_a_tenant_above_its_fraction_of_the_accepted_calls_are_beyond_its_share() {
        let mut shares = TenantShares::new(&[30.0, 10.0]);
        let mut within = [0, 0];
        // Both tenants send the same number of calls, and half of all calls are accepted.
        for n in 0..4_000 {
            within[n % 2] += usize::from(shares.charge(Some(n % 2)));
            if n % 2 == 1 {
                shares.record_accept(20.0);
            }
        }
        assert!((1_480..=1_520).contains(&within[0]), "{within:?}");
        assert!((480..=520).contains(&within[1]), "{within:?}");
    }

    #[test]
    fn credit_of_an_idle_tenant_is_capped_at_one_window() {
        let mut shares = TenantShares::new(&[30.0, 10.0]);
        (0..1_000).for_each(|_| shares.record_accept(20.0));
        assert_eq!((0..100).filter(|_| shares.charge(Some(0))).count(), 15);
        assert_eq!((0..100).filter(|_| shares.charge(Some(1))).count(), 5);
    }

    /// Guards against refusing more or fewer calls than necessary.
    #[test]
    fn calls_beyond_their_share_are_refused_first_and_the_total_is_as_requested() {
        let mut shares = TenantShares::new(&[30.0, 10.0]);
        assert_eq!(
            [shares.refused_fraction(0.3, true), shares.refused_fraction(0.3, false)],
            [0.3, 0.3],
            "no call is beyond its share"
        );
        for n in 0..4_000 {
            shares.charge(Some(n % 2));
            if n % 2 == 1 {
                shares.record_accept(20.0);
            }
        }
        let beyond = shares.beyond_fraction;
        assert!((0.4..0.6).contains(&beyond), "{beyond}");
        for cut in [0.0, 0.1, 0.3, 0.5, 0.7, 0.9, 1.0] {
            let (of_within, of_beyond) =
                (shares.refused_fraction(cut, true), shares.refused_fraction(cut, false));
            let all = of_within * (1.0 - beyond) + of_beyond * beyond;
            assert!((all - cut).abs() < 1e-9, "{cut}: {all}");
            assert!(of_within <= cut && cut <= of_beyond && (of_within == 0.0 || of_beyond == 1.0), "{cut}");
        }
    }

    #[test]
    fn invalid_shares_and_unknown_tenants_are_handled() {
        for none in [&[][..], &[0.0], &[-1.0, f64::NAN]] {
            assert!(
                TenantShares::new(none).charge(None) && TenantShares::new(none).charge(Some(7)),
                "{none:?}"
            );
        }
        let mut shares = TenantShares::new(&[f64::INFINITY, 5.0]);
        assert!(!shares.charge(None) && !shares.charge(Some(2)) && shares.charge(Some(1)));
        shares.record_accept(f64::NAN);
        assert!(shares.charge(Some(1)));
    }

    /// Guards against a reload that resets all credits, and against one that keeps credit under a different
    /// share.
    #[test]
    fn changed_settings_keep_the_credit_of_tenants_with_an_unchanged_fraction() {
        let mut shares = TenantShares::new(&[5.0, 5.0]);
        assert!(shares.charge(Some(0)));
        shares.update(&[9.0, 9.0]);
        assert!(!shares.charge(Some(0)) && shares.charge(Some(1)));
        shares.update(&[2.0, 8.0]);
        assert!(shares.charge(Some(0)) && shares.charge(Some(1)));
        shares.update(&[]);
        assert!(shares.charge(Some(0)) && shares.charge(None));
    }
}
