//! Connections whose end must not look regular to the peer.

use rustix::net::sockopt::set_socket_linger;
use smol::net::TcpStream;
use std::{io, time::Duration};

/// Makes closing the socket reset the connection; the peer then sees neither a regular end nor
/// bytes that it has not read.
///
/// # Errors
/// The system refuses the socket option.
pub(super) fn reset_on_close(stream: &TcpStream) -> io::Result<()> {
    set_socket_linger(stream, Some(Duration::ZERO))?;
    Ok(())
}

/// Makes closing the socket end the connection regularly again, after [`reset_on_close`].
///
/// # Errors
/// The system refuses the socket option.
pub(super) fn close_regularly(stream: &TcpStream) -> io::Result<()> {
    set_socket_linger(stream, None)?;
    Ok(())
}
