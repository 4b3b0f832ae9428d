//! Loopback addresses that no other bench on this machine uses.

use std::net::{IpAddr, Ipv4Addr, TcpListener};

use crate::error::LabError;

/// Port that marks a block of addresses as taken.
const CLAIM_PORT: u16 = 6999;
/// Hosts per last byte of an address; 0 and 255 stay free.
const HOSTS_PER_BLOCK: u16 = 250;
/// The first block that is tried; 127.0 belongs to everything else on the machine.
const FIRST_BLOCK: u8 = 1;

/// A claimed block 127.B.0.0/16.
#[derive(Debug)]
pub struct AddressBlock {
    block: u8,
    used: u16,
    claim: Option<TcpListener>,
}

impl AddressBlock {
    /// Claims a free block.
    pub fn claim() -> Result<Self, LabError> {
        let start = (std::process::id() % 200) as u8;
        for n in 0..250 {
            let block = FIRST_BLOCK + (start.wrapping_add(n)) % 250;
            let address = (Ipv4Addr::new(127, block, 255, 1), CLAIM_PORT);
            if let Ok(claim) = TcpListener::bind(address) {
                return Ok(Self {
                    block,
                    used: 0,
                    claim: Some(claim),
                });
            }
        }
        Err(LabError::Timeout {
            what: "a free block of loopback addresses",
            seconds: 0,
        })
    }

    /// A name that no other bench uses now.
    pub fn unique_name(&self) -> String {
        format!("balsamjunction-lab-{}-{}", std::process::id(), self.block)
    }

    /// An address that was not given before.
    pub fn next_ip(&mut self) -> IpAddr {
        let high = (self.used / HOSTS_PER_BLOCK) as u8;
        let low = (self.used % HOSTS_PER_BLOCK) as u8 + 1;
        self.used += 1;
        IpAddr::V4(Ipv4Addr::new(127, self.block, high, low))
    }

    /// Gives the block back.
    pub fn release(&mut self) {
        self.claim = None;
    }
}
