//! How many legs callers may begin: in all, from one address, and from one network. No socket and no clock here.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};

use serde::Deserialize;

/// Bits of an address that tell its network: a usual site's.
const NETWORK_V4: u32 = 24;
const NETWORK_V6: u32 = 48;
/// Bits of an IPv6 address that stand for one subscriber, who may take any of the rest.
const ADDRESS_V6: u32 = 64;

/// How many legs callers may have, those that rest after their end with them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Bounds {
    /// In all.
    pub total: usize,
    /// From one address; of IPv6 from one /64.
    pub address: usize,
    /// From one network: a /24, of IPv6 a /48.
    pub network: usize,
}

impl Default for Bounds {
    fn default() -> Self {
        Self { total: 20_000, address: 1_024, network: 8_192 }
    }
}

/// A bound that was met.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitReached {
    /// `total`.
    Total,
    /// `address`.
    Address,
    /// `network`.
    Network,
}

/// What was begun, counted by address and network.
#[derive(Debug, Default)]
pub struct IncomingLegCounts {
    by_address: BTreeMap<IpAddr, usize>,
    by_network: BTreeMap<IpAddr, usize>,
    total: usize,
}

fn masked(ip: IpAddr, v4: u32, v6: u32) -> IpAddr {
    match ip.to_canonical() {
        IpAddr::V4(ip) => IpAddr::V4(Ipv4Addr::from_bits(ip.to_bits() & u32::MAX << (32 - v4))),
        IpAddr::V6(ip) => IpAddr::V6(Ipv6Addr::from_bits(ip.to_bits() & u128::MAX << (128 - v6))),
    }
}

fn address_of(ip: IpAddr) -> IpAddr {
    masked(ip, 32, ADDRESS_V6)
}

/// The network of an address: a /24, of IPv6 a /48.
pub fn network_of(ip: IpAddr) -> IpAddr {
    masked(ip, NETWORK_V4, NETWORK_V6)
}

impl IncomingLegCounts {
    /// One more from this address, if the bounds allow it.
    pub fn begin(&mut self, from: IpAddr, bounds: &Bounds) -> Result<(), LimitReached> {
        let (address, network) = (address_of(from), network_of(from));
        let count = |counts: &BTreeMap<IpAddr, usize>, of| counts.get(&of).copied().unwrap_or(0);
        if self.total >= bounds.total {
            return Err(LimitReached::Total);
        }
        if count(&self.by_address, address) >= bounds.address {
            return Err(LimitReached::Address);
        }
        if count(&self.by_network, network) >= bounds.network {
            return Err(LimitReached::Network);
        }
        *self.by_address.entry(address).or_default() += 1;
        *self.by_network.entry(network).or_default() += 1;
        self.total += 1;
        Ok(())
    }

    /// One less. Nothing is kept of an address that has none left.
    pub fn end(&mut self, from: IpAddr) {
        for (counts, of) in
            [(&mut self.by_address, address_of(from)), (&mut self.by_network, network_of(from))]
        {
            if let Some(count) = counts.get_mut(&of) {
                *count -= 1;
                if *count == 0 {
                    counts.remove(&of);
                }
            }
        }
        self.total = self.total.saturating_sub(1);
    }

    /// Whether nothing is begun, and nothing kept.
    pub fn is_empty(&self) -> bool {
        self.total == 0 && self.by_address.is_empty() && self.by_network.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ip(text: &str) -> IpAddr {
        text.parse().expect("an address")
    }

    #[test]
    fn each_bound_holds_by_itself_and_room_comes_back() {
        let bounds = Bounds { total: 10, address: 2, network: 3 };
        let mut begun = IncomingLegCounts::default();
        let mut taken = Vec::new();
        for (from, met) in [
            ("10.0.0.1", None),
            ("10.0.0.1", None),
            ("10.0.0.1", Some(LimitReached::Address)),
            ("::ffff:10.0.0.1", Some(LimitReached::Address)),
            ("10.0.0.2", None),
            ("10.0.0.3", Some(LimitReached::Network)),
            ("10.0.1.1", None),
            ("2001:db8:0:1::1", None),
            ("2001:db8:0:1::2", None),
            ("2001:db8:0:1:ffff::", Some(LimitReached::Address)),
            ("2001:db8:0:2::", None),
            ("2001:db8:0:3::", Some(LimitReached::Network)),
            ("10.0.2.1", None),
            ("10.0.3.1", None),
            ("10.0.4.1", None),
            ("10.0.5.1", Some(LimitReached::Total)),
        ] {
            assert_eq!(begun.begin(ip(from), &bounds).err(), met, "{from}");
            taken.extend(met.is_none().then(|| ip(from)));
        }
        taken.into_iter().for_each(|from| begun.end(from));
        assert!(begun.is_empty());
        assert_eq!(begun.begin(ip("10.0.0.3"), &bounds), Ok(()));
    }
}
