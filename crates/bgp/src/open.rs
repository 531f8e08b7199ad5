//! OPEN (RFC 4271 section 4.2) and capabilities (RFC 5492).

use crate::error::{MessageError, OpenError};
use crate::message::{self, MessageType};
use crate::Bytes;
use ipnet::IpNet;
use std::net::Ipv4Addr;

/// Stands for an AS number that two octets can't hold (RFC 6793).
pub const AS_TRANS: u16 = 23456;
/// The longest restart time that GRACEFUL RESTART has room for, in seconds (RFC 4724 section 3).
pub const LONGEST_RESTART: u16 = 4095;

/// The address families spoken, both unicast (RFC 4760).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Family {
    Ipv4,
    Ipv6,
}

impl Family {
    pub const ALL: [Family; 2] = [Family::Ipv4, Family::Ipv6];

    pub fn of(afi: u16, safi: u8) -> Option<Family> {
        match (afi, safi) {
            (1, 1) => Some(Family::Ipv4),
            (2, 1) => Some(Family::Ipv6),
            _ => None,
        }
    }

    /// The family of a prefix.
    pub fn of_prefix(prefix: &IpNet) -> Family {
        match prefix {
            IpNet::V4(_) => Family::Ipv4,
            IpNet::V6(_) => Family::Ipv6,
        }
    }

    pub fn afi(self) -> u16 {
        self as u16 + 1
    }
}

/// RFC 9234: what a speaker is to its peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Provider,
    RouteServer,
    RouteServerClient,
    Customer,
    Peer,
}

impl Role {
    fn of(number: u8) -> Option<Role> {
        use Role::*;
        [Provider, RouteServer, RouteServerClient, Customer, Peer].get(usize::from(number)).copied()
    }

    /// The one that the other side must have (RFC 9234 section 4.2).
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

/// GRACEFUL RESTART (RFC 4724) with the notification bit of RFC 8538.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Graceful {
    /// The speaker has restarted.
    pub restarted: bool,
    /// It keeps routes over a NOTIFICATION too, but for a hard reset.
    pub over_notifications: bool,
    /// Seconds, 0 to 4095.
    pub time: u16,
    /// By family: absent, or whether forwarding went on while it restarted.
    pub families: [Option<bool>; 2],
}

impl Graceful {
    pub fn keeps_any(&self) -> bool {
        self.families.iter().any(Option::is_some)
    }
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Capabilities {
    /// By [`Family`]; without any, IPv4 is meant.
    pub families: [bool; 2],
    pub four_octet_as: Option<u32>,
    pub refresh: bool,
    pub enhanced_refresh: bool,
    pub graceful: Option<Graceful>,
    pub role: Option<Role>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Open {
    /// In four octets, where the peer can.
    pub asn: u32,
    /// Seconds: 0, or 3 and more.
    pub hold: u16,
    pub id: Ipv4Addr,
    pub capabilities: Capabilities,
}

fn malformed(reason: &'static str) -> MessageError {
    MessageError::new(OpenError::Unspecific, reason)
}

impl Open {
    /// # Errors
    /// RFC 4271 section 6.2, RFC 9234 section 4.2 (two roles that differ).
    pub fn decode(body: &[u8]) -> Result<Open, MessageError> {
        let mut bytes = Bytes(body);
        let short = || malformed("an OPEN that ends too soon");
        let version = bytes.u8().ok_or_else(short)?;
        if version != 4 {
            return Err(MessageError::new(OpenError::UnsupportedVersion, "unsupported version").with(&[0, 4]));
        }
        let mut asn = u32::from(bytes.u16().ok_or_else(short)?);
        let hold = bytes.u16().ok_or_else(short)?;
        if matches!(hold, 1 | 2) {
            return Err(MessageError::new(OpenError::UnacceptableHoldTime, "a hold time of 1 or 2 seconds")
                .with(&hold.to_be_bytes()));
        }
        let id = Ipv4Addr::from(bytes.u32().ok_or_else(short)?);
        if id.is_unspecified() {
            return Err(MessageError::new(OpenError::BadIdentifier, "a BGP identifier of zero"));
        }
        let length = usize::from(bytes.u8().ok_or_else(short)?);
        // RFC 9072: longer parameters are told by two octets of 255.
        let extended = length == 255 && bytes.0.first() == Some(&255);
        let length = if extended {
            bytes.take(1).ok_or_else(short)?;
            usize::from(bytes.u16().ok_or_else(short)?)
        } else {
            length
        };
        let mut parameters = Bytes(bytes.take(length).ok_or_else(short)?);
        if !bytes.is_empty() {
            return Err(malformed("bytes behind the parameters of an OPEN"));
        }
        let mut capabilities = Capabilities::default();
        while !parameters.is_empty() {
            let kind = parameters.u8().ok_or_else(short)?;
            let value = if extended {
                parameters.u16().and_then(|length| parameters.take(length.into()))
            } else {
                parameters.part()
            };
            let value = value.ok_or_else(|| malformed("a parameter longer than its OPEN"))?;
            if kind != 2 {
                return Err(MessageError::new(
                    OpenError::UnsupportedParameter,
                    "unsupported optional parameter",
                ));
            }
            capabilities.decode(value)?;
        }
        if capabilities.families == [false; 2] {
            capabilities.families[0] = true;
        }
        asn = capabilities.four_octet_as.unwrap_or(asn);
        if asn == 0 {
            return Err(MessageError::new(OpenError::BadPeerAs, "AS 0 (RFC 7607)"));
        }
        Ok(Open { asn, hold, id, capabilities })
    }

    pub fn encode(&self, out: &mut Vec<u8>) {
        message::encode(out, MessageType::Open, |out| {
            out.push(4);
            out.extend(u16::try_from(self.asn).unwrap_or(AS_TRANS).to_be_bytes());
            out.extend(self.hold.to_be_bytes());
            out.extend(self.id.octets());
            let mut values = Vec::new();
            self.capabilities.encode(&mut values);
            // All of ours take less than a hundred bytes.
            out.extend([values.len() as u8 + 2, 2, values.len() as u8]);
            out.extend(values);
        });
    }
}

impl Capabilities {
    /// One capabilities parameter; what is unknown in it is passed over (RFC 5492 section 3).
    fn decode(&mut self, value: &[u8]) -> Result<(), MessageError> {
        let mut bytes = Bytes(value);
        while !bytes.is_empty() {
            let code = bytes.u8().ok_or_else(|| malformed("a capability that ends too soon"))?;
            let value = bytes.part().ok_or_else(|| malformed("a capability longer than its parameter"))?;
            let wrong = || malformed("a capability of the wrong length");
            match (code, value) {
                (1, &[high, low, _, safi]) => {
                    if let Some(family) = Family::of(u16::from_be_bytes([high, low]), safi) {
                        self.families[family as usize] = true;
                    }
                }
                (2, []) => self.refresh = true,
                (70, []) => self.enhanced_refresh = true,
                (65, &[a, b, c, d]) => self.four_octet_as = Some(u32::from_be_bytes([a, b, c, d])),
                (9, &[number]) => {
                    let role = Role::of(number);
                    if self.role.is_some() && self.role != role {
                        return Err(MessageError::new(OpenError::RoleMismatch, "two roles that differ"));
                    }
                    self.role = role;
                }
                (64, &[high, low, ref families @ ..]) if families.len().is_multiple_of(4) => {
                    let flags = u16::from_be_bytes([high, low]);
                    let mut graceful = Graceful {
                        restarted: flags & 0x8000 != 0,
                        over_notifications: flags & 0x4000 != 0,
                        time: flags & LONGEST_RESTART,
                        families: [None; 2],
                    };
                    for entry in families.chunks_exact(4) {
                        if let Some(family) = Family::of(u16::from_be_bytes([entry[0], entry[1]]), entry[2]) {
                            graceful.families[family as usize] = Some(entry[3] & 0x80 != 0);
                        }
                    }
                    self.graceful = Some(graceful);
                }
                (1 | 2 | 70 | 65 | 9, _) => return Err(wrong()),
                // RFC 4724 section 3: a malformed one is as good as none.
                _ => {}
            }
        }
        Ok(())
    }

    fn encode(&self, out: &mut Vec<u8>) {
        for family in Family::ALL.into_iter().filter(|family| self.families[*family as usize]) {
            let [high, low] = family.afi().to_be_bytes();
            out.extend([1, 4, high, low, 0, 1]);
        }
        if self.refresh {
            out.extend([2, 0]);
        }
        if self.enhanced_refresh {
            out.extend([70, 0]);
        }
        if let Some(asn) = self.four_octet_as {
            out.extend([65, 4]);
            out.extend(asn.to_be_bytes());
        }
        if let Some(role) = self.role {
            out.extend([9, 1, role as u8]);
        }
        if let Some(graceful) = self.graceful {
            let kept = Family::ALL.into_iter().filter_map(|family| {
                graceful.families[family as usize].map(|forwarding| (family, forwarding))
            });
            let kept: Vec<(Family, bool)> = kept.collect();
            out.extend([64, 2 + 4 * kept.len() as u8]);
            let flags = u16::from(graceful.restarted) << 15 | u16::from(graceful.over_notifications) << 14;
            out.extend((flags | graceful.time.min(LONGEST_RESTART)).to_be_bytes());
            for (family, forwarding) in kept {
                let [high, low] = family.afi().to_be_bytes();
                out.extend([high, low, 1, u8::from(forwarding) << 7]);
            }
        }
    }
}

#[cfg(test)]
mod tests;
