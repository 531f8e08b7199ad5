//! The errors of RFC 4271 section 6 and of later RFCs, each with the code and subcode of the NOTIFICATION that reports
//! it.

use std::error::Error;
use std::fmt;

/// The maximum number of octets of the offending message that a NOTIFICATION carries as its data.
const MAX_ERROR_DATA: usize = 64;

/// Message Header Error subcodes (RFC 4271 section 6.1).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeaderError {
    /// The marker is wrong.
    ConnectionNotSynchronized = 1,
    /// The length is not valid for the message type.
    BadMessageLength = 2,
    /// The message type is unknown.
    BadMessageType = 3,
}

/// OPEN Message Error subcodes (RFC 4271 section 6.2; RFC 5492 for capabilities, RFC 9234 for roles).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OpenError {
    /// A malformed OPEN, where no other subcode applies.
    Unspecific = 0,
    /// The version is not 4.
    UnsupportedVersion = 1,
    /// The AS number is not the configured one, or is 0 (RFC 7607).
    BadPeerAs = 2,
    /// The BGP identifier is zero, is not the configured one, or equals ours in an iBGP session.
    BadIdentifier = 3,
    /// An optional parameter other than capabilities.
    UnsupportedParameter = 4,
    /// A hold time of 1 or 2 seconds.
    UnacceptableHoldTime = 6,
    /// The two sides support no address family in common.
    UnsupportedCapability = 7,
    /// The roles of both sides do not match, or the peer sent none where one is required.
    RoleMismatch = 11,
}

/// UPDATE Message Error subcodes (RFC 4271 section 6.3); only those that still end a session under RFC 7606.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateError {
    /// The length fields exceed the message, or MP_REACH_NLRI or MP_UNREACH_NLRI appears twice.
    MalformedAttributeList = 1,
    /// An unknown attribute without the OPTIONAL flag.
    UnrecognizedWellKnownAttribute = 2,
    /// Wrong flags of MP_REACH_NLRI or MP_UNREACH_NLRI.
    AttributeFlags = 4,
    /// A malformed MP_REACH_NLRI or MP_UNREACH_NLRI.
    OptionalAttribute = 9,
    /// A malformed prefix.
    InvalidNetworkField = 10,
}

/// Finite State Machine Error subcodes (RFC 6608): the state in which an unexpected message arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FsmError {
    /// Any state other than those below.
    Unspecified = 0,
    /// In OpenSent.
    OpenSent = 1,
    /// In OpenConfirm.
    OpenConfirm = 2,
    /// In Established.
    Established = 3,
}

/// Cease subcodes (RFC 4486; RFC 8538 for the hard reset).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CeaseSubcode {
    /// The peer sent more prefixes than are accepted.
    MaximumPrefixes = 1,
    /// The operator ends the session.
    AdministrativeShutdown = 2,
    /// The peer is no longer configured.
    PeerDeconfigured = 3,
    /// The operator ends the session, and it may be established again.
    AdministrativeReset = 4,
    /// The speaker does not accept the connection.
    ConnectionRejected = 5,
    /// A change of configuration that needs a new session.
    OtherConfigurationChange = 6,
    /// The other connection to the same peer is kept (RFC 4271 section 6.8).
    ConnectionCollisionResolution = 7,
    /// The sender is short of resources.
    OutOfResources = 8,
    /// The session ends without Graceful Restart, so its routes are removed (RFC 8538). The data begins with the actual
    /// code and subcode.
    HardReset = 9,
}

/// The reason for which a NOTIFICATION is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorKind {
    /// Message Header Error.
    Header(HeaderError),
    /// OPEN Message Error.
    Open(OpenError),
    /// UPDATE Message Error.
    Update(UpdateError),
    /// No message arrived within the hold time.
    HoldTimerExpired,
    /// Finite State Machine Error.
    Fsm(FsmError),
    /// The session ends without a protocol error of the peer.
    Cease(CeaseSubcode),
}

impl ErrorKind {
    /// The error code (RFC 4271 section 4.5).
    pub fn code(self) -> u8 {
        match self {
            ErrorKind::Header(_) => 1,
            ErrorKind::Open(_) => 2,
            ErrorKind::Update(_) => 3,
            ErrorKind::HoldTimerExpired => 4,
            ErrorKind::Fsm(_) => 5,
            ErrorKind::Cease(_) => 6,
        }
    }

    /// The error subcode; 0 if the code has no subcodes.
    pub fn subcode(self) -> u8 {
        match self {
            ErrorKind::Header(subcode) => subcode as u8,
            ErrorKind::Open(subcode) => subcode as u8,
            ErrorKind::Update(subcode) => subcode as u8,
            ErrorKind::HoldTimerExpired => 0,
            ErrorKind::Fsm(subcode) => subcode as u8,
            ErrorKind::Cease(subcode) => subcode as u8,
        }
    }
}

impl From<HeaderError> for ErrorKind {
    fn from(subcode: HeaderError) -> ErrorKind {
        ErrorKind::Header(subcode)
    }
}

impl From<OpenError> for ErrorKind {
    fn from(subcode: OpenError) -> ErrorKind {
        ErrorKind::Open(subcode)
    }
}

impl From<UpdateError> for ErrorKind {
    fn from(subcode: UpdateError) -> ErrorKind {
        ErrorKind::Update(subcode)
    }
}

impl From<FsmError> for ErrorKind {
    fn from(subcode: FsmError) -> ErrorKind {
        ErrorKind::Fsm(subcode)
    }
}

/// An error of the peer that ends the session.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MessageError {
    /// The code and subcode of the NOTIFICATION that reports it.
    pub kind: ErrorKind,
    /// The data of that NOTIFICATION, if the code requires any: the offending part of the message, or the supported
    /// version for an unsupported one.
    pub data: Vec<u8>,
    /// A description of the error for the log; empty if code and subcode suffice.
    pub reason: &'static str,
}

impl MessageError {
    /// An error without data.
    pub fn new(kind: impl Into<ErrorKind>, reason: &'static str) -> MessageError {
        MessageError { kind: kind.into(), data: Vec::new(), reason }
    }

    /// The same error with this data, truncated to 64 octets.
    pub fn with_data(self, data: &[u8]) -> MessageError {
        MessageError { data: data[..data.len().min(MAX_ERROR_DATA)].to_vec(), ..self }
    }

    /// The subcode of the NOTIFICATION.
    pub fn subcode(&self) -> u8 {
        self.kind.subcode()
    }
}

impl fmt::Display for MessageError {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(formatter, "{} ({}/{})", self.reason, self.kind.code(), self.kind.subcode())
    }
}

impl Error for MessageError {}
