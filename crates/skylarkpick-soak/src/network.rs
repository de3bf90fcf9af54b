//! Loopback networks for the processes of soaks that run side by side.

use std::{
    io::{Error, ErrorKind},
    net::{Ipv4Addr, TcpListener},
};

/// Number of loopback networks; 127.0 is left to other programs.
const NETWORKS: usize = 255;
/// Last octet of the address that reserves a network; no process has it.
const RESERVATION_HOST: u8 = 255;
/// Port of the address that reserves a network.
const RESERVATION_PORT: u16 = 8_740;

/// A loopback network that no other soak on this machine uses as long as this value exists.
#[derive(Debug)]
pub struct LoopbackNetwork {
    /// Second octet N of its addresses `127.N.1.x`.
    pub number: u8,
    /// Listens at an address of the network, which others then cannot.
    _reservation: TcpListener,
}

impl LoopbackNetwork {
    /// Reserves the first free network, starting at one that depends on `start`.
    ///
    /// # Errors
    /// Returns an error if all networks are in use.
    ///
    /// ```
    /// let network = skylarkpick_soak::LoopbackNetwork::reserve(7)?;
    /// assert_ne!(network.number, 0);
    /// # Ok::<(), std::io::Error>(())
    /// ```
    pub fn reserve(start: usize) -> std::io::Result<LoopbackNetwork> {
        let mut last = Error::from(ErrorKind::AddrInUse);
        for offset in 0..NETWORKS {
            let number = u8::try_from(1 + (start + offset) % NETWORKS).unwrap_or(u8::MAX);
            let address = Ipv4Addr::new(127, number, 1, RESERVATION_HOST);
            match TcpListener::bind((address, RESERVATION_PORT)) {
                Ok(reservation) => {
                    return Ok(LoopbackNetwork { number, _reservation: reservation });
                }
                Err(error) => last = error,
            }
        }
        Err(last)
    }
}
