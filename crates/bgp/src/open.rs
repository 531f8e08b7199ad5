//! The OPEN message (RFC 4271 section 4.2) and its capabilities (RFC 5492).

use crate::error::{MessageError, OpenError};
use crate::family::{Family, SAFI_UNICAST};
use crate::message::{self, MessageType};
use crate::ByteReader;
use std::net::Ipv4Addr;

/// The AS number that replaces one that does not fit in two octets (RFC 6793).
pub const AS_TRANS: u16 = 23456;
/// The maximum restart time that the 12-bit field of the Graceful Restart capability can hold, in seconds (RFC 4724
/// section 3).
pub const MAX_RESTART_TIME: u16 = 4095;

/// The supported version of BGP.
const VERSION: u8 = 4;
/// The type of the optional parameter that holds capabilities (RFC 5492 section 4), the only supported one.
const CAPABILITIES_PARAMETER: u8 = 2;
/// The value of the length octet and of the first parameter type octet that announces extended optional parameters,
/// whose lengths take two octets (RFC 9072).
const EXTENDED_PARAMETERS: u8 = 255;

/// Capability codes.
mod capability {
    /// RFC 4760.
    pub const MULTIPROTOCOL: u8 = 1;
    /// RFC 2918.
    pub const ROUTE_REFRESH: u8 = 2;
    /// RFC 9234.
    pub const ROLE: u8 = 9;
    /// RFC 4724.
    pub const GRACEFUL_RESTART: u8 = 64;
    /// RFC 6793.
    pub const FOUR_OCTET_AS: u8 = 65;
    /// RFC 7313.
    pub const ENHANCED_ROUTE_REFRESH: u8 = 70;
}

/// The R bit, in the flags before the restart time of the Graceful Restart capability (RFC 4724 section 3).
const RESTART_STATE_BIT: u16 = 0x8000;
/// The N bit, in the same flags (RFC 8538 section 2).
const NOTIFICATION_BIT: u16 = 0x4000;
/// The F bit, in the flags of one address family of that capability (RFC 4724 section 3).
const FORWARDING_STATE_BIT: u8 = 0x80;

/// The BGP Role of a speaker towards its peer (RFC 9234 section 3), in the order of the role codes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Sells transit to the peer.
    Provider,
    /// A route server of an exchange.
    RouteServer,
    /// A client of a route server.
    RouteServerClient,
    /// Buys transit from the peer.
    Customer,
    /// A lateral peer: exchanges its own and its customers' routes.
    Peer,
}

impl Role {
    fn from_code(code: u8) -> Option<Role> {
        use Role::*;
        [Provider, RouteServer, RouteServerClient, Customer, Peer].get(usize::from(code)).copied()
    }

    /// The role that the other side must have (RFC 9234 section 4.2).
    pub fn counterpart(self) -> Role {
        match self {
            Role::Provider => Role::Customer,
            Role::Customer => Role::Provider,
            Role::RouteServer => Role::RouteServerClient,
            Role::RouteServerClient => Role::RouteServer,
            Role::Peer => Role::Peer,
        }
    }
}

/// The Graceful Restart capability (RFC 4724 section 3) with the N bit of RFC 8538.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GracefulRestart {
    /// The Restart State (R) bit: the speaker has restarted.
    pub restart_state: bool,
    /// The N bit: routes are also preserved when a NOTIFICATION ends the session, unless it is a hard reset.
    pub notification_support: bool,
    /// How long the peer shall keep the speaker's routes after the session is lost, in seconds: 0 to 4095.
    pub restart_time: u16,
    /// Indexed by [`Family`]: `None` if routes of the family are not preserved, otherwise the Forwarding State (F) bit:
    /// whether the speaker preserved its forwarding state during the restart.
    pub families: [Option<bool>; 2],
}

impl GracefulRestart {
    /// Whether routes of at least one family are preserved.
    pub fn preserves_any_family(&self) -> bool {
        self.families.iter().any(Option::is_some)
    }

    /// Decodes the value of the capability; `None` if it is malformed.
    fn decode(value: &[u8]) -> Option<GracefulRestart> {
        let (flags, families) = value.split_at_checked(2)?;
        if !families.len().is_multiple_of(4) {
            return None;
        }
        let flags = u16::from_be_bytes([flags[0], flags[1]]);
        let mut graceful_restart = GracefulRestart {
            restart_state: flags & RESTART_STATE_BIT != 0,
            notification_support: flags & NOTIFICATION_BIT != 0,
            restart_time: flags & MAX_RESTART_TIME,
            families: [None; 2],
        };
        for entry in families.chunks_exact(4) {
            if let Some(family) = Family::from_afi_safi(u16::from_be_bytes([entry[0], entry[1]]), entry[2]) {
                let forwarding = entry[3] & FORWARDING_STATE_BIT != 0;
                graceful_restart.families[family as usize] = Some(forwarding);
            }
        }
        Some(graceful_restart)
    }

    fn encode(&self, out: &mut Vec<u8>) {
        let mut flags = self.restart_time.min(MAX_RESTART_TIME);
        if self.restart_state {
            flags |= RESTART_STATE_BIT;
        }
        if self.notification_support {
            flags |= NOTIFICATION_BIT;
        }
        let mut value = flags.to_be_bytes().to_vec();
        for family in Family::ALL {
            if let Some(forwarding) = self.families[family as usize] {
                let [high, low] = family.afi().to_be_bytes();
                let flags = if forwarding { FORWARDING_STATE_BIT } else { 0 };
                value.extend([high, low, SAFI_UNICAST, flags]);
            }
        }
        out.extend([capability::GRACEFUL_RESTART, value.len() as u8]);
        out.extend(value);
    }
}

/// The supported capabilities of a speaker (RFC 5492); others are ignored.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Capabilities {
    /// Indexed by [`Family`]: whether the speaker supports the family. IPv4 is assumed if the OPEN lists no family.
    pub families: [bool; 2],
    /// The speaker's AS number, if it supports four-octet AS numbers (RFC 6793).
    pub four_octet_as: Option<u32>,
    /// ROUTE-REFRESH (RFC 2918).
    pub route_refresh: bool,
    /// ROUTE-REFRESH with markers of its beginning and end (RFC 7313).
    pub enhanced_route_refresh: bool,
    /// Graceful Restart (RFC 4724).
    pub graceful_restart: Option<GracefulRestart>,
    /// BGP Role (RFC 9234).
    pub role: Option<Role>,
}

/// The first message that each side sends on a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Open {
    /// The speaker's AS number; taken from the four-octet AS capability if it is present.
    pub asn: u32,
    /// The hold time that the speaker proposes, in seconds: 0, or at least 3.
    pub hold_time: u16,
    /// The BGP identifier.
    pub identifier: Ipv4Addr,
    /// The optional features that the speaker supports.
    pub capabilities: Capabilities,
}

fn malformed(reason: &'static str) -> MessageError {
    MessageError::new(OpenError::Unspecific, reason)
}

fn truncated() -> MessageError {
    malformed("OPEN is truncated")
}

impl Open {
    /// Decodes the body of an OPEN.
    ///
    /// # Errors
    /// The OPEN is malformed, its version is not 4, its hold time is 1 or 2 seconds, its BGP identifier is zero, or it
    /// has an optional parameter other than capabilities (RFC 4271 section 6.2); its AS number is 0 (RFC 7607); or it
    /// contains two different roles (RFC 9234 section 4.2).
    pub fn decode(body: &[u8]) -> Result<Open, MessageError> {
        let mut bytes = ByteReader(body);
        if bytes.u8().ok_or_else(truncated)? != VERSION {
            let error = MessageError::new(OpenError::UnsupportedVersion, "unsupported BGP version");
            return Err(error.with_data(&u16::from(VERSION).to_be_bytes()));
        }
        let two_octet_as = bytes.u16().ok_or_else(truncated)?;
        let hold_time = bytes.u16().ok_or_else(truncated)?;
        if matches!(hold_time, 1 | 2) {
            let error = MessageError::new(OpenError::UnacceptableHoldTime, "hold time is 1 or 2 seconds");
            return Err(error.with_data(&hold_time.to_be_bytes()));
        }
        let identifier = Ipv4Addr::from(bytes.u32().ok_or_else(truncated)?);
        if identifier.is_unspecified() {
            return Err(MessageError::new(OpenError::BadIdentifier, "BGP identifier is zero"));
        }
        let capabilities = decode_parameters(&mut bytes)?;
        let asn = capabilities.four_octet_as.unwrap_or(two_octet_as.into());
        if asn == 0 {
            return Err(MessageError::new(OpenError::BadPeerAs, "AS number is 0 (RFC 7607)"));
        }
        Ok(Open { asn, hold_time, identifier, capabilities })
    }

    /// Appends the message to `out`.
    pub fn encode(&self, out: &mut Vec<u8>) {
        message::encode(out, MessageType::Open, |out| {
            out.push(VERSION);
            out.extend(u16::try_from(self.asn).unwrap_or(AS_TRANS).to_be_bytes());
            out.extend(self.hold_time.to_be_bytes());
            out.extend(self.identifier.octets());
            let mut capabilities = Vec::new();
            self.capabilities.encode(&mut capabilities);
            // The capabilities that are encoded here take less than 100 octets in total, so one octet holds the length.
            let length = capabilities.len() as u8;
            out.extend([length + 2, CAPABILITIES_PARAMETER, length]);
            out.extend(capabilities);
        });
    }
}

/// Decodes the optional parameters, which must end the OPEN.
fn decode_parameters(bytes: &mut ByteReader) -> Result<Capabilities, MessageError> {
    let mut length = usize::from(bytes.u8().ok_or_else(truncated)?);
    // RFC 9072: two octets of 255 announce the extended format, where lengths take two octets.
    let extended =
        length == usize::from(EXTENDED_PARAMETERS) && bytes.0.first() == Some(&EXTENDED_PARAMETERS);
    if extended {
        bytes.take(1).ok_or_else(truncated)?;
        length = usize::from(bytes.u16().ok_or_else(truncated)?);
    }
    let mut parameters = ByteReader(bytes.take(length).ok_or_else(truncated)?);
    if !bytes.is_empty() {
        return Err(malformed("bytes after the optional parameters of the OPEN"));
    }
    let mut capabilities = Capabilities::default();
    while !parameters.is_empty() {
        let parameter_type = parameters.u8().ok_or_else(truncated)?;
        let value = if extended {
            parameters.u16().and_then(|length| parameters.take(length.into()))
        } else {
            parameters.length_prefixed()
        };
        let value = value.ok_or_else(|| malformed("optional parameter is truncated"))?;
        if parameter_type != CAPABILITIES_PARAMETER {
            let reason = "unsupported optional parameter";
            return Err(MessageError::new(OpenError::UnsupportedParameter, reason));
        }
        capabilities.decode(value)?;
    }
    if capabilities.families == [false; 2] {
        capabilities.families[Family::Ipv4 as usize] = true;
    }
    Ok(capabilities)
}

impl Capabilities {
    /// Adds the capabilities of one optional parameter; unknown capabilities are ignored (RFC 5492 section 3).
    fn decode(&mut self, parameter: &[u8]) -> Result<(), MessageError> {
        let mut bytes = ByteReader(parameter);
        while !bytes.is_empty() {
            let code = bytes.u8().ok_or_else(|| malformed("capability has no code"))?;
            let value = bytes.length_prefixed().ok_or_else(|| malformed("capability is truncated"))?;
            self.decode_one(code, value)?;
        }
        Ok(())
    }

    fn decode_one(&mut self, code: u8, value: &[u8]) -> Result<(), MessageError> {
        match (code, value) {
            (capability::MULTIPROTOCOL, &[high, low, _, safi]) => {
                if let Some(family) = Family::from_afi_safi(u16::from_be_bytes([high, low]), safi) {
                    self.families[family as usize] = true;
                }
            }
            (capability::ROUTE_REFRESH, []) => self.route_refresh = true,
            (capability::ENHANCED_ROUTE_REFRESH, []) => self.enhanced_route_refresh = true,
            (capability::FOUR_OCTET_AS, &[a, b, c, d]) => {
                self.four_octet_as = Some(u32::from_be_bytes([a, b, c, d]));
            }
            (capability::ROLE, &[code]) => {
                let role = Role::from_code(code);
                if self.role.is_some() && self.role != role {
                    return Err(MessageError::new(
                        OpenError::RoleMismatch,
                        "OPEN contains two different roles",
                    ));
                }
                self.role = role;
            }
            // A malformed Graceful Restart capability is ignored (RFC 4724 section 3).
            (capability::GRACEFUL_RESTART, value) => {
                self.graceful_restart = GracefulRestart::decode(value).or(self.graceful_restart);
            }
            (
                capability::MULTIPROTOCOL
                | capability::ROUTE_REFRESH
                | capability::ENHANCED_ROUTE_REFRESH
                | capability::FOUR_OCTET_AS
                | capability::ROLE,
                _,
            ) => return Err(malformed("capability has the wrong length")),
            _ => {}
        }
        Ok(())
    }

    fn encode(&self, out: &mut Vec<u8>) {
        for family in Family::ALL.into_iter().filter(|family| self.families[*family as usize]) {
            let [high, low] = family.afi().to_be_bytes();
            out.extend([capability::MULTIPROTOCOL, 4, high, low, 0, SAFI_UNICAST]);
        }
        if self.route_refresh {
            out.extend([capability::ROUTE_REFRESH, 0]);
        }
        if self.enhanced_route_refresh {
            out.extend([capability::ENHANCED_ROUTE_REFRESH, 0]);
        }
        if let Some(asn) = self.four_octet_as {
            out.extend([capability::FOUR_OCTET_AS, 4]);
            out.extend(asn.to_be_bytes());
        }
        if let Some(role) = self.role {
            out.extend([capability::ROLE, 1, role as u8]);
        }
        if let Some(graceful_restart) = self.graceful_restart {
            graceful_restart.encode(out);
        }
    }
}

#[cfg(test)]
mod tests;
