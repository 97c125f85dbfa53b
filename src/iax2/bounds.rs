//! Limits on incoming legs: in total, from one address, and from one network. This module opens no socket and reads no
//! clock.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};

use serde::Deserialize;

/// Prefix lengths of a network, as a site usually has it.
const NETWORK_V4_BITS: u32 = 24;
const NETWORK_V6_BITS: u32 = 48;
/// Prefix length that counts as one IPv6 address: a subscriber may use any address of its /64.
const ADDRESS_V6_BITS: u32 = 64;

/// How many incoming legs may exist, including ended ones whose numbers are not reusable yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Bounds {
    /// In total.
    pub total: usize,
    /// From one address; for IPv6, from one /64.
    pub address: usize,
    /// From one network: a /24, or a /48 for IPv6.
    pub network: usize,
}

impl Default for Bounds {
    fn default() -> Self {
        Self { total: 20_000, address: 1_024, network: 8_192 }
    }
}

/// The limit that was reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitReached {
    /// [`Bounds::total`].
    Total,
    /// [`Bounds::address`].
    Address,
    /// [`Bounds::network`].
    Network,
}

/// Incoming legs, counted by address and network.
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
    masked(ip, 32, ADDRESS_V6_BITS)
}

/// The network of an address: a /24, or a /48 for IPv6.
pub fn network_of(ip: IpAddr) -> IpAddr {
    masked(ip, NETWORK_V4_BITS, NETWORK_V6_BITS)
}

impl IncomingLegCounts {
    /// Counts a leg from this address, if the limits allow it.
    pub fn add(&mut self, from: IpAddr, bounds: &Bounds) -> Result<(), LimitReached> {
        let (address, network) = (address_of(from), network_of(from));
        let count = |counts: &BTreeMap<IpAddr, usize>, key| counts.get(&key).copied().unwrap_or(0);
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

    /// Removes a leg of this address. An address without legs keeps no entry.
    pub fn remove(&mut self, from: IpAddr) {
        for (counts, key) in
            [(&mut self.by_address, address_of(from)), (&mut self.by_network, network_of(from))]
        {
            if let Some(count) = counts.get_mut(&key) {
                *count -= 1;
                if *count == 0 {
                    counts.remove(&key);
                }
            }
        }
        self.total = self.total.saturating_sub(1);
    }

    /// Whether no leg is counted and no entry is left.
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
    fn each_limit_applies_by_itself_and_removed_legs_free_room() {
        let bounds = Bounds { total: 10, address: 2, network: 3 };
        let mut counts = IncomingLegCounts::default();
        let mut accepted = Vec::new();
        for (from, limit) in [
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
            assert_eq!(counts.add(ip(from), &bounds).err(), limit, "{from}");
            accepted.extend(limit.is_none().then(|| ip(from)));
        }
        accepted.into_iter().for_each(|from| counts.remove(from));
        assert!(counts.is_empty());
        assert_eq!(counts.add(ip("10.0.0.3"), &bounds), Ok(()));
    }
}
