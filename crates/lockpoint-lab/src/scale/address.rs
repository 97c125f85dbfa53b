//! Network addresses of controllers, and the list of members that each controller was started with.

use std::collections::HashMap;

/// Network address of a controller's process. A replacement has a new one; a restart keeps it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Address(pub u32);

/// A list of members with the address of each. It is fixed when a controller starts.
#[derive(Debug, Clone, Default)]
pub struct AddressBook {
    addresses: Vec<Address>,
    numbers: HashMap<Address, u16>,
}

impl AddressBook {
    /// The list of these members, numbered in this order.
    pub fn new(addresses: Vec<Address>) -> AddressBook {
        let numbers = addresses.iter().copied().zip(0..).collect();
        AddressBook { addresses, numbers }
    }

    /// The address of a member.
    pub fn address_of(&self, member: u16) -> Option<Address> {
        self.addresses.get(usize::from(member)).copied()
    }

    /// The number of the member at an address; `None`: not a member.
    pub fn number_of(&self, address: Address) -> Option<u16> {
        self.numbers.get(&address).copied()
    }
}
