//! Allocation of loopback addresses that no other bench on this machine uses.

use std::net::{IpAddr, Ipv4Addr, TcpListener};

use crate::error::LabError;

/// Port that a bench binds to claim a block of addresses.
const CLAIM_PORT: u16 = 6999;
/// Hosts per value of the third byte of an address; the last byte is never 0 or 255.
const HOSTS_PER_SUBNET: u16 = 250;
/// The lowest block; 127.0.0.0/16 is left to the other programs on the machine.
const FIRST_BLOCK: u8 = 1;

/// A claimed block of addresses, 127.B.0.0/16.
#[derive(Debug)]
pub struct AddressBlock {
    block: u8,
    allocated: u16,
    /// The bound claim port; absent once the block is released.
    claim: Option<TcpListener>,
}

impl AddressBlock {
    /// Claims a free block. The search starts at a block that depends on the process id.
    pub fn claim() -> Result<Self, LabError> {
        let start = (std::process::id() % 200) as u8;
        for n in 0..250 {
            let block = FIRST_BLOCK + (start.wrapping_add(n)) % 250;
            let address = (Ipv4Addr::new(127, block, 255, 1), CLAIM_PORT);
            if let Ok(claim) = TcpListener::bind(address) {
                return Ok(Self {
                    block,
                    allocated: 0,
                    claim: Some(claim),
                });
            }
        }
        Err(LabError::Timeout {
            what: "a claim of a free block of loopback addresses",
            seconds: 0,
        })
    }

    /// A name that no other running bench uses.
    pub fn unique_name(&self) -> String {
        format!("balsamjunction-lab-{}-{}", std::process::id(), self.block)
    }

    /// An address that has not been returned before.
    pub fn next_ip(&mut self) -> IpAddr {
        let high = (self.allocated / HOSTS_PER_SUBNET) as u8;
        let low = (self.allocated % HOSTS_PER_SUBNET) as u8 + 1;
        self.allocated += 1;
        IpAddr::V4(Ipv4Addr::new(127, self.block, high, low))
    }

    /// Releases the block.
    pub fn release(&mut self) {
        self.claim = None;
    }
}
